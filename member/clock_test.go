package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

// restart replaces a daemon by a new process of it whose time of day is wrong by a span.
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

// TestRestartWithAClockThatWentBack covers a daemon whose time of day jumped back before it was
// started again, so that its new incarnation is lower than its last one: after a planned stop, a
// kill or a death that the others have noticed, and at another address. They take the new process
// for what it says of itself within five seconds.
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
		{"after its death is known", func(g *group) {
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
					t.Errorf("d%d knows %+v", index, known)
				}
			}
		})
	}
}

// TestLeavingDaemonStaysLeaving covers the other side: a daemon that is leaving does not take it
// back when it hears of itself.
func TestLeavingDaemonStaysLeaving(t *testing.T) {
	g := newGroup(5, 1)
	g.run(10 * time.Second)
	g.detectors[2].Leave()
	g.run(10 * time.Second)
	for index, detector := range g.detectors {
		if known, _ := detector.Lookup("d2"); !known.Leaving {
			t.Errorf("d%d knows %+v", index, known)
		}
	}
}
