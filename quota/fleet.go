package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// lonelyFleet is the size of the fleet that a daemon assumes that has heard no other one
	// since its start although there are others to join through, and lonelySpan how long it
	// does so: a partition may be behind it.
	lonelyFleet = 128
	lonelySpan  = 15 * time.Second
)

// Discovery follows how a daemon comes to know the others after its start. One that joins a fleet
// hears of all of them at its first contact. Where all start together, each hears of the others
// step by step, and several may take themselves for the first in a subject's order meanwhile.
type Discovery struct {
	started time.Time
	// known is the most daemons that were known, and grownAt when that last became more.
	known   int
	grownAt time.Time
	// steps is how often it became more.
	steps int
}

// formSpan is how long a fleet that forms may have been silent before it counts as whole: the last
// daemons of 69 that started together were heard of within 1.7 s, a few at a time.
const formSpan = time.Second

// NewDiscovery returns the discovery of a daemon that starts now and knows itself only.
func NewDiscovery(now time.Time) *Discovery { return &Discovery{started: now, known: 1} }

// Fleet takes in the daemons that are known now, and returns a snapshot of them. While the fleet
// forms, it is taken for as large as one of which nothing is known. See NewFleet.
func (d *Discovery) Fleet(now time.Time, self string, members []member.Member, seeds int) *Fleet {
	if len(members) > d.known {
		d.known, d.grownAt = len(members), now
		d.steps++
	}
	fleet := NewFleet(self, members, seeds, now.Sub(d.started))
	if d.forms(now) {
		fleet.Forming = true
		fleet.Daemons = max(fleet.Daemons, lonelyFleet)
		fleet.Part = float64(fleet.Heard) / float64(fleet.Daemons)
	}
	return fleet
}

// forms reports whether further daemons were heard of a moment ago, soon after the start.
func (d *Discovery) forms(now time.Time) bool {
	return d.steps > 1 && now.Sub(d.started) < lonelySpan && now.Sub(d.grownAt) < formSpan
}

// Fleet is a snapshot of the daemons, for the choice of owners. It is immutable.
type Fleet struct {
	// Self is the name of this daemon.
	Self string
	// Part is the part of the limits that the daemons that this one hears may use together.
	Part float64
	// Daemons is how many daemons there are, those that are not heard included.
	Daemons int
	// Heard is how many daemons this one hears, itself included.
	Heard int
	// Lonely says that this daemon has not heard another one although there are some.
	Lonely bool
	// Forming says that this daemon started recently and is still discovering others; see Discovery.
	Forming bool

	candidates []member.Member
	// all are the known members, by their names.
	all    map[string]member.Member
	mutex  sync.Mutex
	owners map[string][]string
}

// mostOwners is how many daemons may be asked for a subject's limit, one after the other: with half
// of the fleet lost at one moment, one request in sixteen finds none of them.
const mostOwners = 4

// NewFleet returns a snapshot. Members are all known daemons with this one; seeds is the number
// of other daemons to join through, and age how long this one has run.
func NewFleet(self string, members []member.Member, seeds int, age time.Duration) *Fleet {
	fleet := &Fleet{Self: self, owners: map[string][]string{}, all: map[string]member.Member{}}
	for _, known := range members {
		if known.State == member.Dead && known.Leaving {
			// It has ended as planned.
			continue
		}
		fleet.Daemons++
		fleet.all[known.Name] = known
		if known.State != member.Alive {
			continue
		}
		fleet.Heard++
		if !known.Leaving {
			fleet.candidates = append(fleet.candidates, known)
		}
	}
	if fleet.Daemons <= 1 && seeds > 0 {
		fleet.Lonely, fleet.Daemons = true, lonelyFleet
		if age > lonelySpan {
			fleet.Daemons = seeds + 1
		}
	}
	fleet.candidates = strongest(fleet.candidates, mostOwners)
	fleet.Part = float64(fleet.Heard) / float64(max(1, fleet.Daemons))
	return fleet
}

// Equal reports whether two snapshots say the same.
func (f *Fleet) Equal(other *Fleet) bool {
	return f.Self == other.Self && f.Part == other.Part && f.Lonely == other.Lonely && f.Forming == other.Forming &&
		maps.Equal(f.all, other.all)
}

// strongest returns the members among which the first ones of any order are: those on the strongest
// machines. There are few of them in a large fleet, and many subjects to choose owners for.
func strongest(members []member.Member, least int) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int { return b.Weight - a.Weight })
	for i := least; i < len(members); i++ {
		if members[i].Weight < members[i-1].Weight {
			return members[:i]
		}
	}
	return members
}

// Owners returns who keeps the bucket of a subject: the owner first, then its stand-ins. They are
// the strongest daemons, and among equal ones those that a hash of the name draws, so that all
// daemons that know the same others agree.
func (f *Fleet) Owners(name string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, found := f.owners[name]
	if !found {
		known = firstOf(f.candidates, name, mostOwners)
		f.owners[name] = known
	}
	return known
}

// owner is the daemon that owns the limit of a subject, or empty.
func (f *Fleet) owner(name string) string {
	if owners := f.Owners(name); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// firstOf returns the names of the first daemons in a subject's order.
func firstOf(members []member.Member, name string, most int) []string {
	duty := "quota/" + name
	first := make([]member.Member, 0, most+1)
	for _, known := range members {
		place := slices.IndexFunc(first, func(other member.Member) bool { return known.Before(&other, duty) })
		if place < 0 {
			place = len(first)
		}
		first = slices.Insert(first, place, known)
		first = first[:min(len(first), most)]
	}
	names := make([]string, 0, len(first))
	for _, one := range first {
		names = append(names, one.Name)
	}
	return names
}

// claimReach is how many daemons hear a claim: the one that gives out the limit now is the first in
// the order that lives, and those before it may be gone.
const claimReach = 4

// Rivals are the daemons that may be giving out a subject's limit: the first ones in its order, of
// those that are not known to be dead.
func (f *Fleet) Rivals(name string) []string {
	others := make([]member.Member, 0, len(f.all))
	for _, known := range f.all {
		if known.Name != f.Self && known.State != member.Dead {
			others = append(others, known)
		}
	}
	return firstOf(others, name, claimReach)
}

// Precedes reports whether another daemon, which has just been heard, comes before this one in a
// tenant's order.
func (f *Fleet) Precedes(other, name string) bool {
	first, known := f.all[other]
	self, here := f.all[f.Self]
	return known && here && first.Before(&self, "quota/"+name)
}

// partOf is the part of a limit that this daemon gives out in a role.
func (f *Fleet) partOf(role Role) float64 {
	if role == RoleStandIn {
		return StandInPart * f.Part
	}
	return f.Part
}

// RoleOf is the role in which this daemon gives out a subject's limit when it is asked.
func (f *Fleet) RoleOf(name string) Role {
	if f.owner(name) == f.Self {
		return RoleOwner
	}
	return RoleStandIn
}
