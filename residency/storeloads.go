package residency

import (
	"slices"
	"time"
)

// storeLoad is one load that counts against the weight store's rate. The rate is kept where
// loads begin, at the servers, so a load counts as long as it may still begin, and for one
// window after the last moment at which it can have begun.
type storeLoad struct {
	// instance, model and expected name the order. As a server takes one order at most for
	// each expected sequence, sending it again makes no second load.
	instance, model string
	expected        uint64
	// awaited says that an answer is outstanding: the load may begin at any time.
	awaited bool
	// until is the last moment at which the load can begin or have begun. An order that was
	// turned away counts from when it was sent: orders, too, keep the rate.
	until time.Time
}

func (l *storeLoad) is(order *Order) bool {
	return l.instance == order.Instance && l.model == order.Model && l.expected == order.Expected &&
		order.Load && order.Adapter == ""
}

func (l *storeLoad) counts(now time.Time, window time.Duration) bool {
	return l.awaited || now.Sub(l.until) <= window
}

// storeLoads are the loads that count against the weight store's rate.
type storeLoads struct{ loads []storeLoad }

// find returns the newest load that the order stands for, or nil.
func (l *storeLoads) find(order *Order) *storeLoad {
	for i := len(l.loads) - 1; i >= 0; i-- {
		if l.loads[i].is(order) {
			return &l.loads[i]
		}
	}
	return nil
}

// sending notes that an order is on its way now, for the first time or again.
func (l *storeLoads) sending(now time.Time, order *Order) {
	if order.FromStore {
		l.loads = append(l.loads, storeLoad{instance: order.Instance, model: order.Model, expected: order.Expected, awaited: true, until: now})
	} else if load := l.find(order); load != nil {
		load.awaited = true
	}
}

// answered takes in the end of an order. Without an answer it may be carried out as late as
// given.
func (l *storeLoads) answered(now time.Time, order *Order, answer Answer, lateness time.Duration) {
	load := l.find(order)
	if load == nil {
		return
	}
	load.awaited = false
	switch answer {
	case AnswerTaken:
		load.until = now
	case AnswerDone:
		load.settle(now)
	case AnswerUnknown:
		load.until = now.Add(lateness)
	case AnswerBusy, AnswerRejected, AnswerFenced, AnswerNotSent:
		// This time no load begins, but an earlier copy without an answer may still come.
	}
}

// settle notes that the load does not begin after now.
func (l *storeLoad) settle(now time.Time) {
	if l.until.After(now) {
		l.until = now
	}
}

// reported takes in how many orders a server has taken: those that expected fewer have
// begun or never will.
func (l *storeLoads) reported(now time.Time, instance string, sequence uint64) {
	for i := range l.loads {
		if load := &l.loads[i]; load.instance == instance && load.expected < sequence {
			load.settle(now)
		}
	}
}

// spent reports whether an order can make no load begin any more although it never had an
// answer that says so: it would have to be counted anew to be sent again.
func (l *storeLoads) spent(now time.Time, order *Order) bool {
	load := l.find(order)
	return load == nil || !load.awaited && !load.until.After(now)
}

// left returns how many loads from the weight store may begin now.
func (l *storeLoads) left(now time.Time, perSecond float64, window time.Duration) int {
	l.loads = slices.DeleteFunc(l.loads, func(load storeLoad) bool { return !load.counts(now, window) })
	return int(perSecond*window.Seconds()) - len(l.loads)
}

// Inherit makes the book assume that the weight store's rate was used up until now by
// another sender of orders. To count only what the predecessor told of its loads was tried
// and left: the loads of the first seconds after a takeover were then missing later.
func (b *Book) Inherit(now time.Time, perSecond float64) {
	for range int(perSecond * b.settings.Window.Seconds()) {
		b.loads.loads = append(b.loads.loads, storeLoad{until: now})
	}
}
