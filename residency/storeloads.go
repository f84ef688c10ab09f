package residency

import (
	"slices"
	"time"
)

// storeLoad is one load that counts against the rate limit of the weight store. The limit applies
// to the start of loads at the instances. A load therefore counts as long as it may still start,
// and for one window after the latest time at which it can have started.
type storeLoad struct {
	// instance, model and expected identify the order. An instance accepts at most one order for
	// each expected sequence number, so a resend does not start a second load.
	instance, model string
	expected        uint64
	// answerPending is set while no answer was received. The load may start at any time.
	answerPending bool
	// latestStart is the latest time at which the load can start or have started. A refused order
	// counts from when it was sent, because the limit applies to orders as well.
	latestStart time.Time
}

func (l *storeLoad) matches(order *Order) bool {
	return l.instance == order.Instance && l.model == order.Model && l.expected == order.Expected &&
		order.Load && order.Adapter == ""
}

func (l *storeLoad) counts(now time.Time, window time.Duration) bool {
	return l.answerPending || now.Sub(l.latestStart) <= window
}

// storeLoadBudget tracks the loads that count against the rate limit of the weight store.
type storeLoadBudget struct{ loads []storeLoad }

// find returns the latest load that the order stands for, or nil.
func (l *storeLoadBudget) find(order *Order) *storeLoad {
	for i := len(l.loads) - 1; i >= 0; i-- {
		if l.loads[i].matches(order) {
			return &l.loads[i]
		}
	}
	return nil
}

// sending records that an order is being sent, for the first time or again.
func (l *storeLoadBudget) sending(now time.Time, order *Order) {
	if order.FromStore {
		l.loads = append(l.loads, storeLoad{instance: order.Instance, model: order.Model, expected: order.Expected, answerPending: true, latestStart: now})
	} else if load := l.find(order); load != nil {
		load.answerPending = true
	}
}

// recordAnswer records the outcome of an order. An order without an answer may be executed as late
// as lateness after now.
func (l *storeLoadBudget) recordAnswer(now time.Time, order *Order, answer Answer, lateness time.Duration) {
	load := l.find(order)
	if load == nil {
		return
	}
	load.answerPending = false
	switch answer {
	case AnswerAccepted:
		load.latestStart = now
	case AnswerDone:
		load.boundStart(now)
	case AnswerUnknown:
		load.latestStart = now.Add(lateness)
	case AnswerBusy, AnswerRejected, AnswerFenced, AnswerNotSent:
		// This attempt starts no load, but an earlier copy without an answer may still do so.
	}
}

// boundStart records that the load does not start after now.
func (l *storeLoad) boundStart(now time.Time) {
	if l.latestStart.After(now) {
		l.latestStart = now
	}
}

// recordSequence records how many orders an instance has accepted. Loads that expected a lower
// number have started or never will.
func (l *storeLoadBudget) recordSequence(now time.Time, instance string, sequence uint64) {
	for i := range l.loads {
		if load := &l.loads[i]; load.instance == instance && load.expected < sequence {
			load.boundStart(now)
		}
	}
}

// expired reports whether an order can no longer start a load, although no answer confirmed that. A
// resend would have to be counted as a new load.
func (l *storeLoadBudget) expired(now time.Time, order *Order) bool {
	load := l.find(order)
	return load == nil || !load.answerPending && !load.latestStart.After(now)
}

// remaining returns how many loads from the weight store may start now.
func (l *storeLoadBudget) remaining(now time.Time, perSecond float64, window time.Duration) int {
	l.loads = slices.DeleteFunc(l.loads, func(load storeLoad) bool { return !load.counts(now, window) })
	return int(perSecond*window.Seconds()) - len(l.loads)
}

// AssumeStoreRateUsed assumes that another daemon has used up the rate limit of the weight store until now.
// Counting only the loads that the previous lease holder reported is not enough: the loads of the
// first seconds after a takeover would be missing from the count later.
func (t *Tracker) AssumeStoreRateUsed(now time.Time, perSecond float64) {
	for range int(perSecond * t.settings.Window.Seconds()) {
		t.loads.loads = append(t.loads.loads, storeLoad{latestStart: now})
	}
}
