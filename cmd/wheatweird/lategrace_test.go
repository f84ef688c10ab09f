package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// lateGrace is the grace of the daemons of these tests.
	lateGrace = 3 * time.Second
	// latePause is the time between two requests, which come from lateBefore before the stop until lateAfter after it.
	latePause  = 50 * time.Millisecond
	lateBefore = time.Second
	lateAfter  = 3400 * time.Millisecond
	// stopSlack is how long a daemon may take from the line of its log that says that it stops until it refuses requests.
	stopSlack = 100 * time.Millisecond
	// lossSlack is how long after its last byte a request may lose its connection without an answer, unless it was passed on.
	lossSlack = 200 * time.Millisecond
)

// lateRequest is what became of a request.
type lateRequest struct {
	id     string
	sentAt time.Time
	took   time.Duration
	// status is zero if no head came.
	status int
	// whole says that the answer ended as its framing says.
	whole bool
}

// lateClient sends requests on new connections, or on kept ones while there are some.
type lateClient struct {
	address string
	keeps   bool
	// stoppedAt is when the daemon began to stop.
	stoppedAt time.Time
	mutex     sync.Mutex
	idle      []net.Conn
	results   []lateRequest
}

func (c *lateClient) connect() (net.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if last := len(c.idle) - 1; last >= 0 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		return conn, nil
	}
	return net.Dial("tcp", c.address)
}

// send sends a request and notes what became of it. Requests that no connection takes are left out: they were not sent.
func (c *lateClient) send(head, id string) {
	conn, err := c.connect()
	if err != nil {
		return
	}
	result := lateRequest{id: id, sentAt: time.Now()}
	_ = conn.SetDeadline(time.Now().Add(2 * lateGrace))
	if _, err := io.WriteString(conn, head); err != nil {
		_ = conn.Close()
		return
	}
	stays := false
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		result.status = answer.StatusCode
		_, err = io.Copy(io.Discard, answer.Body)
		result.whole = err == nil
		stays = c.keeps && result.whole && !answer.Close
	}
	result.took = time.Since(result.sentAt)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, result)
	if stays {
		c.idle = append(c.idle, conn)
		return
	}
	_ = conn.Close()
}

// sendAround sends requests before and after a stop, and returns when all have ended.
func (c *lateClient) sendAround(name string, headOf func(id string) string, stop func()) {
	var group sync.WaitGroup
	defer group.Wait()
	began, stopped := time.Now(), false
	for number := 0; time.Since(began) < lateBefore+lateAfter; number++ {
		if !stopped && time.Since(began) >= lateBefore {
			stopped = true
			stop()
		}
		id := fmt.Sprintf("%s-%d", name, number)
		group.Go(func() { c.send(headOf(id), id) })
		time.Sleep(latePause)
	}
}

// check checks that requests which ran have an answer that does not deny it, a whole one if they came after the stop, and that none was
// read and dropped. A stream that began before the stop and takes longer than the grace is broken off.
func (c *lateClient) check(t *testing.T, ran map[string]bool) {
	t.Helper()
	counts := map[string]int{}
	for _, result := range c.results {
		promises := result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests
		late := result.sentAt.Sub(c.stoppedAt)
		switch {
		case ran[result.id] && !result.whole && (result.status == 0 || late > stopSlack):
			t.Errorf("%s, sent %v after the stop, was passed on, and its connection ended after %v: status %d", result.id, late, result.took, result.status)
		case ran[result.id] && late > stopSlack && result.status != http.StatusOK:
			t.Errorf("%s, sent %v after the stop, was passed on although its answer could not be ready: status %d", result.id, late, result.status)
		case ran[result.id] && promises:
			t.Errorf("%s ran, and was promised not to have: status %d", result.id, result.status)
		case !ran[result.id] && !result.whole && result.took > lossSlack:
			t.Errorf("%s has no answer after %v", result.id, result.took)
		}
		counts[fmt.Sprintf("%d whole %t", result.status, result.whole)]++
	}
	t.Logf("%v", counts)
}

// ranRequests collects the requests that a server began.
type ranRequests struct {
	mutex sync.Mutex
	ids   map[string]bool
}

func (r *ranRequests) add(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ids[id] = true
}

// serveFor answers requests, those on the route of streams with events for all the time that it takes.
func (r *ranRequests) serveFor(takes time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Request-Id")
		r.add(id)
		writer.Header().Set("X-Request-Id", id)
		writer.Header().Set("X-Server-Signature", "s")
		if !strings.HasPrefix(request.URL.Path, "/stream/") {
			time.Sleep(takes)
			_, _ = io.WriteString(writer, "whole")
			return
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		const pause = 50 * time.Millisecond
		for number := range int(takes / pause) {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number+1)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(pause)
		}
	}
}

// TestRequestsLateInTheGraceAreAnswered guards against requests that a stopping daemon takes late in its grace, passes on and cuts at the
// end of it without a whole answer, while their client could have had one elsewhere.
func TestRequestsLateInTheGraceAreAnswered(t *testing.T) {
	binary := buildBinary(t)
	for _, route := range []string{"unsafe", "stream"} {
		for _, takes := range []time.Duration{200 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			for _, keeps := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, kept connections %t", route, takes, keeps), func(t *testing.T) {
					t.Parallel()
					d := startEntryDaemon(t, binary)
					ran := &ranRequests{ids: map[string]bool{}}
					d.serve(t, "slow-1", ran.serveFor(takes))
					client := &lateClient{address: d.front, keeps: keeps}
					head := func(id string) string {
						return "POST /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
					}
					d.eventually(t, "the server is used", func() bool {
						client.send(head("first"), "first")
						return client.results[len(client.results)-1].status == http.StatusOK
					})
					client.results = nil
					client.sendAround("late", head, func() { _ = d.process.Signal(syscall.SIGTERM) })
					client.stoppedAt = d.loggedAt(t, "daemon: Stop begins.")
					d.loggedAt(t, "daemon: Stopped.")
					ran.mutex.Lock()
					defer ran.mutex.Unlock()
					client.check(t, ran.ids)
				})
			}
		}
	}
}

// loggedAt returns when the daemon wrote a message to its log.
func (d *entryDaemon) loggedAt(t *testing.T, message string) time.Time {
	t.Helper()
	content, err := os.ReadFile(d.log)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		if !strings.Contains(line, message) {
			continue
		}
		text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", text)
		if err != nil {
			t.Fatal(err)
		}
		return at
	}
	t.Fatalf("the log does not have %q", message)
	return time.Time{}
}
