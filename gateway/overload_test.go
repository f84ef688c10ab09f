package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// busyTracker returns a tracker that has measured answers of one second, and to which another daemon has reported a
// number of requests at the only instance of the model.
func busyTracker(requests int) *balance.Tracker {
	tracker := balance.NewTracker()
	for range 20 {
		tracker.ObserveRun(&balance.Candidate{Instance: &fleet.Instance{ID: "i1", Service: "svc", Slots: 4}}, time.Second)
	}
	tracker.SetPeer(time.Now(), "peer", map[string]balance.Load{"i1": {Requests: requests}})
	return tracker
}

// oneInstance returns a view in which a single instance, with four places in its batch, has the model.
func oneInstance(priority int) *fleet.View {
	routes := configuration()
	for i := range routes.Routes {
		routes.Routes[i].Priority = priority
	}
	return fleet.NewView(routes, []*fleet.Instance{{ID: "i1", Service: "svc", Slots: 4, Residents: []fleet.Resident{{Model: "m"}}}})
}

// TestWhatCannotBeginInTimeIsRefusedAtOnce guards against requests that are queued although their first token would
// come too late, and against refusals of those in time. A place in the batch of the only instance becomes free every
// quarter of a second, and the target is one second.
func TestWhatCannotBeginInTimeIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		waited   time.Duration
		resumes  string
		served   bool
	}{
		{"a free place", 3, 0, "", true},
		{"in time behind two", 5, 0, "", true},
		{"too late behind eight", 12, 0, "", false},
		{"too late after a wait", 6, 600 * time.Millisecond, "", false},
		{"late after a wait, but begins soon", 3, 990 * time.Millisecond, "", true},
		{"a resumed stream", 12, 0, "7", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &scriptedUpstream{answers: []answer{{status: 200, body: "id: 1\n\n"}}}
				g := trackedGateway(upstream, &recordingDemand{}, busyTracker(c.requests))
				g.SetView(oneInstance(0))
				sent := request("stream")
				sent.Model, sent.ResumeAfter, sent.Arrived = "m", c.resumes, time.Now().Add(-c.waited)
				got, begun := &recordingReply{}, time.Now()
				g.Serve(context.Background(), sent, got)
				if served := got.status == 200; served != c.served {
					t.Fatalf("status %d (%s), want served %v", got.status, got.reason, c.served)
				}
				if !c.served && (got.at != begun || got.retryAfter == 0 || len(upstream.sent) > 0) {
					t.Errorf("refused after %v, retry after %v, sent %d times", got.at.Sub(begun), got.retryAfter, len(upstream.sent))
				}
			})
		})
	}
}

// TestPatientRequestsWaitHereWhileABatchIsFull guards against less urgent requests that are sent to an instance with a
// full batch, where they would delay urgent ones, and against a delay of urgent ones.
func TestPatientRequestsWaitHereWhileABatchIsFull(t *testing.T) {
	for priority, want := range map[int]time.Duration{0: 0, 1: 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			upstream := &scriptedUpstream{answers: []answer{{status: 200, body: "id: 1\n\n"}}}
			g := trackedGateway(upstream, &recordingDemand{}, busyTracker(4))
			g.SetView(oneInstance(priority))
			sent := request("stream")
			sent.Model = "m"
			got := &recordingReply{}
			g.Serve(context.Background(), sent, got)
			took := got.at.Sub(sent.Arrived)
			if got.status != 200 || took < want || took > want+50*time.Millisecond {
				t.Errorf("priority %d: status %d after %v, want 200 after %v", priority, got.status, took, want)
			}
		})
	}
}

// TestRefusalsForLackOfCapacityAreDemand guards against models that appear idle because their requests are refused at
// once, and against refusals for other reasons that are counted as demand.
func TestRefusalsForLackOfCapacityAreDemand(t *testing.T) {
	cases := []struct {
		name   string
		view   *fleet.View
		queued int
		model  string
		answer answer
		counts bool
	}{
		{"served", oneInstance(0), 0, "m", answer{status: 200, body: "id: 1\n\n"}, false},
		{"overloaded", oneInstance(0), 12, "m", answer{}, true},
		{"no model", oneInstance(0), 0, "other", answer{}, true},
		{"without a model", view(), 0, "", answer{status: 200, body: "id: 1\n\n"}, false},
		{"declined", oneInstance(0), 0, "m", answer{status: 503, declined: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				demand := &recordingDemand{}
				g := trackedGateway(&scriptedUpstream{answers: []answer{c.answer, c.answer}}, demand, busyTracker(c.queued))
				g.SetView(c.view)
				sent := request("stream")
				sent.Model = c.model
				got := &recordingReply{}
				g.Serve(context.Background(), sent, got)
				if counts := len(demand.refused) > 0; counts != c.counts || len(demand.refused) > 1 {
					t.Errorf("status %d (%s), refusals %v", got.status, got.reason, demand.refused)
				}
			})
		})
	}
}
