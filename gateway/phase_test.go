package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/drain"
	"github.com/wheatweir/wheatweir/retry"
)

func observedGateway(upstream gateway.Upstream, observer gateway.Observer) *gateway.Gateway {
	settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	return gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, observer)
}

// TestLogTellsWhoEndedARequestAndWhere ends requests in two phases, by their client and by the daemon. It guards
// against events with the wrong reason or phase.
func TestLogTellsWhoEndedARequestAndWhere(t *testing.T) {
	cases := []struct {
		name   string
		model  string
		cause  error
		reason gateway.Reason
		phase  gateway.Phase
	}{
		{"the client leaves while it waits for a model", "absent", context.Canceled, gateway.ReasonClientDisconnected, gateway.PhaseWaiting},
		{"the daemon ends while it waits for a model", "absent", drain.ErrStopped.New("test"), gateway.ReasonStopping, gateway.PhaseWaiting},
		{"the client leaves before an instance answers", "m", context.Canceled, gateway.ReasonClientDisconnected, gateway.PhaseAttempt},
		{"the daemon ends before an instance answers", "m", drain.ErrStopped.New("test"), gateway.ReasonStopping, gateway.PhaseAttempt},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				observer := &recorder{}
				g := observedGateway(&scriptedUpstream{answers: []answer{{hang: true}}}, observer)
				g.SetView(view("m"))
				ctx, cancel := context.WithCancelCause(context.Background())
				// Not at a time at which a waiting request checks again.
				time.AfterFunc(450*time.Millisecond, func() { cancel(c.cause) })
				began := time.Now()
				sent := request("stream")
				sent.Model = c.model
				g.Serve(ctx, sent, &recordingReply{})
				if got := observer.events[len(observer.events)-1]; got.Reason != c.reason || got.Phase != c.phase {
					t.Errorf("reason %q in phase %q, want %q in %q", got.Reason, got.Phase, c.reason, c.phase)
				}
				if took := time.Since(began); took != 450*time.Millisecond {
					t.Errorf("ended after %v", took)
				}
			})
		})
	}
}
