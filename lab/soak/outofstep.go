package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// At times some daemons are out of step, cut off or frozen, while servers of a new version join beside all engines, which leave
// after a while. All engines have one version before, and for so long that no stream of another one may still be taken up.
const (
	// outOfStepTimeout is the limit of the streams that clients take up; twice as long versions count that have left.
	outOfStepTimeout = 1500 * time.Millisecond
	outOfStepPause   = 2*outOfStepTimeout + 1500*time.Millisecond
	// shortestLead and longestLead bound how long daemons are out of step before the first server joins.
	shortestLead = 50 * time.Millisecond
	longestLead  = 5 * time.Second
	// shortestBeside and longestBeside bound how long the two versions serve side by side.
	shortestBeside = 500 * time.Millisecond
	longestBeside  = 3 * time.Second

	outOfStepStream = 0x0a75e
)

// runOutOfStep puts daemons out of step until ctx ends.
func (d *deployment) runOutOfStep(ctx context.Context, random *rand.Rand) {
	for round := 1; pause(ctx, outOfStepPause); round++ {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		d.faults++
		end := d.putOutOfStep(own)
		joins := pause(ctx, drawSpan(own, shortestLead, longestLead))
		if joins {
			d.joinVersion(ctx, fmt.Sprint("v", round+1), drawSpan(own, shortestBeside, longestBeside))
		}
		end()
		d.tell("all daemons are in step")
		if !joins {
			return
		}
	}
}

// putOutOfStep puts some daemons out of step, and returns what ends that. At least one stays in step.
func (d *deployment) putOutOfStep(random *rand.Rand) (end func()) {
	group := random.Perm(len(d.daemons))[:1+random.IntN(len(d.daemons)-1)]
	state := []link{linkSilent, linkSilent, linkDeafForward, linkDeafBackward}[random.IntN(4)]
	frozen, toStore := random.IntN(5) == 0, random.IntN(3) > 0
	d.tell("fault: daemons %v are out of step: frozen %t, else %s, to the store %t", group, frozen, state, toStore)
	d.record.disturb()
	for _, number := range group {
		daemon := d.daemons[number]
		daemon.touch()
		if frozen {
			daemon.signal(syscall.SIGSTOP)
			continue
		}
		daemon.peerProxy.set(state)
		if toStore {
			daemon.storeProxy.set(state)
		}
	}
	return func() {
		for _, number := range group {
			daemon := d.daemons[number]
			daemon.signal(syscall.SIGCONT)
			daemon.peerProxy.set(linkSound)
			daemon.storeProxy.set(linkSound)
			daemon.touch()
		}
		d.record.disturb()
	}
}

// joinVersion starts a server of a version beside each engine. After a while the engines leave, and end.
func (d *deployment) joinVersion(ctx context.Context, software string, beside time.Duration) {
	d.releases++
	d.tell("release: servers of %s join", software)
	var leave []func()
	for number := range d.options.Engines {
		place := d.places[number]
		replaced, proxy, err := d.startBeside(place, number, software)
		if err != nil {
			d.tell("server: %v", err)
			continue
		}
		leave = append(leave, func() {
			if replaced.Serving() {
				d.drain(replaced)
			}
			d.group.Go(func() {
				time.Sleep(drainTime + shortestFarewell)
				d.closeServer(replaced)
				proxy.close()
				place.retired(replaced)
			})
		})
	}
	pause(ctx, beside)
	d.tell("release: servers before %s leave", software)
	for _, one := range leave {
		one()
	}
}

// joinBesideOddEntries replaces all engines while odd entries of another writer stand among those of the servers. Daemons that the
// entries keep from following the list serve nothing after that, however long they have time to recover.
func (d *deployment) joinBesideOddEntries(ctx context.Context, random *rand.Rand) {
	d.tell("odd entries stand among those of the servers")
	foreignEntries(d, random)
	d.joinVersion(ctx, "v0", longestBeside)
	pause(ctx, drainTime+2*shortestFarewell)
}
