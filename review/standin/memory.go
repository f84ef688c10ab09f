package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is the largest body that the configuration's limits allow (maxBodyBytes of the pages' example).
	bodyBytes = 4194304
	// uploadSpan is how long a client takes to send it: 1 MB/s.
	uploadSpan  = 4 * time.Second
	uploadSteps = 64
	// perSecond is how many uploads begin at each machine in a second.
	perSecond = 9
	// burstFactor and burstSpan are those of "burst" on the small site dff-ruse: up to 2.7 times, for up to 5 s.
	burstFactor = 2.7
	burstSpan   = 5 * time.Second
	burstEvery  = 16 * time.Second
	burstCount  = 5
)

type uploads struct {
	*scenario
	sent, ran, answered, refused, lost, lostAfterRun atomic.Int64
	runs                                             sync.Map
	group                                            sync.WaitGroup
}

func playMemory(s *scenario) (bool, error) {
	u := &uploads{scenario: s}
	if err := u.startServers(); err != nil {
		return false, err
	}
	s.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-upload", "host": "ficu95.example", "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 15000, "targetLatencyMs": 6000,
			"priority": 2, "service": "quay-app", "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "quay-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := s.startMachines(); err != nil {
		return false, err
	}
	began := time.Now()
	until := began.Add(burstCount*burstEvery + 6*time.Second)
	for number, m := range s.machines {
		u.group.Add(1)
		go func() {
			defer u.group.Done()
			u.load(m, number, began, until)
		}()
	}
	u.group.Wait()
	return u.judge(), nil
}

// load has clients begin uploads at one machine.
func (u *uploads) load(m *machine, number int, began, until time.Time) {
	for count := 0; time.Now().Before(until); count++ {
		id := fmt.Sprintf("%08x%08x", number, count)
		u.group.Add(1)
		go func() {
			defer u.group.Done()
			u.upload(m, id)
		}()
		pause := time.Second / perSecond
		if phase := time.Since(began) % burstEvery; u.trouble && phase >= burstEvery-burstSpan {
			pause = time.Duration(float64(pause) / burstFactor)
		}
		time.Sleep(pause)
	}
}

// upload is one client: a new connection, one request, its answer.
func (u *uploads) upload(m *machine, id string) {
	u.sent.Add(1)
	status, err := post(m.at(frontPort), id)
	_, ran := u.runs.Load(id)
	switch {
	case err == nil && status == http.StatusOK:
		u.answered.Add(1)
		u.note("%s  %s  answered %d", m.name, id, status)
	case err == nil:
		u.refused.Add(1)
		u.note("%s  %s  answered %d, ran: %t", m.name, id, status, ran)
	default:
		u.lost.Add(1)
		if ran {
			u.lostAfterRun.Add(1)
		}
		u.note("%s  %s  no answer (%v), ran: %t", m.name, id, err, ran)
	}
}

func post(address, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	head := "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, id, bodyBytes); err != nil {
		return 0, err
	}
	piece := make([]byte, bodyBytes/uploadSteps)
	began := time.Now()
	for step := range uploadSteps {
		if _, err := conn.Write(piece); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(began.Add(uploadSpan * time.Duration(step+1) / uploadSteps)))
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// startServers starts three servers, which read a request whole, work on it for 30 ms and answer.
func (u *uploads) startServers() error {
	for number, zone := range []string{"north-hall", "south-hall", "pier-room"} {
		id := fmt.Sprintf("i-%010x", number+1)
		address, err := u.listenServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
				writer.Header().Set("X-Instance-Id", id)
				writer.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			name := request.Header.Get("X-Request-Id")
			u.runs.Store(name, id)
			u.ran.Add(1)
			u.note("server %s runs %s", id, name)
			time.Sleep(30 * time.Millisecond)
			writer.Header().Set("X-Request-Id", name)
			writer.Header().Set("X-Server-Signature", "sig."+id+"."+name)
			_, _ = io.WriteString(writer, "received "+name)
		}))
		if err != nil {
			return err
		}
		u.store.Put("servers", id, map[string]any{
			"service": "quay-app", "address": address, "zone": zone, "version": "v1", "slots": 24, "state": "ready", "coldLeftMs": 0, "callSeq": 0,
		})
	}
	return nil
}

// judge applies the rule Fault: processes that end by themselves three times in the day, over the memory included, on a
// tenth of the machines in use, two at least.
func (u *uploads) judge() bool {
	struck := 0
	for _, m := range u.machines {
		peak, overruns, starts := m.figures()
		u.note("%s: peak %d MB, killed over its memory %d times, %d starts", m.name, peak, overruns, starts)
		if overruns >= 3 {
			struck++
		}
	}
	u.note("sent %d, ran %d, answered with success %d, refused or failed %d, without an answer %d, of these ran %d",
		u.sent.Load(), u.ran.Load(), u.answered.Load(), u.refused.Load(), u.lost.Load(), u.lostAfterRun.Load())
	return struck >= 2
}
