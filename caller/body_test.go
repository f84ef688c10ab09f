package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/outcome"
)

func connect(t *testing.T, server *caller.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestAnswersHoldTheirMemoryUntilTheyAreWritten guards against whole answers that wait for callers which do not read, in memory that
// nothing counts.
func TestAnswersHoldTheirMemoryUntilTheyAreWritten(t *testing.T) {
	const size = 16 << 20
	budget := membudget.New(64 << 20)
	server := listen(t, func(context.Context, *caller.Call) (*caller.Answer, outcome.Result) {
		memory := budget.Reserve(membudget.AnswerBody)
		if err := memory.Resize(size); err != nil {
			t.Error(err)
		}
		return &caller.Answer{Status: http.StatusOK, Body: make([]byte, size), Memory: memory}, outcome.Result{Kind: outcome.Answered}
	})
	conn := connect(t, server)
	_, _ = io.WriteString(conn, "GET /v1/services/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if held := budget.Usage(membudget.AnswerBody).Bytes; held != size {
		t.Errorf("%d bytes are held beside an answer that is being written", held)
	}
	if read, err := io.Copy(io.Discard, answer.Body); read != size || err != nil {
		t.Errorf("%d bytes, %v", read, err)
	}
	eventually(t, "the memory is given back", func() bool { return budget.Usage(membudget.AnswerBody).Bytes == 0 })
}

// TestBodiesShareTheMemoryOfAServer guards against bodies that are each within their limit and exhaust memory together. What finds no
// room is refused as not run.
func TestBodiesShareTheMemoryOfAServer(t *testing.T) {
	const (
		bodyBytes = 60 << 10
		memory    = 4 * 64 << 10
		callers   = 12
	)
	server := listen(t, echo)
	budget := membudget.New(memory)
	server.LimitMemory(budget)
	var conns []net.Conn
	for range callers {
		conn := connect(t, server)
		_, _ = fmt.Fprintf(conn, "POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes-1))
		conns = append(conns, conn)
	}
	eventually(t, "bodies find no room", func() bool { return budget.Usage(membudget.RequestBody).Denied >= callers-4 })
	served, refused := 0, 0
	for _, conn := range conns {
		_, _ = io.WriteString(conn, "x")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		switch {
		case err != nil:
			t.Errorf("no answer: %v", err)
		case answer.StatusCode == http.StatusOK:
			served++
		case answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "" && answer.Header.Get(caller.HeaderNotRun) == "true":
			refused++
		default:
			t.Errorf("status %d, %v", answer.StatusCode, answer.Header)
		}
	}
	if served == 0 || refused == 0 {
		t.Errorf("%d served, %d refused", served, refused)
	}
	eventually(t, "all memory is given back", func() bool { return budget.Usage(membudget.RequestBody).Bytes == 0 })
}
