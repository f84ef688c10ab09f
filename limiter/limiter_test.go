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

// network joins limiters by their names, which are their addresses as well.
type network struct {
	limiters map[string]*Limiter
	mutex    sync.Mutex
	// lost are the daemons that hear nothing.
	lost map[string]bool
	// machine is the clock of all daemons.
	machine *clock.Fake
}

const messageTime = time.Millisecond

func newNetwork(daemons int, limit tenant.Limit) *network {
	n := &network{limiters: map[string]*Limiter{}, lost: map[string]bool{}, machine: clock.NewFake()}
	table := tenant.NewTable([]tenant.Tenant{{Name: "acme", Limit: limit}})
	var members []member.Member
	for i := range daemons {
		members = append(members, member.Member{Name: fmt.Sprint("d", i)})
	}
	for _, known := range members {
		self := known.Name
		n.limiters[self] = New(Ports{
			Self:     self,
			Now:      n.machine.Now,
			Address:  func(name string) (string, bool) { return name, n.limiters[name] != nil },
			Send:     func(address string, message *Message) { n.send(self, address, message) },
			Subjects: func() Subjects { return table },
			Log:      func(string, ...any) {},
		})
	}
	for _, l := range n.limiters {
		l.SetFleet(n.machine.Now(), quota.NewFleet(l.ports.Self, members, 1, time.Minute))
	}
	return n
}

func (n *network) send(from, to string, message *Message) {
	time.AfterFunc(messageTime, func() {
		if !n.isLost(to) {
			n.limiters[to].Receive(from, message)
		}
	})
}

// run lets time pass, in which all daemons do what is due.
func (n *network) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, l := range n.limiters {
			l.Tick(n.machine.Now())
		}
	}
}

func (n *network) isLost(name string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lost[name]
}

func (n *network) lose(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lost[name] = true
}

func (n *network) take(at string, cost float64) Outcome {
	return n.limiters[at].Take(context.Background(), n.request(cost))
}

// request is a request that uses a part of the limit.
func (n *network) request(cost float64) Request {
	limit, _ := n.limiters["d0"].ports.Subjects().Rate("acme")
	return Request{Subject: "acme", Limit: limit, Cost: cost}
}

// owner is the daemon that keeps the limit, and the last one that would.
func (n *network) owner() (owner, other string) {
	owners := n.limiters["d0"].fleet.Load().Owners("acme")
	for name := range n.limiters {
		if !slices.Contains(owners, name) {
			return owners[0], name
		}
	}
	return owners[0], owners[len(owners)-1]
}

// TestAllDaemonsTakeFromOneLimit has every daemon of a fleet ask: together they get what one bucket
// gives out.
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
					t.Fatalf("%s gets %+v", name, outcome)
				}
			}
		}
		if granted < 5 || granted > 7 {
			t.Errorf("%d granted of a burst of four", granted)
		}
	})
}

// TestStandInAnswersForALostOwner loses the owner: the next daemon gives out a part, and the owner
// is not asked again for a while.
func TestStandInAnswersForALostOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, tenant.Limit{PerSecond: 10, Burst: 4})
		n.run(time.Second)
		owner, other := n.owner()
		n.lose(owner)
		began := time.Now()
		if outcome := n.take(other, 1); !outcome.Granted || time.Since(began) < answerTimeout {
			t.Fatalf("%+v after %v", outcome, time.Since(began))
		}
		began = time.Now()
		n.take(other, 1)
		if took := time.Since(began); took >= answerTimeout {
			t.Errorf("the lost owner is asked again: %v", took)
		}
	})
}

// TestAloneOnlyAPartIsGranted has a daemon that nobody answers: it grants less than its even share,
// and says that it cannot tell.
func TestAloneOnlyAPartIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, tenant.Limit{PerSecond: 10, Burst: 10})
		_, other := n.owner()
		for name := range n.limiters {
			if name != other {
				n.lose(name)
			}
		}
		granted := 0
		for began := time.Now(); time.Since(began) < 10*time.Second; n.run(100 * time.Millisecond) {
			switch outcome := n.take(other, 1); {
			case outcome.Granted:
				granted++
			case !outcome.Unsure:
				t.Fatalf("%+v", outcome)
			}
		}
		if share := 10.0 * 10 / 5; granted == 0 || float64(granted) > share {
			t.Errorf("%d granted, an even share is %.0f", granted, share)
		}
	})
}

// TestUnusedIsGivenBack takes all there is and gives it back.
func TestUnusedIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, tenant.Limit{PerSecond: 1, Burst: 4})
		n.run(5 * time.Second)
		_, other := n.owner()
		if !n.take(other, 5).Granted || n.take(other, 1).Granted {
			t.Fatal("a bucket in debt grants more")
		}
		n.limiters[other].Return(n.request(5))
		n.run(2 * deniedSpan)
		if !n.take(other, 1).Granted {
			t.Error("what was given back is not there")
		}
	})
}

// TestSuspendedOwnerGivesOutNothingAtOnce covers a machine that was suspended: what its limits would have saved
// up meanwhile may have been given out by others. The first thing that it does after waking is to
// answer a request, before any tick.
func TestSuspendedOwnerGivesOutNothingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, tenant.Limit{PerSecond: 100, Burst: 100})
		n.run(5 * time.Second)
		owner, _ := n.owner()
		n.machine.Sleep(5 * time.Second)
		// One request may put the limit into debt.
		if !n.take(owner, 60).Granted {
			t.Error("the limit is in debt")
		}
		if n.take(owner, 40).Granted {
			t.Error("a second's worth is given out at the moment of waking")
		}
		n.run(2 * time.Second)
		if !n.take(owner, 50).Granted {
			t.Error("nothing is given out two seconds later")
		}
	})
}
