package balance_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

const forecastSlots = 10

func engineInstance(id string) *fleet.Instance {
	return &fleet.Instance{ID: id, Service: "svc", Slots: forecastSlots}
}

// typical returns a candidate of typical speed with a load.
func typical(id string, load balance.Load) *balance.Candidate {
	return &balance.Candidate{Instance: engineInstance(id), Load: load}
}

// trainedForecaster returns a forecaster with samples of one instance: answers that run for one
// second, and 10,000 prompt tokens read in 200 ms.
func trainedForecaster(id string) *balance.Forecaster {
	f := balance.NewForecaster()
	for range 20 {
		f.ObserveRun(typical(id, balance.Load{}), time.Second)
		f.ObserveFirstToken(typical(id, balance.Load{Requests: 2, PromptTokens: 9000}), 1000, 200*time.Millisecond)
	}
	return f
}

func TestFirstToken(t *testing.T) {
	cases := []struct {
		name   string
		load   balance.Load
		prompt int
		want   time.Duration
	}{
		{"no load", balance.Load{}, 1000, 20 * time.Millisecond},
		{"prompts ahead of it", balance.Load{Requests: 3, PromptTokens: 9000}, 1000, 200 * time.Millisecond},
		{"the last slot", balance.Load{Requests: forecastSlots - 1}, 1000, 20 * time.Millisecond},
		{"first in the queue", balance.Load{Requests: forecastSlots}, 1000, 120 * time.Millisecond},
		{"five in the queue", balance.Load{Requests: forecastSlots + 5}, 1000, 620 * time.Millisecond},
		{"prompts take longer than the queue", balance.Load{Requests: forecastSlots, PromptTokens: 99000}, 1000, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := trainedForecaster("x").PredictFirstToken(typical("x", c.load), c.prompt)
			if (got - c.want).Abs() > time.Millisecond {
				t.Errorf("predicted %v, want %v", got, c.want)
			}
		})
	}
}

func TestNothingLearnedPredictsNothing(t *testing.T) {
	if got := balance.NewForecaster().PredictFirstToken(typical("x", balance.Load{Requests: 100}), 1000); got != 0 {
		t.Errorf("predicted %v", got)
	}
}

func TestAnInstanceWithoutSamplesIsLikeItsService(t *testing.T) {
	queued := balance.Load{Requests: forecastSlots}
	f := trainedForecaster("x")
	if known, other := f.PredictFirstToken(typical("x", queued), 1000), f.PredictFirstToken(typical("y", queued), 1000); known != other {
		t.Errorf("predicted %v for an unknown instance, %v for the known one", other, known)
	}
	for range 20 {
		f.ObserveRun(typical("slow", balance.Load{}), 5*time.Second)
	}
	if got := f.PredictFirstToken(typical("slow", queued), 1000); got < 500*time.Millisecond {
		t.Errorf("predicted %v at an instance whose answers run five times as long", got)
	}
	f.Prune(func(id string) bool { return id != "slow" })
	if got := f.PredictFirstToken(typical("slow", queued), 1000); got > 400*time.Millisecond {
		t.Errorf("predicted %v from removed averages", got)
	}
}

func TestAFullBatchTeachesNothingAboutReading(t *testing.T) {
	f := trainedForecaster("x")
	before := f.PredictFirstToken(typical("x", balance.Load{}), 1000)
	for range 50 {
		f.ObserveFirstToken(typical("x", balance.Load{Requests: forecastSlots, PromptTokens: 5000}), 1000, 3*time.Second)
	}
	if after := f.PredictFirstToken(typical("x", balance.Load{}), 1000); after != before {
		t.Errorf("predicted %v before and %v after", before, after)
	}
}
