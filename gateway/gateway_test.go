package gateway_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

func (discardObserver) Observe(gateway.Event) {}

func TestServe(t *testing.T) {
	notSent := gateway.ErrNotSent.New("refused")
	unknown := gateway.ErrUnknown.New("reset")
	// A large answer is not buffered as a whole.
	large := strings.Repeat("x", 2<<20)
	cases := []struct {
		name    string
		route   string
		answers []answer
		status  int
		body    string
		aborted bool
		sent    int
	}{
		{"served", "unsafe", []answer{{status: 200, body: "ok"}}, 200, "ok", false, 1},
		{"no route", "nowhere", nil, 404, "", false, 0},
		{"not reached, then served", "once", []answer{{err: notSent}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"never reached", "once", []answer{{err: notSent}, {err: notSent}, {err: notSent}}, 503, "", false, 3},
		{"an unsafe request that may have run", "unsafe", []answer{{err: unknown}}, 502, "", false, 1},
		{"a safe request that may have run", "safe", []answer{{err: unknown}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"a safe request that fails everywhere", "safe", []answer{{err: unknown}, {err: unknown}}, 502, "", false, 2},
		{"declined, then served", "unsafe", []answer{{status: 503, declined: true}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"declined, no attempt left", "once", []answer{{status: 503, declined: true}}, 503, "", false, 1},
		{"declined everywhere", "unsafe", []answer{{status: 503, declined: true}, {status: 429, declined: true}}, 503, "", false, 2},
		{"another instance", "unsafe", []answer{{status: 421, misdirected: true}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"declined after a run", "safe", []answer{{err: unknown}, {status: 503, declined: true}}, 502, "", false, 2},
		{"a failure of an unsafe run goes back", "unsafe", []answer{{status: 500, body: "sorry"}}, 500, "sorry", false, 1},
		{"a failure of a safe run is repeated", "safe", []answer{{status: 500, body: "sorry"}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"the second failure of a safe run goes back", "safe", []answer{{status: 500}, {status: 500, body: "sorry"}}, 500, "sorry", false, 2},
		{"a run that ended with a promise not to have run", "unsafe", []answer{{status: 503, body: "busy"}}, 502, "", false, 1},
		{"a success that is not genuine", "unsafe", []answer{{status: 200, unsigned: true, body: "x"}}, 502, "", false, 1},
		{"a whole answer that breaks off", "unsafe", []answer{{status: 200, body: "part", cut: true}}, 502, "", false, 1},
		{"a large answer", "unsafe", []answer{{status: 200, body: large}}, 200, large, false, 1},
		{"a large success that is not genuine", "unsafe", []answer{{status: 200, unsigned: true, body: large}}, 502, "", false, 1},
		{"a large success that is not genuine, repeated", "safe", []answer{{status: 200, unsigned: true, body: large}, {status: 200, body: large}}, 200, large, false, 2},
		{"a large run that ended with a promise not to have run", "unsafe", []answer{{status: 503, body: large}}, 502, "", false, 1},
		{"a large failure of an unsafe run goes back", "unsafe", []answer{{status: 500, body: large}}, 500, large, false, 1},
		{"a large failure of a safe run is repeated", "safe", []answer{{status: 500, body: large}, {status: 200, body: "ok"}}, 200, "ok", false, 2},
		{"the second large failure of a safe run goes back", "safe", []answer{{status: 500}, {status: 500, body: large}}, 500, large, false, 2},
		{"a large answer that breaks off", "safe", []answer{{status: 200, body: large, cut: true}}, 200, large, true, 1},
		{"a large answer on a stream route that is not genuine", "stream", []answer{{status: 200, unsigned: true, body: large}}, 502, "", false, 1},
		{"a large failure of a stream that resumes", "resume", []answer{{status: 200, body: "id: 1\n\n", cut: true}, {status: 500, body: large}}, 200, "id: 1\n\n", true, 2},
		{"a stream", "stream", []answer{{status: 200, body: "id: 1\n\n"}}, 200, "id: 1\n\n", false, 1},
		{"a stream that breaks off", "stream", []answer{{status: 200, body: "id: 1\n\nid: 2", cut: true}}, 200, "id: 1\n\nid: 2", true, 1},
		{"a stream that breaks off before its first byte", "stream", []answer{{status: 200, cut: true}}, 502, "", false, 1},
		{"a resumed stream", "resume", []answer{
			{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata", cut: true}, {status: 200, body: "id: 2\ndata: b\n\n"},
		}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, 2},
		{"a stream that ends inside an event", "stream", []answer{{status: 200, body: "id: 1\n\nid: 2"}}, 200, "id: 1\n\nid: 2", true, 1},
		{"a resumable stream that ends inside an event", "resume", []answer{
			{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata", framing: gateway.FramedByConnection}, {status: 200, body: "id: 2\ndata: b\n\n"},
		}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, 2},
		{"a resumable stream whose connection ends before its first event", "resume", []answer{
			{status: 200, framing: gateway.FramedByConnection}, {status: 200, body: "id: 1\n\n"},
		}, 200, "id: 1\n\n", false, 2},
		{"a stream of which only the end was missing", "resume", []answer{
			{status: 200, body: "id: 1\n\n", cut: true}, {status: 200, framing: gateway.FramedByConnection},
		}, 200, "id: 1\n\n", false, 2},
		{"a stream that can't be resumed again", "resume", []answer{
			{status: 200, body: "id: 1\n\n", cut: true}, {status: 200, body: "id: 2\n\n", cut: true},
		}, 200, "id: 1\n\nid: 2\n\n", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := &scriptedUpstream{answers: c.answers}
			g := newGateway(upstream, &recordingDemand{})
			g.SetView(view())
			got := &recordingReply{}
			g.Serve(context.Background(), request(c.route), got)
			if got.status != c.status || got.body.String() != c.body || got.aborted != c.aborted || len(upstream.sent) != c.sent {
				t.Fatalf("status %d body %.80q aborted %v after %d attempts, want %d %.80q %v %d",
					got.status, got.body.String(), got.aborted, len(upstream.sent), c.status, c.body, c.aborted, c.sent)
			}
			if got.status == 503 && got.retryAfter == 0 {
				t.Error("refusal without a retry delay")
			}
			var instances []string
			for _, sent := range upstream.sent {
				instances = append(instances, sent.Instance.ID)
			}
			slices.Sort(instances)
			if len(slices.Compact(instances)) != len(upstream.sent) {
				t.Errorf("an instance was tried twice: %v", instances)
			}
		})
	}
}

func TestResumeNamesTheLastWholeEvent(t *testing.T) {
	upstream := &scriptedUpstream{answers: []answer{{status: 200, body: "id: 7\n\nid: 8\nda", cut: true}, {status: 200, body: "id: 8\n\n"}}}
	g := newGateway(upstream, &recordingDemand{})
	g.SetView(view())
	g.Serve(context.Background(), request("resume"), &recordingReply{})
	if got := upstream.sent[1].ResumeAfter; got != "7" {
		t.Fatalf("resumed after %q", got)
	}
}

func TestWithoutAConfigurationNothingIsDenied(t *testing.T) {
	g := newGateway(&scriptedUpstream{}, &recordingDemand{})
	got := &recordingReply{}
	g.Serve(context.Background(), request("unsafe"), got)
	if got.status != 503 || got.retryAfter == 0 {
		t.Fatalf("status %d, retry after %v", got.status, got.retryAfter)
	}
}

// TestTimeLimits guards against requests that outlast their timeout when an instance never answers. Each must end,
// in virtual time, at the earlier of the client's deadline and the route's timeout.
func TestTimeLimits(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		want    time.Duration
	}{
		{"the route's limit", 0, 5 * time.Second},
		{"the client's deadline", 2 * time.Second, 2 * time.Second},
		{"a deadline beyond the route's limit", time.Minute, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &scriptedUpstream{answers: []answer{{hang: true}}}
				g := newGateway(upstream, &recordingDemand{})
				g.SetView(view())
				sent := request("unsafe")
				sent.ClientTimeout = c.timeout
				got := &recordingReply{}
				g.Serve(context.Background(), sent, got)
				if took := got.at.Sub(sent.Arrived); got.status != 504 || took != c.want {
					t.Fatalf("status %d after %v, want 504 after %v", got.status, took, c.want)
				}
				if upstream.left[0] > c.want {
					t.Errorf("the instance was given %v", upstream.left[0])
				}
			})
		})
	}
}

func TestClientThatLeavesEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(&scriptedUpstream{answers: []answer{{hang: true}}}, &recordingDemand{})
		g.SetView(view())
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, cancel)
		sent := request("safe")
		got := &recordingReply{}
		g.Serve(ctx, sent, got)
		if took := time.Since(sent.Arrived); took != 300*time.Millisecond || !got.aborted {
			t.Fatalf("ended after %v, aborted %v", took, got.aborted)
		}
	})
}

// TestModelThatNobodyHas covers a request that waits until its model is loaded, and
// one that is refused with a retry delay while its client still waits.
func TestModelThatNobodyHas(t *testing.T) {
	for _, loaded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			demand := &recordingDemand{}
			g := newGateway(&scriptedUpstream{answers: []answer{{status: 200, body: "ok"}}}, demand)
			g.SetView(view())
			if loaded {
				time.AfterFunc(time.Second, func() { g.SetView(view("m")) })
			}
			sent := request("stream")
			sent.Model = "m"
			got := &recordingReply{}
			g.Serve(context.Background(), sent, got)
			took := got.at.Sub(sent.Arrived)
			if loaded && (got.status != 200 || took > 1100*time.Millisecond) {
				t.Errorf("status %d after %v", got.status, took)
			}
			if !loaded && (got.status != 503 || took > 2*time.Second+100*time.Millisecond) {
				t.Errorf("status %d after %v, want a refusal after half of the time limit", got.status, took)
			}
			if len(demand.wanted) != 1 || demand.wanted[0] != "m/" {
				t.Errorf("wanted %v", demand.wanted)
			}
		})
	}
}

// TestRetriesKeepTheirBudget guards against retries beyond the retry budget when all instances decline.
func TestRetriesKeepTheirBudget(t *testing.T) {
	upstream := &scriptedUpstream{}
	for range 300 {
		upstream.answers = append(upstream.answers, answer{status: 503, declined: true})
	}
	g := newGateway(upstream, &recordingDemand{})
	g.SetView(view())
	const requests = 100
	for range requests {
		g.Serve(context.Background(), request("safe"), &recordingReply{})
	}
	if extra := len(upstream.sent) - requests; extra > 10+requests/5 {
		t.Fatalf("%d attempts beyond the first", extra)
	}
}

// recorder is an Observer that stores the events.
type recorder struct{ events []gateway.Event }

func (r *recorder) Observe(event gateway.Event) { r.events = append(r.events, event) }

// pausedStream is an Upstream and its Response, a stream with a pause before each piece.
type pausedStream struct {
	response
	pieces []string
	pause  time.Duration
}

func (p *pausedStream) HasConnection(string, int) bool { return true }

func (p *pausedStream) Send(context.Context, *gateway.Outbound) (gateway.Response, error) {
	return p, nil
}

func (p *pausedStream) Read(buffer []byte) (int, error) {
	time.Sleep(p.pause)
	if len(p.pieces) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, p.pieces[0])
	p.pieces = p.pieces[1:]
	return count, nil
}

// TestStreamTellsWhenItsEventsCame guards against a final event of a stream without the time of its first event and
// the longest pause between two events. Operators need both to explain a late answer.
func TestStreamTellsWhenItsEventsCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &pausedStream{response: response{answer: answer{status: 200}}, pieces: []string{"id: 1\n\n", "id: 2\n\n"}, pause: 400 * time.Millisecond}
		observer := &recorder{}
		settings := gateway.Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
		served := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, observer)
		served.SetView(view())
		served.Serve(context.Background(), request("stream"), &recordingReply{})
		last := observer.events[len(observer.events)-1]
		if last.Step != gateway.StepEnded || last.FirstEvent != 400*time.Millisecond || last.LongestPause != 400*time.Millisecond {
			t.Errorf("%s first event after %v, longest pause %v", last.Step, last.FirstEvent, last.LongestPause)
		}
	})
}

// TestOnlyAConnectionThatEndsWithoutAnAnswerCountsAsBroken covers the load reports to the other daemons: only a
// connection that an instance closes before it answers counts as broken there.
func TestOnlyAConnectionThatEndsWithoutAnAnswerCountsAsBroken(t *testing.T) {
	cases := []struct {
		name   string
		answer answer
		broken int
	}{
		{"reset before an answer", answer{err: gateway.ErrUnknown.New("reset")}, 1},
		{"no answer until the time limit", answer{hang: true}, 0},
		{"an answer that tells of a failure", answer{status: 500, body: "error"}, 0},
		{"an answer that breaks off", answer{status: 200, body: "half", cut: true}, 0},
		{"not sent at all", answer{err: gateway.ErrNotSent.New("refused")}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := balance.NewTracker()
				g := trackedGateway(&scriptedUpstream{answers: []answer{c.answer}}, &recordingDemand{}, tracker)
				g.SetView(view())
				g.Serve(t.Context(), request("once"), &recordingReply{})
				broken := 0
				for _, load := range tracker.OwnLoads(time.Now()) {
					broken += load.Broken
				}
				if broken != c.broken {
					t.Errorf("broken at %d instances, want %d", broken, c.broken)
				}
			})
		})
	}
}
