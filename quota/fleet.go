package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// assumedDaemons is the fleet size that a daemon assumes while it has not reached any other
	// daemon since its start although seeds are configured, and discoveryWindow how long it does
	// so: a network partition may be the cause.
	assumedDaemons  = 128
	discoveryWindow = 15 * time.Second
)

// Discovery tracks how a daemon discovers the others after its start. One that joins a running
// fleet receives all members at its first contact. When all daemons start together, each discovers
// the others step by step, and several may regard themselves as the first in a subject's order in
// the meantime.
type Discovery struct {
	started time.Time
	// maxKnown is the largest number of daemons that was known, and grownAt when it last increased.
	maxKnown int
	grownAt  time.Time
	// growthSteps is how often maxKnown increased.
	growthSteps int
}

// formingQuietPeriod is how long no daemon may have been discovered before a forming fleet counts
// as complete: of 69 daemons that started together, the last ones were discovered within 1.7 s, a
// few at a time.
const formingQuietPeriod = time.Second

// NewDiscovery returns the discovery of a daemon that starts now and has no other members yet.
func NewDiscovery(now time.Time) *Discovery { return &Discovery{started: now, maxKnown: 1} }

// Fleet records the members that are known now, and returns a snapshot of them. While the fleet
// forms, it is assumed to be as large as one without any known member. See NewFleet.
func (d *Discovery) Fleet(now time.Time, self string, members []member.Member, seeds int) *Fleet {
	if len(members) > d.maxKnown {
		d.maxKnown, d.grownAt = len(members), now
		d.growthSteps++
	}
	fleet := NewFleet(self, members, seeds, now.Sub(d.started))
	if d.forming(now) {
		fleet.Forming = true
		fleet.Daemons = max(fleet.Daemons, assumedDaemons)
		fleet.Part = float64(fleet.Reachable) / float64(fleet.Daemons)
	}
	return fleet
}

// forming reports whether further daemons were discovered a moment ago, soon after the start.
func (d *Discovery) forming(now time.Time) bool {
	return d.growthSteps > 1 && now.Sub(d.started) < discoveryWindow && now.Sub(d.grownAt) < formingQuietPeriod
}

// Fleet is a snapshot of the daemons, for the choice of owners. It is immutable.
type Fleet struct {
	// Self is the name of this daemon.
	Self string
	// Part is the part of the limits that the reachable daemons may use together.
	Part float64
	// Daemons is the number of daemons, including unreachable ones.
	Daemons int
	// Reachable is the number of daemons that this one receives messages from, itself included.
	Reachable int
	// Isolated says that this daemon has not reached another one although others exist.
	Isolated bool
	// Forming says that this daemon started recently and is still discovering others; see Discovery.
	Forming bool

	candidates []member.Member
	// byName are the known members, by their names.
	byName map[string]member.Member
	mutex  sync.Mutex
	owners map[string][]string
}

// maxOwners is how many daemons may be queried for a subject's limit, one after the other: with
// half of the fleet lost at one moment, one request in sixteen reaches none of them.
const maxOwners = 4

// NewFleet returns a snapshot. Members are all known daemons including this one; seeds is the
// number of other daemons to join through, and age how long this daemon has run.
func NewFleet(self string, members []member.Member, seeds int, age time.Duration) *Fleet {
	fleet := &Fleet{Self: self, owners: map[string][]string{}, byName: map[string]member.Member{}}
	for _, m := range members {
		if m.State == member.Dead && m.Leaving {
			// A planned stop.
			continue
		}
		fleet.Daemons++
		fleet.byName[m.Name] = m
		if m.State != member.Alive {
			continue
		}
		fleet.Reachable++
		if !m.Leaving {
			fleet.candidates = append(fleet.candidates, m)
		}
	}
	if fleet.Daemons <= 1 && seeds > 0 {
		fleet.Isolated, fleet.Daemons = true, assumedDaemons
		if age > discoveryWindow {
			fleet.Daemons = seeds + 1
		}
	}
	fleet.candidates = strongest(fleet.candidates, maxOwners)
	fleet.Part = float64(fleet.Reachable) / float64(max(1, fleet.Daemons))
	return fleet
}

// Equal reports whether two snapshots have the same content.
func (f *Fleet) Equal(other *Fleet) bool {
	return f.Self == other.Self && f.Part == other.Part && f.Isolated == other.Isolated && f.Forming == other.Forming &&
		maps.Equal(f.byName, other.byName)
}

// strongest returns the members from which the first minCount of any subject's order are chosen:
// those with the largest weights. They are few in a large fleet with many subjects to choose owners
// for.
func strongest(members []member.Member, minCount int) []member.Member {
	slices.SortFunc(members, func(a, b member.Member) int { return b.Weight - a.Weight })
	for i := minCount; i < len(members); i++ {
		if members[i].Weight < members[i-1].Weight {
			return members[:i]
		}
	}
	return members
}

// Owners returns the daemons that hold the bucket of a subject: the owner first, then its
// stand-ins. They have the largest weights, and among equal weights a hash of the subject's name
// decides, so that all daemons with the same members agree.
func (f *Fleet) Owners(name string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cached, found := f.owners[name]
	if !found {
		cached = topRanked(f.candidates, name, maxOwners)
		f.owners[name] = cached
	}
	return cached
}

// owner is the daemon that owns the limit of a subject, or empty.
func (f *Fleet) owner(name string) string {
	if owners := f.Owners(name); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// topRanked returns the names of the first count daemons in a subject's order.
func topRanked(members []member.Member, name string, count int) []string {
	duty := "quota/" + name
	ranked := make([]member.Member, 0, count+1)
	for _, m := range members {
		position := slices.IndexFunc(ranked, func(other member.Member) bool { return m.Before(&other, duty) })
		if position < 0 {
			position = len(ranked)
		}
		ranked = slices.Insert(ranked, position, m)
		ranked = ranked[:min(len(ranked), count)]
	}
	names := make([]string, 0, len(ranked))
	for _, one := range ranked {
		names = append(names, one.Name)
	}
	return names
}

// maxRivals is how many daemons receive a claim: the one that grants the limit now is the first in
// the order that is alive, and those before it may be down.
const maxRivals = 4

// Rivals are the daemons that may be granting a subject's limit: the first ones in its order of
// those that are not known to be dead.
func (f *Fleet) Rivals(name string) []string {
	others := make([]member.Member, 0, len(f.byName))
	for _, m := range f.byName {
		if m.Name != f.Self && m.State != member.Dead {
			others = append(others, m)
		}
	}
	return topRanked(others, name, maxRivals)
}

// Precedes reports whether another daemon, from which a message was just received, comes before
// this one in a subject's order.
func (f *Fleet) Precedes(other, name string) bool {
	peer, peerFound := f.byName[other]
	self, selfFound := f.byName[f.Self]
	return peerFound && selfFound && peer.Before(&self, "quota/"+name)
}

// partOf is the part of a limit that this daemon grants in a role.
func (f *Fleet) partOf(role Role) float64 {
	if role == RoleStandIn {
		return StandInPart * f.Part
	}
	return f.Part
}

// RoleOf is the role in which this daemon grants a subject's limit on request.
func (f *Fleet) RoleOf(name string) Role {
	if f.owner(name) == f.Self {
		return RoleOwner
	}
	return RoleStandIn
}
