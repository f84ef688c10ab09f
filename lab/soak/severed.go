package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Open connections fall silent for good at times, without a reset, while new ones work: those between some of the daemons,
// those of daemons to the store, or those to a server.
const (
	severedPause = 5 * time.Second
	// longestWave bounds the pause between two waves of a series.
	longestWave = 2 * time.Second

	severedStream = 0x5e7e2
)

// runSevered severs connections until ctx ends. It draws from numbers of its own.
func (d *deployment) runSevered(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(severedPause))) {
		for range 1 + random.IntN(3) {
			d.sever(random)
			if !pause(ctx, time.Duration(random.Float64()*float64(longestWave))) {
				return
			}
		}
	}
}

// sever severs the connections of one kind.
func (d *deployment) sever(random *rand.Rand) {
	state := []link{linkSilent, linkDeafForward, linkDeafBackward}[random.IntN(3)]
	d.record.disturb()
	defer d.record.disturb()
	if random.IntN(4) == 0 {
		place := d.anyPlace(random)
		d.tell("connections to %s are severed: %s", place.current().ID, state)
		sound := d.record.harmedLink(place.current().ID)
		place.currentProxy().sever(state)
		sound()
		return
	}
	toStore := random.IntN(3) == 0
	share := []float64{0.3, 0.7, 1}[random.IntN(3)]
	d.tell("connections of a share of %.1f of the daemons are severed: %s, to the store %t", share, state, toStore)
	for _, daemon := range d.daemons {
		if random.Float64() >= share {
			continue
		}
		daemon.touch()
		if toStore {
			daemon.storeProxy.sever(state)
		} else {
			daemon.peerProxy.sever(state)
		}
	}
}
