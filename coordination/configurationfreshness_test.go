package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// revokeWithin is the value used in production.
const revokeWithin = 5 * time.Second

// assuredStore is the configuration in the store, with its history.
type assuredStore struct {
	version uint64
	// shown is the version that the store returns. After a restore from an earlier copy it is an older one,
	// until the operator writes the newest again at rewrittenAt.
	shown       uint64
	rewrittenAt time.Time
	// changedAt is when the store accepted each version.
	changedAt map[uint64]time.Time
	// reads counts the calls, answered or not.
	reads int
}

func (s *assuredStore) versionAt(at time.Time) uint64 {
	newest := uint64(0)
	for version, changedAt := range s.changedAt {
		if !changedAt.After(at) {
			newest = max(newest, version)
		}
	}
	return newest
}

func (w *world) changeConfiguration() {
	w.assured.version++
	w.assured.shown = w.assured.version
	w.assured.changedAt[w.assured.version] = w.now
}

// readConfiguration answers a node's read of the store.
func (w *world) readConfiguration(name string) {
	w.assured.reads++
	if w.storeCut[name] {
		w.perform(name, w.nodes[name].ConfigurationReadFailed())
		return
	}
	shown := w.assured.show(w.now)
	w.perform(name, w.nodes[name].ConfigurationRead(w.now, coordination.ConfigurationReadResult{
		BegunAt: w.now, Era: w.era, Version: shown, Configuration: engineConfiguration(shown),
	}))
}

// show returns the version that the store returns now.
func (s *assuredStore) show(now time.Time) uint64 {
	if !now.Before(s.rewrittenAt) {
		s.shown = s.version
	}
	return s.shown
}

// loseConfigurations restores the store from an earlier copy that lacks its last versions. The operator writes
// them again after a delay.
func (w *world) loseConfigurations(count uint64, delay time.Duration) {
	w.restore(w.era + 1)
	w.assured.shown = max(1, w.assured.version-min(count, w.assured.version))
	w.assured.rewrittenAt = w.now.Add(delay)
}

// newAssuredWorld returns daemons that keep proving that their configuration is the newest.
func newAssuredWorld(count int) *world {
	w := newWorld(count)
	w.assured = &assuredStore{changedAt: map[uint64]time.Time{}}
	w.recreateAll(func(_ int, _ *member.Member, settings *coordination.Settings) {
		settings.Lease.TakeoverOrderDelay, settings.RevokeWithin = 0, revokeWithin
	})
	w.changeConfiguration()
	w.listAll()
	return w
}

// maxAge is the age of the oldest proof among the live daemons.
func (w *world) maxAge() time.Duration {
	oldest := time.Duration(0)
	for _, name := range w.names() {
		if !w.dead[name] {
			oldest = max(oldest, w.now.Sub(w.nodes[name].ProvenSince()))
		}
	}
	return oldest
}

// maxAgeDuring runs a world and returns the maximum age in that time.
func (w *world) maxAgeDuring(duration time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := w.now.Add(duration); w.now.Before(end); {
		w.run(50 * time.Millisecond)
		oldest = max(oldest, w.maxAge())
	}
	return oldest
}

// TestConfigurationStaysSure covers fleets at rest. All daemons get their proof from the reads of a
// few. So neither the calls to the store nor the requests to any one daemon grow with the fleet.
func TestConfigurationStaysSure(t *testing.T) {
	for _, count := range []int{3, 9, 69, 295} {
		if count > 69 && !largeFleets {
			continue
		}
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := newAssuredWorld(count)
			w.run(10 * time.Second)
			w.assured.reads = 0
			clear(w.freshnessRequests)
			oldest := w.maxAgeDuring(10 * time.Second)
			t.Logf("the oldest proof is %v old, %d reads in ten seconds", oldest, w.assured.reads)
			if limit := revokeWithin * 3 / 10; oldest > limit {
				t.Errorf("the oldest proof is %v old, at most %v wanted", oldest, limit)
			}
			if w.assured.reads > 30 {
				t.Errorf("%d reads in ten seconds", w.assured.reads)
			}
			for name, requests := range w.freshnessRequests {
				if requests > 10*60 {
					t.Errorf("%s receives %d requests in ten seconds", name, requests)
				}
			}
		})
	}
}

// TestDaemonsThatTheStoreTurnsAwayStaySure covers a store that rejects a third of the daemons, among
// them the reader.
func TestDaemonsThatTheStoreTurnsAwayStaySure(t *testing.T) {
	for _, count := range []int{9, 69, 295} {
		if count > 69 && !largeFleets {
			continue
		}
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := newAssuredWorld(count)
			w.run(10 * time.Second)
			for i, name := range w.names() {
				if i%3 == 0 || w.nodes[name].Rank() < 2 {
					w.storeCut[name] = true
				}
			}
			oldest := w.maxAgeDuring(9 * time.Second)
			t.Logf("the oldest proof is %v old", oldest)
			if oldest > revokeWithin*8/10 {
				t.Errorf("the oldest proof is %v old", oldest)
			}
		})
	}
}

// TestWhoReadsForAllGoesOn covers a store that rejects the first daemons and a third of the others for
// long. It guards against ages that, each time the term of a substitute reader ends, grow as large as
// before the first substitution.
func TestWhoReadsForAllGoesOn(t *testing.T) {
	const firstTime, limit = 5 * time.Second, revokeWithin * 55 / 100
	for offset := range 3 {
		w := newAssuredWorld(69)
		w.run(10*time.Second + time.Duration(offset)*3*coordination.TickInterval)
		for i, name := range w.names() {
			if i%3 == 0 || w.nodes[name].Rank() < 4 {
				w.storeCut[name] = true
			}
		}
		first := w.maxAgeDuring(firstTime)
		later := w.maxAgeDuring(12 * time.Second)
		t.Logf("the oldest proof is %v old at first, %v later", first, later)
		if later > limit {
			t.Errorf("the oldest proof is %v old, at most %v wanted", later, limit)
		}
	}
}

// TestOutageOfTheStoreAsksLittle covers a store that answers nobody. After a while no daemon has a
// recent proof, which no number of calls can change. All have one again soon after the outage.
func TestOutageOfTheStoreAsksLittle(t *testing.T) {
	w := newAssuredWorld(69)
	w.run(10 * time.Second)
	for _, name := range w.names() {
		w.storeCut[name] = true
	}
	before := w.maxAge()
	w.assured.reads = 0
	w.run(10 * time.Second)
	if w.maxAge() < 10*time.Second || w.maxAge() > before+10*time.Second {
		t.Errorf("after ten seconds the oldest proof is %v old, %v before", w.maxAge(), before)
	}
	t.Logf("%d reads in ten seconds of an outage", w.assured.reads)
	if w.assured.reads > 130 {
		t.Errorf("%d reads in ten seconds of an outage", w.assured.reads)
	}
	clear(w.storeCut)
	w.run(2 * time.Second)
	if oldest := w.maxAge(); oldest > 1500*time.Millisecond {
		t.Errorf("two seconds after the outage the oldest proof is %v old", oldest)
	}
}

// TestSureKnowledgeIsTrue compares the proofs of the nodes with the store's history. Meanwhile the
// store rejects some nodes, messages take up to seconds, and nodes are killed and restarted under their
// names.
func TestSureKnowledgeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAssuredWorld(rapid.IntRange(2, 7).Draw(t, "daemons"))
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		slowest := rapid.SampledFrom([]int{0, 30, 400, 6000}).Draw(t, "slowest message, ms")
		w.latency = func() time.Duration { return time.Duration(random.IntN(slowest+1)) * time.Millisecond }
		for range 60 {
			w.disturb(random)
			w.run(time.Duration(50*(1+random.IntN(8))) * time.Millisecond)
			w.checkSureIsTrue(t)
		}
	})
}

// disturb changes the configuration, cuts a node off from the store or reconnects it, or restarts a
// node.
func (w *world) disturb(random *rand.Rand) {
	name := w.names()[random.IntN(len(w.nodes))]
	switch random.IntN(5) {
	case 0:
		w.changeConfiguration()
	case 1:
		w.storeCut[name] = !w.storeCut[name]
	case 2:
		w.restart(name, random)
	}
}

// restart replaces a node by an empty one. Messages to the earlier one still arrive.
func (w *world) restart(name string, random *rand.Rand) {
	w.recreateOne(name, uint64(w.now.UnixMilli()), random)
	w.perform(name, w.nodes[name].InstancesListed(w.now, listed(w.era, 5, "i1", "i2")))
}

func (w *world) checkSureIsTrue(t *rapid.T) {
	for _, name := range w.names() {
		node := w.nodes[name]
		view, _ := node.TakeView()
		since := node.ProvenSince()
		if since.IsZero() {
			continue
		}
		if newest := w.assured.versionAt(since); view.Version() < newest {
			t.Fatalf("%s has a proof that is %v old for version %d, when %d was the newest", name, w.now.Sub(since), view.Version(), newest)
		}
	}
}

// TestSureKnowledgeIsTrueAcrossRestores is TestSureKnowledgeIsTrue with a store that is restored from
// earlier copies that lack its last versions. The operator writes them again within 2 s.
func TestSureKnowledgeIsTrueAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAssuredWorld(rapid.IntRange(2, 7).Draw(t, "daemons"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		slowest := rapid.SampledFrom([]int{0, 30, 400, 6000}).Draw(t, "slowest message, ms")
		w.latency = func() time.Duration { return time.Duration(random.IntN(slowest+1)) * time.Millisecond }
		w.run(time.Second)
		for range 60 {
			name := w.names()[random.IntN(len(w.nodes))]
			switch random.IntN(6) {
			case 0:
				w.changeConfiguration()
			case 1:
				w.storeCut[name] = !w.storeCut[name]
			case 2:
				w.loseConfigurations(uint64(random.IntN(4)), time.Duration(random.IntN(2000))*time.Millisecond)
			case 3:
				w.restart(name, random)
			}
			w.run(time.Duration(50*(1+random.IntN(8))) * time.Millisecond)
			w.checkSureIsTrue(t)
		}
	})
}

// TestSureSoonAfterARestore covers the duration of a restore: all daemons have a recent proof again
// soon after the operator had time to write again.
func TestSureSoonAfterARestore(t *testing.T) {
	for _, count := range []int{9, 69} {
		w := newAssuredWorld(count)
		w.run(10 * time.Second)
		w.changeConfiguration()
		w.run(100 * time.Millisecond)
		w.loseConfigurations(1, 2*time.Second)
		oldest := w.maxAgeDuring(4 * time.Second)
		t.Logf("%d daemons: the oldest proof was %v old, %v four seconds after the restore", count, oldest, w.maxAge())
		if oldest > revokeWithin*9/10 || w.maxAge() > revokeWithin*3/10 {
			t.Errorf("%d daemons: the oldest proof was %v old, %v four seconds after the restore", count, oldest, w.maxAge())
		}
	}
}

// TestFleetThatStartsAnewIsSureSoon restarts all daemons at one moment, in an era that has lasted for a
// while.
func TestFleetThatStartsAnewIsSureSoon(t *testing.T) {
	const allowed = 300 * time.Millisecond
	w := newAssuredWorld(9)
	w.run(15 * time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range w.names() {
		w.restart(name, random)
		w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(1)))
	}
	w.run(allowed)
	for _, name := range w.names() {
		if since := w.nodes[name].ProvenSince(); since.IsZero() {
			t.Errorf("%s has no proof %v after its start", name, allowed)
		}
	}
}
