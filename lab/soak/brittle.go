package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// At times the portal's servers say that they are brittle, while bursts of requests ask more of them than they bear. They
// have fewer slots than there are daemons.
const (
	portalSlots = 3
	portalQueue = 2
	portalWork  = 50 * time.Millisecond

	brittlePause    = 6 * time.Second
	shortestBrittle = 2 * contact
	longestBrittle  = 4 * contact
	// mostRefusals bounds how many requests a second the servers say they can turn away.
	mostRefusals = 6
	burstPause   = 400 * time.Millisecond
	burstSize    = 24
	// fallsAllowed is how often the servers may fall over in one such time, and fallShare how much more often for each.
	fallsAllowed = 2
	fallShare    = 0.1

	brittleStream = 0xb1177
)

// runBrittle has the portal's servers be brittle from time to time until ctx ends. It draws from numbers of its own.
func (d *deployment) runBrittle(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(brittlePause))) {
		refusals := 2 + random.IntN(mostRefusals-1)
		d.sayBrittle(refusals)
		d.tell("words: the servers of %s turn %d requests a second away at most", portalService, refusals)
		if pause(ctx, contact) {
			before := d.portalFalls()
			d.burst(ctx, drawSpan(random, shortestBrittle, longestBrittle), burstRequest{path: "/unsafe/burst", kind: fleet.KindUnsafe})
			d.record.checkFalls(refusals, d.portalFalls()-before)
		}
		d.sayBrittle(0)
		d.tell("words: the servers of %s turn away what they want", portalService)
	}
}

// sayBrittle has all servers of the portal say so, those that start meanwhile too.
func (d *deployment) sayBrittle(refusals int) {
	d.portalMutex.Lock()
	defer d.portalMutex.Unlock()
	d.refusals = refusals
	for _, server := range d.portals {
		words := server.Words()
		words.Brittle = refusals
		server.Say(words)
	}
}

// addPortal takes in a server that has started.
func (d *deployment) addPortal(server *standin.Server) {
	d.portalMutex.Lock()
	defer d.portalMutex.Unlock()
	d.portals = append(d.portals, server)
	server.Say(standin.Words{Brittle: d.refusals})
}

func (d *deployment) portalFalls() int {
	d.portalMutex.Lock()
	defer d.portalMutex.Unlock()
	falls := 0
	for _, server := range d.portals {
		falls += server.Falls()
	}
	return falls
}

// burstRequest is what the requests of a burst ask for.
type burstRequest struct {
	path string
	kind fleet.RouteKind
}

// burst sends requests to all daemons at once, again and again for a while.
func (d *deployment) burst(ctx context.Context, span time.Duration, asked burstRequest) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: burstSize}
	defer transport.CloseIdleConnections()
	sender := standin.Client{HTTP: &http.Client{Transport: transport}}
	for pause(ctx, burstPause) {
		for number := range burstSize {
			daemon := d.daemons[number%len(d.daemons)]
			sent := &sentRequest{
				ClientRequest: standin.ClientRequest{
					ID: fmt.Sprintf("fe%02x%08x", number, d.bursts.Add(1)), Host: host, Path: asked.path, Body: "burst", Patience: clientPatience,
					Key: ampleKey,
				},
				daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: asked.kind,
			}
			d.group.Go(func() {
				d.record.sending(sent)
				ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
				defer cancel()
				answer, err := sender.Do(ctx, daemon.front, sent.ClientRequest)
				if ctx.Err() == nil {
					d.record.ended(sent, answer, err)
				}
			})
		}
	}
}

// checkFalls checks how often the portal's servers fell over in one time in which they were brittle.
func (r *record) checkFalls(refusals, falls int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.untimed {
		return
	}
	r.checked[promiseBrittle]++
	if allowed := fallsAllowed + fallShare*portalCount; float64(falls) > allowed {
		r.violate(promiseBrittle, "", "servers of %s fell over %d times, %.1f allowed; they turn %d requests a second away", portalService, falls, allowed, refusals)
	}
}
