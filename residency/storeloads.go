package residency

import (
	"slices"
	"time"
)

// storeLoads are the times of the loads that count against the weight store's rate.
type storeLoads struct{ at []time.Time }

func (l *storeLoads) add(at time.Time) { l.at = append(l.at, at) }

// left returns how many loads from the weight store may begin now.
func (l *storeLoads) left(now time.Time, perSecond float64, window time.Duration) int {
	l.at = slices.DeleteFunc(l.at, func(at time.Time) bool { return now.Sub(at) > window })
	return int(perSecond*window.Seconds()) - len(l.at)
}

// Inherit makes the book assume that the weight store's rate was used up until now by
// another sender of orders. To count only what the predecessor told of its loads was tried
// and left: the loads of the first seconds after a takeover were then missing later.
func (b *Book) Inherit(now time.Time, perSecond float64) {
	b.loads.at = b.loads.at[:0]
	for range int(perSecond * b.settings.Window.Seconds()) {
		b.loads.add(now)
	}
}
