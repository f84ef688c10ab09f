package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/api"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/ledger"
)

// store is the object API with one shard object.
type store struct{ object api.Object }

func (s *store) put(object api.Object, ifVersion uint64) (api.Object, bool) {
	if s.object.Version != ifVersion {
		return s.object, false
	}
	object.Version = ifVersion + 1
	s.object = object
	return object, true
}

// claimant is one daemon with its outstanding call.
type claimant struct {
	shard  *ledger.Shard
	action ledger.Action
	// late is a write that was given up as unknown and may still arrive.
	late []ledger.Action
}

var shardKey = api.Key{Kind: api.KindKeyShard, Name: "00"}

// TestAtMostOneGrantPerKey lets several daemons claim the same few keys while
// calls fail, get lost, or take effect without an answer or late. The oracle
// allows one grant for each key, ever.
func TestAtMostOneGrantPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		platform := &store{object: api.Object{Key: shardKey}}
		daemons := make([]*claimant, 3)
		for i := range daemons {
			daemons[i] = &claimant{shard: ledger.NewShard(shardKey, ledger.DefaultSettings())}
		}
		keyOf, granted, ended := map[string]string{}, map[string]string{}, map[string]bool{}
		take := func(results []ledger.Ended) {
			for _, end := range results {
				if ended[end.Holder] {
					t.Fatalf("%s was answered twice", end.Holder)
				}
				ended[end.Holder] = true
				key := keyOf[end.Holder]
				if end.Answer != ledger.Granted {
					continue
				}
				if other, found := granted[key]; found {
					t.Fatalf("key %s was granted to %s and %s", key, other, end.Holder)
				}
				granted[key] = end.Holder
			}
		}
		advance := func(c *claimant) {
			if c.action.Kind != ledger.ActionNone {
				return
			}
			action, results := c.shard.Next(now)
			take(results)
			c.action = action
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			c := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				holder := fmt.Sprintf("holder-%d", len(keyOf))
				keyOf[holder] = fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key"))
				c.shard.Add(keyOf[holder], holder, now.Add(2*time.Second))
			case 1, 2:
				answerCall(t, c, platform, now, take)
			case 3:
				for _, write := range c.late {
					platform.put(write.Object, write.IfVersion)
				}
				c.late = nil
			}
			for _, each := range daemons {
				advance(each)
			}
		}
	})
}

// answerCall ends the outstanding call of a daemon in one of several ways.
func answerCall(t *rapid.T, c *claimant, platform *store, now time.Time, take func([]ledger.Ended)) {
	action := c.action
	if action.Kind == ledger.ActionNone {
		return
	}
	c.action = ledger.Action{}
	way := rapid.IntRange(0, 4).Draw(t, "way")
	if action.Kind == ledger.ActionRead {
		if way == 0 {
			take(c.shard.Answered(now, action.Kind, ledger.CallUnknown, api.Object{}))
			return
		}
		take(c.shard.Answered(now, action.Kind, ledger.CallOK, platform.object))
		return
	}
	switch way {
	case 0:
		take(c.shard.Answered(now, action.Kind, ledger.CallNotDone, api.Object{}))
	case 1:
		platform.put(action.Object, action.IfVersion)
		take(c.shard.Answered(now, action.Kind, ledger.CallUnknown, api.Object{}))
	case 2:
		c.late = append(c.late, action)
		take(c.shard.Answered(now, action.Kind, ledger.CallUnknown, api.Object{}))
	default:
		object, done := platform.put(action.Object, action.IfVersion)
		result := ledger.CallOK
		if !done {
			result = ledger.CallConflict
		}
		take(c.shard.Answered(now, action.Kind, result, object))
	}
}

// TestAbandonedClaimCanBeMadeAnew covers a claim that was stored although its
// request was refused for the time: the key must not be lost for ever.
func TestAbandonedClaimCanBeMadeAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	platform := &store{object: api.Object{Key: shardKey}}
	shard := ledger.NewShard(shardKey, ledger.DefaultSettings())
	shard.Add("key", "first", now.Add(time.Second))
	read, _ := shard.Next(now)
	shard.Answered(now, read.Kind, ledger.CallOK, platform.object)
	write, _ := shard.Next(now)
	platform.put(write.Object, write.IfVersion)
	now = now.Add(2 * time.Second)
	_, ended := shard.Next(now)
	if len(ended) != 1 || ended[0].Answer != ledger.Unavailable {
		t.Fatalf("late claim ended as %v", ended)
	}
	shard.Answered(now, write.Kind, ledger.CallUnknown, api.Object{})
	shard.Add("key", "second", now.Add(time.Minute))
	for range 4 {
		action, _ := shard.Next(now)
		if action.Kind == ledger.ActionRead {
			ended = shard.Answered(now, action.Kind, ledger.CallOK, platform.object)
			continue
		}
		object, _ := platform.put(action.Object, action.IfVersion)
		ended = shard.Answered(now, action.Kind, ledger.CallOK, object)
		if len(ended) == 1 {
			break
		}
	}
	if len(ended) != 1 || ended[0].Holder != "second" || ended[0].Answer != ledger.Granted {
		t.Fatalf("second claim ended as %v", ended)
	}
}
