package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// restart replaces a daemon by a new process whose time of day is off by clockOffset.
func (g *group) restart(index int, clockOffset time.Duration, self func(*member.Member)) {
	next := member.Member{
		Name: fmt.Sprintf("d%d", index), PeerAddress: address(index), Incarnation: uint64(g.now.Add(clockOffset).UnixMilli()),
	}
	if self != nil {
		self(&next)
	}
	g.detectors[index] = member.NewDetector(next, member.DefaultSettings(), g.random)
	g.detectors[index].SetSeeds([]string{address(0), address(1)})
	g.stopped[index] = false
}

// TestRestartWithAClockThatWentBack covers a daemon whose clock was set back before a restart, so
// that its new incarnation is lower than its last one. It restarts after a planned stop, a kill or
// a death that the others have detected, and at another address. Within five seconds the others
// must have the new process's own entry.
func TestRestartWithAClockThatWentBack(t *testing.T) {
	const clockOffset = -100 * time.Second
	cases := []struct {
		name string
		end  func(g *group)
		self func(*member.Member)
	}{
		{"after a kill", func(*group) {}, nil},
		{"after a planned stop", func(g *group) {
			g.detectors[3].Leave()
			g.run(time.Second)
		}, nil},
		{"after its death is detected", func(g *group) {
			g.stopped[3] = true
			g.run(30 * time.Second)
		}, nil},
		{"reachable for callers elsewhere", func(*group) {}, func(self *member.Member) { self.CallerAddress = "elsewhere" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(9, 1)
			g.run(20 * time.Second)
			c.end(g)
			g.stopped[3] = true
			g.run(step)
			g.restart(3, clockOffset, c.self)
			g.run(5 * time.Second)
			for index, detector := range g.detectors {
				known, found := detector.Lookup("d3")
				want := g.detectors[3].Self()
				if !found || known.State != member.Alive || known.Leaving || known.CallerAddress != want.CallerAddress {
					t.Errorf("d%d has the entry %+v", index, known)
				}
			}
		})
	}
}

// TestLeavingDaemonStaysLeaving guards against a leaving daemon that refutes its own Leaving when
// it receives an update about itself.
func TestLeavingDaemonStaysLeaving(t *testing.T) {
	g := newGroup(5, 1)
	g.run(10 * time.Second)
	g.detectors[2].Leave()
	g.run(10 * time.Second)
	for index, detector := range g.detectors {
		if known, _ := detector.Lookup("d2"); !known.Leaving {
			t.Errorf("d%d has the entry %+v", index, known)
		}
	}
}
