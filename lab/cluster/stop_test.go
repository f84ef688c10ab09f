package cluster_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/settings"
)

const (
	stopDrainLimit = 2 * time.Second
	// patience is far longer than a stop.
	patience = 30 * time.Second
	// unending is more tokens than an engine gives out in a test.
	unending = 100000
)

// startToStop starts a cluster of one daemon with a short drain limit, at which one call of each
// model runs at a time and nothing else ends a wait early.
func startToStop(t *testing.T, drainLimit time.Duration, log io.Writer) (*cluster.Cluster, *client.Client, context.Context) {
	t.Helper()
	return start(t, func(o *cluster.Options) {
		adjust := o.Adjust
		o.Daemons, o.Log = 1, log
		o.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Requests.AddressKeep = 200 * time.Millisecond
			s.Requests.DrainLimit = drainLimit
			s.Requests.ClaimTimeout = patience
			s.Requests.SlotOvercommit = 0.001
			s.Requests.MaxAttempts = 1
		}
	})
}

// told is what a caller was told.
type told struct {
	answer client.Answer
	err    error
}

// TestStopAnswersEveryCall stops a daemon while calls are in each state. Each caller gets an
// answer, and one that says truthfully whether its call may have run.
func TestStopAnswersEveryCall(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	running, caller, ctx := startToStop(t, stopDrainLimit, log)
	address := running.Daemons[0].CallerAddress()
	silence := func() {
		for _, engine := range running.Engines {
			engine.Silence()
		}
		for _, service := range running.Services {
			service.Silence()
		}
	}
	cases := []struct {
		name     string
		before   func()
		request  client.Request
		status   int
		outcomes string
	}{
		{"a stream that has begun", nil, client.Request{Model: "manifest", Tokens: unending, Stream: true}, 200, "failed"},
		{"a whole answer that an engine works on", nil, client.Request{Model: "lecture-summary", Tokens: unending}, 502, "unknown"},
		{"an engine that says nothing", silence, client.Request{Model: "glossary", Tokens: 5}, 502, "unknown"},
		{"an engine that says nothing about a stream", nil, client.Request{Model: "chapter-notes", Tokens: 5, Stream: true}, 502, "unknown"},
		{"waiting for an admission", nil, client.Request{Model: "glossary", Tokens: 5}, 503, "not_run"},
		{"a service that says nothing", nil, client.Request{Service: "berths"}, 502, "unknown"},
		{"a service that says nothing, at most once", nil, client.Request{Service: "berths", Key: "k-1"}, 502, "unknown"},
		{"waiting for a key claim", func() { running.Store.SetFaults(objectstore.Faults{Delay: patience}) }, client.Request{Service: "berths", Key: "k-2"}, 503, "not_run"},
	}
	answers := make([]chan told, len(cases))
	for number, c := range cases {
		if c.before != nil {
			c.before()
		}
		request := c.request
		request.Prompt, request.Deadline = c.name, patience
		answers[number] = make(chan told, 1)
		go func() {
			answer, err := caller.DoAt(ctx, address, request)
			answers[number] <- told{answer, err}
		}()
		// The calls reach their states in this order.
		time.Sleep(300 * time.Millisecond)
	}
	running.Daemons[0].Stop(ctx)
	for number, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			select {
			case got := <-answers[number]:
				if got.err != nil || got.answer.Status != c.status || got.answer.Outcome != c.outcomes || got.answer.Reason != "stopping" {
					t.Errorf("%+v, error %v; want %d %s", got.answer, got.err, c.status, c.outcomes)
				}
				if c.outcomes == "not_run" && got.answer.RetryAfter == 0 {
					t.Error("a refusal does not tell when to come back")
				}
				if ran := runs(running, c.name); c.outcomes == "not_run" && ran > 0 {
					t.Errorf("a call that was told not to have run has run %d times", ran)
				}
			case <-time.After(time.Second):
				t.Error("no answer before the daemon had ended")
			}
		})
	}
	text, err := os.ReadFile(log.Name())
	if err != nil {
		t.Fatal(err)
	}
	if ended := strings.Count(string(text), "reason=stopping"); ended < len(cases) || strings.Contains(string(text), "reason=caller_gone") {
		t.Errorf("the log names the stop as the reason %d times for %d calls, or a caller", ended, len(cases))
	}
}

// TestDrainRefusesCallsThatWait stops a daemon whose drain limit is far off while a call is at an
// engine that says nothing. Calls that no back end was sent are refused long before the stop ends.
func TestDrainRefusesCallsThatWait(t *testing.T) {
	running, caller, ctx := startToStop(t, 10*patience, io.Discard)
	address := running.Daemons[0].CallerAddress()
	for _, engine := range running.Engines {
		engine.Silence()
	}
	send := func(request client.Request) chan told {
		request.Prompt, request.Deadline = "x", 10*patience
		answers := make(chan told, 1)
		go func() {
			answer, err := caller.DoAt(ctx, address, request)
			answers <- told{answer, err}
		}()
		time.Sleep(300 * time.Millisecond)
		return answers
	}
	first := send(client.Request{Model: "glossary", Tokens: 5})
	admission := send(client.Request{Model: "glossary", Tokens: 5})
	running.Store.SetFaults(objectstore.Faults{Delay: patience})
	claim := send(client.Request{Service: "berths", Key: "k"})
	stopping, end := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		running.Daemons[0].Stop(stopping)
	}()
	for name, answers := range map[string]chan told{"an admission": admission, "a claim": claim} {
		select {
		case got := <-answers:
			if got.err != nil || got.answer.Status != 503 || got.answer.Outcome != "not_run" || got.answer.Reason != "stopping" || got.answer.RetryAfter == 0 {
				t.Errorf("waiting for %s: %+v, %v", name, got.answer, got.err)
			}
		case <-first:
			t.Errorf("waiting for %s: the call that holds the stop up ended sooner", name)
		case <-time.After(patience / 2):
			t.Errorf("waiting for %s: no answer", name)
		}
	}
	select {
	case <-stopped:
		t.Error("the stop ended although a call was in progress")
	default:
	}
	end()
	<-stopped
	if got := <-first; got.answer.Status != 502 || got.answer.Outcome != "unknown" {
		t.Errorf("the call at the engine: %+v, %v", got.answer, got.err)
	}
	if ran := runs(running, "x"); ran > 0 {
		t.Errorf("the booking ran %d times", ran)
	}
}

// runs returns how often the services ran a body.
func runs(running *cluster.Cluster, body string) int {
	count := 0
	for _, machine := range running.Services {
		count += machine.Executions()[body]
	}
	return count
}

// TestStopAnswersACallThatIsStillBeingRead stops a daemon while the body of a call is arriving:
// its rest comes after the daemon takes no calls any more, or never.
func TestStopAnswersACallThatIsStillBeingRead(t *testing.T) {
	running, _, ctx := startToStop(t, stopDrainLimit, io.Discard)
	const body = "booking"
	send := func() net.Conn {
		conn, err := net.Dial("tcp", running.Daemons[0].CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := fmt.Fprintf(conn, "POST /v1/services/berths/run HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:3]); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	late, never := send(), send()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		running.Daemons[0].Stop(ctx)
	}()
	// New calls are taken for half of the limit at most.
	time.Sleep(stopDrainLimit * 5 / 8)
	_, _ = io.WriteString(late, body[3:])
	<-stopped
	for name, conn := range map[string]net.Conn{"the rest comes late": late, "the rest never comes": never} {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", name, err)
			continue
		}
		var refusal struct {
			Error struct {
				Code, Outcome string
				RetryAfterMs  int `json:"retry_after_ms"`
			}
		}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		got := refusal.Error
		if err != nil || response.StatusCode != 503 || got.Code != "stopping" || got.Outcome != "not_run" || got.RetryAfterMs == 0 {
			t.Errorf("%s: status %d, %+v, %v", name, response.StatusCode, got, err)
		}
	}
	if ran := runs(running, body); ran > 0 {
		t.Errorf("it ran %d times", ran)
	}
}
