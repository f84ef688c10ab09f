package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// At times a server answers requests that it has run with malformed heads. The daemons pass none of them on, and promise of none of
// these requests that it has not run.
const (
	malformedPause    = 3 * time.Second
	shortestMalformed = 300 * time.Millisecond
	longestMalformed  = 2 * time.Second
	// malformedShare is the smallest share of the answers.
	malformedShare = 0.05

	malformedStream = 0x3a1f0
)

// runMalformed has servers send malformed heads until ctx ends. It draws from numbers of its own.
func (d *deployment) runMalformed(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(malformedPause))) {
		share := malformedShare + (1-malformedShare)*random.Float64()
		span := drawSpan(random, shortestMalformed, longestMalformed)
		server := d.anyPlace(random).current()
		d.tell("fault: %s sends malformed heads in %.2f of its answers", server.ID, share)
		d.record.disturb()
		server.SpoilHeads(share, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
		pause(ctx, span)
		server.SpoilHeads(0, nil)
		d.record.disturb()
		d.tell("ended: %s has sent %d malformed heads", server.ID, server.SpoiledHeads())
	}
}
