package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
)

// BenchmarkControl measures what coordination costs each daemon for one second, at
// several sizes: messages and bytes sent, and processor time with encoding and
// decoding, for the mean daemon and for the one that costs the most.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{9, 15}, {30, 45}, {71, 115}, {320, 600}} {
		b.Run(fmt.Sprintf("daemons=%d/servers=%d", size.daemons, size.servers), func(b *testing.B) {
			w := newWorld(size.daemons)
			w.learnServers(size.servers)
			w.run(25 * time.Second)
			w.encode = true
			clear(w.messages)
			clear(w.bytes)
			clear(w.byKind)
			clear(w.spent)
			b.ResetTimer()
			for range b.N {
				w.runLoaded(size.servers)
			}
			b.StopTimer()
			w.reportControl(b)
		})
	}
}

// learnServers gives all nodes a configuration and a list of many servers.
func (w *world) learnServers(count int) {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("i-%08x", i))
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationLearned(engineConfiguration(1)))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, ids...)))
	}
}

// runLoaded runs a second in which each daemon's load changes ten times.
func (w *world) runLoaded(servers int) {
	models := []coordination.ModelLoad{{Service: "llm", Model: "m", Requests: 12}}
	for round := range 10 {
		load := map[string]balance.Load{}
		for i := range 12 {
			// Two of them change in each round: a request ends, another one begins.
			load[fmt.Sprintf("i-%08x", (i*7)%servers)] = balance.Load{Requests: 1 + (i+round)%12/11, PromptTokens: 1000}
		}
		for _, name := range w.names() {
			w.timed(name, func() []coordination.Action {
				return w.nodes[name].ObserveOwn(w.now, load, models, coordination.UrgencyLoad)
			})
		}
		w.run(100 * time.Millisecond)
	}
}

// reportControl reports the costs of one second of one daemon.
func (w *world) reportControl(b *testing.B) {
	seconds := float64(b.N)
	var messages, bytes, most int
	var spent, longest time.Duration
	for _, name := range w.names() {
		messages += w.messages[name]
		bytes += w.bytes[name]
		most = max(most, w.bytes[name])
		spent += w.spent[name]
		longest = max(longest, w.spent[name])
	}
	daemons := float64(len(w.nodes))
	for kind, total := range w.byKind {
		b.ReportMetric(float64(total)/daemons/seconds, kind+"-B/daemon-s")
	}
	b.ReportMetric(float64(messages)/daemons/seconds, "messages/daemon-s")
	b.ReportMetric(float64(bytes)/daemons/seconds, "B/daemon-s")
	b.ReportMetric(float64(most)/seconds, "B/busiest-s")
	b.ReportMetric(spent.Seconds()/daemons/seconds*100, "%core/daemon")
	b.ReportMetric(longest.Seconds()/seconds*100, "%core/busiest")
}

// kindOf names what a message is for.
func kindOf(message *coordination.Message) string {
	switch {
	case message.Probe != nil:
		return "probe"
	case message.Load != nil:
		return "load"
	case message.Spread != nil:
		return "spread"
	default:
		return "other"
	}
}

// carry encodes a message as the transport does, and decodes it at the other side.
func (w *world) carry(from, to string, message coordination.Message) coordination.Message {
	if !w.encode {
		return message
	}
	begun := time.Now()
	body, err := msgpack.Marshal(&message)
	w.spent[from] += time.Since(begun)
	if err != nil {
		panic(err)
	}
	w.bytes[from] += len(body)
	w.byKind[kindOf(&message)] += len(body)
	begun = time.Now()
	var arrived coordination.Message
	if err := msgpack.Unmarshal(body, &arrived); err != nil {
		panic(err)
	}
	w.spent[to] += time.Since(begun)
	return arrived
}

// timed performs what a node does and counts its time.
func (w *world) timed(name string, step func() []coordination.Action) {
	begun := time.Now()
	actions := step()
	w.spent[name] += time.Since(begun)
	w.perform(name, actions)
}
