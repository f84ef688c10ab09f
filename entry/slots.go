package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/quota"
)

// slots counts the requests of all daemons at instances that fall over if they turn requests away, where there are more
// daemons than slots: one daemon, the owner, gives out the slots of each instance. Where none answers, brittle.Tracker
// decides from what is known here.
type slots struct {
	*limiter.Limiter

	mutex sync.Mutex
	// askAt is when this daemon asks again for a slot of instances that had none.
	askAt map[string]time.Time
}

func newSlots(n *notices) *slots {
	ports := n.daemon.limiterPorts("slots", func(message *limiter.Message) coordination.Message {
		return coordination.Message{InstanceSlot: message}
	})
	ports.Subjects = func() limiter.Subjects { return slotSubjects{n} }
	ports.Strict, ports.InitialLevel = true, n.freeSlots
	return &slots{Limiter: limiter.New(ports), askAt: map[string]time.Time{}}
}

// mayAsk reports whether this daemon may ask for a slot of an instance.
func (s *slots) mayAsk(now time.Time, instance string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !now.Before(s.askAt[instance])
}

func (s *slots) askLater(until time.Time, instance string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.askAt[instance] = until
}

// forget drops what is over.
func (s *slots) forget(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for instance, until := range s.askAt {
		if now.After(until) {
			delete(s.askAt, instance)
		}
	}
}

// slotLimit returns the slots of an instance as a limit, and whether the requests of all daemons are counted there.
func (n *notices) slotLimit(instance *fleet.Instance) (limit quota.Limit, counted bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.brittle.SlotLimit(instance.Service, instance.Slots, n.daemon.fleet.limitDivisor())
}

// freeSlots is the level with which this daemon begins to give out the slots of an instance: those that are free as far
// as is known here.
func (n *notices) freeSlots(id string) float64 {
	instance := n.daemon.gateway.View().Instance(id)
	if instance == nil {
		return 0
	}
	return float64(instance.Slots - 1 - n.daemon.tracker.Requests(id))
}

// AcquireSlot implements gateway.Notices.
func (n *notices) AcquireSlot(ctx context.Context, instance *fleet.Instance, requests int) gateway.Slot {
	if !n.anyBrittle.Load() {
		return gateway.SlotTaken
	}
	limit, counted := n.slotLimit(instance)
	if !counted {
		return gateway.SlotTaken
	}
	outcome := n.slots.Take(ctx, limiter.Request{Subject: instance.ID, Limit: limit, Cost: 1})
	switch {
	case outcome.Granted:
		return gateway.SlotTaken
	case outcome.Unsure && n.admits(instance, requests):
		return gateway.SlotUncounted
	}
	n.daemon.metrics.slotsDenied.Inc(1)
	n.slots.askLater(n.askAgainAt(shortestSpent), instance.ID)
	return gateway.SlotDenied
}

// ReleaseSlot implements gateway.Notices. Requests that were sent before their service became brittle count too.
func (n *notices) ReleaseSlot(instance *fleet.Instance) {
	if !n.anyBrittle.Load() {
		return
	}
	if limit, counted := n.slotLimit(instance); counted {
		n.slots.Refund(limiter.Request{Subject: instance.ID, Limit: limit, Cost: 1})
	}
}

// slotSubjects are the instances of brittle services with their slots.
type slotSubjects struct{ notices *notices }

// Rate implements limiter.Subjects.
func (s slotSubjects) Rate(id string) (limit quota.Limit, known bool) {
	instance := s.notices.daemon.gateway.View().Instance(id)
	if instance == nil {
		return quota.Limit{}, false
	}
	return s.notices.slotLimit(instance)
}

// Limited implements limiter.Subjects.
func (s slotSubjects) Limited() []string {
	s.notices.mutex.Lock()
	services := s.notices.brittle.Names()
	s.notices.mutex.Unlock()
	var names []string
	for _, service := range services {
		for _, instance := range s.notices.daemon.gateway.View().Instances(service) {
			if _, counted := s.notices.slotLimit(instance); counted {
				names = append(names, instance.ID)
			}
		}
	}
	return names
}
