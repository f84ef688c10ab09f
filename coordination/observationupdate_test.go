package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/quarantine"
)

// crashWorld counts how often each node received each crash.
type crashWorld struct {
	*world
	received map[string]map[string]int
}

func newCrashWorld(nodes int) *crashWorld {
	w := &crashWorld{world: newWorld(nodes), received: map[string]map[string]int{}}
	w.onCrashes = func(node string, update quarantine.Update) {
		if w.received[node] == nil {
			w.received[node] = map[string]int{}
		}
		for _, item := range update.Items {
			for _, crash := range item.Crashes {
				w.received[node][crash.Server]++
			}
		}
	}
	w.listAll()
	w.run(10 * time.Second)
	return w
}

// broadcastCrash has a node broadcast the crash of a server.
func (w *crashWorld) broadcastCrash(node, server string) {
	update := quarantine.Update{Items: []quarantine.Item{{Crashes: []quarantine.CrashReport{{Server: server}}}}}
	w.perform(node, w.nodes[node].BroadcastCrashes(update))
}

// countUninformed counts the live nodes, except the sender, that have not received a crash.
func (w *crashWorld) countUninformed(sender, server string) int {
	count := 0
	for _, name := range w.names() {
		if !w.dead[name] && name != sender && w.received[name][server] == 0 {
			count++
		}
	}
	return count
}

// TestCrashesAreKnownToAllInTime covers how soon all daemons receive a crash, with messages that take
// up to 50 ms. It takes at most half a second at each size, where the platform allows three or four. No
// daemon processes one message twice. The store answers nobody here, so nothing goes through it.
func TestCrashesAreKnownToAllInTime(t *testing.T) {
	for _, size := range []int{9, 69, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newCrashWorld(size)
			for _, name := range w.names() {
				w.storeCut[name] = true
			}
			random := rand.New(rand.NewPCG(uint64(size), 1))
			w.latency = func() time.Duration { return time.Duration(random.Int64N(int64(50 * time.Millisecond))) }
			for number := range 3 {
				w.broadcastCrash(fmt.Sprint("n", number), fmt.Sprint("server", number))
			}
			w.run(500 * time.Millisecond)
			for number := range 3 {
				if count := w.countUninformed(fmt.Sprint("n", number), fmt.Sprint("server", number)); count > 0 {
					t.Errorf("%d of %d daemons have not received a crash after half a second", count, size)
				}
			}
			for name, servers := range w.received {
				for server, times := range servers {
					if times > 1 {
						t.Errorf("%s processed the crash of %s %d times", name, server, times)
					}
				}
			}
		})
	}
}

// TestCrashesAreToldToThoseThatLive covers a fleet of which half was killed a moment ago, so that the
// dead daemons still are part of the trees. Messages alternate between two trees, so two messages reach
// nearly all daemons. The others receive the crash by the gossip that each daemon sends to one other
// every half second.
func TestCrashesAreToldToThoseThatLive(t *testing.T) {
	w := newCrashWorld(69)
	for number := 1; number < 69; number += 2 {
		w.dead[fmt.Sprint("n", number)] = true
	}
	w.broadcastCrash("n0", "first")
	w.run(4 * time.Second)
	w.broadcastCrash("n0", "second")
	w.run(500 * time.Millisecond)
	if count := w.countUninformed("n0", "second"); count > 0 {
		t.Errorf("%d of 34 daemons have not received a crash 4 s after half of the fleet was killed", count)
	}
}

// TestNewsOfCrashesInAnotherOrder covers messages of one daemon that overtake each other, arrive twice,
// or come from a second process of it. Each is processed once.
func TestNewsOfCrashesInAnotherOrder(t *testing.T) {
	w := newCrashWorld(3)
	receive := func(root string, boot, sequence uint64, server string) {
		update := quarantine.Update{Items: []quarantine.Item{{Crashes: []quarantine.CrashReport{{Server: server}}}}}
		message := coordination.Message{From: "n1", ObservationUpdate: &coordination.ObservationUpdate{Root: root, Boot: boot, Sequence: sequence, Crashes: update}}
		w.perform("n0", w.nodes["n0"].Receive(w.now, message))
	}
	for _, sequence := range []uint64{2, 1, 2, 1, 70, 69, 7, 5, 70} {
		receive("n1", 1, sequence, fmt.Sprint(sequence))
	}
	receive("n1", 2, 1, "second life")
	receive("", 0, 0, "for this daemon only")
	want := map[string]int{"2": 1, "1": 1, "70": 1, "69": 1, "7": 1, "second life": 1, "for this daemon only": 1}
	// 5 is 65 behind 70: too far to tell whether it was received.
	for server, times := range w.received["n0"] {
		if want[server] != times {
			t.Errorf("message %s was processed %d times, want %d", server, times, want[server])
		}
		delete(want, server)
	}
	if len(want) > 0 {
		t.Errorf("not processed: %v", want)
	}
}

// BenchmarkNewsOfOneCrash measures the messages that the broadcast of one crash costs: all messages,
// those of the daemon that sends most, and all messages in ten seconds without a crash.
func BenchmarkNewsOfOneCrash(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				w := newCrashWorld(size)
				idle := 0
				for _, count := range w.crashMessages {
					idle += count
				}
				w.broadcastCrash("n0", "server")
				w.run(500 * time.Millisecond)
				all, maxByOne := 0, 0
				for _, count := range w.crashMessages {
					all, maxByOne = all+count, max(maxByOne, count)
				}
				b.ReportMetric(float64(all), "messages")
				b.ReportMetric(float64(maxByOne), "most-by-one")
				b.ReportMetric(float64(idle), "calm")
			}
		})
	}
}
