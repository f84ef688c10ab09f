package residency

import (
	"math"
	"slices"
	"time"
)

// storeLoads are the times of the loads that count against the weight store's rate.
type storeLoads struct {
	// own were ordered here, presumed by a predecessor.
	own      []time.Time
	presumed []time.Time
}

func (l *storeLoads) add(at time.Time) { l.own = append(l.own, at) }

// left returns how many loads from the weight store may begin now.
func (l *storeLoads) left(now time.Time, perSecond float64, window time.Duration) int {
	old := func(at time.Time) bool { return now.Sub(at) > window }
	l.own, l.presumed = slices.DeleteFunc(l.own, old), slices.DeleteFunc(l.presumed, old)
	return int(perSecond*window.Seconds()) - len(l.own) - len(l.presumed)
}

// LoadCounts tells another planner of the loads from the weight store within the window,
// newest first: the first number counts those of the last LoadStep, and so on.
type LoadCounts []int

// LoadStep is the span of time that one number of LoadCounts stands for.
const LoadStep = 250 * time.Millisecond

// StoreLoads counts the loads from the weight store that were ordered lately, here or by a
// predecessor as far as is known.
func (b *Book) StoreLoads(now time.Time) LoadCounts {
	var counts LoadCounts
	for _, at := range slices.Concat(b.loads.own, b.loads.presumed) {
		if now.Sub(at) > b.settings.Window {
			continue
		}
		step := int(now.Sub(at) / LoadStep)
		for len(counts) <= step {
			counts = append(counts, 0)
		}
		counts[step]++
	}
	return counts
}

// presumedLead is added to the time in which a predecessor was not heard: what it ordered
// just before that may not have been told.
const presumedLead = time.Second

// Inherit takes in what the predecessor has ordered from the weight store, as it told at
// the given moment. Since then it is presumed to have gone on at the full rate, unless it
// has stopped there. With a zero moment nothing is known of it, and it is presumed to have
// used up the rate until now. What was ordered here still counts.
func (b *Book) Inherit(now, toldAt time.Time, told LoadCounts, stopped bool, perSecond float64) {
	b.loads.presumed = b.loads.presumed[:0]
	if toldAt.IsZero() {
		b.loads.presume(now, int(perSecond*b.settings.Window.Seconds()))
		return
	}
	for step, count := range told {
		b.loads.presume(toldAt.Add(-time.Duration(step)*LoadStep), count)
	}
	if !stopped {
		b.loads.presume(now, int(math.Ceil(perSecond*(now.Sub(toldAt)+presumedLead).Seconds())))
	}
}

// presume counts loads at a moment.
func (l *storeLoads) presume(at time.Time, count int) {
	for range count {
		l.presumed = append(l.presumed, at)
	}
}
