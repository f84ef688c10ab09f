package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// TestSuspectThatWaitedForItsModelWaitsForItsTurn guards against refusals of requests whose model was loaded at the end of their
// wait, with half of their time left and a turn less than a second away. A turn that is further away is refused at once.
func TestSuspectThatWaitedForItsModelWaitsForItsTurn(t *testing.T) {
	const loadedAfter = 1900 * time.Millisecond
	cases := []struct {
		turnAfter time.Duration
		status    int
		took      time.Duration
	}{{2700 * time.Millisecond, 200, 2700 * time.Millisecond}, {3200 * time.Millisecond, 503, loadedAfter}}
	for _, c := range cases {
		t.Run(c.turnAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				suspect := &fakeQuarantine{suspects: true, turnAt: time.Now().Add(c.turnAfter)}
				settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, Quarantine: suspect}
				g := gateway.New(settings, &scriptedUpstream{}, balance.NewTracker(), retry.NewBudgets(retry.Settings{}), &recordingDemand{}, discardObserver{})
				show(g, []listing{{without: []string{"i1"}}, {after: loadedAfter, with: []string{"i1"}}})
				sent := request("resume")
				sent.Model, sent.ResumeAfter = "m", "1"
				reply := &recordingReply{}
				g.Serve(context.Background(), sent, reply)
				if took := time.Since(sent.Arrived); reply.status != c.status || took < c.took || took > c.took+verdictDelay {
					t.Errorf("status %d as %q after %v", reply.status, reply.reason, took)
				}
			})
		})
	}
}

// verdictDelay is how late a request may notice that its turn has come.
const verdictDelay = 100 * time.Millisecond

// TestTurnOfASuspectIsKeptUntilItRuns guards against suspected requests that wait for a turn anew after an attempt in which
// nothing ran: a refused connection, or an instance that turned the request away. A run uses the turn.
func TestTurnOfASuspectIsKeptUntilItRuns(t *testing.T) {
	cases := []struct {
		name  string
		first answer
		turns int
	}{
		{"a refused connection", answer{err: gateway.ErrNotSent.New("refused")}, 1},
		{"another process", answer{status: 421, misdirected: true}, 1},
		{"no room", answer{status: 503, declined: true}, 1},
		{"a broken run", answer{err: gateway.ErrUnknown.New("reset")}, 2},
		{"a failed run", answer{status: 500}, 2},
		{"a refused connection that took longer than a turn is valid", answer{err: gateway.ErrNotSent.New("i/o timeout"), after: time.Second}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &scriptedUpstream{answers: []answer{c.first, {status: 200, body: "ok"}}}
				suspect := &fakeQuarantine{suspects: true}
				if reply := serveQuarantined(upstream, suspect, request("safe"), view()); reply.status != 200 || suspect.turns != c.turns {
					t.Errorf("status %d after %d turns", reply.status, suspect.turns)
				}
			})
		})
	}
}
