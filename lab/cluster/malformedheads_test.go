package cluster_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/internal/messagehead/messageheadtest"
	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/lab/standin/service"
)

const (
	// malformedDeadline is the time of a call, and malformedAtOnce the part of it within which an answer comes at once.
	malformedDeadline = 5 * time.Second
	malformedAtOnce   = malformedDeadline / 5
	malformedBody     = "malformed"
)

// headSpoiler passes the calls of a back end on, and spoils the heads of its answers to clients' requests while it has a case.
type headSpoiler struct {
	listener net.Listener
	target   string
	spoils   atomic.Pointer[messageheadtest.Case]
	spoiled  atomic.Int64
}

func newHeadSpoiler(t *testing.T, target string) *headSpoiler {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &headSpoiler{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *headSpoiler) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if c := s.spoils.Load(); c != nil && !strings.HasPrefix(request.URL.Path, "/control/") {
			_, _ = io.Copy(io.Discard, request.Body)
			s.spoiled.Add(1)
			_, _ = io.WriteString(conn, c.Head(fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(malformedBody)))+malformedBody)
			continue
		}
		request.URL.Scheme, request.URL.Host, request.RequestURI = "http", s.target, ""
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return
		}
		if err := response.Write(conn); err != nil {
			return
		}
	}
}

// TestMalformedHeadsReachNoCaller guards against heads of engines and services that no server sends and that callers of a native daemon
// get as answers, with a status, fields or a body that the back end did not send, or wait for.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	options := cluster.DefaultOptions(log)
	options.Daemons, options.Engines, options.Services = 1, 0, 0
	running, err := cluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	model, err := engine.Listen("127.0.0.1:0", engine.DefaultSettings("engine-1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(model.Close)
	plain, err := service.Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plain.Close)
	settings := engine.DefaultSettings("engine-1")
	spoilers := []*headSpoiler{newHeadSpoiler(t, model.Address()), newHeadSpoiler(t, plain.Address())}
	running.Store.Do(func(now time.Time, core *objectstore.Core) {
		core.SetMachine(now, api.Machine{
			Name: "engine-1", Role: api.RoleEngine, Zone: "zone-1", State: api.MachineLive, Address: spoilers[0].listener.Addr().String(),
			MemoryBytes: settings.MemoryBytes, Accelerators: 1, ChecksFence: settings.ChecksFence,
		})
		core.SetMachine(now, api.Machine{Name: "portal-1", Role: api.RoleService, Zone: "zone-1", State: api.MachineLive, Address: spoilers[1].listener.Addr().String()})
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := running.Daemons[0].CallerAddress()
	caller := client.New([]string{address})
	defer caller.Close()
	for _, command := range []string{"create model glossary version v1 size 6GiB priority critical replicas 1", "create service berths on portal-1 priority critical"} {
		created := func() bool {
			result, err := caller.Operator(ctx, address, cluster.Credential, command)
			return err == nil && result.Error == ""
		}
		if err := cluster.Wait(ctx, command, created); err != nil {
			t.Fatal(err)
		}
	}
	requests := []client.Request{
		{Model: "glossary", Prompt: "whole", Tokens: 3}, {Model: "glossary", Prompt: "streamed", Tokens: 3, Stream: true},
		{Service: "berths", Prompt: "repeatable"}, {Service: "berths", Prompt: "once", Key: "k"},
	}
	attempts := 0
	for _, request := range requests {
		request.Deadline = malformedDeadline
		answers := func() bool {
			if attempts++; request.Key != "" {
				request.Key = fmt.Sprint("ready", attempts)
			}
			answer, err := caller.DoAt(ctx, address, request)
			return err == nil && answer.Outcome == "answered"
		}
		if err := cluster.Wait(ctx, "the back ends answer", answers); err != nil {
			t.Fatal(err)
		}
	}
	for number, c := range messageheadtest.Malformed() {
		t.Run(c.Name, func(t *testing.T) {
			for _, spoiler := range spoilers {
				spoiler.spoils.Store(&c)
			}
			for _, request := range requests {
				answer, err := callAtBackEnd(ctx, caller, address, request, number)
				told := answer.Outcome == "unknown" || answer.Outcome == "failed"
				if err != nil || answer.Status != http.StatusBadGateway || !told || answer.Reason != "malformed_answer" || answer.Total > malformedAtOnce {
					t.Errorf("%s%s, %s: %+v, %v", request.Model, request.Service, request.Prompt, answer, err)
				}
			}
		})
	}
	for _, spoiler := range spoilers {
		if spoiler.spoiled.Load() < int64(len(messageheadtest.Malformed())) {
			t.Errorf("%d heads were spoiled", spoiler.spoiled.Load())
		}
		spoiler.spoils.Store(nil)
	}
	checkNativeTold(ctx, t, log.Name(), address)
}

// callAtBackEnd makes a call, under a key of its own if it has one. A key that the store has no room to claim is tried again under
// another one: no back end was sent the call.
func callAtBackEnd(ctx context.Context, caller *client.Client, address string, request client.Request, number int) (client.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, malformedDeadline)
	defer cancel()
	request.Deadline = malformedDeadline
	key := request.Key
	for attempt := 0; ; attempt++ {
		if key != "" {
			request.Key = fmt.Sprintf("%s-%d-%d", key, number, attempt)
		}
		answer, err := caller.DoAt(ctx, address, request)
		if err != nil || answer.Reason != "request_key_unavailable" {
			return answer, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkNativeTold checks that log, metrics and queries name the cause.
func checkNativeTold(ctx context.Context, t *testing.T, log, address string) {
	t.Helper()
	text, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"back_end=engine-1 outcome=unknown reason=malformed_answer", "back_end=portal-1 outcome=unknown reason=malformed_answer"} {
		if !strings.Contains(string(text), part) {
			t.Errorf("the log does not have %q", part)
		}
	}
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(metrics), `wheatweir_answers_malformed{defect="status"}`) {
		t.Errorf("%v; the metrics do not tell", err)
	}
	caller := client.New([]string{address})
	defer caller.Close()
	result, err := caller.Operator(ctx, address, "", "show requests")
	if err != nil || !strings.Contains(result.Table(), "malformed_answer") {
		t.Errorf("%v; the query does not tell", err)
	}
}
