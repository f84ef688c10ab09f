package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/quarantine"
)

const (
	// partStep is the step of these simulations, partLatency the maximum latency of a message.
	partStep    = 50 * time.Millisecond
	partLatency = 50 * time.Millisecond
	// crashDelay is how long a server runs a deadly request before it crashes, servedDelay how long it
	// runs a sound one.
	crashDelay  = 100 * time.Millisecond
	servedDelay = time.Second
	// partGossipInterval is the interval between two gossip messages of a daemon, which carry updates
	// that the receiver may lack.
	partGossipInterval = 500 * time.Millisecond
	// servedTTL is how long a successful response clears the parts of its prompt.
	servedTTL = 10 * time.Second
	// settleTime is how long a daemon must run undisturbed to be counted, and how long all daemons may
	// take to agree.
	settleTime = 3 * time.Second
	// soundPerSecond and deadlyPerSecond are the request rates of each daemon.
	soundPerSecond   = 4.0
	deadlyPerSecond  = 0.7
	partLoadDuration = 14 * time.Second
	// maxLateSends is how many requests with a deadly part undisturbed daemons may send after that.
	maxLateSends = 3
	// storeWriteDelay is how long it takes to write evidence to the store.
	storeWriteDelay = 200 * time.Millisecond
)

// partFleet is a fleet of daemons whose servers crash under one part of prompts.
type partFleet struct {
	*world
	random   *rand.Rand
	trackers map[string]*quarantine.Tracker
	servedAt map[string]map[quarantine.Digest]time.Time
	// disturbedAt is when a daemon was last disturbed.
	disturbedAt map[string]time.Time
	frozen      map[string]bool
	// stored is the evidence in the store.
	stored map[quarantine.Digest]quarantine.Item
	// nextTurnAt is when each suspect content may run next. The daemons take turns to run it.
	nextTurnAt map[quarantine.Digest]time.Time
	pending    []pendingEvent
	crashes    []time.Time
	sends      []partSend
	requests   int
	// soundSent counts sound requests, soundHeld those of them that were held by the quarantine.
	soundSent, soundHeld int
}

type pendingEvent struct {
	at time.Time
	do func()
}

type partSend struct {
	at          time.Time
	undisturbed bool
}

func digestOf(name string) quarantine.Digest {
	var digest quarantine.Digest
	copy(digest[:], name)
	return digest
}

func newPartFleet(size int) *partFleet {
	f := &partFleet{
		world: newWorld(size), random: rand.New(rand.NewPCG(uint64(size), 66)), trackers: map[string]*quarantine.Tracker{},
		servedAt: map[string]map[quarantine.Digest]time.Time{}, disturbedAt: map[string]time.Time{}, frozen: map[string]bool{},
		stored: map[quarantine.Digest]quarantine.Item{}, nextTurnAt: map[quarantine.Digest]time.Time{},
	}
	f.onCrashes = func(node string, update quarantine.Update) { f.mergeAt(node, update) }
	f.listAll()
	f.world.run(10 * time.Second)
	for _, name := range f.names() {
		f.trackers[name], f.servedAt[name] = quarantine.NewTracker(), map[quarantine.Digest]time.Time{}
	}
	f.latency = func() time.Duration { return time.Duration(f.random.Int64N(int64(partLatency))) }
	return f
}

// mergeAt has a daemon merge an update, and clear the parts that occur in its own successful responses.
func (f *partFleet) mergeAt(node string, update quarantine.Update) {
	f.storeDurable(node, f.trackers[node].Merge(f.now, update))
	for _, item := range update.Items {
		if at := f.servedAt[node][item.Digest]; item.Kind == quarantine.KindPart && !at.IsZero() && f.now.Sub(at) < servedTTL {
			f.storeDurable(node, f.trackers[node].RecordSuccess(f.now, item.Digest))
		}
	}
}

// storeDurable writes evidence to the store that must outlast the daemons.
func (f *partFleet) storeDurable(node string, change quarantine.Change) {
	for _, digest := range change.Durable {
		if f.trackers[node].ObservedLocally(digest) {
			f.after(storeWriteDelay, func() { f.stored[digest] = f.trackers[node].Evidence(f.now, digest) })
		}
	}
}

func (f *partFleet) after(duration time.Duration, do func()) {
	f.pending = append(f.pending, pendingEvent{f.now.Add(duration), do})
}

// broadcastChange has a daemon broadcast a change to all others.
func (f *partFleet) broadcastChange(node string, change quarantine.Change) {
	f.storeDurable(node, change)
	if !change.Added.Empty() && !f.dead[node] {
		f.perform(node, f.nodes[node].BroadcastCrashes(change.Added))
	}
}

// runLoad runs the fleet under the load.
func (f *partFleet) runLoad(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		due := f.pending
		f.pending = nil
		for _, event := range due {
			if event.at.After(f.now) {
				f.pending = append(f.pending, event)
			} else {
				event.do()
			}
		}
		for _, name := range f.names() {
			if f.dead[name] {
				continue
			}
			for range f.arrivals(soundPerSecond) {
				f.sendSound(name)
			}
			for range f.arrivals(deadlyPerSecond) {
				f.sendDeadly(name)
			}
			if f.random.Float64() < float64(partStep)/float64(partGossipInterval) {
				f.gossip(name)
			}
		}
		f.world.run(partStep)
	}
}

// arrivals returns the random number of requests that arrive in a step.
func (f *partFleet) arrivals(perSecond float64) int {
	if f.random.Float64() < perSecond*partStep.Seconds() {
		return 1
	}
	return 0
}

func (f *partFleet) gossip(name string) {
	update := f.trackers[name].Snapshot(f.now, 5*time.Second)
	to := f.names()[f.random.IntN(len(f.names()))]
	if !update.Empty() && to != name {
		f.perform(name, []coordination.Action{coordination.SendPeer{Address: to, Message: coordination.Message{From: name, ObservationUpdate: &coordination.ObservationUpdate{Crashes: update}}}})
	}
}

// mayRun reports whether a daemon may send a request, and takes the turns of its suspects.
func (f *partFleet) mayRun(name string, request *quarantine.Attributes) bool {
	suspects := f.trackers[name].SuspectsOf(f.now, request)
	for _, suspect := range suspects {
		if f.now.Before(f.nextTurnAt[suspect]) {
			return false
		}
	}
	for _, suspect := range suspects {
		f.nextTurnAt[suspect] = f.now.Add(time.Second)
	}
	return true
}

func (f *partFleet) held(name string, request *quarantine.Attributes) bool {
	until, _ := f.trackers[name].RequestHeldUntil(f.now, request)
	return !until.IsZero()
}

func (f *partFleet) request(parts ...string) *quarantine.Attributes {
	f.requests++
	request := &quarantine.Attributes{Content: digestOf(fmt.Sprint("c", f.requests))}
	for _, part := range parts {
		request.Parts = append(request.Parts, quarantine.Part{ID: part, Digest: digestOf(part)})
	}
	return request
}

// sendSound has a daemon serve a request that succeeds.
func (f *partFleet) sendSound(name string) {
	request := f.request("first", fmt.Sprint("subject", f.random.IntN(100)))
	f.soundSent++
	if f.held(name, request) {
		f.soundHeld++
		return
	}
	if !f.mayRun(name, request) {
		return
	}
	f.after(servedDelay, func() {
		if f.dead[name] {
			return
		}
		for _, part := range request.Parts {
			f.servedAt[name][part.Digest] = f.now
			f.broadcastChange(name, f.trackers[name].RecordSuccess(f.now, part.Digest))
		}
	})
}

// sendDeadly has a daemon receive a request that crashes its server, while other daemons have requests
// there.
func (f *partFleet) sendDeadly(name string) {
	request := f.request("first", "dead")
	if f.held(name, request) || !f.mayRun(name, request) {
		return
	}
	f.sends = append(f.sends, partSend{at: f.now, undisturbed: f.now.Sub(f.disturbedAt[name]) >= settleTime})
	began, server := f.now, fmt.Sprint("server", f.requests)
	f.after(crashDelay, func() {
		f.crashes = append(f.crashes, f.now)
		f.observeCrash(name, server, request, began)
		for range 6 {
			other := f.names()[f.random.IntN(len(f.names()))]
			f.observeCrash(other, server, f.request("first", fmt.Sprint("subject", f.random.IntN(100))), began.Add(-time.Second))
		}
	})
}

// observeCrash has a daemon observe that a server crashed under a request.
func (f *partFleet) observeCrash(name, server string, request *quarantine.Attributes, began time.Time) {
	if f.dead[name] || f.frozen[name] {
		return
	}
	victim := quarantine.InterruptedRequest{Content: request.Content, Began: began}
	for _, part := range request.Parts {
		if at := f.servedAt[name][part.Digest]; at.IsZero() || f.now.Sub(at) >= servedTTL {
			victim.Parts = append(victim.Parts, part)
		}
	}
	f.broadcastChange(name, f.trackers[name].RecordCrash(f.now, f.now, server, []quarantine.InterruptedRequest{victim}))
}

// kill ends a daemon. It restarts some time later without state, and reads the evidence in the store.
func (f *partFleet) kill(name string, downtime time.Duration) {
	f.dead[name], f.disturbedAt[name] = true, f.now.Add(downtime)
	f.after(downtime, func() {
		f.dead[name] = false
		f.recreateOne(name, uint64(f.now.UnixNano()), f.random)
		f.perform(name, f.nodes[name].ConfigurationReceived(engineConfiguration(1)))
		f.perform(name, f.nodes[name].InstancesListed(f.now, listing(5, "i1", "i2")))
		f.trackers[name], f.servedAt[name] = quarantine.NewTracker(), map[quarantine.Digest]time.Time{}
		for _, item := range f.stored {
			f.mergeAt(name, quarantine.Update{Items: []quarantine.Item{item}})
		}
	})
}

// freeze stops a daemon for a while. It continues with its state.
func (f *partFleet) freeze(name string, duration time.Duration) {
	f.dead[name], f.disturbedAt[name] = true, f.now.Add(duration)
	f.after(duration, func() { f.dead[name] = false })
}

// separate cuts some daemons off from the others for a while.
func (f *partFleet) separate(names []string, duration time.Duration) {
	for _, name := range names {
		f.disturbedAt[name] = f.now.Add(duration)
	}
	f.cut = func(from, to string) bool { return slices.Contains(names, from) != slices.Contains(names, to) }
	f.after(duration, func() { f.cut = nil })
}

// lateSends counts the requests that undisturbed daemons sent after the time in which all had to agree.
// That time begins at the fifth crash, or at the last one if there were fewer.
func (f *partFleet) lateSends() int {
	if len(f.crashes) == 0 {
		return 0
	}
	decided := f.crashes[min(len(f.crashes), 5)-1].Add(settleTime)
	late := 0
	for _, sent := range f.sends {
		if sent.undisturbed && sent.at.After(decided) {
			late++
		}
	}
	return late
}

// TestAllDaemonsHearOfDeadlyParts covers the fleet from the first crash under a part of prompts on, at
// each size and with failures of the daemons themselves. It guards against daemons that continue to
// send such requests because they started later, were frozen or were cut off, and against sound
// requests that are held with them.
func TestAllDaemonsHearOfDeadlyParts(t *testing.T) {
	for _, size := range []int{9, 71, 295} {
		if size > 100 && !largeFleets {
			continue
		}
		for _, trouble := range []struct {
			name string
			do   func(f *partFleet)
		}{
			{"none", func(*partFleet) {}},
			{"half killed", func(f *partFleet) {
				for number := 0; number < size; number += 2 {
					f.kill(fmt.Sprint("n", number), time.Second)
				}
			}},
			{"all killed", func(f *partFleet) {
				for _, name := range f.names() {
					f.kill(name, time.Second)
				}
			}},
			{"a sixth frozen", func(f *partFleet) {
				for number := 0; number < size; number += 6 {
					f.freeze(fmt.Sprint("n", number), 4*time.Second)
				}
			}},
			{"a sixth cut off", func(f *partFleet) { f.separate(f.names()[:max(1, size/6)], 4*time.Second) }},
		} {
			t.Run(fmt.Sprint(size, "/", trouble.name), func(t *testing.T) {
				f := newPartFleet(size)
				// The first crashes occur while the fleet is undisturbed, the failures while the
				// crashes are broadcast.
				f.runLoad(700 * time.Millisecond)
				trouble.do(f)
				f.runLoad(partLoadDuration)
				late := f.lateSends()
				if late > maxLateSends {
					t.Errorf("%d late sends, want at most %d", late, maxLateSends)
				}
				if 1000*f.soundHeld > f.soundSent {
					t.Errorf("%d of %d sound requests were held", f.soundHeld, f.soundSent)
				}
				t.Logf("%d late sends, %d servers crashed, %d of %d sound requests were held", late, len(f.crashes), f.soundHeld, f.soundSent)
			})
		}
	}
}

// BenchmarkNewsOfPartsAtACrash measures the updates after a crash under 18 requests at as many daemons.
// Each request has one part that no daemon has cleared. It reports the messages of all daemons, those
// of the daemon that sends most, and the bytes of all updates.
func BenchmarkNewsOfPartsAtACrash(b *testing.B) {
	for _, size := range []int{9, 71, 295} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				f := newPartFleet(size)
				before := map[string]int{}
				for name, count := range f.crashMessages {
					before[name] = count
				}
				bytes := 0
				for number := range 18 {
					victim := quarantine.InterruptedRequest{Content: digestOf(fmt.Sprint("c", number)), Began: f.now}
					victim.Parts = []quarantine.Part{{Digest: digestOf(fmt.Sprint("p", number))}}
					name := fmt.Sprint("n", number%size)
					change := f.trackers[name].RecordCrash(f.now, f.now, "server", []quarantine.InterruptedRequest{victim})
					encoded, err := msgpack.Marshal(change.Added)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(encoded) * (size - 1)
					f.broadcastChange(name, change)
				}
				f.world.run(500 * time.Millisecond)
				all, maxByOne := 0, 0
				for name, count := range f.crashMessages {
					all, maxByOne = all+count-before[name], max(maxByOne, count-before[name])
				}
				b.ReportMetric(float64(all), "messages")
				b.ReportMetric(float64(maxByOne), "most-by-one")
				b.ReportMetric(float64(bytes)/1000, "kB")
			}
		})
	}
}
