package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// bodyBytes is the size of the bodies of requests: just what the operator's limits allow.
	bodyBytes = 4 << 20
	// usualPerSecond is how many streams begin in a second at each daemon, burstFactor how many times more in a burst.
	usualPerSecond = 10.0
	burstFactor    = 2.4
	burstSpan      = 4500 * time.Millisecond
	// streamPause is the time between two of the five events of a stream.
	streamPause = 700 * time.Millisecond
	bodiesSpan  = 45 * time.Second
)

// bodyBursts are when the bursts begin.
var bodyBursts = []time.Duration{5 * time.Second, 18 * time.Second, 31 * time.Second}

// quiet drops what servers say of themselves.
type quiet struct{ ran, arrived atomic.Int64 }

func (q *quiet) Ran(standin.Run)            { q.ran.Add(1) }
func (q *quiet) Ordered(standin.OrderTaken) {}
func (q *quiet) Arrived(standin.Arrival)    { q.arrived.Add(1) }
func (q *quiet) Answered(standin.Answered)  {}

// largeBodies has clients send streams with bodies as large as the operator allows, and bursts of them.
func largeBodies(w *world) (bool, error) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "summaries", "host": host, "pathPrefix": "/s/", "kind": "stream", "timeoutMs": 25000, "targetLatencyMs": 6000, "priority": 2,
			"service": "summariser", "maxAttempts": 2, "sticky": true, "resumable": true, "targetGapMs": 800,
		}},
		"services": []map[string]any{{
			"name": "summariser", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCapacity": 145945, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 1.4,
				"models": []map[string]any{{"name": "m", "weightsMb": 65100, "loadS": 7.8, "adapters": 0, "adapterMb": 12, "warmS": 1.2, "diskS": 1.6}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	seen := &quiet{}
	engine := &fleet.Engine{Slots: 64, MemoryTokens: 145945, WeightsMB: 200000, AdapterSlots: 8, Models: []fleet.Model{{Name: "m", WeightsMB: 65100}}}
	for number := range 4 {
		server, err := standin.Open(w.store, standin.Options{
			ID: fmt.Sprintf("i-%d", number), Service: "summariser", Zone: string(rune('a' + number%2)), Models: []string{"m"}, Engine: engine, Observer: seen,
			Slots: 64, Queue: 134, ListedSlots: 64,
		})
		if err != nil {
			return false, err
		}
		server.EventPause = streamPause
		defer server.Close()
	}
	if err := w.startDaemons("a", "b"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	load := newBodyLoad(w)
	load.run()
	w.record("requests sent %d, answered whole %d, refused %d, lost %d; servers ran %d", load.sent.Load(), load.whole.Load(), load.refused.Load(), load.lost.Load(), seen.ran.Load())
	struck := 0
	for _, d := range w.daemons {
		w.record("%s: peak %.0f MB, %d processes over their memory, %d ended otherwise", d.name, d.peakMB, d.memoryEnds, d.otherEnds)
		if d.memoryEnds+d.otherEnds >= 3 {
			struck++
		}
	}
	return struck >= 2, nil
}

// bodyLoad is the clients.
type bodyLoad struct {
	world *world
	body  []byte
	group sync.WaitGroup

	sent, whole, refused, lost atomic.Int64
}

func newBodyLoad(w *world) *bodyLoad {
	return &bodyLoad{world: w, body: bytes.Repeat([]byte("lecture "), bodyBytes/8)}
}

// run sends requests to each daemon at the usual rate, and more in bursts.
func (l *bodyLoad) run() {
	began := time.Now()
	for number, d := range l.world.daemons {
		l.group.Go(func() {
			due := 0.0
			last := began
			for count := 0; time.Since(began) < bodiesSpan; time.Sleep(5 * time.Millisecond) {
				now := time.Now()
				due += now.Sub(last).Seconds() * usualPerSecond * l.factor(now.Sub(began))
				last = now
				for ; due >= 1; due-- {
					count++
					id := fmt.Sprintf("%d-%d", number, count)
					l.group.Go(func() { l.send(d, id) })
				}
			}
		})
	}
	l.group.Wait()
}

func (l *bodyLoad) factor(at time.Duration) float64 {
	for _, burst := range bodyBursts {
		if l.world.trouble && at >= burst && at < burst+burstSpan {
			return burstFactor
		}
	}
	return 1
}

func (l *bodyLoad) send(d *daemon, id string) {
	l.sent.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/s/x", bytes.NewReader(l.body))
	if err != nil {
		return
	}
	request.Host, request.Close = host, true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "1460,10")
	request.Header.Set("X-Prompt-Prefix", id+":1460")
	request.Header.Set("X-Deadline-Ms", "25000")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		l.lost.Add(1)
		l.world.record("request %s at %s: lost: %v", id, d.name, err)
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		l.lost.Add(1)
		l.world.record("request %s at %s: answer %d broke off after %d bytes: %v", id, d.name, answer.StatusCode, len(text), err)
	case answer.StatusCode == http.StatusOK:
		l.whole.Add(1)
	default:
		l.refused.Add(1)
		l.world.record("request %s at %s: %d %s", id, d.name, answer.StatusCode, text)
	}
}
