package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/outcome"
)

// untilEnded waits for the end of a call's context and gives a result as the daemon does then.
func untilEnded(kind outcome.Kind, reason outcome.Reason) func(context.Context, *caller.Call) (*caller.Answer, outcome.Result) {
	return func(ctx context.Context, _ *caller.Call) (*caller.Answer, outcome.Result) {
		<-ctx.Done()
		return nil, outcome.Result{Kind: kind, Reason: reason}
	}
}

// TestEndTellsWhetherACallMayHaveRun ends a server while its handler waits.
func TestEndTellsWhetherACallMayHaveRun(t *testing.T) {
	cases := []struct {
		name   string
		kind   outcome.Kind
		reason outcome.Reason
		status int
		code   string
	}{
		{"nothing was sent", outcome.NotRun, outcome.ReasonCallerGone, 503, "stopping"},
		{"a connection was being made", outcome.NotRun, outcome.ReasonConnect, 503, "stopping"},
		{"a key was being claimed", outcome.NotRun, outcome.ReasonKeyUnavailable, 503, "stopping"},
		{"it was sent", outcome.Unknown, outcome.ReasonCallerGone, 502, "stopping"},
		{"an answer was arriving", outcome.Failed, outcome.ReasonBroken, 502, "stopping"},
		{"it was refused for a reason of its own", outcome.NotRun, outcome.ReasonQueueFull, 429, "queue_full"},
		{"its key was used before", outcome.Unknown, outcome.ReasonKeyUsed, 409, "request_key_used"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := listen(t, untilEnded(c.kind, c.reason))
			time.AfterFunc(50*time.Millisecond, server.End)
			response, text := post(t, server.Address(), "/v1/completions", body, nil)
			want := fmt.Sprintf(`"code":%q,"outcome":%q`, c.code, c.kind)
			if response.StatusCode != c.status || !strings.Contains(text, want) {
				t.Errorf("status %d body %s, want %d %s", response.StatusCode, text, c.status, want)
			}
			notRun := c.kind == outcome.NotRun
			if (response.Header.Get("Retry-After") != "") != notRun || (response.Header.Get(caller.HeaderNotRun) != "") != notRun {
				t.Errorf("header %v", response.Header)
			}
		})
	}
}

// TestDrainRefusesNewCallsOnly drains a server while a call is in progress.
func TestDrainRefusesNewCallsOnly(t *testing.T) {
	begun, answered := make(chan struct{}, 2), make(chan struct{})
	server := listen(t, func(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
		begun <- struct{}{}
		<-answered
		return echo(ctx, call)
	})
	first := make(chan string, 1)
	go func() {
		_, text := post(t, server.Address(), "/v1/completions", body, nil)
		first <- text
	}()
	<-begun
	server.Drain()
	if response, text := post(t, server.Address(), "/v1/completions", body, nil); response.StatusCode != 503 || !strings.Contains(text, `"code":"stopping","outcome":"not_run"`) {
		t.Errorf("status %d body %s", response.StatusCode, text)
	}
	if server.Idle() {
		t.Error("idle although a call is in progress")
	}
	close(answered)
	if text := <-first; text != body {
		t.Errorf("the call in progress got %s", text)
	}
	if response, err := http.Get("http://" + server.Address() + "/readyz"); err != nil || response.StatusCode != 200 {
		t.Errorf("other calls are refused: %v", err)
	}
}

// TestIdleCountsReadingAndWriting covers a body that is still arriving and an answer that the
// caller has not read: no call is active, and the server is not idle.
func TestIdleCountsReadingAndWriting(t *testing.T) {
	// More than a connection holds that nobody reads from.
	const answerBytes = 64 << 20
	server := listen(t, func(context.Context, *caller.Call) (*caller.Answer, outcome.Result) {
		return &caller.Answer{Status: 200, ContentType: "text/plain", Body: make([]byte, answerBytes)}, outcome.Result{}
	})
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:5])
	waitFor(t, "the body is being read", func() bool { return !server.Idle() })
	if server.Active() != 0 {
		t.Error("active before the body was read")
	}
	_, _ = io.WriteString(conn, body[5:])
	waitFor(t, "the handler has ended", func() bool { return server.QuietFor() < time.Minute && server.Active() == 0 })
	if server.Idle() {
		t.Error("idle while the answer is being written")
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	waitFor(t, "the answer was written", server.Idle)
}

// waitFor waits until a condition holds; the bound only ends a test that hangs.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// TestEndIsAnErrorEventInAStream ends a server in the middle of a stream.
func TestEndIsAnErrorEventInAStream(t *testing.T) {
	server := listen(t, func(ctx context.Context, _ *caller.Call) (*caller.Answer, outcome.Result) {
		return &caller.Answer{Status: 200, ContentType: "text/event-stream", Stream: &endless{ctx: ctx}}, outcome.Result{}
	})
	time.AfterFunc(100*time.Millisecond, server.End)
	_, text := post(t, server.Address(), "/v1/completions", body, nil)
	if !strings.HasPrefix(text, "data: a\n\ndata: {\"error\"") || !strings.Contains(text, `"code":"stopping","outcome":"failed"`) || strings.Contains(text, "[DONE]") {
		t.Errorf("stream %q", text)
	}
}

// endless is a stream of one piece that goes on until its context ends.
type endless struct {
	ctx  context.Context
	sent bool
}

func (e *endless) Read(buffer []byte) (int, error) {
	if !e.sent {
		e.sent = true
		return copy(buffer, "data: a\n\n"), nil
	}
	<-e.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}
func (e *endless) Buffered() int { return 0 }
func (e *endless) Finish(error) outcome.Result {
	return outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken}
}
