package gateway_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// TestRestTimeEndsBeforeTheInstanceCloses guards against requests on connections that the instance is about to close.
// It covers announced idle timeouts and the default.
func TestRestTimeEndsBeforeTheInstanceCloses(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Second, time.Minute} {
		if rest := gateway.MaxIdleTime(limit, true); rest > limit*3/4 {
			t.Errorf("instance timeout %v, idle time %v", limit, rest)
		}
	}
	if rest := gateway.MaxIdleTime(0, false); rest <= 0 || rest > 10*time.Second {
		t.Errorf("default idle time %v", rest)
	}
}
