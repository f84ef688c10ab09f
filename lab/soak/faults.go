package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// firstFault is when the first fault comes: daemons have taken their places.
	firstFault = 2 * time.Second
	// meanPause is the mean pause between two series of faults.
	meanPause = 1500 * time.Millisecond
	// longestSeries bounds how often one fault comes in a series.
	longestSeries = 4
	shortestHarm  = 200 * time.Millisecond
	longestHarm   = 6 * time.Second
	// readLag is by how much such reads lag at most: the platform says seconds.
	readLag = 4 * time.Second
)

// fault is one kind of trouble. Strike begins it; it returns how to end it, or nil if
// it has no length.
type fault struct {
	name   string
	strike func(d *deployment, random *rand.Rand) (end func())
}

// faults lists all kinds. Kinds that stand twice come twice as often.
var faults = []fault{
	{"kill a daemon", killDaemon},
	{"kill all daemons", killAll},
	{"freeze a daemon", freezeDaemon},
	{"freeze a daemon", freezeDaemon},
	{"stop a daemon", stopDaemon},
	{"stop a daemon", stopDaemon},
	{"change settings", changeSettings},
	{"harm the link of a daemon's peers", harmPeers},
	{"reset a daemon's peers", resetPeers},
	{"cut a daemon off the store", harmStoreLink},
	{"the store is down", storeFault(standin.FaultBusy)},
	{"the store is silent", storeFault(standin.FaultSilent)},
	{"answers of the store are lost", storeFault(standin.FaultLost)},
	{"the store turns calls away", storeFault(standin.FaultMany)},
	{"the store forgets its history", forgetHistory},
	{"the store comes back from a copy", restoreStore},
	{"the store comes back from a copy", restoreStore},
	{"a server crashes", crashServer},
	{"a server leaves", drainServer},
	{"a server misbehaves", misbehave},
	{"harm the link of a server", harmServer},
	{"reset a server's connections", resetServer},
	{"change the configuration", changeConfiguration},
	{"change the configuration", changeConfiguration},
	{"a server starts again under its id", rebearServer},
	{"entries of other writers", foreignEntries},
	{"a request crashes its servers", sendDeadlyRequests},
	{"a request crashes its servers", sendDeadlyRequests},
}

// runFaults brings faults about until ctx ends: in series, and overlapping.
func (d *deployment) runFaults(ctx context.Context, random *rand.Rand) {
	d.group.Go(func() { d.letReadsLag(ctx) })
	d.group.Go(func() { d.writeOthers(ctx) })
	if d.options.Crowds {
		d.group.Go(func() { d.runCrowds(ctx, rand.New(rand.NewPCG(d.options.Seed, crowdStream))) })
	}
	if d.options.OnlyCrashes {
		d.runCrashes(ctx, rand.New(rand.NewPCG(d.options.Seed, crashStream)))
		return
	}
	if d.options.OnlyOutOfStep {
		d.runOutOfStep(ctx, rand.New(rand.NewPCG(d.options.Seed, outOfStepStream)))
		return
	}
	d.group.Go(func() { d.runReleases(ctx, rand.New(rand.NewPCG(d.options.Seed, releaseStream))) })
	if d.options.OnlyReleases {
		<-ctx.Done()
		return
	}
	d.group.Go(func() { d.keepCopies(ctx) })
	d.group.Go(func() { d.runWords(ctx, rand.New(rand.NewPCG(d.options.Seed, wordsStream))) })
	d.group.Go(func() { d.runBrittle(ctx, rand.New(rand.NewPCG(d.options.Seed, brittleStream))) })
	d.group.Go(func() { d.runDeadlyParts(ctx, rand.New(rand.NewPCG(d.options.Seed, deadlyPartStream))) })
	d.group.Go(func() { d.runSevered(ctx, rand.New(rand.NewPCG(d.options.Seed, severedStream))) })
	d.group.Go(func() { d.runUnframed(ctx, rand.New(rand.NewPCG(d.options.Seed, unframedStream))) })
	d.group.Go(func() { d.runFailing(ctx, rand.New(rand.NewPCG(d.options.Seed, failingStream))) })
	d.group.Go(func() { d.runEndless(ctx, rand.New(rand.NewPCG(d.options.Seed, endlessStream))) })
	d.group.Go(func() { d.runMalformed(ctx, rand.New(rand.NewPCG(d.options.Seed, malformedStream))) })
	d.group.Go(func() { d.runLeftovers(ctx, rand.New(rand.NewPCG(d.options.Seed, leftoverStream))) })
	d.group.Go(func() { d.runSilences(ctx, rand.New(rand.NewPCG(d.options.Seed, silenceStream))) })
	if !pause(ctx, firstFault) {
		return
	}
	for {
		chosen := faults[random.IntN(len(faults))]
		count := 1
		if random.IntN(3) == 0 {
			count += random.IntN(longestSeries)
		}
		for range count {
			own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			d.strike(ctx, chosen, own)
			if count > 1 && !pause(ctx, time.Duration(random.Float64()*float64(meanPause))) {
				return
			}
		}
		if !pause(ctx, time.Duration(random.ExpFloat64()*float64(meanPause))) {
			return
		}
	}
}

// letReadsLag keeps reads of the store that may lag up to readLag behind, until ctx ends: daemons
// that start list what was so some time ago.
func (d *deployment) letReadsLag(ctx context.Context) {
	for d.store.HoldOld(); pause(ctx, readLag); d.store.HoldOld() {
	}
}

// strike begins one fault and ends it later.
func (d *deployment) strike(ctx context.Context, chosen fault, random *rand.Rand) {
	d.faults++
	span := shortestHarm + time.Duration(random.Float64()*float64(longestHarm-shortestHarm))
	d.tell("fault: %s", chosen.name)
	end := chosen.strike(d, random)
	if end == nil {
		return
	}
	d.group.Go(func() {
		pause(ctx, span)
		end()
		d.tell("ended: %s", chosen.name)
	})
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// heal ends every fault that may still last.
func (d *deployment) heal() {
	d.store.SetFault(nil)
	for _, daemon := range d.daemons {
		daemon.peerProxy.set(linkSound)
		daemon.storeProxy.set(linkSound)
		daemon.signal(syscall.SIGCONT)
	}
	for _, place := range d.places {
		place.currentProxy().set(linkSound)
		for _, server := range place.running() {
			server.Behave(standin.BehaviourSound)
			server.SendEndless(0)
			server.LeaveBehind(0, nil)
			server.SpoilHeads(0, nil)
			server.SendEndlessControl("")
			server.Say(standin.Words{Leaving: server.Words().Leaving})
		}
	}
	d.record.disturb()
	d.tell("all faults have ended")
}

func (d *deployment) anyDaemon(random *rand.Rand) *daemon {
	return d.daemons[random.IntN(len(d.daemons))]
}

func (d *deployment) anyPlace(random *rand.Rand) *place {
	return d.places[random.IntN(len(d.places))]
}

func killDaemon(d *deployment, random *rand.Rand) func() {
	d.record.disturb()
	d.anyDaemon(random).signal(syscall.SIGKILL)
	return nil
}

func killAll(d *deployment, _ *rand.Rand) func() {
	d.record.disturb()
	d.record.killedMost()
	for _, daemon := range d.daemons {
		daemon.signal(syscall.SIGKILL)
	}
	return nil
}

func freezeDaemon(d *deployment, random *rand.Rand) func() {
	daemon := d.anyDaemon(random)
	d.record.disturb()
	daemon.signal(syscall.SIGSTOP)
	return func() {
		daemon.signal(syscall.SIGCONT)
		d.record.disturb()
	}
}

// stopDaemon is a planned stop; the process is started again after it.
func stopDaemon(d *deployment, random *rand.Rand) func() {
	d.anyDaemon(random).signal(syscall.SIGTERM)
	return nil
}

func changeSettings(d *deployment, random *rand.Rand) func() {
	daemon := d.anyDaemon(random)
	if err := daemon.writeSettings(d.seeds(), keep-time.Duration(random.IntN(5))*100*time.Millisecond); err != nil {
		d.tell("settings: %v", err)
		return nil
	}
	if random.IntN(2) == 0 {
		daemon.signal(syscall.SIGHUP)
	}
	return nil
}

// harmfulLink draws a link that is not sound.
func harmfulLink(random *rand.Rand) link {
	return []link{linkSlow, linkSilent, linkDeafForward, linkDeafBackward}[random.IntN(4)]
}

func harmPeers(d *deployment, random *rand.Rand) func() {
	return d.harm(d.anyDaemon(random), harmfulLink(random), func(daemon *daemon) *proxy { return daemon.peerProxy })
}

func harmStoreLink(d *deployment, random *rand.Rand) func() {
	return d.harm(d.anyDaemon(random), harmfulLink(random), func(daemon *daemon) *proxy { return daemon.storeProxy })
}

// harm harms one link of a daemon.
func (d *deployment) harm(daemon *daemon, state link, chosen func(*daemon) *proxy) func() {
	d.tell("%s: %s", daemon.name, state)
	d.record.disturb()
	daemon.touch()
	chosen(daemon).set(state)
	return func() {
		chosen(daemon).set(linkSound)
		daemon.touch()
		d.record.disturb()
	}
}

func resetPeers(d *deployment, random *rand.Rand) func() {
	daemon := d.anyDaemon(random)
	d.record.disturb()
	daemon.touch()
	daemon.peerProxy.reset()
	return nil
}

// storeFault makes a part of the store's calls fail in one way.
func storeFault(kind standin.Fault) func(d *deployment, random *rand.Rand) func() {
	return func(d *deployment, random *rand.Rand) func() {
		share := []float64{0.3, 1}[random.IntN(2)]
		d.record.disturbStore(1)
		d.store.SetFault(func(string, string) standin.Fault {
			if rand.Float64() < share {
				return kind
			}
			return standin.FaultNone
		})
		return func() {
			d.store.SetFault(nil)
			d.record.disturbStore(-1)
		}
	}
}

func forgetHistory(d *deployment, _ *rand.Rand) func() {
	d.record.disturbStore(1)
	d.store.Forget()
	d.record.disturbStore(-1)
	return nil
}

// silentBeats is how long the store lists a server that crashed.
const silentBeats = 3 * time.Second

// crashServer ends a server without a word and starts another one at its address.
func crashServer(d *deployment, random *rand.Rand) func() {
	number := random.IntN(len(d.places))
	place := d.places[number]
	d.record.disturb()
	crashed := place.current()
	crashed.Crash()
	d.group.Go(func() {
		time.Sleep(silentBeats)
		d.store.Delete("servers", crashed.ID)
	})
	return func() { d.restart(place, number, crashed) }
}

// drainServer takes a server away as planned and starts another one at its address.
func drainServer(d *deployment, random *rand.Rand) func() {
	number := random.IntN(len(d.places))
	place := d.places[number]
	leaving := place.current()
	d.drain(leaving)
	return func() {
		time.Sleep(2 * drainTime)
		d.closeServer(leaving)
		d.restart(place, number, leaving)
	}
}

// drain has a server say that it is leaving.
func (d *deployment) drain(leaving *standin.Server) {
	leaving.Drain()
	d.record.left(leaving.ID)
	d.group.Go(func() {
		time.Sleep(drainTime + lateness)
		d.record.knownLeft(leaving.ID, d.daemons)
	})
}

// closeServer ends a server that has said that it is leaving, with the streams that it still sends.
func (d *deployment) closeServer(leaving *standin.Server) {
	d.record.closed(leaving.ID)
	leaving.Close()
}

// restart starts a server in the place of one that has ended.
func (d *deployment) restart(place *place, number int, ended *standin.Server) {
	if err := d.startServer(place, number, ended); err != nil {
		d.tell("server: %v", err)
	}
}

func misbehave(d *deployment, random *rand.Rand) func() {
	place := d.anyPlace(random)
	behaviour := standin.BehaviourFailing + standin.Behaviour(random.IntN(5))
	d.record.disturb()
	place.current().Behave(behaviour)
	return func() {
		for _, server := range place.running() {
			server.Behave(standin.BehaviourSound)
		}
		d.record.disturb()
	}
}

func harmServer(d *deployment, random *rand.Rand) func() {
	place := d.anyPlace(random)
	state := harmfulLink(random)
	d.tell("%s: %s", place.current().ID, state)
	d.record.disturb()
	sound := d.record.harmedLink(place.current().ID)
	proxy := place.currentProxy()
	proxy.set(state)
	return func() {
		proxy.set(linkSound)
		sound()
		d.record.disturb()
	}
}

func resetServer(d *deployment, random *rand.Rand) func() {
	d.record.disturb()
	place := d.anyPlace(random)
	sound := d.record.harmedLink(place.current().ID)
	place.currentProxy().reset()
	sound()
	return nil
}

func changeConfiguration(d *deployment, _ *rand.Rand) func() {
	d.configure()
	return nil
}
