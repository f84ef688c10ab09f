package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// Some clients have streams that last some seconds. They keep their connections until these end, and take broken streams up
// at any daemon, several times within their patience; some of them come back late.
const (
	lastingRoute    = "lasting"
	lastingPause    = 1100 * time.Millisecond
	lastingGap      = 1500 * time.Millisecond
	lastingPatience = 15 * time.Second
	// longestTry bounds how long such a client waits for one answer.
	longestTry = 8 * time.Second
	mostTries  = 10
	// lateShare is the share of streams whose clients come back late.
	lateShare        = 0.5
	shortestLateness = 3500 * time.Millisecond
	longestLateness  = 9 * time.Second
	longestReturn    = 2 * time.Second

	lastingStream = 0x1a577
)

// lasting is the route of such streams.
func lasting() fleet.Route {
	route := resumable(soakRoute(lastingRoute, fleet.KindStream, 2, engineService))
	route.Timeout, route.TargetGap = lastingPatience, lastingGap
	return route
}

// runLastingClients runs the clients of such streams until ctx ends.
func (d *deployment) runLastingClients(ctx context.Context) {
	first := d.options.Clients + max(1, d.options.Clients/patientShare) + max(1, d.options.Clients/takeUpShare)
	for number := range d.lastingClients() {
		d.group.Go(func() { d.runLastingClient(ctx, first+number) })
	}
}

// lastingClients returns the number of these clients.
func (d *deployment) lastingClients() int {
	if d.options.OnlyOutOfStep {
		// Their streams last longer than versions may count there.
		return 0
	}
	if d.options.OnlyCrashes {
		return crashLastingShare * d.options.Clients
	}
	return max(1, 2*d.options.Clients/3)
}

func (d *deployment) runLastingClient(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	c := &client{
		deployment: d, number: number, random: rand.New(rand.NewPCG(d.options.Seed^lastingStream, uint64(number))),
		standin: standin.Client{HTTP: &http.Client{Transport: transport}},
	}
	for ctx.Err() == nil {
		c.readToTheEnd(ctx)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(clientPause)))
	}
}

// readToTheEnd begins a stream and takes it up as often as it breaks off.
func (c *client) readToTheEnd(ctx context.Context) {
	daemon := c.choose(ctx)
	if daemon == nil {
		return
	}
	began := c.lastingStream(daemon)
	absence := c.random.Float64() * float64(longestReturn)
	if c.random.Float64() < lateShare {
		absence = float64(drawSpan(c.random, shortestLateness, longestLateness))
	}
	tries := mostTries
	if c.deployment.options.OnlyCrashes {
		absence, tries = c.random.Float64()*float64(longestAbsence), crashTries
	}
	last, ended := c.read(ctx, began)
	for try := 1; !ended && last > 0 && try < tries && pause(ctx, time.Duration(absence)); try++ {
		goesOn := c.lastingTakeUp(ctx, began, last)
		if goesOn == nil {
			return
		}
		var reached int
		reached, ended = c.read(ctx, goesOn)
		last = max(last, reached)
		absence = c.random.Float64() * float64(longestReturn)
	}
}

// lastingTakeUp is a request that takes a stream up after an event; nil if that is too late or there is no daemon.
func (c *client) lastingTakeUp(ctx context.Context, began *sentRequest, last int) *sentRequest {
	left := lastingPatience - time.Since(began.at)
	daemon := c.choose(ctx)
	if left <= 0 || daemon == nil {
		return nil
	}
	goesOn := c.lastingStream(daemon)
	goesOn.Model, goesOn.Body, goesOn.Prompt, goesOn.Patience = began.Model, began.Body, began.Prompt, left
	goesOn.Resumes, goesOn.ResumeAfter = began.ID, strconv.Itoa(last)
	return goesOn
}

// read sends a request and reads its answer for as long as its connection is open. It returns the last event that came whole,
// and whether the stream has ended.
func (c *client) read(ctx context.Context, sent *sentRequest) (last int, ended bool) {
	waiting, cancel := context.WithTimeout(ctx, min(sent.Patience, longestTry))
	defer cancel()
	record := c.deployment.record
	sent.versionServers = c.deployment.versionServers(sent)
	record.sending(sent)
	answer, err := c.standin.Do(waiting, sent.daemon.front, sent.ClientRequest)
	c.deployment.noteVersionServers(sent)
	switch {
	case waiting.Err() == nil:
		record.ended(sent, answer, err)
	case ctx.Err() == nil:
		record.abandoned(sent)
	}
	if err != nil || answer.Status != http.StatusOK {
		return 0, false
	}
	last = lastWholeEvent(answer.Body)
	return last, answer.Complete || last == standin.EventCount
}

// lastingStream is such a stream, at a daemon.
func (c *client) lastingStream(daemon *daemon) *sentRequest {
	sent := c.stream(daemon)
	sent.Path, sent.Patience = fmt.Sprintf("/%s/x", lastingRoute), lastingPatience
	sent.Model = modelName(c.random.IntN(modelCount))
	if c.deployment.options.OnlyCrashes {
		sent.Body, sent.Prompt = c.drawShared()
	}
	return sent
}

// noteVersionServers notes, at the end of a request that takes a stream up, how many servers of its version have served since
// it was sent, unless it ran.
func (d *deployment) noteVersionServers(sent *sentRequest) {
	if !d.record.hasRun(sent) {
		sent.versionServers = min(sent.versionServers, d.versionServers(sent))
	}
}

// versionServers returns how many servers of its version have served since a request was sent that takes a stream up.
func (d *deployment) versionServers(sent *sentRequest) int {
	if sent.Resumes == "" {
		return 0
	}
	software, serving := d.record.versionOf(sent.Resumes), 0
	for _, place := range d.places {
		server := place.current()
		born := time.UnixMilli(server.Born)
		if place.service == engineService && server.Software == software && server.Serving() && !born.After(sent.at) {
			serving++
		}
	}
	return serving
}

func (r *record) hasRun(sent *sentRequest) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(sent.runs) > 0
}

// versionOf returns the software version at which a stream began.
func (r *record) versionOf(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.requests[id].began()
}

// abandoned notes that a client has waited in vain for the end of an answer.
func (r *record) abandoned(sent *sentRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sent.abandoned, sent.endedAt = true, time.Now()
	r.noteTouch(sent)
}
