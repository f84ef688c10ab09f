package member

import (
	"slices"
	"strings"
)

// Live returns the sorted names of this daemon and all members that are not
// dead. Suspected members count as live. The slice must not be changed.
func (d *Detector) Live() []string {
	if d.liveStale {
		d.live = append(d.live[:0:0], d.self.Name)
		for name, known := range d.members {
			if known.State != Dead {
				d.live = append(d.live, name)
			}
		}
		slices.Sort(d.live)
		d.liveStale = false
	}
	return d.live
}

// LiveCount returns the number of names that Live returns.
func (d *Detector) LiveCount() int { return len(d.members) + 1 - d.dead }

// LiveMembers returns this daemon and all members that are not dead, in no particular order.
func (d *Detector) LiveMembers() []Member {
	live := append(make([]Member, 0, len(d.members)+1), d.self)
	for _, known := range d.members {
		if known.State != Dead {
			live = append(live, known.Member)
		}
	}
	return live
}

// Lookup returns the entry of a member, this daemon included.
func (d *Detector) Lookup(name string) (Member, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	known, found := d.members[name]
	if !found {
		return Member{}, false
	}
	return known.Member, true
}

// Members returns all known members, this daemon included, sorted by name.
func (d *Detector) Members() []Member {
	all := make([]Member, 0, len(d.members)+1)
	all = append(all, d.self)
	for _, known := range d.members {
		all = append(all, known.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// BackEnd returns the newest known state of a back end.
func (d *Detector) BackEnd(name string) (BackEnd, bool) {
	update, found := d.backEnds[name]
	return update, found
}
