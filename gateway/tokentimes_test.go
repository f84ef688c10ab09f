package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

// choiceRecorder is a Chooser that stores its requests, and returns the first instance with a given slowness and load.
type choiceRecorder struct {
	requests []balance.Request
	slowness float64
	load     balance.Load
}

func (c *choiceRecorder) Choose(_ context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	c.requests = append(c.requests, *request)
	return &balance.Candidate{Instance: view.Instances(service)[0], Available: true, CandidateCount: 1, Slowness: c.slowness, Load: c.load}
}

// serveStream serves a request with 40 expected tokens, the first of which arrives after 200 ms and the
// last 400 ms later.
func serveStream(tracker *balance.Tracker, chooser *choiceRecorder, route, resumeAfter string) *recordingReply {
	upstream := &scriptedUpstream{answers: []answer{{status: 200, body: "id: 1\n\n", after: 200 * time.Millisecond, pause: 400 * time.Millisecond}}}
	g := trackedGateway(upstream, &recordingDemand{}, tracker)
	routes := configuration()
	for i := range routes.Routes {
		routes.Routes[i].TargetGap = 300 * time.Millisecond
	}
	g.SetView(fleet.NewView(routes, []*fleet.Instance{{ID: "i1", Service: "svc", Slots: 4, Residents: []fleet.Resident{{Model: "m"}}}}))
	g.SetChooser(chooser)
	sent, got := request(route), &recordingReply{}
	sent.Model, sent.PromptTokens, sent.OutputTokens, sent.ResumeAfter = "m", 2000, 40, resumeAfter
	g.Serve(context.Background(), sent, got)
	return got
}

// TestTheChoiceHearsWhatItDependsOn guards against a choice that does not receive the length of the answer, its target
// gap or the token times of this daemon. Eight requests are served before, one after another.
func TestTheChoiceHearsWhatItDependsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, chooser := balance.NewTracker(), &choiceRecorder{slowness: 2}
		for range 9 {
			serveStream(tracker, chooser, "stream", "")
		}
		first, last := chooser.requests[0], chooser.requests[8]
		if first.OutputTokens != 40 || first.TargetGap != 300*time.Millisecond || first.Tokens != (balance.TokenTimes{}) {
			t.Errorf("the first choice received %+v", first)
		}
		// The instance is twice as slow as the typical one.
		want := balance.TokenTimes{Read: 50 * time.Microsecond, Generate: 5 * time.Millisecond, Output: 40}
		if last.Tokens != want {
			t.Errorf("after eight streams the choice receives %+v, want %+v", last.Tokens, want)
		}
		serveStream(tracker, chooser, "safe", "")
		if got := chooser.requests[9].TargetGap; got != 0 {
			t.Errorf("a request that is no stream has a target gap of %v", got)
		}
	})
}

// TestAResumedStreamTeachesNothingAboutTokens guards against token times that are too short because a resumed stream,
// which is only the rest of the answer, is measured as the whole answer that its client expects.
func TestAResumedStreamTeachesNothingAboutTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, chooser := balance.NewTracker(), &choiceRecorder{}
		for range 9 {
			serveStream(tracker, chooser, "resume", "7")
		}
		if got := chooser.requests[8].Tokens; got != (balance.TokenTimes{}) {
			t.Errorf("token times %+v after resumed streams only", got)
		}
	})
}

// TestTheSlownessOfTheChosenServerIsInTheForecast guards against forecasts that ignore the slowness of the chosen
// instance: requests would be refused for the speed of another instance, or sent to one that begins too late. Six
// requests wait or run at four places, and answers of the typical instance run for a second.
func TestTheSlownessOfTheChosenServerIsInTheForecast(t *testing.T) {
	for slowness, served := range map[float64]bool{0: true, 1: true, 2: false, 0.5: true} {
		t.Run(fmt.Sprint(slowness), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker, chooser := balance.NewTracker(), &choiceRecorder{slowness: slowness, load: balance.Load{Requests: 6}}
				tracker.ObserveRun(&balance.Candidate{Instance: &fleet.Instance{ID: "other", Service: "svc", Slots: 4}}, time.Second)
				if got := serveStream(tracker, chooser, "stream", ""); (got.status == 200) != served {
					t.Errorf("status %d (%s), want served %v", got.status, got.reason, served)
				}
			})
		})
	}
}
