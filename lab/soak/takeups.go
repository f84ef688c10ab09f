package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// The model servers run two versions of their software side by side. Some clients leave their streams after a few events
// and take them up at another daemon. At times servers give answers neither a length nor chunks, and end some of
// their streams inside an event.
const (
	resumableRoute = "resumable"
	softwareCount  = 2
	// takeUpShare is how many other clients there are for each that takes streams up.
	takeUpShare = 4
	// shortestListen and longestListen bound how long such a client listens at first.
	shortestListen  = 60 * time.Millisecond
	longestListen   = 250 * time.Millisecond
	longestAbsence  = 300 * time.Millisecond
	unframedPause   = 2 * time.Second
	shortestUnframe = 500 * time.Millisecond
	longestUnframe  = 3 * time.Second
	// leastTakeUps is from how many take-ups on the share of them that go on is held against that of new streams.
	leastTakeUps = 12
	// leastVersionServers is how many servers of a stream's version have to serve for it to count.
	leastVersionServers = 2

	takeUpStream   = 0x7a4e0
	unframedStream = 0xe7d50
)

// softwareOf is the software version of the server that is the next one at a place.
func softwareOf(number, serial int) string { return fmt.Sprint("v", 1+(number+serial)%softwareCount) }

// runUnframed has servers end their answers with their connections until ctx ends. It draws from numbers of its own.
func (d *deployment) runUnframed(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(unframedPause))) {
		server := d.anyPlace(random).current()
		behaviour := []standin.Behaviour{standin.BehaviourUnframed, standin.BehaviourCutting}[random.IntN(2)]
		d.tell("%s gives answers no framing, and cuts streams: %t", server.ID, behaviour == standin.BehaviourCutting)
		d.record.disturb()
		server.Behave(behaviour)
		pause(ctx, drawSpan(random, shortestUnframe, longestUnframe))
		server.Behave(standin.BehaviourSound)
		d.record.disturb()
	}
}

// runTakeUps runs the clients that take streams up until ctx ends.
func (d *deployment) runTakeUps(ctx context.Context) {
	first := d.options.Clients + max(1, d.options.Clients/patientShare)
	for number := range d.takeUpClients() {
		d.group.Go(func() { d.runTakeUpClient(ctx, first+number) })
	}
}

// takeUpClients returns the number of these clients.
func (d *deployment) takeUpClients() int {
	if d.options.OnlyOutOfStep {
		return 2 * d.options.Clients
	}
	return max(1, d.options.Clients/takeUpShare)
}

// chooseAnother returns the daemon at which a stream is taken up. Clients that have an address go on using it, also if the daemon
// there is cut off from those that tell addresses.
func (c *client) chooseAnother(ctx context.Context) *daemon {
	if c.deployment.options.OnlyOutOfStep {
		return c.deployment.anyDaemon(c.random)
	}
	return c.choose(ctx)
}

func (d *deployment) runTakeUpClient(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	c := &client{
		deployment: d, number: number, random: rand.New(rand.NewPCG(d.options.Seed^takeUpStream, uint64(number))),
		standin: standin.Client{HTTP: &http.Client{Transport: transport}},
	}
	for ctx.Err() == nil {
		c.leaveAndTakeUp(ctx)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(clientPause)))
	}
}

// leaveAndTakeUp begins a stream, leaves it after a while, and takes it up at any daemon unless it has ended.
func (c *client) leaveAndTakeUp(ctx context.Context) {
	daemon := c.choose(ctx)
	if daemon == nil {
		return
	}
	began := c.stream(daemon)
	listening, leave := context.WithTimeout(ctx, drawSpan(c.random, shortestListen, longestListen))
	c.deployment.record.sending(began)
	answer, err := c.standin.Do(listening, daemon.front, began.ClientRequest)
	leave()
	last := lastWholeEvent(answer.Body)
	if err != nil || answer.Status != http.StatusOK || answer.Complete || last == 0 {
		return
	}
	time.Sleep(time.Duration(c.random.Float64() * float64(longestAbsence)))
	other := c.chooseAnother(ctx)
	if other == nil {
		return
	}
	goesOn := c.stream(other)
	goesOn.Model, goesOn.Body = began.Model, began.Body
	goesOn.Resumes, goesOn.ResumeAfter = began.ID, strconv.Itoa(last)
	waiting, cancel := context.WithTimeout(ctx, clientPatience)
	defer cancel()
	goesOn.versionServers = c.deployment.versionServers(goesOn)
	c.deployment.record.sending(goesOn)
	answer, err = c.standin.Do(waiting, other.front, goesOn.ClientRequest)
	if waiting.Err() == nil {
		c.deployment.noteVersionServers(goesOn)
		c.deployment.record.ended(goesOn, answer, err)
	}
}

// stream is a stream that may be taken up, at a daemon.
func (c *client) stream(daemon *daemon) *sentRequest {
	c.sent++
	return &sentRequest{
		ClientRequest: standin.ClientRequest{
			ID: fmt.Sprintf("%04x%08x", c.number, c.sent), Host: host, Path: fmt.Sprintf("/%s/x", resumableRoute),
			Body: fmt.Sprintf("body of %d/%d", c.number, c.sent), Patience: clientPatience, Key: ampleKey, Tenant: forgedTenant,
			Model: c.drawModel(), PromptTokens: 200, OutputTokens: 10,
		},
		daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: fleet.KindStream, resumable: true,
	}
}

// lastWholeEvent returns the number of the last event of a stream that has come whole; zero if there is none.
func lastWholeEvent(body string) int {
	whole, _, found := cutLast(body, "\n\n")
	if !found {
		return 0
	}
	_, id, _ := cutLast(whole, "id: ")
	number, _, _ := strings.Cut(id, "\n")
	last, _ := strconv.Atoi(number)
	return last
}

// cutLast cuts a text around the last place of a separator.
func cutLast(text, separator string) (before, after string, found bool) {
	place := strings.LastIndex(text, separator)
	if place < 0 {
		return text, "", false
	}
	return text[:place], text[place+len(separator):], true
}

// usualStream reports whether the request is for a stream of servers that answer.
func (s *sentRequest) usualStream() bool { return s.resumable || strings.HasPrefix(s.Path, "/stream/") }

// began returns the software version that sent the first events of a stream: that of its last run from the beginning.
func (s *sentRequest) began() string {
	software := ""
	for _, run := range s.runs {
		if run.ResumeAfter == "" {
			software = run.Software
		}
	}
	return software
}

// checkSoftware checks that a run goes on where its stream began. The mutex is held.
func (r *record) checkSoftware(sent *sentRequest, run standin.Run) {
	if run.ResumeAfter == "" {
		return
	}
	first := sent
	if sent.Resumes != "" {
		first = r.requests[sent.Resumes]
	}
	r.checked[promiseSoftware]++
	if began := first.began(); began != run.Software {
		r.violate(promiseSoftware, sent.ID, "a stream that began at %s goes on at %s at %s, sent by %s", began, run.Software, run.Server, sent.daemon.name)
	}
}

// checkTakeUps checks that of the streams that clients took up at sound daemons, while servers of their versions served, the
// share that went on is at least half of that of the new streams. The mutex is held.
func (r *record) checkTakeUps() {
	if r.untimed {
		return
	}
	var taken, wentOn, begun, served float64
	for _, sent := range r.order {
		switch {
		case !sent.ended || !sent.calm || !sent.usualStream() || sent.daemon.touchedBetween(sent.at.Add(-contact), sent.endedAt):
		case sent.Resumes != "" && sent.versionServers < leastVersionServers:
		case sent.Resumes != "":
			taken++
			if len(sent.runs) > 0 {
				wentOn++
			}
		default:
			begun++
			if len(sent.runs) > 0 {
				served++
			}
		}
	}
	if taken < leastTakeUps || begun < leastTakeUps {
		return
	}
	r.checked[promiseTakeUp]++
	if wentOn/taken < served/begun/2 {
		r.violate(promiseTakeUp, "", "%.0f of %.0f streams that were taken up went on, %.0f of %.0f new ones began", wentOn, taken, served, begun)
	}
}
