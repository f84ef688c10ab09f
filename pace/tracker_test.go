package pace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/pace"
)

// directory lists the instances of one service, which has the models "m" and "n".
type directory map[string]bool

// Service implements pace.Directory.
func (d directory) Service(instance string) (string, bool) { return service, d[instance] }

// Serves implements pace.Directory.
func (d directory) Serves(_, model string) bool { return model == "m" || model == "n" }

var start = time.Unix(1e9, 0)

// newEntry returns an entry of count samples with the same gap, in seconds.
func newEntry(instance, model string, seconds float64, count int) pace.Entry {
	return pace.Entry{Instance: instance, Model: model, Log: float32(math.Log(seconds)), Count: count}
}

// TestBadEntriesAreDropped guards against messages of faulty daemons that distort factors or make the state grow
// without bound.
func TestBadEntriesAreDropped(t *testing.T) {
	known := directory{"a": true, "b": true}
	bad := map[string]pace.Entry{
		"no samples":       newEntry("a", "m", 0.01, 0),
		"fewer than none":  newEntry("a", "m", 0.01, -3),
		"not a number":     {Instance: "a", Model: "m", Log: float32(math.NaN()), Count: 1},
		"infinite":         {Instance: "a", Model: "m", Log: float32(math.Inf(1)), Count: 1},
		"zero seconds":     {Instance: "a", Model: "m", Log: float32(math.Inf(-1)), Count: 1},
		"too long":         newEntry("a", "m", 2.1, 1),
		"unknown instance": newEntry("x", "m", 0.01, 1),
		"unknown model":    newEntry("a", "x", 0.01, 1),
		"no instance":      newEntry("", "m", 0.01, 1),
		"no model":         newEntry("a", "", 0.01, 1),
	}
	for name, entry := range bad {
		tracker := pace.NewTracker()
		if accepted := tracker.Record(start, []pace.Entry{entry}, known); len(accepted) > 0 {
			t.Errorf("%s: accepted", name)
		}
		if changes := tracker.Estimate(); len(changes) > 0 {
			t.Errorf("%s: changes %v", name, changes)
		}
	}
}

// TestHugeCountIsBounded guards against an entry whose count outweighs all other entries or overflows.
func TestHugeCountIsBounded(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"a": true, "b": true}
	tracker.Record(start, []pace.Entry{newEntry("a", "m", 0.04, math.MaxInt), newEntry("b", "m", 0.01, math.MaxInt)}, known)
	for second := range 30 {
		entries := []pace.Entry{newEntry("a", "m", 0.01, 5), newEntry("b", "m", 0.01, 5)}
		tracker.Record(start.Add(time.Duration(second)*time.Second), entries, known)
	}
	tracker.Estimate()
	if got := tracker.Slowness("a") / tracker.Slowness("b"); math.Abs(got-1) > 0.05 {
		t.Errorf("a takes %.2f times as long as b", got)
	}
}

// TestFactorsCountFromFourSamples guards against factors that rest on one or two samples.
func TestFactorsCountFromFourSamples(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"a": true, "b": true}
	tracker.Record(start, []pace.Entry{newEntry("a", "m", 0.01, 10), newEntry("b", "m", 0.02, 3)}, known)
	tracker.Estimate()
	if got := tracker.Slowness("b"); got != 1 {
		t.Errorf("%.2f after three samples", got)
	}
	tracker.Record(start, []pace.Entry{newEntry("b", "m", 0.02, 1)}, known)
	changes := tracker.Estimate()
	if got := tracker.Slowness("b") / tracker.Slowness("a"); math.Abs(got-2) > 0.2 {
		t.Errorf("%.2f times as long after four samples, changes %v", got, changes)
	}
}

// TestFactorsAreLimited guards against factors so extreme that a server gets no requests or all of them.
func TestFactorsAreLimited(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"a": true, "b": true, "c": true}
	tracker.Record(start, []pace.Entry{newEntry("a", "m", 0.001, 20), newEntry("b", "m", 0.02, 20), newEntry("c", "m", 1, 20)}, known)
	tracker.Estimate()
	if a, b, c := tracker.Slowness("a"), tracker.Slowness("b"), tracker.Slowness("c"); a != 0.25 || math.Abs(b-1) > 0.01 || c != 4 {
		t.Errorf("factors %.2f, %.2f, %.2f", a, b, c)
	}
	if summary := tracker.Summary(); summary != (pace.Summary{Count: 3, Min: 0.25, Max: 4}) {
		t.Errorf("%+v", summary)
	}
}

// TestTypicalInstanceHasFactorOne guards against a common drift of all factors, for example when all servers or all
// models become slower.
func TestTypicalInstanceHasFactorOne(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"a": true, "b": true, "c": true}
	for second := range 60 {
		slower := 1 + float64(second)/20
		entries := []pace.Entry{
			newEntry("a", "m", 0.01*slower, 5), newEntry("b", "m", 0.014*slower, 5), newEntry("b", "n", 0.03*slower, 5), newEntry("c", "n", 0.06*slower, 5),
		}
		tracker.Record(start.Add(time.Duration(second)*time.Second), entries, known)
		tracker.Estimate()
	}
	a, b, c := tracker.Slowness("a"), tracker.Slowness("b"), tracker.Slowness("c")
	if math.Abs(b-1) > 0.01 || math.Abs(a-1/1.4) > 0.05 || math.Abs(c-2) > 0.2 {
		t.Errorf("factors %.2f, %.2f, %.2f, want %.2f, 1, 2", a, b, c, 1/1.4)
	}
}

// TestInstanceBornAgainStartsAnew guards against using the factor of an earlier run of a server. The ID of an instance
// contains the time of its start, so each run has its own.
func TestInstanceBornAgainStartsAnew(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"s~1": true, "b": true, "c": true}
	tracker.Record(start, []pace.Entry{newEntry("s~1", "m", 0.03, 20), newEntry("b", "m", 0.01, 20), newEntry("c", "m", 0.01, 20)}, known)
	tracker.Estimate()
	if got := tracker.Slowness("s~1"); math.Abs(got-3) > 0.2 {
		t.Fatalf("factor %.2f", got)
	}
	delete(known, "s~1")
	known["s~2"] = true
	if got := tracker.Slowness("s~2"); got != 1 {
		t.Errorf("factor %.2f of the next run", got)
	}
	tracker.Prune(func(instance string) bool { return known[instance] })
	tracker.Estimate()
	if got := tracker.Slowness("s~1"); got != 1 || tracker.Summary().Count != 2 {
		t.Errorf("factor %.2f of a removed instance, %+v", got, tracker.Summary())
	}
	known["s~1"] = true
	tracker.Record(start, []pace.Entry{newEntry("s~1", "m", 0.01, 3)}, known)
	tracker.Estimate()
	if got := tracker.Slowness("s~1"); got != 1 {
		t.Errorf("factor %.2f after three samples of an instance that had been removed", got)
	}
}

// TestChangesAreTold guards against changes of factors that are not reported, and against a report of each small one.
func TestChangesAreTold(t *testing.T) {
	tracker, known := pace.NewTracker(), directory{"a": true, "b": true, "c": true}
	reported := map[string]int{}
	for second := range 60 {
		gap := 0.01
		if second >= 20 {
			gap = 0.02
		}
		entries := []pace.Entry{newEntry("a", "m", gap, 5), newEntry("b", "m", 0.01, 5), newEntry("c", "m", 0.01, 5)}
		tracker.Record(start.Add(time.Duration(second)*time.Second), entries, known)
		for _, change := range tracker.Estimate() {
			reported[fmt.Sprint(change.Instance, change.Before > 0)]++
		}
	}
	if reported["afalse"] != 1 || reported["bfalse"] != 1 || reported["atrue"] != 1 || reported["btrue"] != 0 {
		t.Errorf("reported %v", reported)
	}
}

// TestFactorCodes guards against codes with an error of more than 1 %, or that decode to other factors.
func TestFactorCodes(t *testing.T) {
	for _, factor := range []float64{0.25, 0.41, 0.7, 1, 1.5, 2.43, 4} {
		got, known := pace.DecodeFactor(pace.EncodeFactor(factor))
		if !known || math.Abs(got/factor-1) > 0.01 {
			t.Errorf("%.3f is decoded as %.3f, %v", factor, got, known)
		}
	}
	for factor, code := range map[float64]uint8{0.01: 1, 1: 128, 100: 255, 0: 0, -1: 0} {
		if got := pace.EncodeFactor(factor); got != code {
			t.Errorf("%.2f has the code %d, want %d", factor, got, code)
		}
	}
	if _, known := pace.DecodeFactor(pace.EncodeFactor(math.NaN())); known {
		t.Error("NaN is encoded as a factor")
	}
}

func BenchmarkSample(b *testing.B) {
	sharer := pace.NewSharer(pace.NewTracker())
	samples := make([]pace.Sample, 128)
	for i := range samples {
		samples[i] = pace.Sample{Instance: fmt.Sprint("i", i%64), Model: fmt.Sprint("m", i/64), Gap: 20 * time.Millisecond}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sharer.AddSample(samples[i%len(samples)])
	}
}

func BenchmarkSettle(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{90, 107}, {4000, 600}} {
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			f := newSimFleet(1, defaultDaemons, size.servers, size.models)
			f.run(10 * time.Second)
			tracker := f.dispatchers()[0].tracker
			sample := f.sample()
			entry := newEntry(sample.Instance, sample.Model, sample.Gap.Seconds(), 1)
			for b.Loop() {
				tracker.Record(f.now, []pace.Entry{entry}, f)
				tracker.Estimate()
			}
		})
	}
}

func BenchmarkSlowness(b *testing.B) {
	f := newSimFleet(1, 12, defaultServers, defaultModels)
	f.run(10 * time.Second)
	tracker := f.dispatchers()[0].tracker
	for i := 0; b.Loop(); i++ {
		tracker.Slowness(f.servers[i%defaultServers].id)
	}
}
