package clock

import (
	"sync/atomic"
	"time"
)

// Fake is a Clock of a machine that a test suspends. Its steady clock is that of the process, also in
// virtual time.
type Fake struct {
	*Clock
	asleep atomic.Int64
}

// NewFake returns a fake that has not slept.
func NewFake() *Fake {
	f := &Fake{}
	f.Clock = newClock(func() time.Duration { return time.Duration(f.asleep.Load()) })
	return f
}

// Sleep makes the machine look as if it had been suspended for a span until now.
func (f *Fake) Sleep(span time.Duration) { f.asleep.Add(int64(span)) }
