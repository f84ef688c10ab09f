package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/outcome"
)

// handler answers by a function.
type handler struct {
	serve func(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result)
}

func (h handler) Serve(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	return h.serve(ctx, call)
}

func (handler) Addresses(string) (caller.AddressesAnswer, bool) {
	return caller.AddressesAnswer{Addresses: []string{"127.0.0.1:1"}, KeepSeconds: 5}, true
}
func (handler) Models() []api.Model {
	return []api.Model{{Name: "m", Adapters: []api.Adapter{{Name: "a"}}}}
}
func (handler) Ready() bool                    { return true }
func (handler) WriteMetrics(w io.Writer) error { _, err := io.WriteString(w, "metric 1\n"); return err }
func (handler) Command(context.Context, string, string) ([]byte, int) {
	return []byte("{}"), http.StatusOK
}

func listen(t *testing.T, serve func(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result)) *caller.Server {
	t.Helper()
	server, err := caller.Listen("127.0.0.1:0", "d", 64<<10, handler{serve})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func echo(_ context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	return &caller.Answer{Status: 200, ContentType: "application/json", Body: call.Body}, outcome.Result{}
}

func post(t *testing.T, address, path, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

const body = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

func TestBadInput(t *testing.T) {
	server := listen(t, echo)
	cases := []struct {
		name    string
		body    string
		headers map[string]string
		status  int
		want    string
	}{
		{"good", body, nil, 200, "messages"},
		{"malformed JSON", `{"model":`, nil, 400, "not valid JSON"},
		{"no model", `{"messages":[1]}`, nil, 400, "model"},
		{"no messages", `{"model":"m"}`, nil, 400, "messages"},
		{"negative deadline", body, map[string]string{caller.HeaderDeadline: "-5"}, 400, "deadline"},
		{"deadline that is no number", body, map[string]string{caller.HeaderDeadline: "soon"}, 400, "deadline"},
		{"unknown priority", body, map[string]string{caller.HeaderPriority: "urgent"}, 400, "use one of critical, paid, free"},
		{"unknown mark", body, map[string]string{caller.HeaderNotRepeatable: "maybe"}, 400, "true or false"},
		{"long key", body, map[string]string{caller.HeaderRequestKey: strings.Repeat("k", 300)}, 400, "256 bytes"},
		{"oversized body", `{"model":"m","prompt":"` + strings.Repeat("x", 70<<10) + `"}`, nil, 413, "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, text := post(t, server.Address(), "/v1/chat/completions", c.body, c.headers)
			if response.StatusCode != c.status || !strings.Contains(text, c.want) {
				t.Fatalf("status %d body %.300s", response.StatusCode, text)
			}
			if c.status != 200 && response.Header.Get(caller.HeaderNotRun) != "true" {
				t.Fatal("a bad request does not say that it did not run")
			}
		})
	}
	// The server is unharmed.
	if response, text := post(t, server.Address(), "/v1/chat/completions", body, nil); response.StatusCode != 200 || text != body {
		t.Fatalf("status %d body %s", response.StatusCode, text)
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	server := listen(t, func(context.Context, *caller.Call) (*caller.Answer, outcome.Result) {
		return nil, outcome.Refuse(outcome.ReasonQueueFull, 1500*time.Millisecond)
	})
	response, text := post(t, server.Address(), "/v1/completions", body, nil)
	var detail struct {
		Error struct {
			Type, Code, Outcome string
			RetryAfterMs        int `json:"retry_after_ms"`
		}
	}
	if err := json.Unmarshal([]byte(text), &detail); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != 429 || response.Header.Get("Retry-After") != "2" || detail.Error.Outcome != "not_run" || detail.Error.RetryAfterMs != 1500 {
		t.Fatalf("status %d headers %v body %s", response.StatusCode, response.Header, text)
	}
}

// pieces is a stream of fixed pieces with a final result.
type pieces struct {
	texts  []string
	result outcome.Result
}

func (p *pieces) Read(buffer []byte) (int, error) {
	if len(p.texts) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, p.texts[0])
	p.texts = p.texts[1:]
	return count, nil
}
func (p *pieces) Buffered() int               { return 0 }
func (p *pieces) Finish(error) outcome.Result { return p.result }

func TestBrokenStreamEndsWithAnError(t *testing.T) {
	broken := outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken}
	server := listen(t, func(context.Context, *caller.Call) (*caller.Answer, outcome.Result) {
		return &caller.Answer{Status: 200, ContentType: "text/event-stream", Stream: &pieces{[]string{"data: a\n\n", "data: b\n\n"}, broken}}, outcome.Result{}
	})
	_, text := post(t, server.Address(), "/v1/completions", body, nil)
	if !strings.HasPrefix(text, "data: a\n\ndata: b\n\ndata: {\"error\"") || !strings.Contains(text, `"outcome":"failed"`) {
		t.Fatalf("stream %q", text)
	}
}

func TestHangUpCancelsTheCall(t *testing.T) {
	cancelled := make(chan bool, 1)
	server := listen(t, func(ctx context.Context, _ *caller.Call) (*caller.Answer, outcome.Result) {
		select {
		case <-ctx.Done():
			cancelled <- true
		case <-time.After(20 * time.Second):
			cancelled <- false
		}
		return nil, outcome.Refuse(outcome.ReasonCallerGone, 0)
	})
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = conn.Close()
	if !<-cancelled {
		t.Fatal("the call went on")
	}
}

func TestOtherCalls(t *testing.T) {
	server := listen(t, echo)
	for path, want := range map[string]string{
		"/healthz": "ok", "/readyz": "ready", "/metrics": "metric 1",
		"/v1/models": `"m:a"`, "/v1/addresses?model=m": `"keep_seconds":5`,
	} {
		response, err := http.Get("http://" + server.Address() + path)
		if err != nil {
			t.Fatal(err)
		}
		line, _ := bufio.NewReader(response.Body).ReadString(0)
		response.Body.Close()
		if response.StatusCode != 200 || !strings.Contains(line, want) {
			t.Errorf("%s: status %d body %s", path, response.StatusCode, line)
		}
	}
}

// TestBodyFramedTwiceIsRefused sends a length and chunks; behind the chunks stands
// what a reader of the length takes for the body.
func TestBodyFramedTwiceIsRefused(t *testing.T) {
	calls := make(chan string, 4)
	server := listen(t, func(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
		calls <- call.ID
		return echo(ctx, call)
	})
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	inner := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner)
	text, _ := io.ReadAll(conn)
	if !strings.HasPrefix(string(text), "HTTP/1.1 400") || len(calls) != 0 {
		t.Fatalf("answer %q, %d calls", text, len(calls))
	}
}
