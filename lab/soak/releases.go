package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// At times a release replaces the engines one after the other: a server of a newer version starts, then the one before it
// says that it is leaving, serves on, and ends. With the last of them a version ends. Some releases pause on the way. All
// daemons or most of them are killed around the end of the last server before the release is done or pauses, at times while
// the store answers nobody.
const (
	releasePause = 3 * time.Second
	// warmUp is how long two servers serve side by side before the older one leaves.
	warmUp = 300 * time.Millisecond
	// shortestStep and longestStep bound the time between two servers.
	shortestStep = 100 * time.Millisecond
	longestStep  = 600 * time.Millisecond
	// shortestFarewell and longestFarewell bound how much longer than drainTime a server serves that leaves.
	shortestFarewell = 200 * time.Millisecond
	longestFarewell  = 2 * time.Second
	// shortestHold and longestHold bound the pause on the way.
	shortestHold = 6 * time.Second
	longestHold  = 12 * time.Second
	// earliestKill and latestKill bound when daemons are killed, from the end of the last server.
	earliestKill = -time.Second
	latestKill   = 1500 * time.Millisecond
	longestKills = 3
	killPause    = 2 * time.Second
	// shortestOutage and longestOutage bound for how long the store fails before the daemons are killed.
	shortestOutage = 50 * time.Millisecond
	longestOutage  = time.Second
	longestFreeze  = 3 * time.Second

	releaseStream = 0x4e1ea
)

// runReleases brings releases about until ctx ends. It draws from numbers of its own.
func (d *deployment) runReleases(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(releasePause))) {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		d.releases++
		d.release(ctx, own, fmt.Sprint("v", softwareCount+d.releases))
	}
}

// release replaces all engines by servers of a version.
func (d *deployment) release(ctx context.Context, random *rand.Rand, software string) {
	order, held := random.Perm(d.options.Engines), d.options.Engines
	if random.IntN(2) == 0 {
		held = 1 + random.IntN(d.options.Engines-1)
	}
	d.tell("release: %s comes, killed after %d servers", software, held)
	for done, number := range order {
		endsAt := d.replace(number, software, random)
		if done+1 == held {
			d.killAround(ctx, endsAt, random)
		}
		span := drawSpan(random, shortestStep, longestStep)
		if done+1 == held && held < d.options.Engines {
			span = drawSpan(random, shortestHold, longestHold)
		}
		if !pause(ctx, span) {
			return
		}
	}
	d.tell("release: all engines are at %s", software)
}

// replace starts a server of a version at a place and has the one before it leave. It returns when that one ends.
func (d *deployment) replace(number int, software string, random *rand.Rand) (endsAt time.Time) {
	place := d.places[number]
	replaced, proxy, err := d.startBeside(place, number, software)
	if err != nil {
		d.tell("server: %v", err)
		return time.Now()
	}
	time.Sleep(warmUp)
	d.tell("release: %s of %s replaces %s of %s", place.current().ID, software, replaced.ID, replaced.Software)
	if replaced.Serving() {
		d.drain(replaced)
	}
	span := drainTime + drawSpan(random, shortestFarewell, longestFarewell)
	d.group.Go(func() {
		time.Sleep(span)
		d.tell("release: %s of %s ends", replaced.ID, replaced.Software)
		d.closeServer(replaced)
		proxy.close()
		place.retired(replaced)
	})
	return time.Now().Add(span)
}

// startBeside starts a server of a version at a place, at an address of its own. It returns the server before it, which
// serves on, with its proxy.
func (d *deployment) startBeside(p *place, number int, software string) (*standin.Server, *proxy, error) {
	own, err := newProxy("127.0.0.1:1")
	if err != nil {
		return nil, nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	replaced, proxy := p.server, p.proxy
	p.serial++
	p.software, p.proxy = software, own
	p.retiring = append(p.retiring, replaced)
	return replaced, proxy, d.open(p, number, false)
}

// retired notes that a server has ended that was replaced.
func (p *place) retired(ended *standin.Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retiring = slices.DeleteFunc(p.retiring, func(server *standin.Server) bool { return server == ended })
}

// killAround kills daemons around the end of a server, in a series.
func (d *deployment) killAround(ctx context.Context, endsAt time.Time, random *rand.Rand) {
	at := endsAt.Add(drawSpan(random, earliestKill, latestKill))
	storeFails, freezes := random.IntN(3) == 0, random.IntN(3) == 0
	kind := []standin.Fault{standin.FaultBusy, standin.FaultMany, standin.FaultSilent}[random.IntN(3)]
	kills := max(1, random.IntN(longestKills+1))
	if !pause(ctx, time.Until(at)) {
		return
	}
	if storeFails {
		d.tell("release: the store fails")
		end := storeFault(kind)(d, random)
		defer end()
		pause(ctx, drawSpan(random, shortestOutage, longestOutage))
	}
	for range kills {
		d.killMost(random)
		if freezes {
			d.freezeSome(ctx, random)
		}
		if !pause(ctx, time.Duration(random.Float64()*float64(killPause))) {
			return
		}
	}
}

// killMost kills all daemons, or more than half of them.
func (d *deployment) killMost(random *rand.Rand) {
	spared := 0
	if most := (len(d.daemons) - 1) / 2; most > 0 && random.IntN(2) == 0 {
		spared = 1 + random.IntN(most)
	}
	order := random.Perm(len(d.daemons))
	d.tell("release: %d of %d daemons are killed", len(order)-spared, len(order))
	d.record.disturb()
	d.record.killedMost()
	for _, number := range order[spared:] {
		d.daemons[number].signal(syscall.SIGKILL)
	}
}

// freezeSome freezes one daemon for a while.
func (d *deployment) freezeSome(ctx context.Context, random *rand.Rand) {
	span := drawSpan(random, shortestHarm, longestFreeze)
	end := freezeDaemon(d, random)
	d.group.Go(func() {
		pause(ctx, span)
		end()
	})
}
