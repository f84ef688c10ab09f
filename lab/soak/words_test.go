package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// lateAtLeaving has a request reach a server long after the store took that it leaves.
func (s *scene) lateAtLeaving(t *testing.T) {
	s.calm(t)
	s.leaving["s-1-1"] = time.Now().Add(-drainTime - 2*lateness)
	s.request("a", fleet.KindSafe, 0, 0)
	s.run("a", "s-1-1")
}

// leavingWord has a server tell its daemon that it leaves, and get a request that is sent some time later.
func (s *scene) leavingWord(t *testing.T, later time.Duration) {
	s.calm(t)
	s.request("a", fleet.KindSafe, 0, later+time.Second)
	s.Answered(standin.Answered{ID: "a", Server: "s1", At: time.Now().Add(-later), Words: standin.Words{Leaving: true}})
	s.request("b", fleet.KindSafe, 0, 0)
	s.Arrived(standin.Arrival{ID: "b", Server: "s1", At: time.Now()})
}

// duringRest has a server ask its daemon for rest, and get so many requests during it.
func (s *scene) duringRest(t *testing.T, count int) {
	s.calm(t)
	s.request("a", fleet.KindSafe, 0, 4*time.Second)
	s.Answered(standin.Answered{ID: "a", Server: "s1", At: time.Now().Add(-3 * time.Second), Words: standin.Words{Rest: 2 * time.Second}})
	s.arrive("r", count, 2*time.Second)
	// After the rest.
	s.arrive("later", 5, 0)
	s.checkAtEnd()
}

// underLimit has a server name a limit of two a second, and get so many requests within a window.
func (s *scene) underLimit(t *testing.T, count int) {
	s.calm(t)
	s.request("a", fleet.KindSafe, 0, 10*time.Second)
	s.Answered(standin.Answered{ID: "a", Server: "s1", At: time.Now().Add(-10 * time.Second), Words: standin.Words{Limited: true, PerSecond: 2}})
	// Soon after it was named.
	s.arrive("soon", 30, 9*time.Second)
	s.arrive("under", count, time.Second)
	s.checkAtEnd()
}

// arrive has some requests arrive at a server some time ago.
func (s *scene) arrive(name string, count int, ago time.Duration) {
	for number := range count {
		id := fmt.Sprint(name, number)
		s.request(id, fleet.KindSafe, 0, ago)
		s.Arrived(standin.Arrival{ID: id, Server: "s1", At: time.Now().Add(-ago)})
	}
}

// arriveAgain has a request arrive at the engines, and so many times again.
func (s *scene) arriveAgain(id string, repeats int) {
	for range repeats + 1 {
		s.Arrived(standin.Arrival{ID: id, Server: "s1", Service: engineService, At: time.Now()})
	}
}
