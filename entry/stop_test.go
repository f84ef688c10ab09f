package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// stopGrace is the grace of the daemons that these tests stop: far less than their requests
// would wait.
const stopGrace = 1500 * time.Millisecond

// startToStop starts one daemon with a grace, and routes whose clients are patient.
func startToStop(t *testing.T, grace time.Duration) *deployment {
	t.Helper()
	f := start(t, 0)
	f.store.Configure(&fleet.Configuration{
		Version: 2,
		Routes: []fleet.Route{
			route("stream", fleet.KindStream, 20*time.Second, 5*time.Second, 2, "llm"),
			route("unsafe", fleet.KindUnsafe, 20*time.Second, 5*time.Second, 2, "web"),
			route("safe", fleet.KindSafe, 20*time.Second, 5*time.Second, 2, "web"),
		},
		Services: []fleet.Service{
			{Name: "llm", MaxConnections: 1, Engine: &fleet.Engine{
				Slots: 8, MemoryTokens: 100000, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 5,
				Models: []fleet.Model{{Name: "m", WeightsMB: 60}, {Name: "too-large", WeightsMB: 500}},
			}},
			{Name: "web", MaxConnections: 100},
		},
	})
	settings := f.daemonSettings(t, 0, freeAddress(t))
	settings.Grace = grace
	f.all = append(f.all, settings)
	f.daemons = append(f.daemons, f.startDaemon(t, settings))
	f.waitReady(t)
	return f
}

// TestStopAnswersRequestsThatHaveNotBegun stops a daemon while a request has no byte of an
// answer: its client gets a whole answer within the grace, and one that says whether the request
// may have run.
func TestStopAnswersRequestsThatHaveNotBegun(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		model   string
		behaves standin.Behaviour
		// before is a request that is sent ahead of the one in question.
		before string
		status int
	}{
		{name: "it waits for a model that no instance has", path: "/stream/x", model: "too-large", status: http.StatusServiceUnavailable},
		{name: "it waits for a connection", path: "/stream/x", model: "m", behaves: standin.BehaviourSilent, before: "m", status: http.StatusServiceUnavailable},
		{name: "its stream has not begun", path: "/stream/x", model: "m", behaves: standin.BehaviourSilent, status: http.StatusBadGateway},
		{name: "its instance says nothing", path: "/unsafe/x", behaves: standin.BehaviourSilent, status: http.StatusBadGateway},
		{name: "its instance says nothing, and it may be repeated", path: "/safe/x", behaves: standin.BehaviourSilent, status: http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startToStop(t, stopGrace)
			for _, server := range f.servers {
				server.Behave(c.behaves)
			}
			if c.before != "" {
				for number := range f.instances("llm") {
					go func() {
						_, _ = client.Do(context.Background(), f.all[0].FrontAddress, patientRequest(c.path, c.before))
					}()
					eventually(t, "a connection in use", func() bool { return f.runs() == number+1 })
				}
			}
			answers := make(chan error, 1)
			go func() { answers <- wantAnswer(f.all[0].FrontAddress, patientRequest(c.path, c.model), c.status) }()
			if c.status == http.StatusBadGateway {
				eventually(t, "the request at a server", func() bool { return f.runs() == 1 })
			} else {
				// One that comes later than the stop is refused in the same way.
				time.Sleep(100 * time.Millisecond)
			}
			f.daemons[0].Stop(context.Background())
			if err := <-answers; err != nil {
				t.Error(err)
			}
		})
	}
}

// instances returns how many servers a service has.
func (f *deployment) instances(service string) int {
	count := 0
	for _, server := range f.servers {
		if server.Service == service {
			count++
		}
	}
	return count
}

// runs returns how many requests servers have begun to work on.
func (f *deployment) runs() int {
	count := 0
	for _, server := range f.servers {
		count += len(server.Runs())
	}
	return count
}

func patientRequest(path, model string) standin.ClientRequest {
	return standin.ClientRequest{
		ID: fmt.Sprintf("%016x", requestNumber.Add(1)), Host: "h.example", Path: path, Body: "prompt", Model: model,
		PromptTokens: 100, OutputTokens: 10, Patience: 20 * time.Second,
	}
}

// wantAnswer sends a request and compares its answer with what it should be. A refusal that
// promises that the request has not run tells when to come back.
func wantAnswer(address string, sent standin.ClientRequest, status int) error {
	answer, err := client.Do(context.Background(), address, sent)
	switch {
	case err != nil:
		return fmt.Errorf("no answer: %w", err)
	case !answer.Complete || answer.Status != status:
		return fmt.Errorf("status %d, complete %t; want %d", answer.Status, answer.Complete, status)
	case answer.PromisesNotRun() && answer.RetryAfter == 0:
		return fmt.Errorf("status %d does not tell when to come back", answer.Status)
	}
	return nil
}

// TestStopAnswersARequestThatIsStillBeingRead sends the rest of a body when the daemon no longer
// takes requests: nothing else is in progress, and the client is still told that it has not run.
func TestStopAnswersARequestThatIsStillBeingRead(t *testing.T) {
	f := startToStop(t, 30*time.Second)
	head := "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nContent-Length: 6\r\n\r\npro"
	half, other := dialFront(t, f), dialFront(t, f)
	send(t, half, fmt.Sprintf(head, "r1"))
	send(t, other, fmt.Sprintf(head, "r2"))
	// Both heads were read once a third connection is answered after them.
	if _, status, _, err := post(f.all[0].FrontAddress, "/unsafe/x", ""); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	before := f.runs()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.daemons[0].Stop(context.Background())
	}()
	eventually(t, "new requests are refused", func() bool {
		_, status, _, _ := post(f.all[0].FrontAddress, "/unsafe/x", "")
		if status == http.StatusOK {
			before++
		}
		return status == http.StatusServiceUnavailable
	})
	for _, conn := range []net.Conn{half, other} {
		send(t, conn, "mpt")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, header %v", response.StatusCode, response.Header)
		}
	}
	<-stopped
	if after := f.runs(); after != before {
		t.Errorf("%d of the requests ran", after-before)
	}
}

// TestStopAnswersARequestThatNeverArrivesWhole has a body of which the rest never comes: its client
// is told at the end of the grace that the request has not run.
func TestStopAnswersARequestThatNeverArrivesWhole(t *testing.T) {
	f := startToStop(t, stopGrace)
	conn := dialFront(t, f)
	send(t, conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nContent-Length: 6\r\n\r\npro")
	f.daemons[0].Stop(context.Background())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	if runs := f.runs(); runs > 0 {
		t.Errorf("%d requests ran", runs)
	}
}

func dialFront(t *testing.T, f *deployment) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.all[0].FrontAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}
