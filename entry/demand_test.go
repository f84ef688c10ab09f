package entry

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// TestWantsTellTheRateOfRequests lets four requests a second begin for a while: the rate
// that is told comes near that, also when all have ended, and then fades away.
func TestWantsTellTheRateOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDemandCounter()
		for range 40 {
			w.RequestStarted("llm", "m")()
			time.Sleep(250 * time.Millisecond)
		}
		loads := w.all()
		if len(loads) != 1 || loads[0].Requests != 0 || math.Abs(float64(loads[0].PerSecond)-4) > 0.5 {
			t.Fatalf("loads %+v", loads)
		}
		time.Sleep(15 * time.Second)
		if loads := w.all(); len(loads) != 0 {
			t.Fatalf("loads %+v after a long rest", loads)
		}
	})
}
