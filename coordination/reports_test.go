package coordination_test

import (
	"testing"
	"time"
)

// TestHolderAsksABoundedNumberOfServersASecond guards against a holder that asks each of thousands of servers once a
// second.
func TestHolderAsksABoundedNumberOfServersASecond(t *testing.T) {
	const servers, mostPerSecond = 4000, 1200
	w := newWorld(1)
	w.learnServers(servers)
	w.run(6 * time.Second)
	clear(w.reportsAsked)
	const span = 8
	w.run(span * time.Second)
	asked := 0
	for _, count := range w.reportsAsked {
		asked += count
	}
	if len(w.reportsAsked) < servers {
		t.Errorf("%d of %d servers were asked", len(w.reportsAsked), servers)
	}
	if asked > span*mostPerSecond {
		t.Errorf("%d questions in %d s", asked, span)
	}
}
