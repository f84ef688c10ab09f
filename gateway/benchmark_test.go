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

// instantAnswer is an answer without a body.
type instantAnswer struct{}

func (instantAnswer) Status() int              { return 200 }
func (instantAnswer) Header() []gateway.Field  { return nil }
func (instantAnswer) Length() int64            { return 0 }
func (instantAnswer) Framing() gateway.Framing { return gateway.FramedByLength }
func (instantAnswer) Executed() bool           { return true }
func (instantAnswer) Misdirected() bool        { return false }
func (instantAnswer) Signed() bool             { return true }
func (instantAnswer) Read([]byte) (int, error) { return 0, io.EOF }
func (instantAnswer) Close()                   {}

// instantUpstream answers at once.
type instantUpstream struct{}

// HasConnection implements gateway.Upstream.
func (instantUpstream) HasConnection(string, int) bool { return true }

// Send implements gateway.Upstream.
func (instantUpstream) Send(context.Context, *gateway.Outbound) (gateway.Response, error) {
	return instantAnswer{}, nil
}

// discard is a Reply that keeps nothing.
type discard struct{}

func (discard) Begin(int, []gateway.Field, int64) error    { return nil }
func (discard) Write([]byte) error                         { return nil }
func (discard) Refuse(int, gateway.Reason, time.Duration)  {}
func (discard) Abort()                                     {}
func (silentDemand) Lacking(string, string, string) func() { return func() {} }
func (silentDemand) Enter(string, string) func()           { return func() {} }
func (silentDemand) Refused(string, string)                {}

// silentDemand hears of nothing.
type silentDemand struct{}

// servedAtOnce returns a function that serves a request at a free server, by an urgent or a background route.
func servedAtOnce(route string) func() {
	instances := []*fleet.Instance{{ID: "i1", Service: "svc", Slots: 64, Residents: []fleet.Resident{{Model: "m"}}}}
	g := trackedGateway(instantUpstream{}, silentDemand{}, balance.NewTracker())
	g.SetView(fleet.NewView(mixedConfiguration(), instances))
	sent := mixedRequest(route, "r")
	return func() {
		sent.Arrived = time.Now()
		g.Serve(context.Background(), sent, discard{})
	}
}

// BenchmarkServe guards against a slower path of requests that do not wait, urgent ones and those that would yield.
func BenchmarkServe(b *testing.B) {
	for name, route := range map[string]string{"urgent": "stream", "background": "resume"} {
		b.Run(name, func(b *testing.B) {
			serve := servedAtOnce(route)
			b.ReportAllocs()
			for b.Loop() {
				serve()
			}
		})
	}
}

// TestYieldingAllocatesNothingUntilItWaits guards against a path that allocates for requests that find room at once.
func TestYieldingAllocatesNothingUntilItWaits(t *testing.T) {
	const runs = 200
	urgent, background := testing.AllocsPerRun(runs, servedAtOnce("stream")), testing.AllocsPerRun(runs, servedAtOnce("resume"))
	if background > urgent {
		t.Errorf("%v allocations, an urgent request makes %v", background, urgent)
	}
}

func (silentDemand) LackingSoftware(_, _, _ string) func() { return func() {} }
