package gateway_test

import (
	"context"
	"testing"

	"github.com/wheatweir/wheatweir/gateway"
)

// TestEveryEndOfARequestIsTold guards against requests that end before a route is selected without an event, and so
// without a line in the log.
func TestEveryEndOfARequestIsTold(t *testing.T) {
	cases := []struct {
		name   string
		end    func(g *gateway.Gateway, sent *gateway.Request, reply gateway.Reply)
		status int
		step   gateway.Step
		reason gateway.Reason
	}{
		{"the daemon drains", func(g *gateway.Gateway, sent *gateway.Request, reply gateway.Reply) {
			g.Drain()
			g.Serve(context.Background(), sent, reply)
		}, 503, gateway.StepRefused, gateway.ReasonStopping},
		{"its body is too large", func(g *gateway.Gateway, sent *gateway.Request, reply gateway.Reply) {
			g.Refuse(sent, reply, 413, gateway.ReasonBodyTooLarge)
		}, 413, gateway.StepRefused, gateway.ReasonBodyTooLarge},
		{"its client disconnects within the body", func(g *gateway.Gateway, sent *gateway.Request, reply gateway.Reply) {
			g.BodyNotReceived(sent, reply)
		}, 0, gateway.StepEnded, gateway.ReasonClientDisconnected},
		{"the daemon stops within the body", func(g *gateway.Gateway, sent *gateway.Request, reply gateway.Reply) {
			g.End()
			g.BodyNotReceived(sent, reply)
		}, 503, gateway.StepRefused, gateway.ReasonStopping},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream, observer, got := &scriptedUpstream{}, &recorder{}, &recordingReply{}
			g := observedGateway(upstream, observer)
			g.SetView(view("m"))
			c.end(g, request("unsafe"), got)
			if got.status != c.status || got.aborted != (c.status == 0) || len(upstream.sent) > 0 {
				t.Errorf("status %d, aborted %t, %d attempts", got.status, got.aborted, len(upstream.sent))
			}
			if len(observer.events) != 1 || observer.events[0].Step != c.step || observer.events[0].Reason != c.reason {
				t.Errorf("events %+v", observer.events)
			}
		})
	}
}
