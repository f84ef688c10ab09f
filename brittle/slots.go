package brittle

import (
	"time"

	"github.com/wheatweir/wheatweir/quota"
)

const (
	// slotRecoveryTime is how long it takes until all slots of an instance are granted again that were never returned.
	slotRecoveryTime = 30 * time.Second
	// minSlotsPerSecond is the minimum rate of this recovery: an instance that tolerates no refusals is retried
	// occasionally.
	minSlotsPerSecond = 0.05
)

// SlotLimit returns the slots of an instance as a limit. A request takes one unit and returns it at its end; a refused
// request does not return it. Units that are not returned recover at a rate that causes few refusals. Slots are counted
// in this way only if there are more daemons than slots. Otherwise Admit gives each daemon slots of its own, without
// requests to other daemons.
func (t *Tracker) SlotLimit(name string, slots, daemons int) (limit quota.Limit, counted bool) {
	svc := t.services[name]
	if svc == nil || slots <= 0 || daemons <= slots {
		return quota.Limit{}, false
	}
	perSecond := min(float64(slots)/slotRecoveryTime.Seconds(), maxRefusalShare*svc.refusals/refusalWindow.Seconds())
	return quota.Limit{PerSecond: max(perSecond, minSlotsPerSecond), Burst: float64(slots - 1), Slots: true}, true
}
