package balance_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

func instance(id, zone string, models ...fleet.Resident) *fleet.Instance {
	return &fleet.Instance{ID: id, Zone: zone, Slots: 10, Residents: models}
}

func TestPick(t *testing.T) {
	now := time.Now()
	model := fleet.Resident{Model: "m", Adapters: []string{"a1"}}
	cases := []struct {
		name      string
		instances []*fleet.Instance
		request   balance.Request
		prepare   func(*balance.Tracker)
		want      string
	}{
		{"a single instance", []*fleet.Instance{instance("x", "z")}, balance.Request{}, nil, "x"},
		{"no instance", nil, balance.Request{}, nil, ""},
		{"leaving", []*fleet.Instance{{ID: "x", Leaving: true}}, balance.Request{}, nil, ""},
		{"excluded", []*fleet.Instance{instance("x", "z")}, balance.Request{Excluded: []string{"x"}}, nil, ""},
		{"without the model", []*fleet.Instance{instance("x", "z")}, balance.Request{Model: "m"}, nil, ""},
		{"with the model", []*fleet.Instance{instance("x", "z"), instance("y", "z", model)}, balance.Request{Model: "m"}, nil, "y"},
		{"without the adapter", []*fleet.Instance{instance("x", "z", model)}, balance.Request{Model: "m", Adapter: "a2"}, nil, ""},
		{"with the adapter", []*fleet.Instance{instance("x", "z", model)}, balance.Request{Model: "m", Adapter: "a1"}, nil, "x"},
		{"less load here", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			for range 4 {
				t.Begin("x", 0)
			}
		}, "y"},
		{"less load at another daemon", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.SetPeer(now, "peer", map[string]balance.Load{"y": {Requests: 5}})
		}, "x"},
		{"fewer prompts to read", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{MemoryTokens: 16000}, func(t *balance.Tracker) {
			t.SetPeer(now, "peer", map[string]balance.Load{"y": {Requests: 1, PromptTokens: 1000}, "x": {Requests: 2}})
		}, "x"},
		{"a peer without recent updates does not count", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.SetPeer(now.Add(-time.Minute), "peer", map[string]balance.Load{"y": {Requests: 50}})
			t.SetPeer(now, "other", map[string]balance.Load{"x": {Requests: 5}})
		}, "y"},
		{"unreached just now", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.Begin("x", 0)
			t.End(now, "x", balance.Unreached, siblings("x", "y"))
			t.SetPeer(now, "peer", map[string]balance.Load{"y": {Requests: 9}})
		}, "y"},
		{"unreached, but no other instance", []*fleet.Instance{instance("x", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.Begin("x", 0)
			t.End(now, "x", balance.Unreached, siblings("x"))
		}, "x"},
		{"reported to lack the model", []*fleet.Instance{instance("x", "z", model)}, balance.Request{Model: "m"}, func(t *balance.Tracker) {
			t.ObserveMissing(now, "x", "m", "", time.Minute)
		}, ""},
		{"avoided by two other daemons", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.SetPeer(now, "peer", map[string]balance.Load{"x": {Avoiding: 1}, "y": {Requests: 5}})
			t.SetPeer(now, "other", map[string]balance.Load{"x": {Avoiding: 1}})
		}, "y"},
		{"avoided by one other daemon", []*fleet.Instance{instance("x", "z"), instance("y", "z")}, balance.Request{}, func(t *balance.Tracker) {
			t.SetPeer(now, "peer", map[string]balance.Load{"x": {Avoiding: 1}, "y": {Requests: 5}})
		}, "x"},
		{"the same zone", []*fleet.Instance{instance("x", "far"), instance("y", "near")}, balance.Request{Zone: "near", ZoneCost: 0.03, Affinity: 3}, func(t *balance.Tracker) {
			t.SetPeer(now, "peer", map[string]balance.Load{"x": {Requests: 1}})
		}, "y"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := balance.NewTracker()
			if c.prepare != nil {
				c.prepare(tracker)
			}
			picked := balance.NewPicker(tracker).Pick(now, c.instances, &c.request)
			got := ""
			if picked != nil {
				got = picked.Instance.ID
			}
			if got != c.want {
				t.Errorf("picked %q, want %q", got, c.want)
			}
		})
	}
}

func siblings(ids ...string) []*fleet.Instance {
	var all []*fleet.Instance
	for _, id := range ids {
		all = append(all, instance(id, ""))
	}
	return all
}

// endRequests begins and ends a number of requests at an instance with the same outcome. It reports
// whether the instance was ejected.
func endRequests(tracker *balance.Tracker, now time.Time, id string, outcome balance.Outcome, count int) bool {
	ejected := false
	for range count {
		tracker.Begin(id, 0)
		ejected = tracker.End(now, id, outcome, siblings("x", "y", "z")) || ejected
	}
	return ejected
}

func TestAnInstanceThatFailsAloneIsEjected(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	endRequests(tracker, now, "y", balance.Served, 10)
	endRequests(tracker, now, "z", balance.Served, 10)
	if !endRequests(tracker, now, "x", balance.Failed, 6) {
		t.Fatal("not ejected")
	}
	picker := balance.NewPicker(tracker)
	group := []*fleet.Instance{instance("x", ""), instance("y", ""), instance("z", "")}
	tracker.SetPeer(now, "peer", map[string]balance.Load{"y": {Requests: 9}, "z": {Requests: 9}})
	if got := picker.Pick(now, group, &balance.Request{}).Instance.ID; got == "x" {
		t.Error("an ejected instance is picked")
	}
	later := now.Add(10 * time.Second)
	tracker.SetPeer(later, "peer", map[string]balance.Load{"y": {Requests: 9}, "z": {Requests: 9}})
	if got := picker.Pick(later, group, &balance.Request{}).Instance.ID; got != "x" {
		t.Errorf("%s is picked after the ejection has ended", got)
	}
}

func TestWhenAllFailAlikeNoneIsEjected(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	for range 10 {
		for _, id := range []string{"x", "y", "z"} {
			if endRequests(tracker, now, id, balance.Failed, 1) {
				t.Fatalf("%s is ejected", id)
			}
		}
	}
}

// TestSilentInstanceIsAvoided guards against picking an instance whose machine has failed. Its
// connections report no error, but nothing arrives while it has requests.
func TestSilentInstanceIsAvoided(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	tracker.Begin("x", 0)
	later := now.Add(2 * time.Second)
	tracker.SetPeer(later, "peer", map[string]balance.Load{"y": {Requests: 9}})
	group := []*fleet.Instance{instance("x", ""), instance("y", "")}
	if got := balance.NewPicker(tracker).Pick(later, group, &balance.Request{}).Instance.ID; got != "y" {
		t.Fatalf("picked %s", got)
	}
	if got := balance.NewPicker(tracker).Pick(now, group, &balance.Request{}).Instance.ID; got != "x" {
		t.Fatalf("picked %s before the stall timeout", got)
	}
}

func BenchmarkPick(b *testing.B) {
	tracker := balance.NewTracker()
	group := make([]*fleet.Instance, 100)
	for i := range group {
		group[i] = instance(string(rune('a'+i%26))+string(rune('a'+i/26)), "z", fleet.Resident{Model: "m"})
	}
	picker := balance.NewPicker(tracker)
	request := balance.Request{Model: "m", MemoryTokens: 1000, Affinity: 7}
	now := time.Now()
	for b.Loop() {
		picker.Pick(now, group, &request)
	}
}

// TestAnInstanceThatDeclinesAllIsLeftAloneLonger guards against an instance that declines all
// requests while others answer. It looks idle, and must not attract more requests because of that.
func TestAnInstanceThatDeclinesAllIsLeftAloneLonger(t *testing.T) {
	tracker, now := balance.NewTracker(), time.Now()
	declined := 0
	for range 200 {
		picked := balance.NewPicker(tracker).Pick(now, []*fleet.Instance{instance("x", "z"), instance("y", "z")}, &balance.Request{})
		id := picked.Instance.ID
		tracker.Begin(id, 0)
		outcome := balance.Served
		if id == "x" {
			declined++
			outcome = balance.Declined
		}
		tracker.End(now, id, outcome, siblings("x", "y"))
		now = now.Add(50 * time.Millisecond)
	}
	if declined > 8 {
		t.Errorf("%d of 200 requests in ten seconds went to an instance that declines all requests", declined)
	}
	if own := tracker.OwnLoads(now)["x"]; own.Avoiding != 1 {
		t.Errorf("the backoff is not reported: %+v", own)
	}
}

// TestAnInstanceWithoutAnswersIsLeftAlone guards against picking an instance that accepts
// connections and resets them. The first reset starts a backoff, and further ones start longer
// backoffs.
func TestAnInstanceWithoutAnswersIsLeftAlone(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	group := []*fleet.Instance{instance("x", ""), instance("y", "")}
	pickAt := func(at time.Time) string {
		tracker.SetPeer(at, "peer", map[string]balance.Load{"y": {Requests: 9}})
		return balance.NewPicker(tracker).Pick(at, group, &balance.Request{}).Instance.ID
	}
	endRequests(tracker, now, "x", balance.Broken, 2)
	if pickAt(now.Add(250*time.Millisecond)) == "x" {
		t.Error("picked 0.25 s after it ended two connections")
	}
	retried := now.Add(350 * time.Millisecond)
	if pickAt(retried) != "x" {
		t.Fatal("not tried again after 0.35 s")
	}
	endRequests(tracker, retried, "x", balance.Broken, 1)
	if pickAt(retried.Add(500*time.Millisecond)) == "x" {
		t.Error("picked 0.5 s after it failed again")
	}
	if pickAt(retried.Add(650*time.Millisecond)) != "x" {
		t.Error("not tried again after 0.65 s")
	}
}

// TestCrowdedForARequestThatYields guards against a dispatcher that counts a request as load of an
// instance although the request waits at its daemon. It also guards against a request that waits
// although the number of slots is not known.
func TestCrowdedForARequestThatYields(t *testing.T) {
	cases := []struct {
		name            string
		slots, requests int
		yields, want    bool
	}{
		{"a full batch", 4, 4, true, true},
		{"more than a full batch", 4, 7, true, true},
		{"a free slot", 4, 3, true, false},
		{"a full batch, does not yield", 4, 4, false, false},
		{"slots are not known", 0, 4, true, false},
	}
	for _, c := range cases {
		now, tracker := time.Now(), balance.NewTracker()
		tracker.SetPeer(now, "peer", map[string]balance.Load{"x": {Requests: c.requests}})
		picked := balance.NewPicker(tracker).Pick(now, []*fleet.Instance{{ID: "x", Slots: c.slots}}, &balance.Request{Yields: c.yields})
		if picked.Crowded != c.want {
			t.Errorf("%s: crowded %v, want %v", c.name, picked.Crowded, c.want)
		}
	}
}
