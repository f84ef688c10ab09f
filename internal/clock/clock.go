// Package clock tells the time that a daemon has to go by towards others. Go's steady clock stands still
// while a machine is suspended, but leases, limits and what was heard of others grow old meanwhile.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// leastSleep is the least difference between the two clocks of the kernel that is taken for a sleep.
// They are read one after the other, which takes some 0.2 µs, or longer if the process loses its
// processor in between.
const leastSleep = time.Millisecond

// baseReads is how often the clocks are read at the start, to find out how long the machine had slept
// before.
const baseReads = 8

// Clock is a steady clock that also runs while the machine is suspended. It is safe for concurrent use.
// A nil Clock is the steady clock of the machine.
type Clock struct {
	// ahead returns how far the kernel's clock that counts sleep is ahead of the one that does not; it may be
	// too little, by the time between the two readings, but never too much.
	ahead func() time.Duration
	base  time.Duration
	// slept is how long the machine has slept since the start, in nanoseconds.
	slept atomic.Int64
}

// New returns the clock of this machine.
func New() *Clock { return newClock(kernelAhead) }

func newClock(ahead func() time.Duration) *Clock {
	c := &Clock{ahead: ahead, base: ahead()}
	for range baseReads {
		c.base = max(c.base, ahead())
	}
	return c
}

// kernelAhead reads the clock that counts sleep first, so that a pause between the readings does not
// look like a sleep.
func kernelAhead() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Now returns the time. Times of a Clock must be compared with others of it only.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if c == nil {
		return now
	}
	return now.Add(c.sleptSoFar())
}

// Since returns the time that has passed since a moment.
func (c *Clock) Since(moment time.Time) time.Duration { return c.Now().Sub(moment) }

// Until returns the time that is left until a moment.
func (c *Clock) Until(moment time.Time) time.Duration { return moment.Sub(c.Now()) }

func (c *Clock) sleptSoFar() time.Duration {
	for {
		known := c.slept.Load()
		grown := c.ahead() - c.base
		if grown < time.Duration(known)+leastSleep || c.slept.CompareAndSwap(known, int64(grown)) {
			return time.Duration(max(known, c.slept.Load()))
		}
	}
}
