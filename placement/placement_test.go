package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/api"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/placement"
)

const gib = int64(1) << 30

func weights(model, version string) api.Artifact {
	return api.Artifact{Model: model, Version: version}
}

func held(artifact api.Artifact, bytes int64) api.PlacementEntry {
	return api.PlacementEntry{Artifact: artifact, Bytes: bytes, Phase: api.PhaseHeld, Anchor: true, Since: 1}
}

func backEnd(name, zone string, entries ...api.PlacementEntry) placement.BackEnd {
	report := &api.Report{BackEnd: name, Slots: 16, MemoryBytes: 80 * gib}
	for _, entry := range entries {
		if entry.Phase == api.PhaseHeld {
			report.Residents = append(report.Residents, entry.Artifact)
		}
	}
	return placement.BackEnd{
		Name: name, Zone: zone, MemoryBytes: 80 * gib, ChecksFence: true, Version: 1,
		Placement: api.Placement{BackEnd: name, Entries: entries}, Report: report,
	}
}

func model(name, serving string, replicas int) placement.Model {
	return placement.Model{Model: api.Model{
		Name: name, Serving: serving, MinReplicas: replicas,
		Versions: []api.Version{{Name: "v1", Bytes: 20 * gib}, {Name: "v2", Bytes: 20 * gib}},
	}}
}

func snapshot(backEnds []placement.BackEnd, models ...placement.Model) placement.Snapshot {
	return placement.Snapshot{Now: time.Unix(100000, 0), BackEnds: backEnds, Models: models, Settings: placement.DefaultSettings()}
}

func format(operations []placement.Operation) string {
	text := ""
	for _, operation := range operations {
		text += fmt.Sprintf("%s %s@%s;", operation.Kind, operation.Artifact, operation.BackEnd)
	}
	return text
}

func TestPlan(t *testing.T) {
	v1, v2 := weights("m", "v1"), weights("m", "v2")
	moving := func(entry api.PlacementEntry) api.PlacementEntry {
		entry.Moving = true
		return entry
	}
	drained := func(b placement.BackEnd) placement.BackEnd {
		b.Placement.Drained = true
		return b
	}
	down := func(b placement.BackEnd) placement.BackEnd {
		b.Health = placement.Down
		return b
	}
	suspended := func(b placement.BackEnd) placement.BackEnd {
		b.Health = placement.Suspended
		return b
	}
	surplus := held(v1, 20*gib)
	surplus.Anchor = false
	busy := model("m", "v1", 1)
	busy.Demand = placement.Demand{Fast: 30, Slow: 30}
	unreported := func(b placement.BackEnd) placement.BackEnd {
		b.Report = nil
		return b
	}
	loading := func(b placement.BackEnd) placement.BackEnd {
		b.Report.Loading, b.Report.Residents = b.Report.Residents, nil
		return b
	}
	deleted := model("m", "v1", 1)
	deleted.Deleted = true
	cases := []struct {
		name     string
		backEnds []placement.BackEnd
		model    placement.Model
		want     string
	}{
		{"replicas go to different zones", []placement.BackEnd{backEnd("a", "1"), backEnd("b", "1"), backEnd("c", "2")}, model("m", "v1", 2), "zones 2"},
		{"no change is needed", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "2", held(v1, 20*gib))}, model("m", "v1", 2), ""},
		{"a lost replica is replaced", []placement.BackEnd{down(backEnd("a", "1", held(v1, 20*gib))), backEnd("b", "2", held(v1, 20*gib)), backEnd("c", "3")}, model("m", "v1", 2), "add m@v1@c;"},
		{"a suspended replica is not replaced yet", []placement.BackEnd{suspended(backEnd("a", "1", held(v1, 20*gib))), backEnd("b", "2", held(v1, 20*gib)), backEnd("c", "3")}, model("m", "v1", 2), ""},
		{"a model with only suspended replicas gets another", []placement.BackEnd{suspended(backEnd("a", "1", held(v1, 20*gib))), backEnd("c", "3")}, model("m", "v1", 2), "add m@v1@c;"},
		{"no operation without enough memory", []placement.BackEnd{backEnd("a", "1", held(weights("x", "v1"), 70*gib))}, model("m", "v1", 1), ""},
		{"demand adds replicas", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "2"), backEnd("c", "3")}, busy, "adds 2"},
		{"demand adds nothing while no engine with the model has reported", []placement.BackEnd{unreported(backEnd("a", "1", held(v1, 20*gib))), backEnd("b", "2")}, busy, ""},
		{"a surplus replica is released after its minimum stay", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "2", surplus)}, model("m", "v1", 1), "release m@v1@b;"},
		{"a replaced version is marked as moving first", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "2", held(v2, 20*gib))}, model("m", "v2", 1), "mark_moving m@v1@a;"},
		{"a replaced version is released once the new one serves", []placement.BackEnd{backEnd("a", "1", moving(held(v1, 20*gib))), backEnd("b", "2", held(v2, 20*gib))}, model("m", "v2", 1), "release m@v1@a;"},
		{"a drained replica is kept until others serve", []placement.BackEnd{drained(backEnd("a", "1", moving(held(v1, 20*gib)))), backEnd("b", "2")}, model("m", "v1", 1), "add m@v1@b;"},
		{"two versions on one engine count once", []placement.BackEnd{
			backEnd("a", "1", held(v2, 20*gib), moving(held(v1, 20*gib))), drained(backEnd("b", "2", moving(held(v2, 20*gib)))),
			loading(backEnd("c", "3", held(v2, 20*gib))),
		}, model("m", "v2", 2), "release m@v1@a;"},
		{"an old version is kept while its engine is needed for the minimum", []placement.BackEnd{
			backEnd("a", "1", held(v2, 20*gib)), backEnd("b", "2", moving(held(v1, 20*gib))), loading(backEnd("c", "3", held(v2, 20*gib))),
		}, model("m", "v2", 2), ""},
		{"an old version is released on an engine that serves the new one", []placement.BackEnd{
			backEnd("a", "1", held(v2, 20*gib), moving(held(v1, 20*gib))), backEnd("b", "2", moving(held(v1, 20*gib))), loading(backEnd("c", "3", held(v2, 20*gib))),
		}, model("m", "v2", 2), "release m@v1@a;"},
		{"a moving replica is kept if it is needed", []placement.BackEnd{backEnd("a", "1", moving(held(v1, 20*gib)))}, model("m", "v1", 1), "keep m@v1@a;"},
		{"replicas in one zone are spread", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "1", held(v1, 20*gib)), backEnd("c", "2")}, model("m", "v1", 2), "add m@v1@c;"},
		{"the surplus anchor is marked as moving in the zone with most replicas", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib)), backEnd("b", "1", held(v1, 20*gib)), backEnd("c", "2", held(v1, 20*gib))}, model("m", "v1", 2), "mark_moving m@v1@b;"},
		{"a deleted adapter is released", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib), held(api.Artifact{Model: "m", Version: "v1", Adapter: "old"}, gib))}, model("m", "v1", 1), "release m@v1+old@a;"},
		{"a deleted model is released", []placement.BackEnd{backEnd("a", "1", held(v1, 20*gib))}, deleted, "release m@v1@a;"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			operations := placement.Plan(snapshot(c.backEnds, c.model))
			got := format(operations)
			switch c.want {
			case "zones 2":
				if len(operations) != 2 || (operations[0].BackEnd != "c") == (operations[1].BackEnd != "c") {
					t.Fatalf("planned %s", got)
				}
			case "adds 2":
				if len(operations) != 2 || operations[0].Kind != placement.OperationAdd || operations[1].Kind != placement.OperationAdd {
					t.Fatalf("planned %s", got)
				}
			default:
				if got != c.want {
					t.Fatalf("planned %q, want %q", got, c.want)
				}
			}
		})
	}
}

func TestReconcile(t *testing.T) {
	v1 := weights("m", "v1")
	adapter := api.Artifact{Model: "m", Version: "v1", Adapter: "a"}
	releasing := held(v1, 20*gib)
	releasing.Phase = api.PhaseReleasing
	cases := []struct {
		name        string
		entry       api.PlacementEntry
		checksFence bool
		report      api.Report
		orders      string
		changed     bool
	}{
		{"a missing artifact is loaded", held(v1, gib), true, api.Report{}, "load m@v1 7;", false},
		{"no order for a resident artifact", held(v1, gib), true, api.Report{Residents: []api.Artifact{v1}}, "", false},
		{"no order for a loading artifact", held(v1, gib), true, api.Report{Loading: []api.Artifact{v1}}, "", false},
		{"an adapter waits for its weights", held(adapter, gib), true, api.Report{}, "", false},
		{"an adapter is loaded once its weights serve", held(adapter, gib), true, api.Report{Residents: []api.Artifact{v1}}, "load m@v1+a 7;", false},
		{"a releasing artifact is unloaded", releasing, true, api.Report{Residents: []api.Artifact{v1}}, "unload m@v1 7;", false},
		{"an unload raises the fence although the artifact is gone", releasing, true, api.Report{Fence: 6}, "unload m@v1 7;", false},
		{"the reservation ends at the fence", releasing, true, api.Report{Fence: 7}, "", true},
		{"the reservation stays while the artifact is loading", releasing, true, api.Report{Fence: 7, Loading: []api.Artifact{v1}}, "unload m@v1 7;", false},
		{"the reservation never ends without a checked fence", releasing, false, api.Report{Fence: 99}, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			record := api.Placement{BackEnd: "a", Entries: []api.PlacementEntry{c.entry}}
			result := placement.Reconcile(record, 7, c.checksFence, &c.report, 2)
			got := ""
			for _, order := range result.Orders {
				got += fmt.Sprintf("%s %s %d;", order.Kind, order.Artifact, order.Fence)
			}
			if got != c.orders || result.RecordChanged != c.changed {
				t.Fatalf("orders %q changed %v, want %q and %v", got, result.RecordChanged, c.orders, c.changed)
			}
		})
	}
}

// TestPlansNeverOvercommit guards against records that reserve more memory than the
// back end has. It applies plans that several planners make for random models, from
// states that may be outdated.
func TestPlansNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "back ends")
		backEnds := make([]placement.BackEnd, count)
		for i := range backEnds {
			backEnds[i] = backEnd(fmt.Sprintf("b%d", i), fmt.Sprintf("z%d", i%3))
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			stale := append([]placement.BackEnd(nil), backEnds...)
			for range rapid.IntRange(1, 3).Draw(t, "planners") {
				next := model(fmt.Sprintf("m%d", rapid.IntRange(0, 8).Draw(t, "model")), "v1", rapid.IntRange(1, 3).Draw(t, "replicas"))
				next.Model.Versions[0].Bytes = int64(rapid.IntRange(1, 60).Draw(t, "size")) * gib
				next.Demand.Fast = float64(rapid.IntRange(0, 100).Draw(t, "demand"))
				for _, operation := range placement.Plan(snapshot(stale, next)) {
					applyIfCurrent(t, backEnds, operation)
				}
			}
		}
	})
}

// applyIfCurrent applies an operation if the record still has the version that it
// was planned on, like the object API's conditional update.
func applyIfCurrent(t *rapid.T, backEnds []placement.BackEnd, operation placement.Operation) {
	for i := range backEnds {
		b := &backEnds[i]
		if b.Name != operation.BackEnd || b.Version != operation.IfVersion {
			continue
		}
		record, ok := placement.Apply(b.Placement, b.MemoryBytes, operation, time.Unix(100000, 0))
		if !ok {
			return
		}
		if record.Reserved() > b.MemoryBytes {
			t.Fatalf("%s reserves %d of %d bytes", b.Name, record.Reserved(), b.MemoryBytes)
		}
		b.Placement, b.Version = record, b.Version+1
	}
}

// BenchmarkPlan measures a full plan of 600 models on 600 back ends.
func BenchmarkPlan(b *testing.B) {
	const size = 600
	var backEnds []placement.BackEnd
	var models []placement.Model
	for i := range size {
		backEnds = append(backEnds, backEnd(fmt.Sprintf("b%03d", i), fmt.Sprintf("z%d", i%5)))
		models = append(models, model(fmt.Sprintf("m%03d", i), "v1", 2))
	}
	for b.Loop() {
		if got := len(placement.Plan(snapshot(backEnds, models...))); got < size {
			b.Fatalf("%d operations", got)
		}
	}
}
