package gateway_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
)

// emptyAnswer is a gateway.Response without a body.
type emptyAnswer struct{}

func (emptyAnswer) Status() int              { return 200 }
func (emptyAnswer) Header() []gateway.Field  { return nil }
func (emptyAnswer) Length() int64            { return 0 }
func (emptyAnswer) Framing() gateway.Framing { return gateway.FramedByLength }
func (emptyAnswer) Executed() bool           { return true }
func (emptyAnswer) Misdirected() bool        { return false }
func (emptyAnswer) Signed() bool             { return true }
func (emptyAnswer) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyAnswer) Close()                   {}

// instantUpstream is a gateway.Upstream that answers immediately.
type instantUpstream struct{}

// HasConnection implements gateway.Upstream.
func (instantUpstream) HasConnection(string, int) bool { return true }

// Send implements gateway.Upstream.
func (instantUpstream) Send(context.Context, *gateway.Outbound) (gateway.Response, error) {
	return emptyAnswer{}, nil
}

// discardReply is a gateway.Reply that discards everything.
type discardReply struct{}

func (discardReply) Begin(int, []gateway.Field, int64) error     { return nil }
func (discardReply) Write([]byte) error                          { return nil }
func (discardReply) Refuse(int, gateway.Reason, time.Duration)   {}
func (discardReply) Abort()                                      {}
func (discardDemand) ModelMissing(string, string, string) func() { return func() {} }
func (discardDemand) RequestStarted(string, string) func()       { return func() {} }
func (discardDemand) Refused(string, string)                     {}

// discardDemand is a gateway.DemandObserver that ignores all reports.
type discardDemand struct{}

// serveImmediately returns a function that serves a request at an idle instance, by the given route.
func serveImmediately(route string) func() {
	instances := []*fleet.Instance{{ID: "i1", Service: "svc", Slots: 64, Residents: []fleet.Resident{{Model: "m"}}}}
	g := trackedGateway(instantUpstream{}, discardDemand{}, balance.NewTracker())
	g.SetView(fleet.NewView(mixedConfiguration(), instances))
	sent := mixedRequest(route, "r")
	return func() {
		sent.Arrived = time.Now()
		g.Serve(context.Background(), sent, discardReply{})
	}
}

// BenchmarkServe guards against slower handling of requests that do not wait: urgent ones, and background requests,
// which would yield to them.
func BenchmarkServe(b *testing.B) {
	for name, route := range map[string]string{"urgent": "stream", "background": "resume"} {
		b.Run(name, func(b *testing.B) {
			serve := serveImmediately(route)
			b.ReportAllocs()
			for b.Loop() {
				serve()
			}
		})
	}
}

// TestYieldingAllocatesNothingUntilItWaits guards against extra allocations for background requests that find a free
// slot at once.
func TestYieldingAllocatesNothingUntilItWaits(t *testing.T) {
	const runs = 200
	urgent, background := testing.AllocsPerRun(runs, serveImmediately("stream")), testing.AllocsPerRun(runs, serveImmediately("resume"))
	if background > urgent {
		t.Errorf("%v allocations for a background request, %v for an urgent one", background, urgent)
	}
}

func (discardDemand) SoftwareNeeded(_, _, _, _ string) func() { return func() {} }
