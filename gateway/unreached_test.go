package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// dialFailureDelay is the time until a connection attempt fails, in tests.
const dialFailureDelay = 400 * time.Millisecond

// unreachableUpstream is an Upstream whose connection attempts time out until a given time.
type unreachableUpstream struct {
	scriptedUpstream
	until time.Time
	dials int
}

func (u *unreachableUpstream) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	if time.Now().Before(u.until) {
		u.dials++
		time.Sleep(dialFailureDelay)
		return nil, gateway.ErrNotSent.New("i/o timeout")
	}
	return u.scriptedUpstream.Send(ctx, outbound)
}

// TestInstancesThatCouldNotBeReachedAreTriedAgain covers requests that could connect to none of the instances that
// may take them. It guards against refusals with most of the request's time left after an interruption of less than
// a second, and against rapid connection attempts to instances that stay unreachable.
func TestInstancesThatCouldNotBeReachedAreTriedAgain(t *testing.T) {
	cases := []struct {
		name     string
		excluded gateway.Exclusion
		outage   time.Duration
		status   int
		reason   gateway.Reason
		dials    int
	}{
		{"beside one at its limit", gateway.Exclusion{Instance: "i3", Reason: gateway.ReasonAtLimit}, 700 * time.Millisecond, 200, "", 2},
		{"beside one in its backoff", gateway.Exclusion{Instance: "i3", Reason: gateway.ReasonResting}, 700 * time.Millisecond, 200, "", 2},
		{"beside one at its limit, for long", gateway.Exclusion{Instance: "i3", Reason: gateway.ReasonAtLimit}, time.Minute, 503, gateway.ReasonAtLimit, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.excluded.Until = time.Now().Add(time.Minute)
				notices := &fakeNotices{bars: []gateway.Exclusion{c.excluded}, turns: map[string]gateway.Turn{"i3": {Wait: time.Minute}}}
				upstream := &unreachableUpstream{until: time.Now().Add(c.outage)}
				reply := serveWithNotices(notices, upstream, request("unsafe"))
				if reply.status != c.status || reply.reason != c.reason || upstream.dials > c.dials {
					t.Errorf("status %d, reason %q, after %d failed connections", reply.status, reply.reason, upstream.dials)
				}
			})
		})
	}
}
