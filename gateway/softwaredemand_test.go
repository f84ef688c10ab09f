package gateway_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// softwareDemand is a DemandObserver that counts the streams that need a software version now.
type softwareDemand struct {
	recordingDemand
	needed map[string]int
}

func (d *softwareDemand) SoftwareNeeded(_, model, _, software string) func() {
	d.needed[model+"@"+software]++
	return func() { d.needed[model+"@"+software]-- }
}

// softwareUpstream is an Upstream that records, at each request and its answer, how many streams need m@v2.
type softwareUpstream struct {
	scriptedUpstream
	demand *softwareDemand
	seen   []int
}

func (u *softwareUpstream) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	u.seen = append(u.seen, u.demand.needed["m@v2"])
	return u.scriptedUpstream.Send(ctx, outbound)
}

// softwareReply is a Reply that records, when the answer begins, how many streams need m@v2.
type softwareReply struct {
	recordingReply
	upstream *softwareUpstream
}

func (r *softwareReply) Begin(status int, fields []gateway.Field, length int64) error {
	r.upstream.seen = append(r.upstream.seen, r.upstream.demand.needed["m@v2"])
	return r.recordingReply.Begin(status, fields, length)
}

// TestTakeUpsTellThePlacementTheirVersionBeforeTheirModelIsMissing guards against a take-up that waits for the last instance of its
// version with the model, which has crashed, and that the placement hears of only once the instance is gone: by then it has
// begun a load at another version.
func TestTakeUpsTellThePlacementTheirVersionBeforeTheirModelIsMissing(t *testing.T) {
	unreached := answer{err: gateway.ErrNotSent.New("connection refused")}
	cases := []struct {
		name, resumes, after string
		answers              []answer
		status               int
		seen                 []int
	}{
		{"unreached, then served", "first", "3", []answer{unreached, {status: 200, body: "id: 4\n\n"}}, 200, []int{1, 1, 0}},
		{"refused", "old", "3", nil, 503, nil},
		{"a new stream", "", "", nil, 200, []int{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := &fixedOrigins{known: map[string]gateway.StreamOrigin{"first": {Service: "svc", Software: "v2"}, "old": {Service: "svc", Software: "v0"}}}
				demand := &softwareDemand{needed: map[string]int{}}
				upstream := &softwareUpstream{scriptedUpstream: scriptedUpstream{answers: c.answers}, demand: demand}
				settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, StreamOrigins: origins}
				g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), demand, discardObserver{})
				g.SetView(softwareView("v1", "v2"))
				sent, got := request("resume"), &softwareReply{upstream: upstream}
				sent.Model, sent.ResumedRequestID, sent.ResumeAfter = "m", c.resumes, c.after
				g.Serve(context.Background(), sent, got)
				if got.status != c.status || !slices.Equal(upstream.seen, c.seen) {
					t.Errorf("status %d, needed %v, want %v", got.status, upstream.seen, c.seen)
				}
				if demand.needed["m@v2"] != 0 || demand.needed["m@v0"] != 0 {
					t.Errorf("streams still need a version: %v", demand.needed)
				}
			})
		})
	}
}

// TestTakeUpsWaitLongerForTheirVersion guards against take-ups that are refused seconds before the load of their model at their
// version ends: their client comes back and waits for the same load. Other requests may find an instance elsewhere.
func TestTakeUpsWaitLongerForTheirVersion(t *testing.T) {
	cases := []struct {
		name, resumes, after string
		// loaded is the share of the client's time after which the model is loaded.
		loaded float64
		status int
	}{
		{"a take-up, loaded in time", "first", "3", 0.7, 200},
		{"a take-up, loaded too late", "first", "3", 0.9, 503},
		{"a new stream", "", "", 0.7, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := &fixedOrigins{known: map[string]gateway.StreamOrigin{"first": {Service: "svc", Software: "v2"}}}
				settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, StreamOrigins: origins}
				g := gateway.New(settings, &scriptedUpstream{}, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
				loaded, unloaded := softwareView("v1", "v2"), softwareView("v1", "v2")
				for _, instance := range unloaded.Instances("svc") {
					instance.Residents = nil
				}
				g.SetView(unloaded)
				sent, got := request("resume"), &recordingReply{}
				sent.Model, sent.ResumedRequestID, sent.ResumeAfter = "m", c.resumes, c.after
				patience := loaded.Route("host", "/resume/x").FirstEventTimeout()
				time.AfterFunc(time.Duration(c.loaded*float64(patience)), func() { g.SetView(loaded) })
				g.Serve(context.Background(), sent, got)
				if got.status != c.status {
					t.Errorf("status %d, reason %q after %v of %v", got.status, got.reason, got.at.Sub(sent.Arrived), patience)
				}
			})
		})
	}
}
