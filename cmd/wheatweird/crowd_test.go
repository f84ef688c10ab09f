package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// crowdTimeout only ends a test that hangs; no check of a crowd depends on time.
const crowdTimeout = 20 * time.Second

// limitedCommand is a command whose process has a limit of open descriptors; zero leaves the limit as it is.
func limitedCommand(descriptors int, binary string, arguments ...string) *exec.Cmd {
	if descriptors == 0 {
		return exec.Command(binary, arguments...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return exec.Command("sh", append([]string{"-c", script, binary}, arguments...)...)
}

// misbehaviour is what each client of a crowd does.
type misbehaviour struct {
	// opening is sent first, and more again and again after it, if it is set.
	opening, more []byte
	// deaf clients read nothing of what the daemon answers.
	deaf bool
}

// crowd is a number of connections of clients that do not behave. Whatever a daemon does to one, another takes its place.
type crowd struct {
	misbehaviour
	address string
	size    int
	// arrived counts the connections that are open and have sent their opening, rounds all that were opened.
	arrived, rounds atomic.Int64
}

// crowdReadPause is the time between two looks of a client that has nothing more to send.
const crowdReadPause = 20 * time.Millisecond

// start opens the connections and keeps the crowd at its size until ctx ends.
func (c *crowd) start(ctx context.Context, group *sync.WaitGroup) {
	for range c.size {
		group.Go(func() {
			for ctx.Err() == nil {
				c.misbehave(ctx)
				// A client that is turned away comes back, but not at once.
				pauseFor(ctx, 5*crowdReadPause)
			}
		})
	}
}

// misbehave opens a connection and uses it until the daemon closes it.
func (c *crowd) misbehave(ctx context.Context) {
	conn, err := (&net.Dialer{Timeout: crowdTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	c.rounds.Add(1)
	if c.deaf {
		_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	}
	if _, err := conn.Write(c.opening); err != nil {
		return
	}
	c.arrived.Add(1)
	defer c.arrived.Add(-1)
	if c.deaf && len(c.more) == 0 {
		<-ctx.Done()
		return
	}
	if len(c.more) == 0 {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	if !c.deaf {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for {
		if _, err := conn.Write(c.more); err != nil {
			return
		}
		pauseFor(ctx, crowdReadPause)
	}
}

func pauseFor(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// waitPlaced waits until each client of the crowd has tried at least once.
func (c *crowd) waitPlaced(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(crowdTimeout); c.rounds.Load() < int64(c.size); time.Sleep(crowdReadPause) {
		if time.Now().After(until) {
			t.Logf("%d of %d clients got a connection", c.rounds.Load(), c.size)
			return
		}
	}
	// What has been sent is read, or is left in the buffers of the sockets.
	time.Sleep(time.Second)
}

// manyFields returns fields of few bytes, of about size bytes together, none of which has the name of another.
func manyFields(size int) []byte {
	var fields bytes.Buffer
	for number := 0; fields.Len() < size; number++ {
		fields.WriteString(strconv.FormatInt(int64(number), 36) + ":\r\n")
	}
	return fields.Bytes()
}

// resources is what a process and the sockets that it listens on hold.
type resources struct {
	memoryMB    float64
	descriptors int
}

// watcher keeps the peaks of what a process holds.
type watcher struct {
	pid    int
	ports  []string
	mutex  sync.Mutex
	peak   resources
	failed bool
}

// watchResources follows a process until ctx ends. Bytes that have arrived at its addresses and are not read yet count as its memory.
func watchResources(ctx context.Context, group *sync.WaitGroup, pid int, addresses ...string) *watcher {
	w := &watcher{pid: pid}
	for _, address := range addresses {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		w.ports = append(w.ports, fmt.Sprintf("%04X", number))
	}
	group.Go(func() {
		for ctx.Err() == nil {
			w.look()
			time.Sleep(memoryPollInterval)
		}
	})
	return w
}

func (w *watcher) look() {
	resident, running := residentMB(w.pid)
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !running || err != nil {
		w.failed = true
		return
	}
	w.peak.memoryMB = max(w.peak.memoryMB, resident+float64(w.unreadBytes())/(1<<20))
	w.peak.descriptors = max(w.peak.descriptors, len(entries))
}

// unreadBytes is what has arrived at the addresses and has not been read.
func (w *watcher) unreadBytes() (sum int64) {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		for _, port := range w.ports {
			if _, unread, found := strings.Cut(fields[4], ":"); found && fields[3] != "0A" && strings.HasSuffix(fields[1], ":"+port) {
				waiting, _ := strconv.ParseInt(unread, 16, 64)
				sum += waiting
			}
		}
	}
	return sum
}

// residentMB returns the resident memory of a process, or false if it has ended.
func residentMB(pid int) (float64, bool) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024, err == nil
		}
	}
	return 0, false
}

// check checks that the process lives and has stayed within its bounds.
func (w *watcher) check(t *testing.T, most resources) {
	t.Helper()
	w.look()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t.Logf("peak %.0f MB, %d descriptors", w.peak.memoryMB, w.peak.descriptors)
	if w.failed || syscall.Kill(w.pid, 0) != nil {
		t.Error("the process has ended")
	}
	if w.peak.memoryMB > most.memoryMB {
		t.Errorf("peak %.0f MB, %.0f allowed", w.peak.memoryMB, most.memoryMB)
	}
	if most.descriptors > 0 && w.peak.descriptors > most.descriptors {
		t.Errorf("%d descriptors, %d allowed", w.peak.descriptors, most.descriptors)
	}
}

// waitUntil waits until a condition holds at a process; the time only ends a wait that has no end.
func waitUntil(t *testing.T, pid int, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(crowdTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if _, running := residentMB(pid); !running {
			t.Fatalf("never: %s: the process has ended", what)
		}
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}
