package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// At times all servers of a service fail in one way, so that most requests for it would be sent again. In some of these times all
// daemons are cut off from each other as well.
const (
	failingPause    = 5 * time.Second
	shortestFailing = 2 * time.Second
	longestFailing  = 8 * time.Second
	// separatedShare is the share of these times in which the daemons are cut off from each other.
	separatedShare = 0.5

	failingStream = 0xfa111
)

// failingBehaviours are the ways in which they fail.
var failingBehaviours = []standin.Behaviour{standin.BehaviourFailing, standin.BehaviourFull, standin.BehaviourBreaking, standin.BehaviourGarbling}

// runFailing has the servers of one service fail from time to time until ctx ends. It draws from numbers of its own.
func (d *deployment) runFailing(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(failingPause))) {
		service := []string{engineService, portalService}[random.IntN(2)]
		behaviour := failingBehaviours[random.IntN(len(failingBehaviours))]
		separated := random.Float64() < separatedShare
		span := drawSpan(random, shortestFailing, longestFailing)
		d.tell("fault: all servers of %s fail for %v, daemons cut off from each other: %v", service, span, separated)
		d.behaveAll(service, behaviour)
		if separated {
			d.setPeerLinks(harmfulLink(random))
		}
		if service == portalService {
			d.burst(ctx, span, burstRequest{path: "/safe/burst", kind: fleet.KindSafe})
		} else {
			pause(ctx, span)
		}
		if separated {
			d.setPeerLinks(linkSound)
		}
		d.behaveAll(service, standin.BehaviourSound)
		d.tell("ended: all servers of %s fail", service)
	}
}

// behaveAll makes all servers of a service behave in one way.
func (d *deployment) behaveAll(service string, behaviour standin.Behaviour) {
	d.record.disturb()
	for _, place := range d.places {
		if place.service == service {
			for _, server := range place.running() {
				server.Behave(behaviour)
			}
		}
	}
}

// setPeerLinks harms or heals the links by which daemons reach each other.
func (d *deployment) setPeerLinks(state link) {
	d.record.disturb()
	for _, daemon := range d.daemons {
		daemon.touch()
		daemon.peerProxy.set(state)
	}
}
