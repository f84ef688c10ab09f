package sim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
)

// leavingBound is the promise: how long after an engine began to leave new work may
// still reach it.
const leavingBound = 5 * time.Second

const (
	zones  = 3
	models = 4
	// warmTime is how long the models take to be placed and loaded.
	warmTime = 60 * time.Second
	// lossTime is long enough for another daemon to take the polling over.
	lossTime = 20 * time.Second
	// callPause is short enough that each daemon sends to each engine every second.
	callPause = 10 * time.Millisecond
)

func zone(index int) string { return fmt.Sprintf("zone-%d", index%zones+1) }

// newFleet returns a world whose models are loaded and in use. The last zone has one
// daemon, which alone polls the engines there.
func newFleet(seed uint64, newsAge time.Duration) *sim.World {
	settings := sim.DefaultSettings()
	settings.Control.NewsAge = newsAge
	settings.Store.MachineLag = 4 * time.Second
	w := sim.New(settings, seed)
	for index := range 2 * zones {
		w.AddEngine(zone(index), "region-1", engine.DefaultSettings(fmt.Sprintf("engine-%d", index+1)))
	}
	for index := range 2*zones - 1 {
		w.AddDaemon(fmt.Sprintf("daemon-%d", index+1), zone(index), "region-1")
	}
	w.Run(20 * time.Second)
	for index := range models {
		model := api.Model{
			Name: fmt.Sprintf("model-%d", index), Serving: "v1", Versions: []api.Version{{Name: "v1", Bytes: 10 << 30}}, MinReplicas: 4,
		}
		object := api.Object{Key: api.Key{Kind: api.KindModel, Name: model.Name}, Writer: "operator", Value: api.Encode(model)}
		w.Platform.Write("operator", object, 0, func(api.Object, control.CallError) {})
	}
	for index := range zones {
		caller := w.NewCaller(zone(index))
		w.Every(callPause, func() bool {
			reference := api.ModelReference{Model: fmt.Sprintf("model-%d", w.Random.IntN(models))}
			caller.Send(sim.Call{Reference: reference, OutputTokens: 40, Deadline: 20 * time.Second}, func(sim.Result) {})
			return true
		})
	}
	w.Run(warmTime)
	return w
}

// leaveUnheard lets the engines of the last zone leave when the daemon that polls them
// has just died and nothing else can tell: the platform is down, and the other zones
// are cut from each other, but not from the engines. It returns the time after which
// the last new work reached one.
func leaveUnheard(w *sim.World, pause time.Duration) time.Duration {
	w.Network.Cut(zone(0), zone(1))
	w.Network.Cut(zone(1), zone(0))
	w.Platform.SetDown(true)
	w.Daemons[zones-1].Kill()
	w.Run(pause)
	for index, e := range w.Engines {
		if index%zones == zones-1 {
			e.Leave()
		}
	}
	w.Run(lossTime)
	return w.Oracle.LatestWorkAtLeaving
}

func TestLeavingEngineIsFoundOutWithoutItsPoller(t *testing.T) {
	for seed := range uint64(2) {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			w := newFleet(seed, control.DefaultSettings().NewsAge)
			late := leaveUnheard(w, pause)
			if w.Oracle.WorkAtLeaving == 0 {
				t.Fatalf("seed %d: the engines were not in use", seed)
			}
			if late > leavingBound {
				t.Errorf("seed %d, engines leave %s after the daemon died: work reached one %s after that", seed, pause, late)
			}
		}
	}
}

// TestLeavingEngineIsNotFoundOutByWaiting shows that the faults above are hard enough:
// a daemon that never asks the engines itself breaks the bound.
func TestLeavingEngineIsNotFoundOutByWaiting(t *testing.T) {
	for seed := range uint64(2) {
		if leaveUnheard(newFleet(seed, time.Hour), 0) > leavingBound {
			return
		}
	}
	t.Fatal("the bound was kept without asking")
}

// TestLeavingEngineIsFoundOutThoughItsPollerIsCutOff lets engines leave whose polling
// daemon is well but cannot reach them, while the platform is down.
func TestLeavingEngineIsFoundOutThoughItsPollerIsCutOff(t *testing.T) {
	for seed := range uint64(2) {
		for _, back := range []bool{false, true} {
			w := newFleet(seed, control.DefaultSettings().NewsAge)
			w.Platform.SetDown(true)
			for index, e := range w.Engines {
				if index%zones != zones-1 {
					continue
				}
				w.Network.Cut(e.Name, w.Daemons[zones-1].Name)
				if back {
					w.Network.Cut(w.Daemons[zones-1].Name, e.Name)
				}
				e.Leave()
			}
			w.Run(lossTime)
			if w.Oracle.WorkAtLeaving == 0 {
				t.Fatalf("seed %d: the engines were not in use", seed)
			}
			if late := w.Oracle.LatestWorkAtLeaving; late > leavingBound {
				t.Errorf("seed %d, cut both ways %v: work reached a leaving engine after %s", seed, back, late)
			}
		}
	}
}
