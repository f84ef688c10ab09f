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

// sampleLog keeps samples.
type sampleLog struct {
	mutex   sync.Mutex
	samples []pace.Sample
}

// Sampled implements gateway.SampleObserver.
func (l *sampleLog) Sampled(sample pace.Sample) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.samples = append(l.samples, sample)
}

// TestStreamsAreSampled guards against samples of the wrong instance or model, of answers that are no streams, and of
// requests without a model.
func TestStreamsAreSampled(t *testing.T) {
	body := strings.Repeat("data: x\n\n", 10)
	cases := []struct {
		name, route, model string
		sampled            bool
	}{
		{"a stream", "stream", "m", true},
		{"a stream that may be resumed", "resume", "m", true},
		{"without a model", "stream", "", false},
		{"no stream", "safe", "m", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := &sampleLog{}
			upstream := &script{answers: []answer{{status: 200, body: body, piece: 9}}}
			settings := gateway.Settings{WaitShare: 0.5, ShareOfConnections: func() float64 { return 1 }, Samples: log}
			g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudget(0.2, 10), &noDemand{}, silent{})
			g.SetView(view("m"))
			asked, reply := request(c.route), &client{}
			asked.Model = c.model
			g.Serve(context.Background(), asked, reply)
			if reply.body.String() != body {
				t.Fatalf("the client got %q", reply.body.String())
			}
			if got := len(log.samples) > 0; got != c.sampled {
				t.Fatalf("samples %+v", log.samples)
			}
			for _, sample := range log.samples {
				if sample.Instance != upstream.sent[0].Instance.ID || sample.Model != "m" || sample.Gap <= 0 {
					t.Errorf("%+v", sample)
				}
			}
		})
	}
}
