package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// softwareView has instances of the given software versions, all with the model m.
func softwareView(versions ...string) *fleet.View {
	var instances []*fleet.Instance
	for number, software := range versions {
		instances = append(instances, &fleet.Instance{
			ID: string(rune('a' + number)), Service: "svc", Slots: 4, Software: software, Residents: []fleet.Resident{{Model: "m"}},
		})
	}
	return fleet.NewView(configuration(), instances)
}

// TestBrokenStreamGoesOnAtItsVersionOnly guards against a stream that goes on, within one answer, at an instance of another
// software version than the one that began it, and against a wait for a version that nobody has.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	cut := answer{status: 200, body: "id: 1\n\n", cut: true}
	cases := []struct {
		name     string
		versions []string
		answers  []answer
		aborted  bool
		sent     int
	}{
		{"another of the version", []string{"v1", "v1"}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"instances that say no version", []string{"", ""}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"only of another version", []string{"v1", "v2"}, []answer{cut}, true, 1},
		{"one that says no version", []string{"v1", ""}, []answer{cut}, true, 1},
		{"broken before its first event", []string{"v1", "v2"}, []answer{{status: 200, cut: true}, {status: 200, body: "id: 1\n\n"}}, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &script{answers: c.answers}
				g := newGateway(upstream, &noDemand{})
				g.SetView(softwareView(c.versions...))
				sent, got := request("resume"), &client{}
				sent.Model = "m"
				g.Serve(context.Background(), sent, got)
				if len(upstream.sent) != c.sent || got.aborted != c.aborted || got.at.Sub(sent.Arrived) > 100*time.Millisecond {
					t.Errorf("sent %d times, aborted %v after %v", len(upstream.sent), got.aborted, got.at.Sub(sent.Arrived))
				}
			})
		})
	}
}

// knownOrigins are an Origins that knows what began some streams, and keeps what it is told.
type knownOrigins struct {
	known map[string]gateway.StreamOrigin
	began []gateway.BegunStream
}

func (o *knownOrigins) Began(begun gateway.BegunStream) { o.began = append(o.began, begun) }

func (o *knownOrigins) Find(_ context.Context, request *gateway.Request, _ *fleet.Route, _ string) (gateway.StreamOrigin, bool) {
	found, known := o.known[request.Resumes]
	return found, known
}

// TestTakeUps guards against a stream that goes on at another version than the one that began it, or where nobody knows that,
// and against refusals of requests that take nothing up.
func TestTakeUps(t *testing.T) {
	cases := []struct {
		name, route, resumes, after string
		status                      int
		// software is where it goes; empty for anywhere.
		software string
		reason   gateway.Reason
	}{
		{"known", "resume", "first", "3", 200, "v2", ""},
		{"known, of a version that nobody runs", "resume", "old", "3", 503, "", gateway.ReasonNoSoftware},
		{"unknown", "resume", "nobody's", "3", 503, "", gateway.ReasonUnknownOrigin},
		{"not named", "resume", "", "3", 503, "", gateway.ReasonUnknownOrigin},
		{"unknown, begins anew", "resume", "nobody's", "", 200, "", ""},
		{"known, begins anew", "resume", "first", "", 200, "v2", ""},
		{"a new stream", "resume", "", "", 200, "", ""},
		{"a route whose streams may not be taken up", "stream", "nobody's", "3", 200, "", ""},
		{"a route without streams", "safe", "nobody's", "3", 200, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := &knownOrigins{known: map[string]gateway.StreamOrigin{"first": {Service: "svc", Software: "v2"}, "old": {Service: "svc", Software: "v0"}}}
				settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, WaitShare: 0.5, ShareOfConnections: func() float64 { return 1 }, Origins: origins}
				upstream := &script{}
				g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudget(0.2, 10), &noDemand{}, silent{})
				g.SetView(softwareView("v1", "v1", "v2"))
				sent, got := request(c.route), &client{}
				sent.Model, sent.Resumes, sent.ResumeAfter = "m", c.resumes, c.after
				g.Serve(context.Background(), sent, got)
				if got.status != c.status || got.reason != c.reason || got.at.Sub(sent.Arrived) > 100*time.Millisecond {
					t.Fatalf("status %d, reason %q after %v", got.status, got.reason, got.at.Sub(sent.Arrived))
				}
				if c.software != "" && upstream.sent[0].Instance.Software != c.software {
					t.Errorf("went to %s", upstream.sent[0].Instance.Software)
				}
				if told := len(origins.began) == 1; told != (c.route == "resume" && c.status == 200) {
					t.Errorf("told of %+v", origins.began)
				}
			})
		})
	}
}
