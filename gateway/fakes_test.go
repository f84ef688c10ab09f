package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/retry"
)

// answer is the scripted reaction of an instance to one request.
type answer struct {
	err         error
	status      int
	unsigned    bool
	declined    bool
	misdirected bool
	body        string
	// framing is the body framing; empty means chunks.
	framing gateway.Framing
	// piece is the maximum number of bytes in one read; zero means no limit.
	piece int
	// cut ends the body with an error.
	cut bool
	// hang blocks until the request's context ends, and then returns an error.
	hang bool
	// stall blocks reads after the body until the request's context ends.
	stall bool
	// after is the delay before the head of the answer, or before the error.
	after time.Duration
	// pause is the delay between the body and the end of the answer.
	pause time.Duration
}

// crowdedChooser is a Chooser that always chooses the first instance and reports it as crowded.
type crowdedChooser struct{}

func (crowdedChooser) Choose(_ context.Context, view *fleet.View, service string, _ *balance.Request) *balance.Candidate {
	return &balance.Candidate{Instance: view.Instances(service)[0], Available: true, Crowded: true, CandidateCount: 1}
}

// scriptedUpstream is an Upstream that answers requests from a list, and then with a default answer.
type scriptedUpstream struct {
	mutex   sync.Mutex
	answers []answer
	sent    []gateway.Outbound
	left    []time.Duration
	// connectionsFreeAt is the time until which all connections to an instance are in use, by ID.
	connectionsFreeAt map[string]time.Time
}

// HasConnection implements gateway.Upstream.
func (s *scriptedUpstream) HasConnection(instance string, _ int) bool {
	return !time.Now().Before(s.connectionsFreeAt[instance])
}

func (s *scriptedUpstream) Send(ctx context.Context, outbound *gateway.Outbound) (gateway.Response, error) {
	s.mutex.Lock()
	next := answer{status: 200, body: "data: default\n\n"}
	if len(s.answers) > 0 {
		next, s.answers = s.answers[0], s.answers[1:]
	}
	s.sent = append(s.sent, *outbound)
	s.left = append(s.left, outbound.Left)
	s.mutex.Unlock()
	if next.hang {
		<-ctx.Done()
		return nil, gateway.ErrUnknown.Wrap(ctx.Err())
	}
	time.Sleep(next.after)
	if next.err != nil {
		return nil, next.err
	}
	return &response{answer: next, reader: strings.NewReader(next.body), ctx: ctx}, nil
}

type response struct {
	answer
	reader *strings.Reader
	ctx    context.Context
}

var errCut = errors.New("connection reset")

func (r *response) Status() int              { return r.status }
func (r *response) Header() []gateway.Field  { return nil }
func (r *response) Length() int64            { return -1 }
func (r *response) Framing() gateway.Framing { return cmp.Or(r.framing, gateway.FramedByChunks) }
func (r *response) Executed() bool           { return !r.declined && !r.misdirected }
func (r *response) Misdirected() bool        { return r.misdirected }
func (r *response) Signed() bool             { return !r.unsigned }
func (r *response) Close()                   {}

func (r *response) Read(buffer []byte) (int, error) {
	if r.piece > 0 {
		buffer = buffer[:min(r.piece, len(buffer))]
	}
	count, err := r.reader.Read(buffer)
	if err == io.EOF && r.stall {
		<-r.ctx.Done()
		return count, r.ctx.Err()
	}
	if err == io.EOF {
		time.Sleep(r.pause)
	}
	if err == io.EOF && r.cut {
		return count, errCut
	}
	return count, err
}

// recordingReply is a Reply that stores what it receives.
type recordingReply struct {
	status     int
	reason     gateway.Reason
	retryAfter time.Duration
	body       bytes.Buffer
	begun      bool
	aborted    bool
	at         time.Time
}

func (c *recordingReply) Begin(status int, _ []gateway.Field, _ int64) error {
	c.begun, c.status, c.at = true, status, time.Now()
	return nil
}

func (c *recordingReply) Write(piece []byte) error {
	c.body.Write(piece)
	return nil
}

func (c *recordingReply) Refuse(status int, reason gateway.Reason, retryAfter time.Duration) {
	c.status, c.reason, c.retryAfter, c.at = status, reason, retryAfter, time.Now()
}

func (c *recordingReply) Abort() { c.aborted, c.at = true, time.Now() }

type recordingDemand struct{ wanted, refused []string }

func (w *recordingDemand) ModelMissing(_, model, adapter string) func() {
	w.wanted = append(w.wanted, model+"/"+adapter)
	return func() {}
}
func (w *recordingDemand) RequestStarted(_, _ string) func() { return func() {} }
func (w *recordingDemand) Refused(_, model string)           { w.refused = append(w.refused, model) }

type discardObserver struct{}

func configuration() *fleet.Configuration {
	route := func(name string, kind fleet.RouteKind, attempts int, resumable bool) fleet.Route {
		return fleet.Route{
			Name: name, Host: "host", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			TargetLatency: time.Second, MaxAttempts: attempts, Resumable: resumable,
			Targets: []fleet.Target{{Service: "svc", Weight: 1}},
		}
	}
	return &fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			route("unsafe", fleet.KindUnsafe, 2, false), route("safe", fleet.KindSafe, 2, false),
			route("once", fleet.KindUnsafe, 1, false), route("stream", fleet.KindStream, 2, false),
			route("resume", fleet.KindStream, 2, true),
		},
		Services: []fleet.Service{{Name: "svc"}},
	}
}

func view(models ...string) *fleet.View {
	var residents []fleet.Resident
	for _, model := range models {
		residents = append(residents, fleet.Resident{Model: model})
	}
	return fleet.NewView(configuration(), []*fleet.Instance{
		{ID: "i1", Service: "svc", Slots: 4, Residents: residents}, {ID: "i2", Service: "svc", Slots: 4, Residents: residents},
		{ID: "i3", Service: "svc", Slots: 4, Residents: residents},
	})
}

func newGateway(upstream gateway.Upstream, demand gateway.DemandObserver) *gateway.Gateway {
	return trackedGateway(upstream, demand, balance.NewTracker())
}

func trackedGateway(upstream gateway.Upstream, demand gateway.DemandObserver, tracker *balance.Tracker) *gateway.Gateway {
	settings := gateway.Settings{RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }}
	return gateway.New(settings, upstream, tracker, retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), demand, discardObserver{})
}

func request(route string) *gateway.Request {
	return &gateway.Request{ID: "r", Method: "POST", URI: "/" + route + "/x", Path: "/" + route + "/x", RouteHost: "host", Arrived: time.Now()}
}

func (*recordingDemand) SoftwareNeeded(_, _, _, _ string) func() { return func() {} }
