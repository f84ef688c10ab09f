package entry

import (
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// coldInstance is an instance that bears only so many requests a second until a moment.
type coldInstance struct {
	until     time.Time
	perSecond float64
}

// setCold holds all daemons together to what a cold instance bears.
func (n *notices) setCold(learned coordination.InstanceCold) {
	now := n.daemon.clock.Now()
	until := now.Add(learned.Remaining)
	n.mutex.Lock()
	known, cold := n.cold[learned.Instance]
	if !cold || until.After(known.until) {
		n.cold[learned.Instance] = coldInstance{until: until, perSecond: learned.PerSecond}
	}
	n.noteAny()
	n.applyLimit(learned.Instance)
	n.mutex.Unlock()
	if !cold {
		n.log("Cold.", "instance", learned.Instance, "left_ms", learned.Remaining.Milliseconds(), "limit_per_s", learned.PerSecond)
		n.limits.SubjectsChanged(now)
	}
}

// forgetCold forgets the instances that are warm by now.
func (n *notices) forgetCold(now time.Time) {
	for instance, known := range n.cold {
		if !now.Before(known.until) {
			delete(n.cold, instance)
		}
	}
}

// limitOf returns how many requests a second an instance takes from all daemons together: what it names itself, or
// what it bears while it is cold if that is less.
func (n *notices) limitOf(instance string) (perSecond float64, limited bool) {
	perSecond, limited = n.book.Limit(instance)
	if known, cold := n.cold[instance]; cold && (!limited || known.perSecond < perSecond) {
		return known.perSecond, true
	}
	return perSecond, limited
}

// applyLimit puts the present limit of an instance in force.
func (n *notices) applyLimit(instance string) {
	perSecond, limited := n.limitOf(instance)
	n.limited.Store(n.limited.Load().with(instance, perSecond, limited))
	delete(n.spent, instance)
}

// noteAny notes whether anything is known of some instance that requests have to heed.
func (n *notices) noteAny() { n.any.Store(!n.book.Empty() || len(n.cold) > 0) }
