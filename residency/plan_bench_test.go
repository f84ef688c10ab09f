package residency_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan makes one plan for instances under load.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ instances, models int }{{112, 155}, {980, 336}, {3920, 336}} {
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.instances, size.models), func(b *testing.B) {
			f := newShiftSimulation(1, size.instances, size.models, 22, 12, 16, 330, 2, 8600*time.Millisecond, []float64{1, 14, 24})
			for f.now.Before(f.start.Add(time.Second)) {
				f.step()
			}
			demand := f.demand()
			b.ReportAllocs()
			for b.Loop() {
				f.tracker.Plan(f.now, serviceFor(f.engine), demand)
			}
		})
	}
}

// BenchmarkPlanOfAContendedFleet makes one plan while models compete for scarce memory, with and
// without parking.
func BenchmarkPlanOfAContendedFleet(b *testing.B) {
	for _, clientTimeout := range []time.Duration{0, parkClientTimeout} {
		b.Run(fmt.Sprint("patience=", clientTimeout), func(b *testing.B) {
			f := contendedSimulation()
			f.service.ClientTimeout = clientTimeout
			f.requestContended()
			f.run(6*time.Second, nil)
			b.ReportAllocs()
			for b.Loop() {
				f.tracker.Plan(f.now, f.service, f.demand)
			}
		})
	}
}
