package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/quarantine"
)

// crashWorld counts which nodes have heard of which crash.
type crashWorld struct {
	*world
	heard map[string]map[string]int
}

func newCrashWorld(nodes int) *crashWorld {
	w := &crashWorld{world: newWorld(nodes), heard: map[string]map[string]int{}}
	w.learnCrashes = func(node string, update quarantine.Update) {
		if w.heard[node] == nil {
			w.heard[node] = map[string]int{}
		}
		for _, item := range update.Items {
			for _, told := range item.Crashes {
				w.heard[node][told.Server]++
			}
		}
	}
	w.learn()
	w.run(10 * time.Second)
	return w
}

// tell has a node tell of the crash of a server.
func (w *crashWorld) tell(node, server string) {
	update := quarantine.Update{Items: []quarantine.Item{{Crashes: []quarantine.Told{{Server: server}}}}}
	w.perform(node, w.nodes[node].TellCrashes(update))
}

// lack counts the live nodes, but for the one that told it, that have not heard of a crash.
func (w *crashWorld) lack(teller, server string) int {
	count := 0
	for _, name := range w.names() {
		if !w.dead[name] && name != teller && w.heard[name][server] == 0 {
			count++
		}
	}
	return count
}

// TestCrashesAreKnownToAllInTime covers how soon all daemons know of a crash, with messages that take
// up to 50 ms: within half a second at each size, where the platform allows three or four, and nobody
// takes in one message twice. Nothing of it goes through the store, which answers nobody here.
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
				w.tell(fmt.Sprint("n", number), fmt.Sprint("server", number))
			}
			w.run(500 * time.Millisecond)
			for number := range 3 {
				if count := w.lack(fmt.Sprint("n", number), fmt.Sprint("server", number)); count > 0 {
					t.Errorf("%d of %d daemons have not heard of a crash after half a second", count, size)
				}
			}
			for name, servers := range w.heard {
				for server, times := range servers {
					if times > 1 {
						t.Errorf("%s took in the crash of %s %d times", name, server, times)
					}
				}
			}
		})
	}
}

// TestCrashesAreToldToThoseThatLive covers a fleet of which half was killed a moment ago: what was
// known of the dead ones still shapes the trees. Messages take two trees by turns, so two of them
// reach nearly all; the others hear of it by what daemons tell one of them each half a second.
func TestCrashesAreToldToThoseThatLive(t *testing.T) {
	w := newCrashWorld(69)
	for number := 1; number < 69; number += 2 {
		w.dead[fmt.Sprint("n", number)] = true
	}
	w.tell("n0", "first")
	w.run(4 * time.Second)
	w.tell("n0", "second")
	w.run(500 * time.Millisecond)
	if count := w.lack("n0", "second"); count > 0 {
		t.Errorf("%d of 34 daemons have not heard of a crash 4 s after half of the fleet was killed", count)
	}
}

// TestNewsOfCrashesInAnotherOrder covers messages of one daemon that overtake each other, come twice,
// or come from a second life of it: each is taken in once.
func TestNewsOfCrashesInAnotherOrder(t *testing.T) {
	w := newCrashWorld(3)
	news := func(root string, boot, sequence uint64, server string) {
		update := quarantine.Update{Items: []quarantine.Item{{Crashes: []quarantine.Told{{Server: server}}}}}
		message := coordination.Message{From: "n1", Bulletin: &coordination.Bulletin{Root: root, Boot: boot, Sequence: sequence, Crashes: update}}
		w.perform("n0", w.nodes["n0"].Receive(w.now, message))
	}
	for _, sequence := range []uint64{2, 1, 2, 1, 70, 69, 7, 5, 70} {
		news("n1", 1, sequence, fmt.Sprint(sequence))
	}
	news("n1", 2, 1, "second life")
	news("", 0, 0, "for this daemon only")
	want := map[string]int{"2": 1, "1": 1, "70": 1, "69": 1, "7": 1, "second life": 1, "for this daemon only": 1}
	// 5 is 65 behind 70: too far to tell whether it was seen.
	for server, times := range w.heard["n0"] {
		if want[server] != times {
			t.Errorf("message %s was taken in %d times, want %d", server, times, want[server])
		}
		delete(want, server)
	}
	if len(want) > 0 {
		t.Errorf("not taken in: %v", want)
	}
}

// BenchmarkNewsOfOneCrash tells what the news of one crash costs that one daemon saw: messages of all daemons, of
// the one that sends most of them, and of all in ten seconds without a crash.
func BenchmarkNewsOfOneCrash(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				w := newCrashWorld(size)
				calm := 0
				for _, count := range w.crashMessages {
					calm += count
				}
				w.tell("n0", "server")
				w.run(500 * time.Millisecond)
				all, most := 0, 0
				for _, count := range w.crashMessages {
					all, most = all+count, max(most, count)
				}
				b.ReportMetric(float64(all), "messages")
				b.ReportMetric(float64(most), "most-by-one")
				b.ReportMetric(float64(calm), "calm")
			}
		})
	}
}
