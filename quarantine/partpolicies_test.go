package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The load of this simulation is that of a deployment with 18 servers and 90 streams a second on three routes. Requests
// of a route share the first part of their prompts. The second part is one of many subjects, or the turn of a session
// that three requests share. Requests with a part that crashes servers arrive several times a second, each with a
// different content.
const (
	partRoutes        = 3
	partSubjects      = 120
	partSessionShare  = 0.2
	partRequestsShare = 0.04
	// partStart is when the first request with a crashing part arrives.
	partStart    = 3 * time.Second
	partDuration = 24 * time.Second
	// partSendTimeout limits how long a request waits to be sent.
	partSendTimeout = 4 * time.Second
	// harmlessWindow is how long a successful answer exempts its parts from suspicion.
	harmlessWindow = 10 * time.Second
	// turnInterval is the time between two turns of one suspect.
	turnInterval = time.Second
	// agreementTime is how long daemons may take until all hold a crashing part.
	agreementTime = 3 * time.Second
)

// partPolicy is a rule for requests that share parts of their prompts.
type partPolicy struct {
	name string
	// contentsOnly ignores parts; partsAsContents applies the rule for contents to parts.
	contentsOnly, partsAsContents bool
	// exemptServed exempts the parts of recent successful answers from suspicion.
	exemptServed bool
	limit        int
	// turns runs requests with the same suspect one after the other; isolate runs at most one request with a suspect on
	// a server.
	turns, isolate bool
}

// partPolicies begin with the one in use.
var partPolicies = []partPolicy{
	{name: "parts, 3 crashes, served parts exempt, turns", exemptServed: true, limit: 3, turns: true},
	{name: "contents only", contentsOnly: true, limit: 3, turns: true},
	{name: "parts as contents, turns", partsAsContents: true, limit: 3, turns: true},
	{name: "parts, 3 crashes, turns", limit: 3, turns: true},
	{name: "parts, 3 crashes, served parts exempt", exemptServed: true, limit: 3},
	{name: "parts, 2 crashes, served parts exempt, turns", exemptServed: true, limit: 2, turns: true},
	{name: "parts, 2 crashes, served parts exempt", exemptServed: true, limit: 2},
	{name: "parts, 3 crashes, served parts exempt, isolated", exemptServed: true, limit: 3, isolate: true},
}

// partRequest is one request of the simulation.
type partRequest struct {
	Attributes
	crashing bool
	// first is the first part of the prompt, or the cause if the request is a crashing one.
	first   string
	tries   int
	model   int
	arrived time.Time
	began   time.Time
	runs    time.Duration
}

type partServer struct {
	incarnation int
	availableAt time.Time
	running     []*partRequest
}

// partScenario is the workload and the failures of a simulated fleet.
type partScenario struct {
	name string
	// prompts generate the shared parts of the crashing requests, one function for each cause. The first result is the
	// crashing part.
	prompts []func(random *rand.Rand) (crashing string, parts []string)
	// content adds a crashing request that always has the same content.
	content bool
	// sticky sends requests with the same second part to the same server.
	sticky bool
	racks  []time.Duration
}

func routePart(route int) string     { return fmt.Sprint("first", route) }
func subjectPart(subject int) string { return fmt.Sprint("subject", subject) }
func randomSubject(r *rand.Rand) string {
	return subjectPart(int(float64(partSubjects) * r.Float64() * r.Float64()))
}
func crashingPart(number int) string { return fmt.Sprint("deadly", number) }
func crashingSecondPart(number int) func(*rand.Rand) (string, []string) {
	return func(*rand.Rand) (string, []string) {
		return crashingPart(number), []string{routePart(0), crashingPart(number)}
	}
}

var partScenarios = []partScenario{
	{name: "second", prompts: []func(*rand.Rand) (string, []string){crashingSecondPart(1)}},
	{name: "second, sticky", prompts: []func(*rand.Rand) (string, []string){crashingSecondPart(1)}, sticky: true},
	{name: "first", prompts: []func(*rand.Rand) (string, []string){func(r *rand.Rand) (string, []string) {
		return crashingPart(1), []string{crashingPart(1), randomSubject(r)}
	}}},
	{name: "third, behind subjects, sticky", sticky: true, prompts: []func(*rand.Rand) (string, []string){func(r *rand.Rand) (string, []string) {
		return crashingPart(1), []string{routePart(0), randomSubject(r), crashingPart(1)}
	}}},
	{name: "third, behind one rare subject", prompts: []func(*rand.Rand) (string, []string){func(*rand.Rand) (string, []string) {
		return crashingPart(1), []string{routePart(0), subjectPart(partSubjects - 1), crashingPart(1)}
	}}},
	{name: "two at once", prompts: []func(*rand.Rand) (string, []string){crashingSecondPart(1), crashingSecondPart(2)}},
	{name: "second, racks crash", prompts: []func(*rand.Rand) (string, []string){crashingSecondPart(1)}, racks: rackFailures},
	{name: "second, and a crashing content", prompts: []func(*rand.Rand) (string, []string){crashingSecondPart(1)}, content: true},
	{name: "none, racks crash", racks: rackFailures},
	{name: "none, racks crash, sticky", racks: rackFailures, sticky: true},
	{name: "none, a crashing content", content: true},
}

// simulatePartPolicy simulates a scenario with several seeds and returns the sums.
func simulatePartPolicy(chosen partPolicy, scenario partScenario, seeds int) partTotals {
	var sum partTotals
	for seed := range uint64(seeds) {
		simulated := newPartSimulation(chosen, scenario, seed)
		simulated.run()
		sum.add(simulated.totals())
	}
	return sum
}

// Bounds on the effects of the policy in use.
const (
	maxCrashesPerPart = 5
	minServedShare    = 0.95
	// maxHarmlessHeldPerMille is how many of a thousand harmless requests may be held.
	maxHarmlessHeldPerMille = 1
)

// TestPartsThatCrashServersAreHeld bounds the effects of the policy in use: at most five servers crash under a part,
// and no server receives the part once the daemons have had the time to agree. Harmless requests with the same first
// part are still served, and hardly any harmless request is held.
func TestPartsThatCrashServersAreHeld(t *testing.T) {
	for _, scenario := range partScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var sum partTotals
			for seed := range uint64(4) {
				simulated := newPartSimulation(partPolicies[0], scenario, 100+seed)
				simulated.run()
				for cause, crashes := range simulated.crashes {
					if len(crashes) > maxCrashesPerPart {
						t.Errorf("seed %d: %d servers crashed under %s", seed, len(crashes), cause)
					}
				}
				sum.add(simulated.totals())
			}
			if sum.late > 0 {
				t.Errorf("%d crashing requests were sent after the agreement time", sum.late)
			}
			if float64(sum.served) < minServedShare*float64(sum.sent) {
				t.Errorf("%d of %d harmless requests with the same first part were served", sum.served, sum.sent)
			}
			if 1000*sum.held > maxHarmlessHeldPerMille*sum.harmless {
				t.Errorf("%d of %d harmless requests were held", sum.held, sum.harmless)
			}
		})
	}
}

// BenchmarkPartWays compares policies for parts of prompts, on the same seeds.
func BenchmarkPartWays(b *testing.B) {
	const seeds = 20
	for _, scenario := range partScenarios {
		for _, chosen := range partPolicies {
			b.Run(scenario.name+"/"+chosen.name, func(b *testing.B) {
				var sum partTotals
				for b.Loop() {
					sum = simulatePartPolicy(chosen, scenario, seeds)
				}
				b.ReportMetric(float64(sum.crashedServers)/seeds, "ended")
				b.ReportMetric(float64(sum.late)/seeds, "late")
				b.ReportMetric(float64(sum.served)/float64(max(1, sum.sent)), "served")
				b.ReportMetric(float64(sum.lost)/seeds, "lost")
				b.ReportMetric(float64(sum.held)/seeds, "held")
			})
		}
	}
}
