package gateway_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/pace"
	"github.com/wheatweir/wheatweir/retry"
)

// sampleRecorder records samples.
type sampleRecorder struct {
	mutex   sync.Mutex
	samples []pace.Sample
}

// AddSample implements gateway.PaceObserver.
func (r *sampleRecorder) AddSample(sample pace.Sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.samples = append(r.samples, sample)
}

// TestStreamsAreSampled guards against samples of the wrong instance or model, of answers that are not streams, and of
// requests without a model.
func TestStreamsAreSampled(t *testing.T) {
	body := strings.Repeat("data: x\n\n", 10)
	cases := []struct {
		name, route, model string
		sampled            bool
	}{
		{"a stream", "stream", "m", true},
		{"a resumable stream", "resume", "m", true},
		{"without a model", "stream", "", false},
		{"no stream", "safe", "m", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			received := &sampleRecorder{}
			upstream := &scriptedUpstream{answers: []answer{{status: 200, body: body, piece: 9}}}
			settings := gateway.Settings{MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, Samples: received}
			g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
			g.SetView(view("m"))
			requested, reply := request(c.route), &recordingReply{}
			requested.Model = c.model
			g.Serve(context.Background(), requested, reply)
			if reply.body.String() != body {
				t.Fatalf("the client got %q", reply.body.String())
			}
			if got := len(received.samples) > 0; got != c.sampled {
				t.Fatalf("samples %+v", received.samples)
			}
			for _, sample := range received.samples {
				if sample.Instance != upstream.sent[0].Instance.ID || sample.Model != "m" || sample.Gap <= 0 {
					t.Errorf("%+v", sample)
				}
			}
		})
	}
}
