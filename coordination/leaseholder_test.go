package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
)

func TestOneNodeSendsTheOrders(t *testing.T) {
	w := newWorld(4)
	w.listAll()
	w.run(3 * time.Second)
	if len(w.holders()) != 1 || len(w.orders) == 0 {
		t.Fatalf("holders %v, %d orders", w.holders(), len(w.orders))
	}
	for _, sent := range w.orders {
		if sent.node != w.holders()[0] || sent.fence == 0 || sent.order.Expected < 4 {
			t.Errorf("order %+v", sent)
		}
	}
}

// TestTakeover covers a lease holder that fails and one that is cut off from the store. Another
// node takes the lease a term after the last renewal, and never before.
func TestTakeover(t *testing.T) {
	for name, inject := range map[string]func(*world, string){
		"dies":                      func(w *world, holder string) { w.dead[holder] = true },
		"is cut off from the store": func(w *world, holder string) { w.storeCut[holder] = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4)
			w.listAll()
			w.run(5 * time.Second)
			first := w.holders()[0]
			inject(w, first)
			injectedAt := w.now
			for w.now.Sub(injectedAt) < 4*term {
				w.run(50 * time.Millisecond)
				if holders := w.holders(); len(holders) > 1 {
					t.Fatalf("holders %v", holders)
				} else if len(holders) == 1 && holders[0] != first {
					if took := w.now.Sub(injectedAt); took > term+time.Second {
						t.Fatalf("taken over after %v", took)
					}
					return
				}
			}
			t.Fatal("no node took over the lease")
		})
	}
}

func TestStopHandsTheLeaseOver(t *testing.T) {
	w := newWorld(3)
	w.listAll()
	w.run(5 * time.Second)
	first := w.holders()[0]
	w.perform(first, w.nodes[first].Leave())
	w.run(3 * time.Second)
	if holders := w.holders(); len(holders) != 1 || holders[0] == first || !w.nodes[first].Left() {
		t.Fatalf("holders %v", holders)
	}
}

// TestLeaseThatWasHandedBackIsTakenAtOnce covers planned stops in small and large fleets. After a
// release no node waits until the former holder has been silent for a while.
func TestLeaseThatWasHandedBackIsTakenAtOnce(t *testing.T) {
	for _, size := range []int{3, manyNodes} {
		w := newWorld(size)
		w.listAll()
		w.run(8 * time.Second)
		for stop := range 2 {
			first := w.holders()[0]
			w.perform(first, w.nodes[first].Leave())
			w.run(600 * time.Millisecond)
			if holders := w.holders(); len(holders) != 1 || holders[0] == first {
				t.Errorf("%d nodes, stop %d: 0.6 s after the stop of %s the holders are %v", size, stop, first, holders)
			}
			w.dead[first] = true
			w.run(2 * time.Second)
		}
	}
}

// TestStoreRateHoldsAcrossTakeover covers a lease holder that fails right after it has used up the
// weight store's rate. Its successor must not start with an empty window.
func TestStoreRateHoldsAcrossTakeover(t *testing.T) {
	w := newWorld(3)
	configuration := engineConfiguration(1)
	engine := configuration.Services[0].Engine
	for i := range 40 {
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprint("x", i), WeightsMB: 1})
	}
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	for _, name := range w.names() {
		w.perform(name, w.nodes[name].ConfigurationReceived(configuration))
		w.perform(name, w.nodes[name].InstancesListed(w.now, listing(5, ids...)))
	}
	w.run(4 * time.Second)
	first := w.holders()[0]
	for before := len(w.orders); len(w.orders) < before+5; {
		w.run(50 * time.Millisecond)
	}
	w.dead[first] = true
	w.run(20 * time.Second)
	const window = 5 * time.Second
	var loads []sentOrder
	for _, sent := range w.orders {
		if sent.order.FromStore {
			loads = append(loads, sent)
		}
	}
	if len(loads) < 8 || loads[len(loads)-1].node == first {
		t.Fatalf("%d loads, the last by %s", len(loads), loads[len(loads)-1].node)
	}
	for i := range loads {
		count := 0
		for _, other := range loads[i:] {
			if other.at.Sub(loads[i].at) <= window {
				count++
			}
		}
		if float64(count) > engine.LoadsPerSecond*window.Seconds() {
			t.Fatalf("%d loads within %v of %v", count, window, loads[i].at)
		}
	}
}

// TestHolderGoesOnWhileTheStoreIsAwayForAll covers a store outage that is longer than the term. The
// lease holder continues as long as no live daemon reaches the store. It stops if one does, since
// that one may take the lease.
func TestHolderGoesOnWhileTheStoreIsAwayForAll(t *testing.T) {
	for _, reaches := range []bool{false, true} {
		w := newWorld(3)
		w.listAll()
		w.run(5 * time.Second)
		first := w.holders()[0]
		for _, name := range w.names() {
			if reaches && name != first {
				continue
			}
			w.storeCut[name] = true
			for _, source := range []coordination.Source{coordination.SourceConfiguration, coordination.SourceInstances} {
				w.perform(name, w.nodes[name].SourceAvailable(source, false))
			}
		}
		cut := w.now
		for w.now.Sub(cut) < 3*term {
			w.run(50 * time.Millisecond)
			holders := w.holders()
			if len(holders) > 1 {
				t.Fatalf("holders %v", holders)
			}
			if !reaches && (len(holders) != 1 || holders[0] != first) {
				t.Fatalf("%v after the store became unavailable, holders %v", w.now.Sub(cut), holders)
			}
		}
		if holders := w.holders(); reaches && (len(holders) != 1 || holders[0] == first) {
			t.Fatalf("holders %v although another daemon reaches the store", holders)
		}
	}
}

// TestHolderThatStandsAsideIsReplaced guards against a lease holder that reaches no instance and
// keeps the lease, so that no node sends orders meanwhile. All candidates but one yield the lease.
func TestHolderThatStandsAsideIsReplaced(t *testing.T) {
	for _, size := range []int{4, manyNodes} {
		w := newWorld(size)
		w.listAll()
		w.run(8 * time.Second)
		first := w.holders()[0]
		able := w.names()[0]
		if able == first {
			able = w.names()[1]
		}
		for _, name := range w.names() {
			if name != able {
				w.perform(name, w.nodes[name].Yield(w.now, true))
			}
		}
		w.run(term + time.Second)
		if holders := w.holders(); len(holders) != 1 || holders[0] != able {
			t.Errorf("%d nodes: the holders are %v, %s was the first and %s is able", size, holders, first, able)
		}
		w.dead[able] = true
		for _, name := range w.names() {
			w.perform(name, w.nodes[name].Yield(w.now, false))
		}
		w.run(3 * term)
		if holders := w.holders(); len(holders) != 1 || holders[0] == able {
			t.Errorf("%d nodes, afterwards: the holders are %v", size, holders)
		}
	}
}
