package headguard_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/headguard"
)

// pipeListener is a net.Listener whose connections are pipes, so that each write arrives as one read at least.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// guardedServer is a server that runs requests which the guard lets pass.
type guardedServer struct {
	listener *pipeListener
	server   *http.Server
	mutex    sync.Mutex
	// runs are the IDs of the requests that were run, in the order of each connection.
	runs []string
}

func startGuarded(tb testing.TB) *guardedServer {
	s := &guardedServer{listener: &pipeListener{make(chan net.Conn), make(chan struct{})}}
	s.server = &http.Server{ConnContext: headguard.ConnContext, DisableGeneralOptionsHandler: true, Handler: s}
	go func() { _ = s.server.Serve(headguard.Listener{Listener: s.listener}) }()
	tb.Cleanup(func() {
		close(s.listener.closed)
		_ = s.server.Close()
	})
	return s
}

func (s *guardedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, err := io.Copy(io.Discard, request.Body)
	if headguard.Ambiguous(request) {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs = append(s.runs, request.Header.Get("Id"))
}

// play sends parts one after the other on a connection of their own, and returns the IDs of the requests that were run once the
// server has closed the connection, or has nothing left to read.
func (s *guardedServer) play(parts ...string) []string {
	s.mutex.Lock()
	s.runs = nil
	s.mutex.Unlock()
	near, far := net.Pipe()
	s.listener.accepted <- far
	drained := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, near)
		close(drained)
	}()
	// Another request makes the server read all that comes before it, and the close ends the connection.
	for _, part := range append(parts, lastRequest) {
		_ = near.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := io.WriteString(near, part); err != nil {
			break
		}
	}
	select {
	case <-drained:
	case <-time.After(200 * time.Millisecond):
	}
	_ = near.Close()
	<-drained
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.runs)
}

const lastRequest = "GET /last HTTP/1.1\r\nHost: h\r\nId: last\r\nConnection: close\r\n\r\n"

const innerRequest = "POST /inner HTTP/1.1\r\nHost: h\r\nId: inner\r\nContent-Length: 0\r\n\r\n"

// outerRequest is a request whose body, by one reading, holds another request. Fields frame its body, with %d for its length.
func outerRequest(fields string) string {
	body := "0\r\n\r\n" + innerRequest
	if strings.Contains(fields, "%d") {
		fields = fmt.Sprintf(fields, len(body))
	}
	return "POST /outer HTTP/1.1\r\nHost: h\r\nId: outer\r\n" + fields + "\r\n" + body
}

// framings are fields that frame a body in two ways, or may be read so.
var framings = []string{
	"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
	"X: y\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"X: y\nContent-Length: %d\nTransfer-Encoding: chunked\n",
	"content-length: %d\r\ntransfer-encoding: Chunked\r\n",
	"Content-Length:%d\r\nTransfer-Encoding:chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding:\tchunked \r\n",
	"Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n",
	"Content-Length:\r\n %d\r\nTransfer-Encoding: chunked\r\n",
	"Content-Length: %d\r\nContent-Length: 0\r\n",
	"Content-Length: 0\r\nContent-Length: %d\r\n",
	"Content-Length: %d, 0\r\n",
	"Content-Length: +%d\r\n",
	"Content-Length: -%d\r\n",
	"Content-Length: 0x%d\r\n",
	"Content-Length : %d\r\nTransfer-Encoding: chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding : chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: gzip, chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: \x0bchunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: chunked\r\r\n",
	"Content-Length: %d\x00\r\nTransfer-Encoding: chunked\r\n",
	"X: " + strings.Repeat("y", 5000) + "\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"Content-Length: " + strings.Repeat("0", 300) + "%d\r\nTransfer-Encoding: chunked\r\n",
}

const (
	firstRequest   = "POST /first HTTP/1.1\r\nHost: h\r\nId: first\r\nContent-Length: 2\r\n\r\nab"
	chunkedRequest = "POST /first HTTP/1.1\r\nHost: h\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nTrailer: t\r\n\r\n"
)

// TestNoRequestInsideAnotherOneRuns guards against a request that stands in the body of another one and that is run: on a new
// connection, behind other requests, and cut at each byte.
func TestNoRequestInsideAnotherOneRuns(t *testing.T) {
	server := startGuarded(t)
	for _, framing := range framings {
		outer := outerRequest(framing)
		for _, before := range []string{"", firstRequest, chunkedRequest, firstRequest + "\r\n"} {
			raw := before + outer
			step := 1
			if testing.Short() || len(raw) > 2000 {
				step = 97
			}
			for cut := 0; cut < len(raw); cut += step {
				if runs := server.play(raw[:cut], raw[cut:]); slices.Contains(runs, "inner") || slices.Contains(runs, "outer") {
					t.Fatalf("%q cut at %d behind %q: ran %v", framing, cut, before, runs)
				}
			}
		}
	}
}

// TestProperRequestsPass guards against a guard that turns proper requests away, in whatever pieces they come.
func TestProperRequestsPass(t *testing.T) {
	server := startGuarded(t)
	chunks := func(id, body string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body
	}
	cases := map[string]struct {
		raw  string
		want []string
	}{
		"lengths":               {firstRequest + firstRequest, []string{"first", "first", "last"}},
		"chunks":                {chunkedRequest + chunkedRequest, []string{"first", "first", "last"}},
		"chunks behind lengths": {firstRequest + chunkedRequest + firstRequest, []string{"first", "first", "first", "last"}},
		"no body":               {"GET / HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n" + chunkedRequest, []string{"a", "first", "last"}},
		"a length in a chunk":   {chunks("a", "13\r\n\r\nContent-Length: 5\r\n0\r\n\r\n") + firstRequest, []string{"a", "first", "last"}},
		"a request in a body":   {"POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: " + strconv.Itoa(len(innerRequest)) + "\r\n\r\n" + innerRequest, []string{"a", "last"}},
		"a length in a trailer": {chunks("a", "2\r\nab\r\n0\r\nContent-Length: 5\r\n\r\n") + firstRequest, []string{"a", "first", "last"}},
		"large chunks":          {chunks("a", "2000\r\n"+strings.Repeat("x", 0x2000)+"\r\n0\r\n\r\n") + firstRequest, []string{"a", "first", "last"}},
		"the same length twice": {"POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", []string{"a", "last"}},
		"lines with LF alone":   {"POST / HTTP/1.1\nHost: h\nId: a\nContent-Length: 2\n\nab" + chunkedRequest, []string{"a", "first", "last"}},
		"an empty line behind":  {firstRequest + "\r\n" + firstRequest, []string{"first", "first", "last"}},
		"a long line":           {"GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\nHost: h\r\nId: a\r\nX: " + strings.Repeat("y", 9000) + "\r\n\r\n" + chunkedRequest, []string{"a", "first", "last"}},
		"asterisk":              {"OPTIONS * HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n" + chunkedRequest, []string{"a", "first", "last"}},
		"a continued field":     {"POST / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\nId: a\r\nContent-Length: 2\r\n\r\nab", []string{"a", "last"}},
		"an old client":         {"POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nId: a\r\nContent-Length: 2\r\n\r\nab" + firstRequest, []string{"a", "first", "last"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step := max(1, len(c.raw)/400)
			for cut := 0; cut < len(c.raw); cut += step {
				if runs := server.play(c.raw[:cut], c.raw[cut:]); !slices.Equal(runs, c.want) {
					t.Fatalf("cut at %d: ran %v, want %v", cut, runs, c.want)
				}
			}
		})
	}
}

// reading is a way to read where a request ends if it can be read in two ways.
type reading struct{ preferLength, lastLength bool }

// readIDs is a reader that shares no code with the guard or the library. It returns the IDs of the requests in raw, up to the
// first one that it cannot read.
func readIDs(raw string, how reading) []string {
	var ids []string
	for {
		raw = strings.TrimLeft(raw, "\r\n")
		id, lengths, chunked, rest, ok := readHead(raw)
		if !ok {
			return ids
		}
		length := 0
		if len(lengths) > 0 {
			text := lengths[0]
			if how.lastLength {
				text = lengths[len(lengths)-1]
			}
			var err error
			if length, err = strconv.Atoi(text); err != nil || length < 0 {
				return ids
			}
		}
		if chunked && (len(lengths) == 0 || !how.preferLength) {
			rest, ok = skipChunks(rest)
		} else if ok = length <= len(rest); ok {
			rest = rest[length:]
		}
		if !ok {
			return ids
		}
		ids, raw = append(ids, id), rest
	}
}

func readHead(raw string) (id string, lengths []string, chunked bool, rest string, ok bool) {
	rest = raw
	var fields []string
	for {
		var line string
		if line, rest, ok = strings.Cut(rest, "\n"); !ok {
			return "", nil, false, "", false
		}
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			break
		}
		if len(fields) > 1 && (line[0] == ' ' || line[0] == '\t') {
			fields[len(fields)-1] += " " + strings.TrimSpace(line)
		} else {
			fields = append(fields, line)
		}
	}
	if len(fields) == 0 {
		return "", nil, false, "", false
	}
	identified := false
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "id":
			if !identified {
				id, identified = value, true
			}
		case "content-length":
			lengths = append(lengths, value)
		case "transfer-encoding":
			chunked = strings.Contains(strings.ToLower(value), "chunked")
		}
	}
	return id, lengths, chunked, rest, true
}

func skipChunks(rest string) (string, bool) {
	for {
		line, after, found := strings.Cut(rest, "\r\n")
		digits, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if !found || err != nil {
			return "", false
		}
		if size == 0 {
			for line != "" && found {
				line, after, found = strings.Cut(after, "\n")
				line = strings.TrimSuffix(line, "\r")
			}
			return after, found
		}
		if len(after) < int(size)+2 || after[size:size+2] != "\r\n" {
			return "", false
		}
		rest = after[size+2:]
	}
}

// FuzzRequests checks that a request runs only if all readings agree on it and on all requests before it.
func FuzzRequests(f *testing.F) {
	for _, framing := range framings {
		f.Add(outerRequest(framing), uint16(30))
	}
	for _, raw := range []string{firstRequest, chunkedRequest, firstRequest + chunkedRequest, chunkedRequest + outerRequest(framings[0])} {
		f.Add(raw, uint16(100))
	}
	server := startGuarded(f)
	f.Fuzz(func(t *testing.T, raw string, cut uint16) {
		at := min(int(cut), len(raw))
		runs := server.play(raw[:at], raw[at:])
		for _, how := range []reading{{}, {preferLength: true}, {lastLength: true}, {preferLength: true, lastLength: true}} {
			ids := readIDs(raw+lastRequest, how)
			for number, id := range runs {
				if number >= len(ids) || strings.TrimSpace(ids[number]) != strings.TrimSpace(id) {
					t.Fatalf("ran %q; read as %+v it is %q", runs, how, ids)
				}
			}
		}
	})
}

// BenchmarkRequest measures what following a usual request costs.
func BenchmarkRequest(b *testing.B) {
	raw := "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\n" +
		"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Deadline-Ms: 15000\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
	b.SetBytes(int64(len(raw)))
	follow, data := headguard.Follow(), []byte(raw)
	for b.Loop() {
		follow(data)
	}
}
