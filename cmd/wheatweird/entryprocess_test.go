package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/explain"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// entryMemoryMB is the memory of a small machine; a daemon over it would be killed.
	entryMemoryMB = 284
	// entryMemoryShare is the part of it that a daemon may reach.
	entryMemoryShare = 0.85
	// troubleSpan is how long the trouble of a case lasts, and troubleClients how many clients ask for it at once.
	troubleSpan    = 2 * time.Second
	troubleClients = 24
	// calmClients is how many clients read streams of a sound server meanwhile, and calmGap the gap after which clients give a
	// stream up.
	calmClients = 6
	calmGap     = 2 * time.Second
	// closedBytes is how much a server may have sent when its connection is closed: most of it fills the buffers of the sockets.
	closedBytes = 16 << 20
)

// entryDaemon is a real entry daemon as a process of its own, before a store and servers of this test.
type entryDaemon struct {
	store     *standin.Store
	process   *os.Process
	log       string
	settings  string
	front     string
	ready     string
	directory string
	peers     string
	metrics   string
	// configuration is what the store was given first.
	configuration *fleet.Configuration
	// memoryMB is the memory of its machine.
	memoryMB int
	// peak is the largest resident memory of the process so far, in MB.
	peak atomic.Int64
}

const deploymentKey = "a key for this test"

// entryMachine is the machine of a daemon.
type entryMachine struct {
	memoryMB int
	// descriptors bounds the open descriptors of the process; zero leaves them as they are.
	descriptors int
}

// startEntryDaemon starts a daemon and waits until it is ready. The calm service has a sound server, the service named
// "faulty" has none yet.
func startEntryDaemon(t *testing.T, binary string) *entryDaemon {
	t.Helper()
	return startEntryDaemonOn(t, binary, entryMachine{memoryMB: entryMemoryMB})
}

// startEntryDaemonOn is startEntryDaemon on a machine of another size.
func startEntryDaemonOn(t *testing.T, binary string, machine entryMachine) *entryDaemon {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	route := func(name string, kind fleet.RouteKind, resumable bool, service string) fleet.Route {
		return fleet.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 6 * time.Second, TargetLatency: time.Second,
			MaxAttempts: 2, Resumable: resumable, Targets: []fleet.Target{{Service: service, Weight: 1}},
		}
	}
	configuration := &fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			route("calm", fleet.KindStream, false, "calm"), route("stream", fleet.KindStream, false, "faulty"),
			route("resumable", fleet.KindStream, true, "faulty"), route("unsafe", fleet.KindUnsafe, false, "faulty"), route("safe", fleet.KindSafe, false, "faulty"),
		},
		Services: []fleet.Service{
			{Name: "calm", MaxConnections: 100, Engine: &fleet.Engine{Slots: 64, MemoryTokens: 1 << 30, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 5,
				Models: []fleet.Model{{Name: "m", WeightsMB: 60}}}},
			{Name: "faulty", MaxConnections: 400},
		},
	}
	store.Configure(configuration)
	calm, err := standin.NewServer(store, "calm-1", "calm", "z", "m")
	if err != nil {
		t.Fatal(err)
	}
	calm.EventPause = 20 * time.Millisecond
	t.Cleanup(calm.Close)
	d := &entryDaemon{store: store, configuration: configuration, memoryMB: machine.memoryMB}
	addresses := map[string]*string{"front": &d.front, "ready": &d.ready, "directory": &d.directory, "peers": &d.peers, "metrics": &d.metrics}
	for _, address := range addresses {
		if *address, err = loopback.Address(); err != nil {
			t.Fatal(err)
		}
	}
	folder := t.TempDir()
	path := filepath.Join(folder, "daemon.ini")
	content := fmt.Sprintf("[daemon]\nname = d1\nzone = z\nfirst_start = true\ndeployment_key = %s\nmemory_limit_mb = %d\n[listen]\n", deploymentKey, machine.memoryMB)
	for name, address := range addresses {
		content += name + " = " + *address + "\n"
	}
	content += fmt.Sprintf("[peers]\nseeds = %s\n[store]\naddress = %s\nwatch_wait = 2s\n[requests]\naddress_keep = 1s\ngrace = 3s\nretry_share = 1\nretry_slack = 1000\n", d.peers, store.Address())
	content += "[orders]\nchecks_fence = true\nlease_term = 3s\n"
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	d.settings, d.log = path, filepath.Join(folder, "daemon.log")
	output, err := os.Create(d.log)
	if err != nil {
		t.Fatal(err)
	}
	command := limitedCommand(machine.descriptors, binary, "--entry", "--settings", path)
	command.Stdout, command.Stderr = output, output
	// A test that is killed leaves no process behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	d.process = command.Process
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = output.Close()
	})
	go d.killOverMemory()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for client := (standin.Client{}); !client.Ready(ctx, d.ready); time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("the daemon is not ready")
		}
	}
	for answer, _ := d.ask(ctx, "calm", "first"); answer.Status != http.StatusOK; answer, _ = d.ask(ctx, "calm", "first") {
		if ctx.Err() != nil {
			t.Fatalf("no answer from the calm service: %+v", answer)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return d
}

// ask sends a request on a route.
func (d *entryDaemon) ask(ctx context.Context, route, id string) (standin.ClientAnswer, error) {
	sent := standin.ClientRequest{ID: id, Host: "h.example", Path: "/" + route + "/x", Patience: 5 * time.Second}
	if route == "calm" {
		sent.Model, sent.PromptTokens, sent.OutputTokens = "m", 10, 10
	}
	return (&standin.Client{}).Do(ctx, d.front, sent)
}

// serve lists a server of the faulty service and answers each of its requests by a function.
func (d *entryDaemon) serve(t *testing.T, id string, answer http.HandlerFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: answer}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	d.store.Put("servers", id, map[string]any{
		"service": "faulty", "address": listener.Addr().String(), "zone": "z", "version": "v1", "slots": 400, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
	})
}

// memoryPollInterval is the time between two looks at the memory of the process.
const memoryPollInterval = 10 * time.Millisecond

// killOverMemory kills the process once it is over its memory, as the platform does, and keeps the peak.
func (d *entryDaemon) killOverMemory() {
	for peak := 0.0; ; time.Sleep(memoryPollInterval) {
		now, running := residentPeakMB(d.process.Pid)
		if !running {
			return
		}
		peak = max(peak, now)
		d.peak.Store(int64(peak))
		if peak > float64(d.memoryMB) {
			_ = d.process.Kill()
			return
		}
	}
}

// residentPeakMB returns the largest resident memory of a process, or false if it has ended.
func residentPeakMB(pid int) (float64, bool) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024, err == nil
		}
	}
	return 0, false
}

// metric returns the sum of all series whose line begins with a name.
func (d *entryDaemon) metric(t *testing.T, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + d.metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	sum := 0.0
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if !strings.HasPrefix(scanner.Text(), name) {
			continue
		}
		fields := strings.Fields(scanner.Text())
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += value
	}
	return sum
}

// checkCalm runs trouble for a while, with clients of the sound server beside it, and checks that these are not disturbed
// and that the process stays within its memory.
func (d *entryDaemon) checkCalm(t *testing.T, trouble func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), troubleSpan)
	defer cancel()
	var group sync.WaitGroup
	var streams, longestGap atomic.Int64
	for client := range calmClients {
		group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("calm-%d-%d", client, number)
				gap, err := d.readCalmStream(id)
				streams.Add(1)
				for before := longestGap.Load(); int64(gap) > before && !longestGap.CompareAndSwap(before, int64(gap)); before = longestGap.Load() {
				}
				if err != nil || gap > calmGap {
					t.Errorf("stream %s beside the trouble: %v, the longest gap %v", id, err, gap)
					return
				}
			}
		})
	}
	trouble(ctx)
	group.Wait()
	time.Sleep(2 * memoryPollInterval)
	peak := float64(d.peak.Load())
	t.Logf("peak %.0f MB; %d streams beside it, the longest gap %v", peak, streams.Load(), time.Duration(longestGap.Load()).Round(time.Millisecond))
	if most := entryMemoryShare * entryMemoryMB; peak > most {
		t.Errorf("peak %.0f MB, %.0f allowed", peak, most)
	}
}

// readCalmStream reads a stream of the sound server and returns the longest gap between its pieces, or before the first one.
func (d *entryDaemon) readCalmStream(id string) (longestGap time.Duration, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/calm/x", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "10,10")
	last := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var body []byte
	for buffer := make([]byte, 1<<10); ; {
		count, err := response.Body.Read(buffer)
		longestGap = max(longestGap, time.Since(last))
		last = time.Now()
		body = append(body, buffer[:count]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return longestGap, err
		}
	}
	if response.StatusCode != http.StatusOK || string(body) != standin.StreamBody(id, 0) {
		return longestGap, fmt.Errorf("status %d, body %q", response.StatusCode, body)
	}
	return longestGap, nil
}

// askAll has clients ask on a route, each again and again until ctx ends.
func (d *entryDaemon) askAll(ctx context.Context, clients int, route string, check func(answer standin.ClientAnswer, err error)) {
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				answer, err := d.ask(context.Background(), route, fmt.Sprintf("t-%s-%d-%d", route, client, number))
				if check != nil {
					check(answer, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// eventually waits until a condition holds.
func (d *entryDaemon) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("never: %s", what)
			return
		}
	}
}

// discard sends a request on a route and reads its answer, without keeping it, until ctx ends.
func (d *entryDaemon) discard(ctx context.Context, route, id string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// checkTold checks that metrics, the log and the story of a request name the server that sent too much of a part.
func (d *entryDaemon) checkTold(t *testing.T, request string, part gateway.AnswerPart) {
	t.Helper()
	// Labels of metrics have no hyphens.
	const series = `wheatweir_answers_oversized{instance="faulty_1",part="%s"}`
	for until := time.Now().Add(5 * time.Second); d.metric(t, fmt.Sprintf(series, part)) == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("no metric of a %s of faulty-1", part)
			return
		}
	}
	log, err := os.Open(d.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	reader := explain.NewReader(request)
	if err := reader.Read(log); err != nil {
		t.Fatal(err)
	}
	story, err := reader.Story()
	if want := fmt.Sprintf("at faulty-1 the connection was closed, since it sent a %s without end", part); err != nil || !strings.Contains(story.Cause, want) {
		t.Errorf("cause %q, %v; want %q", story.Cause, err, want)
	}
}
