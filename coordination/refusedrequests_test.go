package coordination

import (
	"math"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestBadRatesOfRefusedRequestsCountAsNothing guards against an invalid number of one daemon that
// spoils the sum over all.
func TestBadRatesOfRefusedRequestsCountAsNothing(t *testing.T) {
	infinite, none := float32(math.Inf(1)), float32(math.NaN())
	cases := []struct {
		name               string
		perSecond, refused float32
		want               float64
	}{
		{"a part", 4, 3, 5},
		{"all", 4, 4, 6},
		{"none", 4, 0, 2},
		{"negative", 4, -3, 2},
		{"not a number", 4, none, 2},
		{"without bounds", 4, infinite, 2},
		{"more than begin", 4, 4.5, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			demand := newDemandTracker()
			demand.own = []ModelLoad{{Service: "llm", Model: "m", Requests: 3, PerSecond: 4, Refused: 2}}
			peers := map[string]peerState{"peer": {
				at: now, modelsAt: now, load: Load{Models: []ModelLoad{{Service: "llm", Model: "m", Requests: 1, PerSecond: c.perSecond, Refused: c.refused}}},
			}}
			demand.tick(now, time.Second, peers)
			if got := demand.of("llm")["m"].RefusedPerSecond; got != c.want {
				t.Errorf("%v requests refused each second, want %v", got, c.want)
			}
		})
	}
}

// TestRefusedRequestsReachTheHolder guards against a rate that is lost where a dispatcher sums up its
// group, or in the encoding.
func TestRefusedRequestsReachTheHolder(t *testing.T) {
	sums := map[modelKey]ModelLoad{}
	for range 3 {
		addLoad(sums, ModelLoad{Service: "llm", Model: "m", PerSecond: 0.7, Refused: 0.7})
	}
	encoded, err := msgpack.Marshal(sums[modelKey{"llm", "m"}])
	if err != nil {
		t.Fatal(err)
	}
	var got ModelLoad
	if err := msgpack.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	if got.Refused == 0 || got.validRefused() != got.Refused {
		t.Errorf("load %+v", got)
	}
}
