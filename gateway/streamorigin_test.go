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

// TestBrokenStreamGoesOnAtItsVersionOnly guards against a stream that is continued, within one answer, at an instance
// of another software version than the one that started it. It also guards against a wait for a version that no
// instance has.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	cut := answer{status: 200, body: "id: 1\n\n", cut: true}
	cases := []struct {
		name     string
		versions []string
		answers  []answer
		aborted  bool
		sent     int
	}{
		{"another instance of the version", []string{"v1", "v1"}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"instances without a version", []string{"", ""}, []answer{cut, {status: 200, body: "id: 2\n\n"}}, false, 2},
		{"only an instance of another version", []string{"v1", "v2"}, []answer{cut}, true, 1},
		{"an instance without a version", []string{"v1", ""}, []answer{cut}, true, 1},
		{"truncated before its first event", []string{"v1", "v2"}, []answer{{status: 200, cut: true}, {status: 200, body: "id: 1\n\n"}}, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &scriptedUpstream{answers: c.answers}
				g := newGateway(upstream, &recordingDemand{})
				g.SetView(softwareView(c.versions...))
				sent, got := request("resume"), &recordingReply{}
				sent.Model = "m"
				g.Serve(context.Background(), sent, got)
				if len(upstream.sent) != c.sent || got.aborted != c.aborted || got.at.Sub(sent.Arrived) > 100*time.Millisecond {
					t.Errorf("sent %d times, aborted %v after %v", len(upstream.sent), got.aborted, got.at.Sub(sent.Arrived))
				}
			})
		})
	}
}

// fixedOrigins is a StreamOrigins with fixed origins of some streams, which records the streams that start.
type fixedOrigins struct {
	known map[string]gateway.StreamOrigin
	began []gateway.StartedStream
}

func (o *fixedOrigins) RecordStream(begun gateway.StartedStream) { o.began = append(o.began, begun) }

func (o *fixedOrigins) Find(_ context.Context, request *gateway.Request, _ *fleet.Route, _ string) (gateway.StreamOrigin, bool) {
	found, known := o.known[request.ResumedRequestID]
	return found, known
}

// TestTakeUps guards against a stream that is resumed at another version than the one that started it, or although that
// version is unknown. It also guards against refusals of requests that resume nothing.
func TestTakeUps(t *testing.T) {
	cases := []struct {
		name, route, resumes, after string
		status                      int
		// software is the version that the request is sent to; empty for any.
		software string
		reason   gateway.Reason
	}{
		{"known", "resume", "first", "3", 200, "v2", ""},
		{"known, no instance of the version", "resume", "old", "3", 503, "", gateway.ReasonNoSoftware},
		{"unknown", "resume", "nobody's", "3", 503, "", gateway.ReasonUnknownOrigin},
		{"without a request ID", "resume", "", "3", 503, "", gateway.ReasonUnknownOrigin},
		{"unknown, restarted", "resume", "nobody's", "", 200, "", ""},
		{"known, restarted", "resume", "first", "", 200, "v2", ""},
		{"a new stream", "resume", "", "", 200, "", ""},
		{"a route with streams that are not resumable", "stream", "nobody's", "3", 200, "", ""},
		{"a route without streams", "safe", "nobody's", "3", 200, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := &fixedOrigins{known: map[string]gateway.StreamOrigin{"first": {Service: "svc", Software: "v2"}, "old": {Service: "svc", Software: "v0"}}}
				settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, StreamOrigins: origins}
				upstream := &scriptedUpstream{}
				g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
				g.SetView(softwareView("v1", "v1", "v2"))
				sent, got := request(c.route), &recordingReply{}
				sent.Model, sent.ResumedRequestID, sent.ResumeAfter = "m", c.resumes, c.after
				g.Serve(context.Background(), sent, got)
				if got.status != c.status || got.reason != c.reason || got.at.Sub(sent.Arrived) > 100*time.Millisecond {
					t.Fatalf("status %d, reason %q after %v", got.status, got.reason, got.at.Sub(sent.Arrived))
				}
				if c.software != "" && upstream.sent[0].Instance.Software != c.software {
					t.Errorf("sent to version %q", upstream.sent[0].Instance.Software)
				}
				if recorded := len(origins.began) == 1; recorded != (c.route == "resume" && c.status == 200) {
					t.Errorf("recorded %+v", origins.began)
				}
			})
		})
	}
}
