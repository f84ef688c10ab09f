package gateway

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// TestUsualAnswerTimes guards against an estimate that a single answer sets, that does not follow a route whose answers take longer, and
// that is kept for routes which are gone.
func TestUsualAnswerTimes(t *testing.T) {
	times := newAnswerTimes()
	if usual := times.usual("r"); usual != 0 {
		t.Errorf("%v for a route without an answer", usual)
	}
	for range 100 {
		times.record("r", time.Second)
	}
	if usual := times.usual("r"); usual < time.Second || usual > 1300*time.Millisecond {
		t.Errorf("%v for answers of 1 s", usual)
	}
	times.record("r", 5*time.Second)
	if usual := times.usual("r"); usual < 2*time.Second || usual > 6*time.Second {
		t.Errorf("%v after one answer of 5 s", usual)
	}
	for range 100 {
		times.record("r", 4*time.Second)
	}
	if usual := times.usual("r"); usual < 4*time.Second || usual > 5200*time.Millisecond {
		t.Errorf("%v after answers of 4 s", usual)
	}
	times.prune(nil)
	if times.usual("r") == 0 {
		t.Error("forgotten without a configuration")
	}
	times.prune(&fleet.Configuration{Routes: []fleet.Route{{Name: "other"}}})
	if usual := times.usual("r"); usual != 0 {
		t.Errorf("%v is kept for a route that is gone", usual)
	}
}
