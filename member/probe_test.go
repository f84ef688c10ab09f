package member_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// TestLossIsNoticedSoon has one daemon go off, in fleets that started a moment ago, and looks when the first of
// the others suspects it. All others probe one member in an interval; drawn by chance, those leave out one in e
// in each interval, and one that came up since their rounds began for as long as a round takes: of 100 fleets
// of 60 daemons the slowest took 7.5 s, of 12 fleets of 295 the slowest 14.7 s.
func TestLossIsNoticedSoon(t *testing.T) {
	// allowed is two intervals until the member before it in the order of names probes it, and one until
	// the probe counts as unanswered.
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
				t.Errorf("%d daemons, seed %d: noticed after %v, %v allowed", size, seed, took, maxDetection)
			}
		}
	}
}
