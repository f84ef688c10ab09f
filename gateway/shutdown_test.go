package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// TestEveryPhaseEndsWithTheStop stops a daemon in virtual time while a request is in each phase: the drain begins after
// 200 ms, and the daemon ends after 900 ms. It guards against requests that outlive the daemon, or that are refused
// although they may have run.
func TestEveryPhaseEndsWithTheStop(t *testing.T) {
	const drainAt, endAt = 200 * time.Millisecond, 900 * time.Millisecond
	declined := answer{status: 503, declined: true, after: 500 * time.Millisecond}
	broken := answer{err: gateway.ErrUnknown.New("reset"), after: 500 * time.Millisecond}
	notSent := answer{err: gateway.ErrNotSent.New("refused"), after: 500 * time.Millisecond}
	served := answer{status: 200, body: "ok"}
	cases := []struct {
		name    string
		route   string
		model   string
		answers []answer
		status  int
		body    string
		aborted bool
		sent    int
		at      time.Duration
		step    gateway.Step
		reason  gateway.Reason
	}{
		{"waiting for a model", "stream", "absent", nil, 503, "", false, 0, drainAt, gateway.StepRefused, gateway.ReasonStopping},
		{"an attempt is declined after the drain began", "unsafe", "", []answer{declined, served}, 503, "", false, 1, 500 * time.Millisecond, gateway.StepRefused, gateway.ReasonStopping},
		{"an attempt is declined and none is left", "once", "", []answer{declined}, 503, "", false, 1, 500 * time.Millisecond, gateway.StepRefused, gateway.ReasonStopping},
		{"nothing was sent", "unsafe", "", []answer{notSent, served}, 503, "", false, 1, 500 * time.Millisecond, gateway.StepRefused, gateway.ReasonStopping},
		{"a safe request that may have run is retried", "safe", "", []answer{broken, served}, 200, "ok", false, 2, 500 * time.Millisecond, gateway.StepEnded, gateway.ReasonAnswered},
		{"the instance does not answer", "unsafe", "", []answer{{hang: true}}, 502, "", false, 1, endAt, gateway.StepRefused, gateway.ReasonStopping},
		{"the instance does not answer a stream", "stream", "m", []answer{{hang: true}}, 502, "", false, 1, endAt, gateway.StepRefused, gateway.ReasonStopping},
		{"a body stops in the middle", "unsafe", "", []answer{{status: 200, body: "part", stall: true}}, 502, "", false, 1, endAt, gateway.StepRefused, gateway.ReasonStopping},
		{"a stream has no event yet", "stream", "m", []answer{{status: 200, stall: true}}, 502, "", false, 1, endAt, gateway.StepRefused, gateway.ReasonStopping},
		{"a stream has begun", "stream", "m", []answer{{status: 200, body: "id: 1\n\n", stall: true}}, 200, "id: 1\n\n", true, 1, endAt, gateway.StepBrokenOff, gateway.ReasonStopping},
		{"a resumable stream is truncated", "resume", "m", []answer{
			{status: 200, body: "id: 1\n\n", cut: true, after: 500 * time.Millisecond}, {status: 200, body: "id: 2\n\n"},
		}, 200, "id: 1\n\nid: 2\n\n", false, 2, 500 * time.Millisecond, gateway.StepEnded, gateway.ReasonAnswered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream, observer, got := &scriptedUpstream{answers: c.answers}, &recorder{}, &recordingReply{}
				g := observedGateway(upstream, observer)
				g.SetView(view("m"))
				time.AfterFunc(drainAt, g.Drain)
				time.AfterFunc(endAt, g.End)
				sent := request(c.route)
				sent.Model = c.model
				g.Serve(context.Background(), sent, got)
				if got.status != c.status || got.body.String() != c.body || got.aborted != c.aborted || len(upstream.sent) != c.sent {
					t.Errorf("status %d body %q aborted %v after %d attempts, want %d %q %v %d",
						got.status, got.body.String(), got.aborted, len(upstream.sent), c.status, c.body, c.aborted, c.sent)
				}
				if took := time.Since(sent.Arrived); took != c.at {
					t.Errorf("ended after %v, want %v", took, c.at)
				}
				if last := observer.events[len(observer.events)-1]; last.Step != c.step || last.Reason != c.reason {
					t.Errorf("last event %s %s, want %s %s", last.Step, last.Reason, c.step, c.reason)
				}
				if got.status == 503 && got.retryAfter != gateway.StoppingRetryAfter {
					t.Errorf("retry after %v, want %v", got.retryAfter, gateway.StoppingRetryAfter)
				}
			})
		})
	}
}

// TestPacedRequestEndsWithTheStop delays a request, since the batch of its only instance is full, until the daemon
// stops. It guards against a delayed request that does not end then.
func TestPacedRequestEndsWithTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream, observer, got := &scriptedUpstream{}, &recorder{}, &recordingReply{}
		g := observedGateway(upstream, observer)
		g.SetView(view("m"))
		g.SetChooser(crowdedChooser{})
		time.AfterFunc(50*time.Millisecond, g.Drain)
		sent := request("stream")
		sent.Model = "m"
		g.Serve(context.Background(), sent, got)
		last := observer.events[len(observer.events)-1]
		if got.status != 503 || last.Reason != gateway.ReasonStopping || last.Phase != gateway.PhasePaced || len(upstream.sent) > 0 {
			t.Errorf("status %d reason %q phase %q after %d attempts", got.status, last.Reason, last.Phase, len(upstream.sent))
		}
		if took := time.Since(sent.Arrived); took > 70*time.Millisecond {
			t.Errorf("ended %v after the stop, longer than the interval between checks", took-50*time.Millisecond)
		}
	})
}
