package ledger

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/api"
)

// ShardCount is the number of shard objects. It is part of the stored layout
// and must not change while keys are kept.
const ShardCount = 64

// ShardOf returns the shard object that holds a key.
func ShardOf(key string) api.Key {
	return api.Key{Kind: api.KindKeyShard, Name: fmt.Sprintf("%02d", xxhash.Sum64String(key)%ShardCount)}
}

// Claim is the value kept for a key.
type Claim struct {
	// Holder identifies one request at one run of one daemon.
	Holder string `json:"h"`
	// At is when the claim was made, in Unix milliseconds.
	At int64 `json:"t"`
}

// Answer says how a claim ended.
type Answer int

// Answers to a claim.
const (
	Granted Answer = iota
	Used
	Unavailable
)

// Ended is a claim that has ended.
type Ended struct {
	Holder string
	Answer Answer
}

// ActionKind is what a shard wants done.
type ActionKind int

// Kinds of actions.
const (
	ActionNone ActionKind = iota
	ActionRead
	ActionWrite
)

// Action is a call to the object API. At most one is outstanding per shard.
type Action struct {
	Kind      ActionKind
	Object    api.Object
	IfVersion uint64
}

// Outcome says how a call to the object API ended.
type Outcome int

// Outcomes of calls.
const (
	CallOK Outcome = iota
	CallConflict
	CallNotDone
	CallUnknown
)

// Settings of the ledger.
type Settings struct {
	// Retention is how long keys are kept. A key that comes back later than
	// this is taken for a new one.
	Retention time.Duration
	// MaxKeys bounds the keys of one shard, which bounds the object's size.
	MaxKeys int
}

// DefaultSettings keeps keys for a day. At about 60 bytes a key, a full shard
// stays under the object API's limit of a megabyte.
func DefaultSettings() Settings {
	return Settings{Retention: 24 * time.Hour, MaxKeys: 12000}
}

// request is a claim that waits.
type request struct {
	key      string
	holder   string
	deadline time.Time
}

// Shard holds the claims of one daemon on one shard. It is not safe for
// concurrent use.
type Shard struct {
	settings Settings
	key      api.Key
	known    bool
	version  uint64
	claims   map[string]Claim
	waiting  []request
	// batch is the part of waiting that is in the outstanding write.
	batch []request
	// abandoned are own holders whose claim may be stored although the
	// request was refused; the key may be claimed anew over them.
	abandoned map[string]bool
	busy      bool
	settling  bool
}

// NewShard returns the state for one shard object.
func NewShard(key api.Key, settings Settings) *Shard {
	return &Shard{settings: settings, key: key, claims: map[string]Claim{}, abandoned: map[string]bool{}}
}

// Add queues a claim. The holder must be new for each request.
func (s *Shard) Add(key, holder string, deadline time.Time) {
	s.waiting = append(s.waiting, request{key, holder, deadline})
}

// Next returns the call to make now and the claims that ended without one.
func (s *Shard) Next(now time.Time) (Action, []Ended) {
	ended := s.expire(now)
	if s.busy || len(s.waiting) == 0 && !s.settling {
		return Action{}, ended
	}
	if !s.known || s.settling {
		s.busy = true
		return Action{Kind: ActionRead, Object: api.Object{Key: s.key}}, ended
	}
	action, used := s.prepareWrite(now)
	return action, append(ended, used...)
}

// expire ends claims whose deadline has passed. One that is in a write may yet
// be stored, so its holder is kept as abandoned.
func (s *Shard) expire(now time.Time) []Ended {
	var ended []Ended
	s.waiting, ended = expired(now, s.waiting, ended)
	before := len(ended)
	s.batch, ended = expired(now, s.batch, ended)
	for _, late := range ended[before:] {
		s.abandoned[late.Holder] = true
	}
	return ended
}

func expired(now time.Time, requests []request, ended []Ended) ([]request, []Ended) {
	var kept []request
	for _, waiting := range requests {
		if waiting.deadline.After(now) {
			kept = append(kept, waiting)
			continue
		}
		ended = append(ended, Ended{waiting.holder, Unavailable})
	}
	return kept, ended
}

func (s *Shard) prepareWrite(now time.Time) (Action, []Ended) {
	next := s.pruned(now)
	var ended []Ended
	var batch []request
	for _, waiting := range s.waiting {
		holder, taken := next[waiting.key]
		switch {
		case taken && !s.abandoned[holder.Holder]:
			ended = append(ended, Ended{waiting.holder, Used})
		case len(next) >= s.settings.MaxKeys:
			ended = append(ended, Ended{waiting.holder, Unavailable})
		default:
			next[waiting.key] = Claim{Holder: waiting.holder, At: now.UnixMilli()}
			batch = append(batch, waiting)
		}
	}
	s.waiting = nil
	if len(batch) == 0 {
		return Action{}, ended
	}
	s.batch = batch
	s.busy = true
	object := api.Object{Key: s.key, WriteID: batch[0].holder, Value: api.Encode(next)}
	return Action{Kind: ActionWrite, Object: object, IfVersion: s.version}, ended
}

// pruned returns the known claims without those past their retention.
func (s *Shard) pruned(now time.Time) map[string]Claim {
	oldest := now.Add(-s.settings.Retention).UnixMilli()
	kept := make(map[string]Claim, len(s.claims)+len(s.waiting))
	for key, claim := range s.claims {
		if claim.At >= oldest {
			kept[key] = claim
		}
	}
	return kept
}

// Answered takes in the answer to the outstanding call. After a write that was
// done or met a conflict, object is the object as it is now.
func (s *Shard) Answered(now time.Time, kind ActionKind, outcome Outcome, object api.Object) []Ended {
	s.busy = false
	switch {
	case outcome == CallNotDone && kind == ActionWrite:
		return s.giveUp(s.takeBatch())
	case outcome == CallNotDone || outcome == CallUnknown && kind == ActionRead:
		// Nothing is known, so nothing may run. A write that is unsettled
		// stays so until a read succeeds.
		waiting := s.waiting
		s.waiting = nil
		batch := s.takeBatch()
		for _, lost := range batch {
			s.abandoned[lost.holder] = true
		}
		return s.giveUp(append(waiting, batch...))
	case outcome == CallUnknown:
		s.settling = true
		return nil
	}
	if !s.take(object) {
		return s.giveUp(append(s.takeBatch(), s.waiting...))
	}
	s.settling = false
	return s.settle()
}

func (s *Shard) takeBatch() []request {
	batch := s.batch
	s.batch = nil
	return batch
}

func (s *Shard) giveUp(requests []request) []Ended {
	ended := make([]Ended, 0, len(requests))
	for _, waiting := range requests {
		ended = append(ended, Ended{waiting.holder, Unavailable})
	}
	return ended
}

// take stores the state of the object. It returns false if it is not readable.
func (s *Shard) take(object api.Object) bool {
	if s.known && object.Version < s.version {
		return true
	}
	claims := map[string]Claim{}
	if len(object.Value) > 0 && !object.Deleted {
		if err := json.Unmarshal(object.Value, &claims); err != nil {
			s.known = false
			return false
		}
	}
	s.known = true
	s.version = object.Version
	s.claims = claims
	s.forgetAbandoned()
	return true
}

// forgetAbandoned drops abandoned holders that are not stored. A lost write
// that is still on its way cannot store them later, because the version that
// it is conditional on has passed; while the version stands they are kept.
func (s *Shard) forgetAbandoned() {
	if len(s.abandoned) <= maxAbandoned {
		return
	}
	stored := map[string]bool{}
	for _, claim := range s.claims {
		stored[claim.Holder] = true
	}
	for holder := range s.abandoned {
		if !stored[holder] {
			delete(s.abandoned, holder)
		}
	}
}

// maxAbandoned is how many abandoned holders are kept before the list is
// cleared of those that were never stored.
const maxAbandoned = 1000

// settle ends the claims of the batch that are stored, and queues the others
// again unless their key was taken.
func (s *Shard) settle() []Ended {
	var ended []Ended
	for _, waiting := range s.takeBatch() {
		claim, taken := s.claims[waiting.key]
		switch {
		case taken && claim.Holder == waiting.holder:
			ended = append(ended, Ended{waiting.holder, Granted})
		case taken && !s.abandoned[claim.Holder]:
			ended = append(ended, Ended{waiting.holder, Used})
		default:
			s.waiting = append(s.waiting, waiting)
		}
	}
	return ended
}
