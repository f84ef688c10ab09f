package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/member"
)

// BenchmarkControl measures the cost of coordination for each daemon in one second of virtual time,
// at several sizes in five zones and in three phases: in steady state, from a common start on, and
// from the loss of a quarter of the instances on.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{30, 24}, {100, 80}, {300, 240}, {1000, 800}} {
		for _, phase := range []controlPhase{phaseSteady, phaseStart, phaseCrash} {
			b.Run(fmt.Sprintf("daemons=%d/servers=%d/%s", size.daemons, size.servers, phase), func(b *testing.B) {
				w := newControlWorld(size.daemons, size.servers, phase)
				b.ResetTimer()
				for range b.N {
					w.runLoaded(size.servers)
				}
				b.StopTimer()
				w.reportControlCost(b)
			})
		}
	}
}

// controlPhase is the event in a fleet from which its control traffic is counted.
type controlPhase string

const (
	phaseSteady controlPhase = "steady"
	phaseStart  controlPhase = "start"
	phaseCrash  controlPhase = "crash"
)

// newControlWorld returns a world at the beginning of a phase, with counters that start there.
func newControlWorld(daemons, servers int, phase controlPhase) *world {
	w := newWorld(daemons)
	w.recreateAll(func(i int, self *member.Member, settings *coordination.Settings) {
		self.Zone, settings.Lease.TakeoverOrderDelay = zoneOfNode(i), 0
		settings.RevokeWithin = revokeWithin
	})
	w.listInstances(servers)
	if phase != phaseStart {
		w.run(25 * time.Second)
	}
	w.encode = true
	clear(w.messages)
	if phase == phaseCrash {
		w.removeServers(servers / 4)
	}
	return w
}

// zoneOfNode returns the zone of a node by its number.
func zoneOfNode(i int) string { return fmt.Sprint("z", i%5) }

// TestControlTrafficDoesNotGrowWithTheFleet compares what the mean daemon sends in ten seconds of
// steady state with 40 daemons and with 160, and with four times the instances. It must not be more
// than a quarter more messages or bytes.
func TestControlTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	type traffic struct{ messages, bytes, far float64 }
	measure := func(daemons, servers int) traffic {
		w := newControlWorld(daemons, servers, phaseSteady)
		for range 10 {
			w.runLoaded(servers)
		}
		var sum traffic
		for _, name := range w.names() {
			sum.messages += float64(w.messages[name]) / float64(daemons)
			sum.bytes += float64(w.bytes[name]) / float64(daemons)
		}
		sum.far = float64(w.crossZoneBytes) / float64(daemons)
		return sum
	}
	small, large := measure(40, 32), measure(160, 128)
	const maxGrowth = 1.25
	if large.messages > maxGrowth*small.messages || large.bytes > maxGrowth*small.bytes || large.far > maxGrowth*small.far {
		t.Errorf("the mean daemon sends %+v among 160, %+v among 40", large, small)
	}
}

// listInstances gives all nodes a configuration and a list of count instances.
func (w *world) listInstances(count int) {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("i-%08x", i))
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(engineConfiguration(1)))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, ids...)))
	}
}

// removeServers has the nodes that watch the store receive that the first count instances are gone.
// The other nodes receive it from them.
func (w *world) removeServers(count int) {
	for _, name := range w.names() {
		if !w.nodes[name].Watching(w.now) {
			continue
		}
		batch := feed.Batch[*fleet.Instance]{At: history.At(0, 6)}
		for i := range count {
			batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{Name: fmt.Sprintf("i-%08x", i), Place: history.At(0, 6), Gone: true})
		}
		w.perform(name, w.nodes[name].InstancesChanged(w.now, batch))
	}
}

// runLoaded runs one second in which each daemon's load changes ten times.
func (w *world) runLoaded(servers int) {
	models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 12}}
	for round := range 10 {
		load := map[string]balance.Load{}
		for i := range 12 {
			// Two entries change in each round: a request ends, another one begins.
			load[fmt.Sprintf("i-%08x", (i*7)%servers)] = balance.Load{Requests: 1 + (i+round)%12/11, PromptTokens: 1000}
		}
		for _, name := range w.names() {
			w.timed(name, func() []coordination.Action {
				return w.nodes[name].UpdateOwnLoad(w.now, load, models, coordination.UrgencyLoad)
			})
		}
		w.run(100 * time.Millisecond)
	}
}

// reportControlCost reports the cost per daemon and second.
func (w *world) reportControlCost(b *testing.B) {
	seconds := float64(b.N)
	var messages, bytes, maxBytes int
	var spent, longest time.Duration
	for _, name := range w.names() {
		messages += w.messages[name]
		bytes += w.bytes[name]
		maxBytes = max(maxBytes, w.bytes[name])
		spent += w.spent[name]
		longest = max(longest, w.spent[name])
	}
	daemons := float64(len(w.nodes))
	for kind, total := range w.byKind {
		b.ReportMetric(float64(total)/daemons/seconds, kind+"-B/daemon-s")
	}
	b.ReportMetric(float64(messages)/daemons/seconds, "messages/daemon-s")
	b.ReportMetric(float64(bytes)/daemons/seconds, "B/daemon-s")
	b.ReportMetric(float64(w.crossZoneBytes)/daemons/seconds, "far-B/daemon-s")
	b.ReportMetric(float64(maxBytes)/seconds, "B/busiest-s")
	b.ReportMetric(spent.Seconds()/daemons/seconds*100, "%core/daemon")
	b.ReportMetric(longest.Seconds()/seconds*100, "%core/busiest")
}

// messageKind names the purpose of a message.
func messageKind(message *coordination.Message) string {
	switch {
	case message.Probe != nil:
		return "probe"
	case message.Load != nil:
		return "load"
	case message.HolderUpdate != nil:
		return "spread"
	default:
		return "other"
	}
}

// transport encodes a message as the transport between daemons does, and decodes it for the
// receiver.
func (w *world) transport(from, to string, message coordination.Message) coordination.Message {
	if !w.encode {
		return message
	}
	startedAt := time.Now()
	body, err := msgpack.Marshal(&message)
	w.spent[from] += time.Since(startedAt)
	if err != nil {
		panic(err)
	}
	w.bytes[from] += len(body)
	if w.zones[from] != w.zones[to] {
		w.crossZoneBytes += len(body)
	}
	w.byKind[messageKind(&message)] += len(body)
	startedAt = time.Now()
	var arrived coordination.Message
	if err := msgpack.Unmarshal(body, &arrived); err != nil {
		panic(err)
	}
	w.spent[to] += time.Since(startedAt)
	return arrived
}

// timed performs a step of a node and counts its duration.
func (w *world) timed(name string, step func() []coordination.Action) {
	startedAt := time.Now()
	actions := step()
	w.spent[name] += time.Since(startedAt)
	w.perform(name, actions)
}
