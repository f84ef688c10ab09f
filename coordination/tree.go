package coordination

import (
	"cmp"
	"slices"

	"github.com/wheatweir/wheatweir/member"
)

// treeVariants is how many trees the messages of a holder take by turns. A daemon that is frozen
// or cut off keeps what it should pass on from those below it, until it counts as dead. The second
// tree has the places of the first one in reverse, so nobody has others below it in both.
const treeVariants = 2

// forwarding is the fleet arranged as multicast trees, by which messages of the holder reach all.
type forwarding struct {
	zones  []string
	zoneOf map[string]string
	// places holds, for each variant, the daemons of each zone in the order of their places in
	// its tree. All daemons that know the same members compute the same.
	places [treeVariants]map[string][]string
}

// newForwarding arranges the daemons that are not dead, in the first tree heavier machines first:
// the first places pass on most.
func newForwarding(members []member.Member) *forwarding {
	members = slices.DeleteFunc(slices.Clone(members), func(known member.Member) bool { return known.State == member.Dead })
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	f := &forwarding{zoneOf: map[string]string{}, places: [treeVariants]map[string][]string{{}, {}}}
	for _, known := range members {
		if !slices.Contains(f.zones, known.Zone) {
			f.zones = append(f.zones, known.Zone)
		}
		f.zoneOf[known.Name] = known.Zone
		f.places[0][known.Zone] = append(f.places[0][known.Zone], known.Name)
	}
	for zone, names := range f.places[0] {
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		f.places[1][zone] = reversed
	}
	return f
}

// below returns the daemons that self passes a message of the root on to. In a small fleet the
// root tells all. In a large one it tells one daemon of each other zone and some of its own; each
// zone is a tree of its own, so a message crosses between two zones once for each zone and not
// for most of the daemons: bytes between zones are priced.
func (f *forwarding) below(self, root string, sequence uint64, fanOut int) []string {
	rootZone, found := f.zoneOf[root]
	if !found {
		return nil
	}
	if len(f.zoneOf)-1 <= fanOut {
		return f.flat(self, root)
	}
	variant := int(sequence % treeVariants)
	var next []string
	if self == root {
		for _, zone := range f.zones {
			if zone != rootZone {
				next = append(next, f.tree(zone, root, variant)[0])
			}
		}
	}
	return append(next, children(f.tree(f.zoneOf[self], root, variant), self, fanOut)...)
}

// flat is the tree in which the root tells all others.
func (f *forwarding) flat(self, root string) []string {
	if self != root {
		return nil
	}
	var others []string
	for _, zone := range f.zones {
		for _, name := range f.places[0][zone] {
			if name != root {
				others = append(others, name)
			}
		}
	}
	return others
}

// tree returns the daemons of a zone in the order of their places, the root first if it is there.
func (f *forwarding) tree(zone, root string, variant int) []string {
	places := f.places[variant][zone]
	if place := slices.Index(places, root); place > 0 {
		return slices.Concat([]string{root}, places[:place], places[place+1:])
	}
	return places
}

// children returns the names below one in a tree whose places are numbered level by level.
func children(places []string, name string, fanOut int) []string {
	place := slices.Index(places, name)
	if place < 0 {
		return nil
	}
	first := min(fanOut*place+1, len(places))
	last := min(fanOut*(place+1)+1, len(places))
	return places[first:last]
}
