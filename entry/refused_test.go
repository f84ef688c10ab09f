package entry

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// TestRefusedRequestsAreTold guards against refusals that placement does not hear of, and against a rate of refusals that
// is larger than that of the requests once no further ones begin: others would drop it.
func TestRefusedRequestsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDemandCounter()
		for number := range 80 {
			leave := w.RequestStarted("llm", "m")
			time.Sleep(250 * time.Millisecond)
			if number%2 == 0 {
				w.Refused("llm", "m")
			}
			leave()
		}
		loads := w.all()
		if len(loads) != 1 || math.Abs(float64(loads[0].PerSecond)-4) > 0.5 || math.Abs(float64(loads[0].Refused)-2) > 0.5 {
			t.Fatalf("loads %+v", loads)
		}
		for range 20 {
			w.Refused("llm", "m")
		}
		for range 20 {
			for _, load := range w.all() {
				if load.Refused > load.PerSecond {
					t.Fatalf("loads %+v", loads)
				}
			}
			time.Sleep(time.Second)
		}
		if loads := w.all(); len(loads) != 0 {
			t.Fatalf("loads %+v after a long rest", loads)
		}
	})
}
