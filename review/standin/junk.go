package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkBytes is what a link of 1,000 Mbit/s carries in a second.
	linkBytes = 125_000_000
	// junkPart of the answers of junkServers of the servers are spoiled for junkSpan: "garble" on the small sites.
	junkPart     = 0.05
	junkServers  = 2
	junkOf       = 4
	junkSpan     = 5 * time.Second
	junkEvery    = 14 * time.Second
	junkCount    = 6
	junkPiece    = 64 << 10
	readsASecond = 40
)

type junk struct {
	*scenario
	began                                     time.Time
	sent, answered, failed, spoiled, cutShort atomic.Int64
	group                                     sync.WaitGroup
	// links are what the links of the machines have carried of such bytes.
	links [machineCount]link
}

// link bounds the bytes that come to one machine.
type link struct {
	mutex sync.Mutex
	free  time.Time
}

// carry waits until the link has carried some bytes.
func (l *link) carry(count int) {
	l.mutex.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(count) * time.Second / linkBytes)
	until := l.free
	l.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func playJunk(s *scenario) (bool, error) {
	j := &junk{scenario: s}
	if err := j.startServers(); err != nil {
		return false, err
	}
	s.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 15000, "targetLatencyMs": 1000,
			"priority": 1, "service": "declar", "maxAttempts": 1, "sticky": false, "resumable": false, "targetGapMs": 300,
		}},
		"services": []any{map[string]any{"name": "declar", "healthPath": "/health", "maxConns": 300, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := s.startMachines(); err != nil {
		return false, err
	}
	j.began = time.Now()
	until := j.began.Add(junkCount*junkEvery + 4*time.Second)
	for number, m := range s.machines {
		j.group.Add(1)
		go func() {
			defer j.group.Done()
			for count := 0; time.Now().Before(until); count++ {
				id := fmt.Sprintf("%08x%08x", number, count)
				j.group.Add(1)
				go func() {
					defer j.group.Done()
					j.request(m, id)
				}()
				time.Sleep(time.Second / readsASecond)
			}
		}()
	}
	j.group.Wait()
	return j.judge(), nil
}

// request is one client: a new connection, one request, its answer.
func (j *junk) request(m *machine, id string) {
	j.sent.Add(1)
	status, err := func() (int, error) {
		conn, err := net.DialTimeout("tcp", m.at(frontPort), callTimeout)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
		head := "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\nprompt"
		if _, err := fmt.Fprintf(conn, head, id); err != nil {
			return 0, err
		}
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return answer.StatusCode, err
	}()
	if err == nil && status == http.StatusOK {
		j.answered.Add(1)
		return
	}
	j.failed.Add(1)
	j.note("%s  %s  status %d, error %v", m.name, id, status, err)
}

// spoils reports whether a server spoils the answer to a request that comes now.
func (j *junk) spoils(server int, id string) bool {
	if !j.trouble || server >= junkServers || j.began.IsZero() || time.Since(j.began)%junkEvery < junkEvery-junkSpan {
		return false
	}
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id)
	return float64(sum.Sum32()%1000) < 1000*junkPart
}

// startServers starts the servers. They answer with a short stream; a faulty one may send bytes that are no answer.
func (j *junk) startServers() error {
	zones := []string{"north-hall", "south-hall", "pier-room"}
	for number := range junkOf {
		id := fmt.Sprintf("i-%010x", number+1)
		address, err := j.listenServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
				writer.Header().Set("X-Instance-Id", id)
				writer.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			name := request.Header.Get("X-Request-Id")
			if j.spoils(number, name) {
				j.spoil(writer, id, name)
				return
			}
			writer.Header().Set("Content-Type", "text/event-stream")
			writer.Header().Set("X-Request-Id", name)
			writer.Header().Set("X-Server-Signature", "sig."+id+"."+name)
			for event := range 5 {
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece\n\n", event+1)
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}))
		if err != nil {
			return err
		}
		j.store.Put("servers", id, map[string]any{
			"service": "declar", "address": address, "zone": zones[number%len(zones)], "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
		})
	}
	return nil
}

// spoil sends bytes that are no answer, no faster than the machine's link, until the daemon hangs up or the spell is over.
func (j *junk) spoil(writer http.ResponseWriter, server, name string) {
	j.spoiled.Add(1)
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var number int
	_, _ = fmt.Sscanf(name[:8], "%x", &number)
	piece := bytes.Repeat([]byte{0x17}, junkPiece)
	began, total := time.Now(), 0
	for time.Since(began) < junkSpan {
		j.links[number%machineCount].carry(len(piece))
		if _, err := conn.Write(piece); err != nil {
			j.cutShort.Add(1)
			break
		}
		total += len(piece)
	}
	j.note("server %s has sent %d MB that are no answer to %s in %d ms", server, total>>20, name, time.Since(began).Milliseconds())
}

func (j *junk) judge() bool {
	struck := 0
	for _, m := range j.machines {
		peak, overruns, starts := m.figures()
		j.note("%s: peak %d MB, killed over its memory %d times, %d starts", m.name, peak, overruns, starts)
		if overruns >= 3 {
			struck++
		}
	}
	j.note("sent %d, answered with success %d, failed %d; answers spoiled %d", j.sent.Load(), j.answered.Load(), j.failed.Load(), j.spoiled.Load())
	return struck >= 2
}
