package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

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
