package residency

import (
	"math"
	"testing"
)

// TestRefusedRequestsCountAsDemand guards against busy models that look idle because their requests
// are refused at once, and against invalid numbers from a daemon.
func TestRefusedRequestsCountAsDemand(t *testing.T) {
	const meanSeconds = 2
	cases := []struct {
		name                           string
		concurrent, perSecond, refused float64
		want                           float64
	}{
		{"none refused", 10, 5, 0, 10},
		{"half refused", 10, 20, 10, 10 * 4 / 3.0},
		{"all refused, others still in progress", 10, 20, 20, 20},
		{"nothing in progress", 0, 20, 20, 40},
		{"almost nothing in progress", 0.01, 20, 20, 40},
		{"negative", 10, 20, -5, 10},
		{"not a number", 10, 20, math.NaN(), 10},
		{"infinite", 10, 20, math.Inf(1), 10},
		{"more than all requests", 10, 20, 20.5, 10},
		{"not a number of all requests", 10, math.NaN(), 5, 10},
		{"of an infinite number of requests", 10, math.Inf(1), 5, 10},
		{"infinite, of an infinite number of requests", 10, math.Inf(1), math.Inf(1), 10},
		{"of a negative number of requests", 10, -3, -2, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			demand := Demand{Concurrent: c.concurrent, PerSecond: c.perSecond, RefusedPerSecond: c.refused}
			if got := demand.concurrentWithRefused(meanSeconds); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("demand of %v requests, want %v", got, c.want)
			}
		})
	}
}
