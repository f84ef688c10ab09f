package residency_test

import (
	"testing"
	"time"
)

// BenchmarkPlan plans for a large fleet in the middle of a shift of the demand.
func BenchmarkPlan(b *testing.B) {
	f := newShiftedFleet(1, 112, 155, 22, 12, 16, 330, 2, 8600*time.Millisecond, []float64{1, 14, 24})
	for f.now.Before(f.start.Add(6 * time.Second)) {
		f.step()
	}
	demand := f.demand()
	b.ReportAllocs()
	for b.Loop() {
		f.book.Plan(f.now, service, f.engine, demand)
	}
}
