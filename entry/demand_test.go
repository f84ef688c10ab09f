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

// TestDemandNamesWhatStreamsNeed guards against demand for a version's adapter that stays after its streams have ended, or that
// changes in a report which was taken before.
func TestDemandNamesWhatStreamsNeed(t *testing.T) {
	w := newDemandCounter()
	defer w.RequestStarted("llm", "m")()
	first := w.SoftwareNeeded("llm", "m", "a1", "v1")
	second := w.SoftwareNeeded("llm", "m", "", "v1")
	loads := w.all()
	first()
	if len(loads) != 1 || loads[0].Software["v1"] != 2 || len(loads[0].SoftwareAdapters) != 1 || loads[0].SoftwareAdapters["v1"]["a1"] != 1 {
		t.Fatalf("loads %+v", loads)
	}
	if loads := w.all(); loads[0].Software["v1"] != 1 || len(loads[0].SoftwareAdapters) != 0 {
		t.Errorf("loads %+v after the stream with an adapter ended", loads)
	}
	second()
	if loads := w.all(); len(loads[0].Software) != 0 {
		t.Errorf("loads %+v after both ended", loads)
	}
}
