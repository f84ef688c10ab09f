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
		w := newWants()
		for range 40 {
			w.Enter("llm", "m")()
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

// TestRefusedRequestsCountAsDemand refuses twenty requests a second: they count as about as
// many as would be in progress had they been served, and no longer once they end.
func TestRefusedRequestsCountAsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWants()
		for range 200 {
			leave := w.Enter("llm", "m")
			w.Missed("llm", "m")
			leave()
			time.Sleep(50 * time.Millisecond)
		}
		want := 20 * missedSpan.Seconds()
		loads := w.all()
		if len(loads) != 1 || math.Abs(float64(loads[0].Requests)-want) > 3 {
			t.Fatalf("loads %+v, want about %v requests", loads, want)
		}
		w.Missed("svc", "")
		time.Sleep(15 * time.Second)
		if loads := w.all(); len(loads) != 0 {
			t.Fatalf("loads %+v after a long rest", loads)
		}
	})
}
