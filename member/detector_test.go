package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/member"
)

// group simulates detectors in steps of 100 ms. Messages arrive in the next step unless the sender
// or receiver is stopped or their link is cut.
type group struct {
	now       time.Time
	detectors []*member.Detector
	stopped   []bool
	cut       map[[2]int]bool
	queue     []member.Packet
	random    *rand.Rand
	loss      float64
	// zones is the number of zones over which new detectors are distributed in turn; zero means
	// one.
	zones int
	// rumors counts the rumors sent, and crossZoneRumors those to another zone.
	rumors, crossZoneRumors int
}

const step = 100 * time.Millisecond

func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index) }

func newGroup(size int, seed uint64) *group {
	g := &group{
		now: time.Unix(1000, 0), stopped: make([]bool, size), cut: map[[2]int]bool{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for index := range size {
		g.detectors = append(g.detectors, g.newDetector(index))
	}
	return g
}

func (g *group) newDetector(index int) *member.Detector {
	self := member.Member{
		Name: fmt.Sprintf("d%d", index), PeerAddress: address(index), Incarnation: uint64(g.now.UnixMilli()), Zone: g.zoneOf(index),
	}
	detector := member.NewDetector(self, member.DefaultSettings(), rand.New(rand.NewPCG(uint64(index), g.random.Uint64())))
	detector.SetSeeds([]string{address(0), address(1)})
	return detector
}

func (g *group) zoneOf(index int) string { return fmt.Sprint("z", index%max(1, g.zones)) }

func (g *group) indexOf(peer string) int {
	for index := range g.detectors {
		if address(index) == peer {
			return index
		}
	}
	return -1
}

func (g *group) send(from int, packets []member.Packet) {
	for _, packet := range packets {
		to := g.indexOf(packet.Address)
		if packet.Message.Kind == member.Rumor {
			g.rumors++
			if g.zoneOf(from) != g.zoneOf(to) {
				g.crossZoneRumors++
			}
		}
		if to < 0 || g.stopped[to] || g.cut[[2]int{from, to}] || g.random.Float64() < g.loss {
			continue
		}
		g.queue = append(g.queue, packet)
	}
}

func (g *group) run(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(step) {
		arriving := g.queue
		g.queue = nil
		for _, packet := range arriving {
			to := g.indexOf(packet.Address)
			if !g.stopped[to] {
				g.send(to, g.detectors[to].Receive(g.now, packet.Message))
			}
		}
		for index, detector := range g.detectors {
			if !g.stopped[index] {
				g.send(index, detector.Tick(g.now))
			}
		}
	}
}

// requireLive checks the set of live members at every running daemon.
func (g *group) requireLive(t interface {
	Helper()
	Fatalf(string, ...any)
}, want func(index int) bool) {
	t.Helper()
	for index, detector := range g.detectors {
		if g.stopped[index] {
			continue
		}
		live := map[string]bool{}
		for _, name := range detector.Live() {
			live[name] = true
		}
		for other := range g.detectors {
			name := fmt.Sprintf("d%d", other)
			if live[name] != want(other) {
				t.Fatalf("d%d has %s as live: %v, want %v", index, name, live[name], want(other))
			}
		}
	}
}

func all(int) bool { return true }

func TestMembershipFaults(t *testing.T) {
	settle := 40 * time.Second
	cases := []struct {
		name  string
		fault func(g *group)
		want  func(index int) bool
	}{
		{"none", func(*group) {}, all},
		{"one dies", func(g *group) { g.stopped[3] = true }, func(index int) bool { return index != 3 }},
		{"two die at once", func(g *group) { g.stopped[3], g.stopped[4] = true, true }, func(index int) bool { return index < 3 || index > 4 }},
		{"a long pause", func(g *group) {
			g.stopped[2] = true
			g.run(settle)
			g.stopped[2] = false
		}, all},
		{"a restart without state", func(g *group) {
			g.stopped[2] = true
			g.run(5 * time.Second)
			g.detectors[2], g.stopped[2] = g.newDetector(2), false
		}, all},
		{"one link cut", func(g *group) { g.cut[[2]int{1, 2}], g.cut[[2]int{2, 1}] = true, true }, all},
		{"one link cut one way", func(g *group) { g.cut[[2]int{1, 2}] = true }, all},
		{"a partition that heals", func(g *group) {
			for a := range 3 {
				for b := 3; b < 7; b++ {
					g.cut[[2]int{a, b}], g.cut[[2]int{b, a}] = true, true
				}
			}
			g.run(settle)
			clear(g.cut)
			g.run(settle)
		}, all},
		{"a tenth of messages lost", func(g *group) { g.loss = 0.1 }, all},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(7, 1)
			g.run(settle)
			g.requireLive(t, all)
			c.fault(g)
			g.run(settle)
			g.requireLive(t, c.want)
		})
	}
}

func TestLeavingOutlivesSuspicion(t *testing.T) {
	g := newGroup(3, 1)
	g.run(20 * time.Second)
	g.detectors[2].Leave()
	g.run(10 * time.Second)
	g.cut[[2]int{2, 0}], g.cut[[2]int{2, 1}] = true, true
	for range 100 {
		g.run(step)
		for index := range 2 {
			known, _ := g.detectors[index].Lookup("d2")
			if !known.Leaving {
				t.Fatalf("d%d no longer has d2 as leaving, in state %s", index, known.State)
			}
		}
	}
}

func TestObserveBackEnd(t *testing.T) {
	up, leaving, down := member.BackEndUp, member.BackEndLeaving, member.BackEndDown
	type observation struct {
		boot  string
		state member.BackEndState
	}
	cases := []struct {
		name    string
		first   observation
		second  observation
		changed bool
		want    member.BackEndState
	}{
		{"the same state again is no change", observation{"b1", up}, observation{"b1", up}, false, up},
		{"down after up", observation{"b1", up}, observation{"b1", down}, true, down},
		{"up after down", observation{"b1", down}, observation{"b1", up}, true, up},
		{"up after leaving", observation{"b1", leaving}, observation{"b1", up}, true, up},
		{"a new boot", observation{"b1", down}, observation{"b2", up}, true, up},
		{"an old boot", observation{"b2", up}, observation{"b1", down}, false, up},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			detector := newGroup(1, 1).detectors[0]
			detector.ObserveBackEnd("e", c.first.boot, c.first.state)
			changed := detector.ObserveBackEnd("e", c.second.boot, c.second.state)
			if got, _ := detector.BackEnd("e"); got.State != c.want || changed != c.changed {
				t.Fatalf("state %s, changed %v; want %s, %v", got.State, changed, c.want, c.changed)
			}
		})
	}
}

// TestNewsReachesADaemonThatMissedIt covers a pause that is longer than the time for which an
// update circulates.
func TestNewsReachesADaemonThatMissedIt(t *testing.T) {
	g := newGroup(5, 1)
	g.run(20 * time.Second)
	g.detectors[0].ObserveBackEnd("e", "b1", member.BackEndUp)
	g.run(20 * time.Second)
	g.stopped[4] = true
	g.run(5 * time.Second)
	g.detectors[1].ObserveBackEnd("e", "b1", member.BackEndDown)
	g.run(300 * time.Second)
	g.stopped[4] = false
	g.run(60 * time.Second)
	if got, _ := g.detectors[4].BackEnd("e"); got.State != member.BackEndDown {
		t.Fatalf("state %s after the pause", got.State)
	}
}

// TestTakeoverCanReportDown covers a daemon that takes over a back end whose state it received long
// ago, while others have received newer reports since.
func TestTakeoverCanReportDown(t *testing.T) {
	g := newGroup(3, 1)
	g.detectors[0].ObserveBackEnd("e", "b1", member.BackEndUp)
	g.run(20 * time.Second)
	for range 50 {
		g.detectors[0].ObserveBackEnd("e", "b1", member.BackEndUp)
	}
	g.detectors[1].ObserveBackEnd("e", "b1", member.BackEndDown)
	g.run(20 * time.Second)
	for index, detector := range g.detectors {
		if got, _ := detector.BackEnd("e"); got.State != member.BackEndDown {
			t.Fatalf("d%d has state %s", index, got.State)
		}
	}
}

// TestMembershipSettles injects random kills, pauses, restarts and cuts, and checks that all
// daemons have the right view once the faults have ended.
func TestMembershipSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(5, rapid.Uint64().Draw(t, "seed"))
		g.run(20 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			victim := rapid.IntRange(0, 4).Draw(t, "victim")
			other := rapid.IntRange(0, 4).Draw(t, "other")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				g.stopped[victim] = !g.stopped[victim]
			case 1:
				g.detectors[victim], g.stopped[victim] = g.newDetector(victim), false
			case 2:
				g.cut[[2]int{victim, other}] = true
			case 3:
				clear(g.cut)
			}
			g.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps")) * step)
		}
		clear(g.cut)
		g.run(90 * time.Second)
		g.requireLive(t, func(index int) bool { return !g.stopped[index] })
	})
}

// unaware counts the daemons that still have a victim as alive.
func (g *group) unaware(victim int) int {
	count := 0
	for index, detector := range g.detectors {
		known, _ := detector.Lookup(fmt.Sprintf("d%d", victim))
		if index != victim && known.State == member.Alive {
			count++
		}
	}
	return count
}

// TestManyDaemonsHearOfALossSoon stops one of many daemons a few seconds after they have all
// started, while updates about the start are still circulating. All others must detect the loss
// within four probe intervals: one or two until a daemon probes it, one until the probe counts as
// unacknowledged, the rest for the propagation.
func TestManyDaemonsHearOfALossSoon(t *testing.T) {
	const size, victim = 71, 9
	for seed := range uint64(10) {
		g := newGroup(size, seed)
		g.run(34 * time.Second)
		g.stopped[victim] = true
		g.run(4 * member.DefaultSettings().ProbeInterval)
		if unaware := g.unaware(victim); unaware > 0 {
			t.Errorf("seed %d: %d of %d daemons still have the victim as alive", seed, unaware, size-1)
		}
	}
}

// TestRumorsMostlyStayInTheirZone covers a loss among twice as many daemons in five zones and
// allows one probe interval more. At most one rumor in four may go to another zone.
func TestRumorsMostlyStayInTheirZone(t *testing.T) {
	const size, victim = 150, 9
	for seed := range uint64(5) {
		g := newGroup(0, seed)
		g.zones = 5
		for index := range size {
			g.stopped = append(g.stopped, false)
			g.detectors = append(g.detectors, g.newDetector(index))
		}
		g.run(34 * time.Second)
		g.rumors, g.crossZoneRumors = 0, 0
		g.stopped[victim] = true
		g.run(5 * member.DefaultSettings().ProbeInterval)
		if unaware := g.unaware(victim); unaware > 0 {
			t.Errorf("seed %d: %d of %d daemons still have the victim as alive", seed, unaware, size-1)
		}
		if g.rumors < size || g.crossZoneRumors*4 > g.rumors {
			t.Errorf("seed %d: %d of %d rumors crossed zones", seed, g.crossZoneRumors, g.rumors)
		}
	}
}

// TestAMessageTellsEachPieceOfNewsOnce guards against a message with two updates about one member,
// also while one update is more urgent than all others.
func TestAMessageTellsEachPieceOfNewsOnce(t *testing.T) {
	g := newGroup(9, 1)
	g.run(2 * time.Second)
	g.detectors[0].Leave()
	packets := g.detectors[0].Tick(g.now)
	if len(packets) < member.DefaultSettings().RumorFanOut {
		t.Fatalf("%d messages after Leave, want at least RumorFanOut", len(packets))
	}
	for _, packet := range packets {
		included := map[string]bool{}
		for _, update := range packet.Message.Members {
			if included[update.Name] {
				t.Errorf("%s has two updates in one message", update.Name)
			}
			included[update.Name] = true
		}
		if !included["d0"] {
			t.Errorf("a message after Leave has no update about d0: %v", included)
		}
	}
}

// TestJoinerIsToldEverythingThoughAnAnswerIsLost guards against a restarted daemon that serves
// without the back ends, because the full answer to its first ping was lost and is not sent again
// for 20 s.
func TestJoinerIsToldEverythingThoughAnAnswerIsLost(t *testing.T) {
	g := newGroup(3, 7)
	g.run(2 * time.Second)
	for engine := range 20 {
		g.detectors[0].ObserveBackEnd(fmt.Sprint("engine-", engine), "b1", member.BackEndUp)
	}
	g.run(30 * time.Second)
	// Restart another daemon first, so that ExchangeInterval has not elapsed when the joiner pings.
	g.detectors[2] = g.newDetector(2)
	g.run(3 * time.Second)
	joiner := g.newDetector(1)
	g.detectors[1] = joiner
	g.cut[[2]int{1, 2}], g.cut[[2]int{2, 1}] = true, true
	ping := member.Message{Kind: member.Ping, Sequence: 1 << 40, Sender: g.detectors[0].Self()}
	for _, ack := range joiner.Receive(g.now, ping) {
		g.detectors[0].Receive(g.now, ack.Message)
	}
	first := joiner.PingFor("d0")
	if answers := g.detectors[0].Receive(g.now, first.Message); len(answers) != 1 || len(answers[0].Message.BackEnds) != 20 {
		t.Fatalf("answers to the first ping: got %+v, want one with 20 back ends", answers)
	}
	g.run(3 * time.Second)
	for engine := range 20 {
		if _, found := joiner.BackEnd(fmt.Sprint("engine-", engine)); !found {
			t.Errorf("the joiner has no state for engine-%d", engine)
		}
	}
}

// TestJoinerIsToldEverythingByItsFirstPing covers a restarted daemon that the others discover
// before its own ping reaches them: by its answer to one of their pings. It must still receive the
// back ends with its first ping, also while the others have just exchanged their full state.
func TestJoinerIsToldEverythingByItsFirstPing(t *testing.T) {
	g := newGroup(3, 7)
	g.run(2 * time.Second)
	for engine := range 20 {
		g.detectors[0].ObserveBackEnd(fmt.Sprint("engine-", engine), "b1", member.BackEndUp)
	}
	g.run(30 * time.Second)
	g.detectors[2] = g.newDetector(2)
	g.run(3 * time.Second)
	joiner := g.newDetector(1)
	ping := member.Message{Kind: member.Ping, Sequence: 1 << 40, Sender: g.detectors[0].Self()}
	for _, answer := range joiner.Receive(g.now, ping) {
		g.detectors[0].Receive(g.now, answer.Message)
	}
	g.detectors[1] = joiner
	g.cut[[2]int{1, 2}] = true
	g.run(2 * time.Second)
	for engine := range 20 {
		if _, found := joiner.BackEnd(fmt.Sprint("engine-", engine)); !found {
			t.Errorf("the joiner has no state for engine-%d", engine)
		}
	}
}
