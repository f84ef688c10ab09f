package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// fixedPaces is a fixed slowness for each instance. Other instances are typical.
type fixedPaces map[string]float64

func (p fixedPaces) Slowness(instance string) float64 {
	if factor, found := p[instance]; found {
		return factor
	}
	return 1
}

// typicalTokens are the token times of a service: 2,000 prompt tokens take 100 ms, and a mean
// answer of 50 tokens takes a second.
var typicalTokens = balance.TokenTimes{Read: 50 * time.Microsecond, Generate: 20 * time.Millisecond, Output: 50}

// randomChoice is the input of a choice, with random loads.
type randomChoice struct {
	group   []*fleet.Instance
	loads   map[string]balance.Load
	request balance.Request
}

func drawChoice(t *rapid.T) randomChoice {
	choice := randomChoice{loads: map[string]balance.Load{}}
	zones := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 12).Draw(t, "candidates") {
		added := instance(fmt.Sprint("i", i), rapid.SampledFrom(zones).Draw(t, "zone"))
		added.Slots = rapid.IntRange(1, 96).Draw(t, "slots")
		choice.group = append(choice.group, added)
		choice.loads[added.ID] = balance.Load{Requests: rapid.IntRange(1, 100).Draw(t, "requests"), PromptTokens: rapid.IntRange(0, 20000).Draw(t, "prompts")}
	}
	choice.request = balance.Request{
		Zone: "a", ZoneCost: 0.03, Affinity: rapid.Uint64().Draw(t, "affinity"), PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"),
		MemoryTokens: rapid.IntRange(0, 400000).Draw(t, "memory"), OutputTokens: rapid.IntRange(0, 500).Draw(t, "output"),
		TargetGap: time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond, Tokens: typicalTokens,
	}
	return choice
}

// pickEven returns the choice of the scorers for even candidates.
func (d randomChoice) pickEven() string {
	best, bestScore := "", math.Inf(1)
	for _, candidate := range d.group {
		rated := &balance.Candidate{Instance: candidate, Load: d.loads[candidate.ID]}
		score := 0.0
		for _, scorer := range []balance.Scorer{balance.LoadScorer{}, balance.PromptScorer{}, balance.ZoneScorer{}, balance.AffinityScorer{}} {
			score += scorer.Score(&d.request, rated)
		}
		if score < bestScore {
			best, bestScore = candidate.ID, score
		}
	}
	return best
}

func (d randomChoice) pick(paces balance.SlownessSource) *balance.Candidate {
	now := time.Unix(1000, 0)
	tracker := balance.NewTracker()
	tracker.SetSlownessSource(paces)
	tracker.SetPeer(now, "peer", d.loads)
	return balance.NewPicker(tracker).Pick(now, d.group, &d.request)
}

// TestEvenCandidatesAreChosenAsWithoutPaces guards against choices that depend on the slowness of
// servers of about the same speed. The loads are random, up to a full batch and 20,000 prompt
// tokens.
func TestEvenCandidatesAreChosenAsWithoutPaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := drawChoice(t)
		least := rapid.Float64Range(0.3, 2).Draw(t, "least")
		paces := fixedPaces{}
		for _, candidate := range choice.group {
			paces[candidate.ID] = least * rapid.Float64Range(1, 1.49).Draw(t, "factor")
		}
		want, without, with := choice.pickEven(), choice.pick(nil), choice.pick(paces)
		if without.Instance.ID != want || with.Instance.ID != want {
			t.Fatalf("picked %s without paces and %s with them, the even scorers %s", without.Instance.ID, with.Instance.ID, want)
		}
		if without.Slowness != 0 || with.Slowness != paces[want] {
			t.Fatalf("slowness %v without paces, %v with them", without.Slowness, with.Slowness)
		}
		with.Slowness = 0
		if *with != *without {
			t.Fatalf("picked %+v, without paces %+v", with, without)
		}
	})
}

// TestUnevenCandidatesWithNothingLearnedAreChosenAsBefore guards against scores that use token
// times which were not measured, or which another daemon reported wrongly. The loads are random.
func TestUnevenCandidatesWithNothingLearnedAreChosenAsBefore(t *testing.T) {
	useless := []balance.TokenTimes{
		{}, {Read: time.Microsecond}, {Read: -1, Generate: 1, Output: 1}, {Read: time.Hour, Generate: 1, Output: 1},
		{Read: 1, Generate: math.MaxInt64, Output: 1}, {Read: 1, Generate: 1, Output: -5},
	}
	rapid.Check(t, func(t *rapid.T) {
		choice := drawChoice(t)
		choice.request.Tokens = rapid.SampledFrom(useless).Draw(t, "tokens")
		paces := fixedPaces{}
		for _, candidate := range choice.group {
			paces[candidate.ID] = rapid.Float64Range(0.25, 4).Draw(t, "factor")
		}
		if got, want := choice.pick(paces).Instance.ID, choice.pickEven(); got != want {
			t.Fatalf("picked %s, the even scorers %s", got, want)
		}
	})
}

// TestImplausibleSlownessIsBounded guards against a factor that sends all requests or none to one
// server, or that makes scores which can't be compared.
func TestImplausibleSlownessIsBounded(t *testing.T) {
	cases := map[float64]float64{
		0: 1, -2: 1, math.Inf(1): 1, math.Inf(-1): 1, math.NaN(): 1, 0.01: 0.25, 100: 4, math.MaxFloat64: 4, 1.7: 1.7,
	}
	for slowness, want := range cases {
		choice := randomChoice{group: siblings("x"), loads: map[string]balance.Load{}}
		if got := choice.pick(fixedPaces{"x": slowness}).Slowness; got != want {
			t.Errorf("%v counts as %v, want %v", slowness, got, want)
		}
		f := trainedForecaster("x")
		usual, known := f.PredictFirstToken(typical("y", balance.Load{}), 1000), typical("y", balance.Load{})
		known.Slowness = slowness
		if got := f.PredictFirstToken(known, 1000); (got - time.Duration(want*float64(usual))).Abs() > time.Microsecond {
			t.Errorf("%v makes a forecast of %v, usually %v", slowness, got, usual)
		}
	}
}

// TestMissingCandidatesDoNotMakeAChoiceUneven guards against using the scorers for uneven
// candidates because of a server that can't take the request. The other two have the same number of
// requests. The one with fewer prompts has a zone cost higher than the time to read these prompts
// is worth.
func TestMissingCandidatesDoNotMakeAChoiceUneven(t *testing.T) {
	now := time.Now()
	for missing, want := range map[bool]string{true: "near", false: "far"} {
		tracker := balance.NewTracker()
		tracker.SetSlownessSource(fixedPaces{"slow": 4})
		tracker.SetPeer(now, "peer", map[string]balance.Load{"near": {Requests: 1, PromptTokens: 10000}, "far": {Requests: 1}, "slow": {Requests: 9}})
		if missing {
			tracker.ObserveMissing(now, "slow", "", "", time.Minute)
		}
		group := []*fleet.Instance{instance("near", "z"), instance("far", "y"), instance("slow", "z")}
		request := balance.Request{Zone: "z", ZoneCost: 0.5, OutputTokens: typicalTokens.Output, Tokens: typicalTokens, TargetGap: 500 * time.Millisecond}
		if got := balance.NewPicker(tracker).Pick(now, group, &request).Instance.ID; got != want {
			t.Errorf("missing %v: picked %s, want %s", missing, got, want)
		}
	}
}

// TestLongAnswersGoToFastServers guards against long answers on slow servers, and against short
// answers that crowd the fast servers. Either all servers are idle, or the fast one has prompts
// that take half a second to read.
func TestLongAnswersGoToFastServers(t *testing.T) {
	cases := []struct {
		name    string
		output  int
		waiting int
		want    string
	}{
		{"long", 171, 0, "fast"},
		{"long behind prompts", 171, 20000, "fast"},
		{"short", 24, 0, "slow"},
		{"short behind prompts", 24, 20000, "slow"},
		{"mean", 50, 0, "fast"},
		{"mean behind prompts", 50, 20000, "slow"},
		{"of unknown length behind prompts", 0, 20000, "slow"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice := randomChoice{group: siblings("slow", "fast"), loads: map[string]balance.Load{"fast": {PromptTokens: c.waiting}}}
			choice.request = balance.Request{OutputTokens: c.output, PromptTokens: 100, TargetGap: 500 * time.Millisecond, Tokens: typicalTokens}
			if got := choice.pick(fixedPaces{"slow": 1.4, "fast": 0.6}).Instance.ID; got != c.want {
				t.Errorf("picked %s, want %s", got, c.want)
			}
		})
	}
}

// TestTimeScore guards against a stall of running streams that weighs too little or too much, or
// that counts for requests without a target gap.
func TestTimeScore(t *testing.T) {
	const gap = 500 * time.Millisecond
	cases := []struct {
		name     string
		gap      time.Duration
		waiting  int
		output   int
		slowness float64
		want     float64
	}{
		{"reading takes less than the gap", gap, 4000, 50, 1, 0.6},
		{"reading takes twice the gap", gap, 18000, 50, 1, 3},
		{"a slow server", gap, 8000, 50, 2, 3},
		{"no target gap", 0, 18000, 50, 1, 2},
		{"a long answer", gap, 4000, 75, 1, 1.6},
		{"a short answer", gap, 4000, 30, 2, 1},
		{"a wrong load from another daemon", gap, -4000, 50, 1, 0.2},
		{"unknown slowness", gap, 4000, 50, 0, 0.6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := &balance.Request{PromptTokens: 2000, OutputTokens: c.output, TargetGap: c.gap, Tokens: typicalTokens}
			candidate := &balance.Candidate{Load: balance.Load{PromptTokens: c.waiting}, Slowness: c.slowness}
			if got := (balance.TimeScorer{}).Score(request, candidate); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("score %v, want %v", got, c.want)
			}
		})
	}
}

// TestADispatcherUsesItsOwnTokenTimesIfItIsToldNone guards against choices that ignore speed
// because the request comes from a daemon without samples, although its dispatcher has enough of
// them.
func TestADispatcherUsesItsOwnTokenTimesIfItIsToldNone(t *testing.T) {
	now := time.Now()
	for _, tokens := range []balance.TokenTimes{{}, typicalTokens} {
		tracker := balance.NewTracker()
		tracker.SetSlownessSource(fixedPaces{"slow": 1.4, "fast": 0.6})
		if tokens == (balance.TokenTimes{}) {
			for range 8 {
				recordAnswer(tracker, typical("other", balance.Load{}), 50)
			}
		}
		tracker.SetPeer(now, "peer", map[string]balance.Load{"fast": {Requests: 2}, "slow": {Requests: 1}})
		group := []*fleet.Instance{engineInstance("slow"), engineInstance("fast")}
		request := balance.Request{OutputTokens: 171, Tokens: tokens}
		if got := balance.NewPicker(tracker).Pick(now, group, &request).Instance.ID; got != "fast" {
			t.Errorf("token times %v: picked %s", tokens, got)
		}
		if request.Tokens != tokens {
			t.Errorf("the request was changed to %+v", request)
		}
	}
}

// recordAnswer records an answer in a tracker that takes 20 ms for each stated token, after 2,000
// prompt tokens that take 100 ms. Both times are multiplied by the slowness of the candidate.
func recordAnswer(tracker *balance.Tracker, candidate *balance.Candidate, output int) {
	factor := max(candidate.Slowness, 0.25)
	if candidate.Slowness == 0 {
		factor = 1
	}
	tracker.ObserveFirstToken(candidate, 2000, time.Duration(factor*float64(100*time.Millisecond)))
	tracker.ObserveGeneration(candidate, output, time.Duration(factor*float64(output)*float64(20*time.Millisecond)))
}

// TestTokenTimesAreThoseOfTheTypicalInstance guards against averages that depend on which servers
// the samples come from, or that weigh short answers as much as long ones.
func TestTokenTimesAreThoseOfTheTypicalInstance(t *testing.T) {
	tracker := balance.NewTracker()
	for i := range 7 {
		slow := typical("slow", balance.Load{})
		slow.Slowness = 2
		recordAnswer(tracker, slow, 10+80*(i%2))
		if got := tracker.TokenTimes("svc"); got != (balance.TokenTimes{}) {
			t.Fatalf("%+v after %d samples", got, i+1)
		}
	}
	fast := typical("fast", balance.Load{})
	fast.Slowness = 0.5
	recordAnswer(tracker, fast, 90)
	got := tracker.TokenTimes("svc")
	off := got.Output - typicalTokens.Output
	got.Output = typicalTokens.Output
	if (got.Read-typicalTokens.Read).Abs() > 1 || (got.Generate-typicalTokens.Generate).Abs() > 1 || off != 0 {
		t.Errorf("token times %+v, want %+v, output off by %d", got, typicalTokens, off)
	}
}

// TestTheForecastOfAnInstanceWithFewSamplesTakesItsSlowness guards against forecasts that are too
// long at fast servers, and against an average of the service that depends on which server answered
// last.
func TestTheForecastOfAnInstanceWithFewSamplesTakesItsSlowness(t *testing.T) {
	withSlowness := func(id string, slowness float64) *balance.Candidate {
		candidate := typical(id, balance.Load{Requests: forecastSlots})
		candidate.Slowness = slowness
		return candidate
	}
	f := balance.NewForecaster()
	for range 7 {
		slow := withSlowness("slow", 2)
		slow.Load.Requests = 0
		f.ObserveFirstToken(slow, 10000, 400*time.Millisecond)
		f.ObserveRun(slow, 2*time.Second)
	}
	// A typical instance reads 1,000 tokens in 20 ms, and a slot becomes free each 100 ms.
	for candidate, want := range map[*balance.Candidate]time.Duration{
		withSlowness("typical", 1): 120 * time.Millisecond, withSlowness("fast", 0.5): 60 * time.Millisecond, withSlowness("slow", 2): 240 * time.Millisecond,
	} {
		if got := f.PredictFirstToken(candidate, 1000); (got - want).Abs() > time.Millisecond {
			t.Errorf("predicted %v at the %s instance, want %v", got, candidate.Instance.ID, want)
		}
	}
	for range 8 {
		f.ObserveRun(withSlowness("slow", 2), 4*time.Second)
	}
	if got := f.PredictFirstToken(withSlowness("slow", 2), 1000); got < 300*time.Millisecond || got > 500*time.Millisecond {
		t.Errorf("predicted %v at an instance with samples of its own", got)
	}
}

// BenchmarkPickFew measures a choice among as many candidates as a model has in practice: without
// paces, and among servers of even and of uneven speed.
func BenchmarkPickFew(b *testing.B) {
	for _, count := range []int{4, 30} {
		for _, kind := range []string{"none", "even", "uneven"} {
			b.Run(fmt.Sprint(count, kind), func(b *testing.B) {
				paces := fixedPaces{}
				group := make([]*fleet.Instance, count)
				for i := range group {
					group[i] = instance(fmt.Sprintf("server-%02d", i), "z", fleet.Resident{Model: "m"})
					if kind == "uneven" {
						paces[group[i].ID] = []float64{1.34, 1.34, 0.55}[i%3]
					}
				}
				tracker := balance.NewTracker()
				if kind != "none" {
					tracker.SetSlownessSource(paces)
				}
				picker := balance.NewPicker(tracker)
				request := balance.Request{Model: "m", MemoryTokens: 1000, Affinity: 7, Tokens: typicalTokens}
				now := time.Now()
				b.ReportAllocs()
				for b.Loop() {
					picker.Pick(now, group, &request)
				}
			})
		}
	}
}
