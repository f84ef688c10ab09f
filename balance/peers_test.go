package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// TestPeersLoadsAddUp compares the load of a picked instance with a plain sum over the peers with
// recent updates, after any series of messages.
func TestPeersLoadsAddUp(t *testing.T) {
	const ttl = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		type peerUpdate struct {
			at    time.Time
			loads map[string]balance.Load
		}
		now := time.Unix(1000, 0)
		tracker := balance.NewTracker()
		picker := balance.NewPicker(tracker)
		oracle := map[string]peerUpdate{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			peer := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "peer"))
			loads := map[string]balance.Load{}
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				id := fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance"))
				loads[id] = balance.Load{Requests: rapid.IntRange(1, 9).Draw(t, "requests"), PromptTokens: rapid.IntRange(0, 9).Draw(t, "tokens")}
			}
			tracker.SetPeer(now, peer, loads)
			oracle[peer] = peerUpdate{now, loads}
			// Outdated loads are only removed at intervals.
			now = now.Add(200 * time.Millisecond)
			for number := range 3 {
				id := fmt.Sprint("i", number)
				want := balance.Load{}
				for _, update := range oracle {
					if now.Sub(update.at) <= ttl {
						want.Requests += update.loads[id].Requests
						want.PromptTokens += update.loads[id].PromptTokens
					}
				}
				chosen := picker.Pick(now, []*fleet.Instance{instance(id, "z")}, &balance.Request{})
				if chosen.Load != want {
					t.Fatalf("%s has %+v, want %+v", id, chosen.Load, want)
				}
			}
		}
	})
}

// TestAnInstanceWithoutAnswersForSeveralIsLeftAlone guards against late detection in a large fleet,
// where each daemon sends a server few requests. The failures of two daemons start a backoff at the
// others, which continues after these two have ended their reports.
func TestAnInstanceWithoutAnswersForSeveralIsLeftAlone(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	group := []*fleet.Instance{instance("x", ""), instance("y", "")}
	pickAfter := func(at time.Time, broken int) string {
		load := map[string]balance.Load{"y": {Requests: 9}}
		if broken > 0 {
			load["x"] = balance.Load{Avoiding: broken, Broken: broken}
		}
		tracker.SetPeer(at, "group/a", load)
		return balance.NewPicker(tracker).Pick(at, group, &balance.Request{}).Instance.ID
	}
	if pickAfter(now, 1) != "x" {
		t.Error("not picked although only one daemon gets no answers")
	}
	if pickAfter(now, 2) == "x" {
		t.Error("picked although two daemons get no answers")
	}
	if pickAfter(now.Add(400*time.Millisecond), 0) == "x" {
		t.Error("picked again 0.4 s later")
	}
	retried := now.Add(600 * time.Millisecond)
	if pickAfter(retried, 0) != "x" {
		t.Error("not tried again after 0.6 s")
	}
	pickAfter(retried, 2)
	if pickAfter(retried.Add(800*time.Millisecond), 0) == "x" {
		t.Error("the second backoff is not longer")
	}
	if pickAfter(retried.Add(1200*time.Millisecond), 0) != "x" {
		t.Error("not tried again after the second backoff")
	}
}

// TestDoubtsThatAreToldAgainAreNoNews guards against a backoff that becomes longer with each
// repeated report. Daemons send all their loads each second, so two of them that still avoid an
// instance report no new failure.
func TestDoubtsThatAreToldAgainAreNoNews(t *testing.T) {
	now := time.Now()
	tracker := balance.NewTracker()
	group := []*fleet.Instance{instance("x", ""), instance("y", "")}
	broken := balance.Load{Avoiding: 1, Broken: 1}
	for second := range 4 {
		for _, peer := range []string{"a", "b"} {
			at := now.Add(time.Duration(second) * time.Second)
			tracker.MergePeer(at, peer, map[string]balance.Load{"x": broken, "y": {Requests: 5}}, false)
		}
	}
	later := now.Add(3500 * time.Millisecond)
	for _, peer := range []string{"a", "b"} {
		tracker.MergePeer(later, peer, map[string]balance.Load{"x": {}}, true)
	}
	if got := balance.NewPicker(tracker).Pick(later, group, &balance.Request{}).Instance.ID; got != "x" {
		t.Error("not picked although no daemon avoids it any more")
	}
	for _, peer := range []string{"a", "b"} {
		tracker.MergePeer(later, peer, map[string]balance.Load{"x": broken}, true)
	}
	if got := balance.NewPicker(tracker).Pick(later.Add(10*time.Millisecond), group, &balance.Request{}).Instance.ID; got == "x" {
		t.Error("picked although two daemons have just reported new failures")
	}
}
