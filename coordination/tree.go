package coordination

import (
	"cmp"
	"slices"

	"github.com/wheatweir/wheatweir/member"
)

// treeVariants is the number of trees that the updates of a holder use in rotation. A daemon that
// is frozen or cut off does not forward messages to those below it until it is considered dead. The
// second tree has the order of the first in reverse, so that no daemon has others below it in both.
const treeVariants = 2

// multicastTrees arranges the fleet as trees through which messages reach all daemons.
type multicastTrees struct {
	zones  []string
	zoneOf map[string]string
	// order holds, for each variant, the daemons of each zone in the order of their positions in
	// its tree. Daemons with the same members compute the same order.
	order [treeVariants]map[string][]string
}

// newMulticastTrees arranges the daemons that are not dead. The first tree has heavier machines
// first, since the first positions forward the most messages.
func newMulticastTrees(members []member.Member) *multicastTrees {
	members = slices.DeleteFunc(slices.Clone(members), func(daemon member.Member) bool { return daemon.State == member.Dead })
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	t := &multicastTrees{zoneOf: map[string]string{}, order: [treeVariants]map[string][]string{{}, {}}}
	for _, daemon := range members {
		if !slices.Contains(t.zones, daemon.Zone) {
			t.zones = append(t.zones, daemon.Zone)
		}
		t.zoneOf[daemon.Name] = daemon.Zone
		t.order[0][daemon.Zone] = append(t.order[0][daemon.Zone], daemon.Name)
	}
	for zone, names := range t.order[0] {
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		t.order[1][zone] = reversed
	}
	return t
}

// childrenOf returns the daemons to which self forwards a message of the root. In a small fleet the
// root sends it to all. In a large one it sends it to one daemon of each other zone and some of its
// own, and each zone is a tree of its own. A message then crosses between zones once for each other
// zone, and not for most of the daemons: traffic between zones is charged for.
func (t *multicastTrees) childrenOf(self, root string, sequence uint64, fanOut int) []string {
	rootZone, found := t.zoneOf[root]
	if !found {
		return nil
	}
	if len(t.zoneOf)-1 <= fanOut {
		return t.flatChildren(self, root)
	}
	variant := int(sequence % treeVariants)
	var next []string
	if self == root {
		for _, zone := range t.zones {
			if zone != rootZone {
				next = append(next, t.zoneOrder(zone, root, variant)[0])
			}
		}
	}
	return append(next, treeChildren(t.zoneOrder(t.zoneOf[self], root, variant), self, fanOut)...)
}

// flatChildren returns the children in a tree in which the root sends to all others.
func (t *multicastTrees) flatChildren(self, root string) []string {
	if self != root {
		return nil
	}
	var others []string
	for _, zone := range t.zones {
		for _, name := range t.order[0][zone] {
			if name != root {
				others = append(others, name)
			}
		}
	}
	return others
}

// zoneOrder returns the daemons of a zone in the order of their positions, with the root first if
// it is in the zone.
func (t *multicastTrees) zoneOrder(zone, root string, variant int) []string {
	order := t.order[variant][zone]
	if position := slices.Index(order, root); position > 0 {
		return slices.Concat([]string{root}, order[:position], order[position+1:])
	}
	return order
}

// treeChildren returns the children of a name in a tree whose positions are numbered level by
// level.
func treeChildren(order []string, name string, fanOut int) []string {
	position := slices.Index(order, name)
	if position < 0 {
		return nil
	}
	first := min(fanOut*position+1, len(order))
	last := min(fanOut*(position+1)+1, len(order))
	return order[first:last]
}
