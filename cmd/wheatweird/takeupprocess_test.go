package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// A long stream lasts longer than the grace of the daemon.
	longStreamEvents = 40
	longStreamPause  = 110 * time.Millisecond
	// impatience is after how long a silence some clients leave, patience after how long the others do.
	impatience = 1200 * time.Millisecond
	patience   = 5 * time.Second
	freezeSpan = 2 * time.Second
)

// longStream answers with events that name their run, behind the event that the request names.
func longStream(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Server-Signature", "s")
	writer.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := after + 1; number <= longStreamEvents; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, id); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-time.After(longStreamPause):
		case <-request.Context().Done():
			return
		}
	}
}

// streamTry is what one try of a client got.
type streamTry struct {
	status   int
	complete bool
	numbers  []int
	strange  string
}

// tryStream requests a stream and reads it to its end, or until nothing comes for the silence.
func tryStream(address, protocol, path, id string, after int, silence time.Duration) (try streamTry) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return try
	}
	defer conn.Close()
	head := "POST " + path + " " + protocol + "\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n"
	if after > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: first-%s\r\n", after, id)
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(silence))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return try
	}
	try.status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silence))
		line, err := reader.ReadString('\n')
		if err != nil {
			try.complete = err == io.EOF && line == ""
			return try
		}
		if value, found := strings.CutPrefix(line, "id: "); found {
			number, _ := strconv.Atoi(strings.TrimSpace(value))
			try.numbers = append(try.numbers, number)
		}
		if value, found := strings.CutPrefix(line, "data: "); found && strings.TrimSpace(value) != id {
			try.strange = value
		}
	}
}

// check checks that a try holds the events behind one, in order and of its own run, and that it looks complete only with the last.
func (s *streamTry) check(t *testing.T, name string, after int) {
	for place, number := range s.numbers {
		if number != after+place+1 {
			t.Errorf("%s: events %v behind %d", name, s.numbers, after)
			break
		}
	}
	if s.strange != "" {
		t.Errorf("%s: an event of another run: %q", name, s.strange)
	}
	if s.complete && s.status == http.StatusOK && after+len(s.numbers) != longStreamEvents {
		t.Errorf("%s: looks complete behind event %d", name, after+len(s.numbers))
	}
}

// TestStreamsAtADaemonThatStopsOrFreezes guards against streams that look complete, or hold events twice, of other runs or out of
// order, where their daemon is frozen and goes on after the client has left, is stopped or is killed in the middle.
func TestStreamsAtADaemonThatStopsOrFreezes(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	const streams = 10
	for name, signals := range map[string][]syscall.Signal{
		"frozen": {syscall.SIGSTOP, syscall.SIGCONT}, "stopped": {syscall.SIGTERM}, "killed": {syscall.SIGKILL},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				t.Parallel()
				d := startEntryDaemon(t, binary)
				for number := range 3 {
					d.serve(t, fmt.Sprint("faulty-", number), longStream)
				}
				d.eventually(t, "the service is known", func() bool {
					try := tryStream(d.front, protocol, "/resumable/x", "probe", longStreamEvents-1, patience)
					return try.status == http.StatusOK
				})
				tries := make([]streamTry, 4*streams)
				var group sync.WaitGroup
				for number := range tries {
					group.Go(func() {
						path := []string{"/resumable/x", "/stream/x"}[number%2]
						silence := []time.Duration{impatience, patience}[number/2%2]
						tries[number] = tryStream(d.front, protocol, path, fmt.Sprint("t", number), 0, silence)
					})
				}
				time.Sleep(time.Second)
				for place, signal := range signals {
					if place > 0 {
						time.Sleep(freezeSpan)
					}
					if err := d.process.Signal(signal); err != nil {
						t.Fatal(err)
					}
				}
				group.Wait()
				whole := 0
				for number := range tries {
					tries[number].check(t, fmt.Sprint("try ", number), 0)
					if tries[number].complete && tries[number].status == http.StatusOK {
						whole++
					}
				}
				t.Logf("%d of %d whole", whole, len(tries))
				if name != "frozen" {
					return
				}
				for number := range tries {
					got := len(tries[number].numbers)
					if number%2 > 0 || got == 0 || tries[number].complete {
						continue
					}
					group.Go(func() {
						again := tryStream(d.front, protocol, "/resumable/x", fmt.Sprint("again", number), got, patience)
						again.check(t, fmt.Sprint("take-up ", number), got)
						if !again.complete || again.status != http.StatusOK {
							t.Errorf("take-up %d: %+v", number, again)
						}
					})
				}
				group.Wait()
			})
		}
	}
}
