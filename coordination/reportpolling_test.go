package coordination_test

import (
	"testing"
	"time"
)

// TestHolderAsksABoundedNumberOfServersASecond guards against a holder that polls each of thousands of
// servers once a second.
func TestHolderAsksABoundedNumberOfServersASecond(t *testing.T) {
	const servers, maxPollsPerSecond = 4000, 1200
	w := newWorld(1)
	w.listInstances(servers)
	w.run(6 * time.Second)
	clear(w.reportRequests)
	const seconds = 8
	w.run(seconds * time.Second)
	polls := 0
	for _, count := range w.reportRequests {
		polls += count
	}
	if len(w.reportRequests) < servers {
		t.Errorf("%d of %d servers were polled", len(w.reportRequests), servers)
	}
	if polls > seconds*maxPollsPerSecond {
		t.Errorf("%d polls in %d s", polls, seconds)
	}
}
