package gateway_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// TestRestTimeEndsBeforeTheInstanceCloses covers limits that an instance told, and
// one that told none.
func TestRestTimeEndsBeforeTheInstanceCloses(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Second, time.Minute} {
		if rest := gateway.RestTime(limit, true); rest > limit*3/4 {
			t.Errorf("limit %v, rest %v", limit, rest)
		}
	}
	if rest := gateway.RestTime(0, false); rest <= 0 || rest > 10*time.Second {
		t.Errorf("rest %v", rest)
	}
}
