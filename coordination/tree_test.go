package coordination

import (
	"fmt"
	"testing"

	"github.com/wheatweir/wheatweir/member"
)

// members returns count members distributed over zones; the first three of each zone are heavier.
func members(count, zones int) []member.Member {
	var all []member.Member
	for i := range count {
		weight := 192
		if i < 3*zones {
			weight = 800
		}
		all = append(all, member.Member{Name: fmt.Sprintf("d%03d", i), Zone: fmt.Sprint("z", i%zones), Weight: weight})
	}
	return all
}

// simulateDelivery forwards a message from the root on. It returns how often each member received
// it and how many times it crossed from one zone to another. Silent members forward nothing.
func simulateDelivery(trees *multicastTrees, root string, sequence uint64, fanOut int, silent map[string]bool) (got map[string]int, crossings int) {
	got = map[string]int{}
	queue := []string{root}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if silent[name] {
			continue
		}
		for _, next := range trees.childrenOf(name, root, sequence, fanOut) {
			got[next]++
			if trees.zoneOf[next] != trees.zoneOf[name] {
				crossings++
			}
			queue = append(queue, next)
		}
	}
	return got, crossings
}

// TestMessageReachesEachMemberOnce covers fleets from one daemon to hundreds, with each daemon as
// the root, in all variants. Each of the others receives the message once. Unless the fleet is
// small, the message crosses between zones once for each other zone.
func TestMessageReachesEachMemberOnce(t *testing.T) {
	const fanOut = 8
	for _, fleet := range []struct{ count, zones int }{{1, 1}, {2, 2}, {9, 3}, {10, 3}, {30, 1}, {71, 3}, {295, 5}, {40, 20}} {
		all := members(fleet.count, fleet.zones)
		trees := newMulticastTrees(all)
		for _, root := range all {
			for sequence := range uint64(treeVariants) {
				got, crossings := simulateDelivery(trees, root.Name, sequence, fanOut, nil)
				if len(got) != fleet.count-1 || got[root.Name] != 0 {
					t.Fatalf("%+v, root %s: %d members received it, the root %d times", fleet, root.Name, len(got), got[root.Name])
				}
				for name, times := range got {
					if times != 1 {
						t.Fatalf("%+v, root %s: %s received it %d times", fleet, root.Name, name, times)
					}
				}
				if fleet.count-1 > fanOut && crossings != fleet.zones-1 {
					t.Errorf("%+v, root %s: %d messages between zones", fleet, root.Name, crossings)
				}
			}
		}
	}
}

// TestSilentMemberHoldsUpFewMessages has one member at a time forward nothing. No other member
// misses the messages of all variants, so a message lost in one tree is followed by one that
// arrives through the other.
func TestSilentMemberHoldsUpFewMessages(t *testing.T) {
	all := members(295, 5)
	trees := newMulticastTrees(all)
	const root = "d017"
	for _, silent := range all {
		if silent.Name == root {
			continue
		}
		got := map[string]int{}
		for sequence := range uint64(treeVariants) {
			reached, _ := simulateDelivery(trees, root, sequence, 8, map[string]bool{silent.Name: true})
			for name := range reached {
				got[name]++
			}
		}
		for _, other := range all {
			if other.Name != root && got[other.Name] == 0 {
				t.Errorf("with %s silent, %s receives nothing in any variant", silent.Name, other.Name)
			}
		}
	}
}

// TestHeavyMachinesPassOnMore compares how many messages a heavy machine and a light one forward.
func TestHeavyMachinesPassOnMore(t *testing.T) {
	all := members(295, 5)
	trees := newMulticastTrees(all)
	sent := map[int]int{}
	for sequence := range uint64(treeVariants) {
		for _, daemon := range all {
			sent[daemon.Weight] += len(trees.childrenOf(daemon.Name, "d000", sequence, 8))
		}
	}
	if heavy, light := float64(sent[800])/15, float64(sent[192])/280; heavy < 4*light {
		t.Errorf("a heavy machine forwards %.1f messages, a light one %.1f", heavy, light)
	}
}

func TestDeadMembersAreLeftOut(t *testing.T) {
	all := members(30, 3)
	all[5].State, all[7].State = member.Dead, member.Suspect
	got, _ := simulateDelivery(newMulticastTrees(all), "d000", 1, 8, nil)
	if len(got) != 28 || got["d005"] != 0 || got["d007"] != 1 {
		t.Errorf("%d received it, the dead one %d times, the suspected one %d times", len(got), got["d005"], got["d007"])
	}
}

func BenchmarkPassOn(b *testing.B) {
	all := members(295, 5)
	trees := newMulticastTrees(all)
	for b.Loop() {
		trees.childrenOf("d000", "d000", 1, 8)
	}
}
