package limiter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/internal/clock"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/tenant"
)

// network connects limiters by their names, which are also their addresses.
type network struct {
	limiters map[string]*Limiter
	mutex    sync.Mutex
	// unreachable are the daemons that receive no messages.
	unreachable map[string]bool
	// machineClock is the clock of all daemons.
	machineClock *clock.Fake
}

const messageDelay = time.Millisecond

func newNetwork(daemons int, limit tenant.Limit) *network {
	n := &network{limiters: map[string]*Limiter{}, unreachable: map[string]bool{}, machineClock: clock.NewFake()}
	table := tenant.NewTable([]tenant.Tenant{{Name: "acme", Limit: limit}})
	var members []member.Member
	for i := range daemons {
		members = append(members, member.Member{Name: fmt.Sprint("d", i)})
	}
	for _, m := range members {
		self := m.Name
		n.limiters[self] = New(Ports{
			Self:     self,
			Now:      n.machineClock.Now,
			Address:  func(name string) (string, bool) { return name, n.limiters[name] != nil },
			Send:     func(address string, message *Message) { n.send(self, address, message) },
			Subjects: func() Subjects { return table },
			Log:      func(string, ...any) {},
		})
	}
	for _, l := range n.limiters {
		l.SetFleet(n.machineClock.Now(), quota.NewFleet(l.ports.Self, members, 1, time.Minute))
	}
	return n
}

func (n *network) send(from, to string, message *Message) {
	time.AfterFunc(messageDelay, func() {
		if !n.isUnreachable(to) {
			n.limiters[to].Receive(from, message)
		}
	})
}

// run advances the time, in which all daemons run their periodic work.
func (n *network) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, l := range n.limiters {
			l.Tick(n.machineClock.Now())
		}
	}
}

func (n *network) isUnreachable(name string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.unreachable[name]
}

func (n *network) disconnect(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.unreachable[name] = true
}

func (n *network) take(at string, cost float64) Outcome {
	return n.limiters[at].Take(context.Background(), n.request(cost))
}

// request returns a request that uses a part of the limit.
func (n *network) request(cost float64) Request {
	limit, _ := n.limiters["d0"].ports.Subjects().Rate("acme")
	return Request{Subject: "acme", Limit: limit, Cost: cost}
}

// owner returns the daemon that owns the limit, and one that is neither the owner nor a stand-in, or else the last
// stand-in.
func (n *network) owner() (owner, other string) {
	owners := n.limiters["d0"].fleet.Load().Owners("acme")
	for name := range n.limiters {
		if !slices.Contains(owners, name) {
			return owners[0], name
		}
	}
	return owners[0], owners[len(owners)-1]
}

// TestAllDaemonsTakeFromOneLimit sends requests at every daemon of a fleet: together they are
// granted what one bucket grants.
func TestAllDaemonsTakeFromOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, tenant.Limit{PerSecond: 10, Burst: 4})
		n.run(time.Second)
		granted := 0
		for range 20 {
			for name := range n.limiters {
				if outcome := n.take(name, 1); outcome.Granted {
					granted++
				} else if outcome.Unsure || outcome.Wait <= 0 {
					t.Fatalf("%s: got %+v, want a denial with a wait", name, outcome)
				}
			}
		}
		if granted < 5 || granted > 7 {
			t.Errorf("%d granted of a burst of four, want 5 to 7", granted)
		}
	})
}

// TestStandInAnswersForALostOwner disconnects the owner: the next daemon grants a part, and the
// owner is not queried again during the backoff.
func TestStandInAnswersForALostOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, tenant.Limit{PerSecond: 10, Burst: 4})
		n.run(time.Second)
		owner, other := n.owner()
		n.disconnect(owner)
		began := time.Now()
		if outcome := n.take(other, 1); !outcome.Granted || time.Since(began) < answerTimeout {
			t.Fatalf("got %+v after %v, want a grant after the timeout", outcome, time.Since(began))
		}
		began = time.Now()
		n.take(other, 1)
		if took := time.Since(began); took >= answerTimeout {
			t.Errorf("the unreachable owner is queried again: took %v", took)
		}
	})
}

// TestAloneOnlyAPartIsGranted disconnects all daemons but one. That one grants less than its even
// share, and reports the other requests as undecided.
func TestAloneOnlyAPartIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, tenant.Limit{PerSecond: 10, Burst: 10})
		_, other := n.owner()
		for name := range n.limiters {
			if name != other {
				n.disconnect(name)
			}
		}
		granted := 0
		for began := time.Now(); time.Since(began) < 10*time.Second; n.run(100 * time.Millisecond) {
			switch outcome := n.take(other, 1); {
			case outcome.Granted:
				granted++
			case !outcome.Unsure:
				t.Fatalf("got %+v, want a grant or an undecided outcome", outcome)
			}
		}
		if share := 10.0 * 10 / 5; granted == 0 || float64(granted) > share {
			t.Errorf("%d granted, want some but at most the even share of %.0f", granted, share)
		}
	})
}

// TestUnusedIsGivenBack takes the whole burst and returns it: returned units must be granted again.
func TestUnusedIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, tenant.Limit{PerSecond: 1, Burst: 4})
		n.run(5 * time.Second)
		_, other := n.owner()
		if !n.take(other, 5).Granted || n.take(other, 1).Granted {
			t.Fatal("the first request is denied, or a bucket with a negative level grants another")
		}
		n.limiters[other].Refund(n.request(5))
		n.run(2 * denialTTL)
		if !n.take(other, 1).Granted {
			t.Error("returned units are not granted again")
		}
	})
}

// TestSuspendedOwnerGivesOutNothingAtOnce covers an owner on a machine that was suspended: other daemons may have
// granted the units that its limits accumulated in the meantime. After the machine resumes, the owner answers a
// request before any tick.
func TestSuspendedOwnerGivesOutNothingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, tenant.Limit{PerSecond: 100, Burst: 100})
		n.run(5 * time.Second)
		owner, _ := n.owner()
		n.machineClock.Sleep(5 * time.Second)
		// One request may make the level of the bucket negative.
		if !n.take(owner, 60).Granted {
			t.Error("the first request after the suspension is denied")
		}
		if n.take(owner, 40).Granted {
			t.Error("the units of a second are granted at once after the suspension")
		}
		n.run(2 * time.Second)
		if !n.take(owner, 50).Granted {
			t.Error("nothing is granted two seconds later")
		}
	})
}
