package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bookingsPerSecond is how many requests are sent in a second to each daemon.
	bookingsPerSecond = 60
	bookingsSpan      = 44 * time.Second
	// surplusShare is the part of their answers behind which faulty servers send more, surplusSpan how long they do so, and
	// surplusLate how late the surplus may be.
	surplusShare = 0.03
	surplusSpan  = 5 * time.Second
	surplusLate  = 60 * time.Millisecond
	// bookingServers and faultyServers are how many servers there are, and how many of them may be faulty.
	bookingServers = 5
	faultyServers  = 3
)

// surplusStarts are when the servers begin to be faulty.
var surplusStarts = []time.Duration{4 * time.Second, 14 * time.Second, 24 * time.Second, 34 * time.Second}

// surplusBytes are what a faulty server sends behind a whole answer. They bear the id of no request.
const surplusBytes = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// surplusAnswers has servers send more behind whole answers, while clients send requests that may run once.
func surplusAnswers(w *world) (bool, error) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "bookings", "host": host, "pathPrefix": "/b/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
			"service": "portal", "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "portal", "healthPath": "/health", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var began time.Time
	var servers []*plainServer
	for number := range bookingServers {
		server, err := w.startPlain(fmt.Sprintf("i-%d", number), "portal", string(rune('a'+number%2)))
		if err != nil {
			return false, err
		}
		defer server.close()
		if number < faultyServers {
			server.surplus = func() (string, time.Duration) {
				if !w.trouble || !faultyAt(time.Since(began)) || rand.Float64() >= surplusShare {
					return "", 0
				}
				return surplusBytes, 5*time.Millisecond + rand.N(surplusLate)
			}
		}
		servers = append(servers, server)
	}
	if err := w.startDaemons("a", "b"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	began = time.Now()
	outcomes := &bookingOutcomes{statuses: map[int]int{}}
	var group sync.WaitGroup
	for number, d := range w.daemons {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / bookingsPerSecond)
			defer ticker.Stop()
			for count := 0; time.Since(began) < bookingsSpan; count++ {
				<-ticker.C
				id := fmt.Sprintf("%d-%d", number, count)
				group.Go(func() { w.book(d, id, servers, outcomes) })
			}
		})
	}
	group.Wait()
	w.record("requests by status: %v; promised not to have run, though they ran: %d; ran more than once: %d", outcomes.statuses, outcomes.refusedAndRan, outcomes.twice)
	return outcomes.refusedAndRan+outcomes.twice > 0, nil
}

func faultyAt(at time.Duration) bool {
	for _, start := range surplusStarts {
		if at >= start && at < start+surplusSpan {
			return true
		}
	}
	return false
}

type bookingOutcomes struct {
	mutex                sync.Mutex
	statuses             map[int]int
	refusedAndRan, twice int
}

// settleSpan is how long after an answer a request may still run.
const settleSpan = 2 * time.Second

// book sends one request, and looks later how often it ran.
func (w *world) book(d *daemon, id string, servers []*plainServer, outcomes *bookingOutcomes) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/b/x", strings.NewReader(strings.Repeat("b", 600)))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	status := 0
	if answer, err := http.DefaultClient.Do(request); err == nil {
		status = answer.StatusCode
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	time.Sleep(settleSpan)
	var where []string
	runs := 0
	for _, server := range servers {
		if count := server.ranTimes(id); count > 0 {
			runs += count
			where = append(where, server.id)
		}
	}
	outcomes.mutex.Lock()
	defer outcomes.mutex.Unlock()
	outcomes.statuses[status]++
	promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
	if promised && runs > 0 {
		outcomes.refusedAndRan++
		w.record("request %s at %s got %d, a promise that it never runs, and ran at %s", id, d.name, status, strings.Join(where, ","))
	}
	if runs > 1 {
		outcomes.twice++
		w.record("request %s at %s got %d and ran %d times, at %s", id, d.name, status, runs, strings.Join(where, ","))
	}
}
