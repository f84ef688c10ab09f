package member_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// TestLossIsNoticedSoon stops one daemon of a fleet that started a moment ago, and measures when
// the first of the others suspects it. It guards against purely random probes. In each interval
// those miss one member in e, and they miss a member that came up after their rounds began for as
// long as a round takes. With those, of 100 fleets of 60 daemons the slowest took 7.5 s, and of 12
// fleets of 295 the slowest 14.7 s.
func TestLossIsNoticedSoon(t *testing.T) {
	// maxDetection is two intervals until the predecessor in the order of names probes the daemon,
	// and one until the probe counts as unacknowledged.
	maxDetection := 3 * member.DefaultSettings().ProbeInterval
	for _, size := range []int{9, 60} {
		for seed := range uint64(30) {
			g := newGroup(size, seed)
			g.run(8*time.Second + time.Duration(seed)*70*time.Millisecond)
			lost := int(seed) % size
			g.stopped[lost] = true
			begun := g.now
			for g.unaware(lost) == size-1 && g.now.Sub(begun) <= 2*maxDetection {
				g.run(step)
			}
			if took := g.now.Sub(begun); took > maxDetection+2*step {
				t.Errorf("%d daemons, seed %d: loss detected after %v, want within %v", size, seed, took, maxDetection)
			}
		}
	}
}
