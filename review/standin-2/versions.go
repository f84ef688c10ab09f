package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// takenUpStreams is how many streams begin before the release, and streamEventPause the time between two of their five events.
	takenUpStreams   = 90
	streamEventPause = time.Second
	// releasedServers is how many servers there are; the last of them at the old version is replaced.
	releasedServers = 9
	// releaseAt is when the server of the old version says that it is leaving, and releaseEnd when it ends: drainMs and a little
	// longer later. killAt is when all daemons are killed.
	releaseAt  = time.Second
	releaseEnd = releaseAt + 2500*time.Millisecond
	killAt     = releaseEnd + 300*time.Millisecond
	// versionPatience is how long a client waits for its stream over all tries, and resumePause the time between two tries.
	versionPatience = 25 * time.Second
	resumePause     = 500 * time.Millisecond
	resumeTries     = 12
	// mixedAllowed is how many streams of two versions the rule allows.
	mixedAllowed = 2
)

// streamVersions has streams broken off in a release, and clients that take them up, while all daemons are killed.
func streamVersions(w *world) (bool, error) {
	w.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "summaries", "host": host, "pathPrefix": "/s/", "kind": "stream", "timeoutMs": 25000, "targetLatencyMs": 6000, "priority": 2,
			"service": "summariser", "maxAttempts": 2, "sticky": true, "resumable": true, "targetGapMs": 1100,
		}},
		"services": []map[string]any{{
			"name": "summariser", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCapacity": 145945, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 1.4,
				"models": []map[string]any{{"name": "m", "weightsMb": 65100, "loadS": 7.8, "adapters": 0, "adapterMb": 12, "warmS": 1.2, "diskS": 1.6}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	engine := &fleet.Engine{Slots: 64, MemoryTokens: 145945, WeightsMB: 200000, AdapterSlots: 8, Models: []fleet.Model{{Name: "m", WeightsMB: 65100}}}
	software := map[string]string{}
	var old []*standin.Server
	// A release is nearly done: one of nine servers is left at the old version.
	for number := range releasedServers {
		version := "v1.1"
		if number == 0 {
			version = "v1"
		}
		id := fmt.Sprintf("i-%d", number)
		software[id] = version
		server, err := standin.Open(w.store, standin.Options{
			ID: id, Service: "summariser", Zone: string(rune('a' + number%2)), Models: []string{"m"}, Engine: engine, Observer: quiet{},
			Slots: 64, Queue: 134, ListedSlots: 64, Software: version,
		})
		if err != nil {
			return false, err
		}
		server.EventPause = streamEventPause
		defer server.Close()
		if version == "v1" {
			old = append(old, server)
		}
	}
	if err := w.startDaemons("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	clients := &versionClients{world: w, software: software}
	began := time.Now()
	var group sync.WaitGroup
	for number := range takenUpStreams {
		group.Go(func() {
			time.Sleep(time.Duration(number) * 10 * time.Millisecond)
			clients.stream(number)
		})
	}
	time.Sleep(time.Until(began.Add(releaseAt)))
	w.record("the server of v1 says that it is leaving")
	for _, server := range old {
		server.Drain()
	}
	time.Sleep(time.Until(began.Add(releaseEnd)))
	w.record("the server of v1 ends")
	for _, server := range old {
		server.Close()
	}
	time.Sleep(time.Until(began.Add(killAt)))
	if w.trouble {
		w.record("all daemons are killed")
		for _, d := range w.daemons {
			d.kill()
		}
	}
	group.Wait()
	w.record("streams of one version that ended whole %d, given up %d, of two versions %d (%d allowed)",
		clients.whole.Load(), clients.givenUp.Load(), clients.mixed.Load(), mixedAllowed)
	return clients.mixed.Load() > mixedAllowed, nil
}

// quiet drops what servers say of themselves.
type quiet struct{}

func (quiet) Ran(standin.Run)            {}
func (quiet) Ordered(standin.OrderTaken) {}
func (quiet) Arrived(standin.Arrival)    {}
func (quiet) Answered(standin.Answered)  {}

// versionClients are the clients.
type versionClients struct {
	world *world
	// software is the version of each server.
	software map[string]string

	whole, givenUp, mixed atomic.Int64
}

// stream reads one stream to its end, over several tries.
func (c *versionClients) stream(number int) {
	ctx, cancel := context.WithTimeout(context.Background(), versionPatience)
	defer cancel()
	first, last := "", 0
	versions := map[string]bool{}
	var story []string
	for try := 0; try < resumeTries && ctx.Err() == nil && last < standin.EventCount; try++ {
		if try > 0 {
			time.Sleep(resumePause)
		}
		id := fmt.Sprintf("s%d-%d", number, try)
		status, server, until := c.try(ctx, c.world.daemons[(number+try)%len(c.world.daemons)], id, first, last)
		if until > last {
			version := c.software[server]
			versions[version] = true
			story = append(story, fmt.Sprintf("%s: events %d to %d from %s (%s)", id, last+1, until, server, version))
			last = until
			if first == "" {
				first = id
			}
		} else {
			story = append(story, fmt.Sprintf("%s: status %d, no event", id, status))
		}
	}
	switch {
	case len(versions) > 1:
		c.mixed.Add(1)
	case last == standin.EventCount:
		c.whole.Add(1)
	default:
		c.givenUp.Add(1)
	}
	c.world.record("stream %d, of %d versions: %s", number, len(versions), strings.Join(story, "; "))
}

// try makes one try, and returns the number of the last event that the client has after it.
func (c *versionClients) try(ctx context.Context, d *daemon, id, first string, last int) (status int, server string, until int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/s/x", bytes.NewReader([]byte("lecture")))
	if err != nil {
		return 0, "", last
	}
	request.Host, request.Close = host, true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "1460,10")
	request.Header.Set("X-Prompt-Prefix", id+":1460")
	request.Header.Set("X-Deadline-Ms", "25000")
	if first != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", first)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", last
	}
	defer answer.Body.Close()
	server = strings.TrimSuffix(strings.TrimPrefix(answer.Header.Get("X-Server-Signature"), "sig-"), "-"+id)
	until = last
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if number, found := strings.CutPrefix(lines.Text(), "id: "); found {
			if event, err := strconv.Atoi(number); err == nil {
				until = event
			}
		}
	}
	return answer.StatusCode, server, until
}
