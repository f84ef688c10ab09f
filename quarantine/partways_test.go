package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The load of this simulation is that of a deployment with 18 servers and 90 streams a second of three routes. Requests
// of a route share the first part of their prompts; the second one is one of many subjects, or the turn of a session
// that three requests share. Requests with a part under which servers crash come several times a second, no two alike.
const (
	partRoutes        = 3
	partSubjects      = 120
	partSessionShare  = 0.2
	partRequestsShare = 0.04
	// partFrom is when the first deadly part comes.
	partFrom = 3 * time.Second
	partSpan = 24 * time.Second
	// partPatience is how long a request waits to be sent.
	partPatience = 4 * time.Second
	// soundBefore is how long an answer speaks for its parts.
	soundBefore = 10 * time.Second
	// turnPause is the pause between two turns of one suspect.
	turnPause = time.Second
	// agreeSpan is how long daemons may take to agree on what happened.
	agreeSpan = 3 * time.Second
)

// partWay is a way to judge requests that share parts of their prompts.
type partWay struct {
	name string
	// contents says that only whole contents are judged, alike that parts are judged as contents are.
	contents, alike bool
	// sound says that parts of recent good answers are not suspected.
	sound bool
	limit int
	// turns says that requests with a suspect run one after the other, apart that they run next to no other suspect.
	turns, apart bool
}

// partWays begin with the one in use.
var partWays = []partWay{
	{name: "parts, 3 crashes, good before, turns", sound: true, limit: 3, turns: true},
	{name: "contents only", contents: true, limit: 3, turns: true},
	{name: "parts as contents, turns", alike: true, limit: 3, turns: true},
	{name: "parts, 3 crashes, turns", limit: 3, turns: true},
	{name: "parts, 3 crashes, good before", sound: true, limit: 3},
	{name: "parts, 2 crashes, good before, turns", sound: true, limit: 2, turns: true},
	{name: "parts, 2 crashes, good before", sound: true, limit: 2},
	{name: "parts, 3 crashes, good before, apart", sound: true, limit: 3, apart: true},
}

// partRequest is one request of the simulation.
type partRequest struct {
	Attributes
	deadly  bool
	first   string
	tries   int
	model   int
	arrived time.Time
	began   time.Time
	runs    time.Duration
}

type partMachine struct {
	life    int
	backAt  time.Time
	running []*partRequest
}

// partCase is what a fleet has to bear.
type partCase struct {
	name string
	// prompts make the shared parts of the deadly requests of each cause; the first result is the deadly one.
	prompts []func(random *rand.Rand) (deadly string, parts []string)
	// content adds a deadly request that is always the same.
	content bool
	sticky  bool
	racks   []time.Duration
}

func routePart(route int) string     { return fmt.Sprint("first", route) }
func subjectPart(subject int) string { return fmt.Sprint("subject", subject) }
func someSubject(r *rand.Rand) string {
	return subjectPart(int(float64(partSubjects) * r.Float64() * r.Float64()))
}
func deadlyName(number int) string { return fmt.Sprint("deadly", number) }
func secondPart(number int) func(*rand.Rand) (string, []string) {
	return func(*rand.Rand) (string, []string) {
		return deadlyName(number), []string{routePart(0), deadlyName(number)}
	}
}

var partCases = []partCase{
	{name: "second", prompts: []func(*rand.Rand) (string, []string){secondPart(1)}},
	{name: "second, sticky", prompts: []func(*rand.Rand) (string, []string){secondPart(1)}, sticky: true},
	{name: "first", prompts: []func(*rand.Rand) (string, []string){func(r *rand.Rand) (string, []string) {
		return deadlyName(1), []string{deadlyName(1), someSubject(r)}
	}}},
	{name: "third, behind subjects, sticky", sticky: true, prompts: []func(*rand.Rand) (string, []string){func(r *rand.Rand) (string, []string) {
		return deadlyName(1), []string{routePart(0), someSubject(r), deadlyName(1)}
	}}},
	{name: "third, behind one rare subject", prompts: []func(*rand.Rand) (string, []string){func(*rand.Rand) (string, []string) {
		return deadlyName(1), []string{routePart(0), subjectPart(partSubjects - 1), deadlyName(1)}
	}}},
	{name: "two at once", prompts: []func(*rand.Rand) (string, []string){secondPart(1), secondPart(2)}},
	{name: "second, racks crash", prompts: []func(*rand.Rand) (string, []string){secondPart(1)}, racks: rackFailures},
	{name: "second, and a deadly content", prompts: []func(*rand.Rand) (string, []string){secondPart(1)}, content: true},
	{name: "none, racks crash", racks: rackFailures},
	{name: "none, racks crash, sticky", racks: rackFailures, sticky: true},
	{name: "none, a deadly content", content: true},
}

// simulatePartWay plays a case with several seeds and returns the sums.
func simulatePartWay(chosen partWay, borne partCase, seeds int) partFigures {
	var sum partFigures
	for seed := range uint64(seeds) {
		simulated := newPartSimulation(chosen, borne, seed)
		simulated.run()
		sum.add(simulated.figures())
	}
	return sum
}

// Bounds of what the way in use may do.
const (
	mostEndedUnderAPart = 5
	leastServed         = 0.95
	// mostPartsHeld is how many of a thousand sound requests may be held.
	mostPartsHeld = 1
)

// TestPartsThatCrashServersAreHeld bounds what the way in use does: five servers end under a part at most, none is sent it
// once daemons had the time to agree, sound requests with the same first part go on, and hardly any is held.
func TestPartsThatCrashServersAreHeld(t *testing.T) {
	for _, borne := range partCases {
		t.Run(borne.name, func(t *testing.T) {
			var sum partFigures
			for seed := range uint64(4) {
				simulated := newPartSimulation(partWays[0], borne, 100+seed)
				simulated.run()
				for cause, crashes := range simulated.crashes {
					if len(crashes) > mostEndedUnderAPart {
						t.Errorf("seed %d: %d servers ended under %s", seed, len(crashes), cause)
					}
				}
				sum.add(simulated.figures())
			}
			if sum.late > 0 {
				t.Errorf("%d requests were sent after all had the time to agree", sum.late)
			}
			if float64(sum.served) < leastServed*float64(sum.sent) {
				t.Errorf("%d of %d sound requests with the same first part were served", sum.served, sum.sent)
			}
			if 1000*sum.held > mostPartsHeld*sum.sound {
				t.Errorf("%d of %d sound requests were held", sum.held, sum.sound)
			}
		})
	}
}

// BenchmarkPartWays compares ways to judge parts of prompts, on the same seeds.
func BenchmarkPartWays(b *testing.B) {
	const seeds = 20
	for _, borne := range partCases {
		for _, chosen := range partWays {
			b.Run(borne.name+"/"+chosen.name, func(b *testing.B) {
				var sum partFigures
				for b.Loop() {
					sum = simulatePartWay(chosen, borne, seeds)
				}
				b.ReportMetric(float64(sum.ended)/seeds, "ended")
				b.ReportMetric(float64(sum.late)/seeds, "late")
				b.ReportMetric(float64(sum.served)/float64(max(1, sum.sent)), "served")
				b.ReportMetric(float64(sum.lost)/seeds, "lost")
				b.ReportMetric(float64(sum.held)/seeds, "held")
			})
		}
	}
}
