package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/member"
)

// TestOwnersAreTheFirstOfAll compares the owners, which are chosen among the members of the largest
// weights only, with the order of all members.
func TestOwnersAreTheFirstOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []member.Member
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			members = append(members, member.Member{Name: fmt.Sprint("d", i), Weight: rapid.IntRange(1, 3).Draw(t, "weight")})
		}
		fleet := NewFleet("d0", members, 3, time.Minute)
		for i := range 5 {
			name := fmt.Sprint("tenant-", i)
			if want := topRanked(members, name, maxOwners); !slices.Equal(fleet.Owners(name), want) {
				t.Fatalf("owners of %s are %v, the first of all members are %v", name, fleet.Owners(name), want)
			}
		}
	})
}

// TestEqualSnapshots changes the state of one daemon of three: only that makes the snapshots differ.
func TestEqualSnapshots(t *testing.T) {
	members := []member.Member{{Name: "d0"}, {Name: "d1"}, {Name: "d2"}}
	before := NewFleet("d0", members, 3, time.Minute)
	if !before.Equal(NewFleet("d0", members, 3, time.Minute)) {
		t.Error("snapshots of the same members differ")
	}
	members[2].State = member.Suspect
	if before.Equal(NewFleet("d0", members, 3, time.Minute)) {
		t.Error("snapshots before and after a member became suspect are equal")
	}
}

// BenchmarkUnchangedFleet measures what a daemon does for the limits four times a second while the
// membership does not change.
func BenchmarkUnchangedFleet(b *testing.B) {
	for _, daemons := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			var members []member.Member
			for i := range daemons {
				members = append(members, member.Member{Name: fmt.Sprint("d", i), Weight: 192})
			}
			discovery := NewDiscovery(time.Unix(1000, 0))
			before := discovery.Fleet(time.Unix(1000, 0), "d0", members, 3)
			for b.Loop() {
				if !discovery.Fleet(time.Unix(1100, 0), "d0", members, 3).Equal(before) {
					b.Fatal("snapshots of the same members differ")
				}
			}
		})
	}
}

// TestPartOfTheFleet covers which part of a limit the reachable daemons may use.
func TestPartOfTheFleet(t *testing.T) {
	membersOf := func(states ...member.Member) []member.Member {
		for i := range states {
			states[i].Name = fmt.Sprint("d", i)
		}
		return states
	}
	ended := member.Member{State: member.Dead, Leaving: true}
	cases := []struct {
		name    string
		members []member.Member
		seeds   int
		age     time.Duration
		part    float64
		daemons int
		lonely  bool
	}{
		{"all are reachable", membersOf(member.Member{}, member.Member{}), 1, 0, 1, 2, false},
		{"half is unreachable", membersOf(member.Member{}, member.Member{State: member.Suspect}), 1, 0, 0.5, 2, false},
		{"one has stopped as planned", membersOf(member.Member{}, ended), 0, 0, 1, 1, false},
		{"a fleet of one", membersOf(member.Member{}), 0, 0, 1, 1, false},
		{"one that has reached no other yet", membersOf(member.Member{}), 3, time.Second, 1.0 / assumedDaemons, assumedDaemons, true},
		{"one that has reached no other for long", membersOf(member.Member{}), 3, time.Minute, 0.25, 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := NewFleet("d0", c.members, c.seeds, c.age)
			if fleet.Part != c.part || fleet.Daemons != c.daemons || fleet.Isolated != c.lonely {
				t.Errorf("part %v of %d daemons, lonely %t, want %v %d %t", fleet.Part, fleet.Daemons, fleet.Isolated, c.part, c.daemons, c.lonely)
			}
		})
	}
}

// TestStandstillLeavesNothingSavedUp stalls the process of an owner. The first request afterwards
// may arrive before any tick, and must not be granted a burst that other daemons may have granted.
func TestStandstillLeavesNothingSavedUp(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := NewFleet("d0", []member.Member{{Name: "d0"}}, 0, 0)
	limit := Limit{PerSecond: 10, Burst: 10}
	buckets := NewBuckets()
	buckets.SetOwned(now, fleet, []string{tenantName})
	now = now.Add(3 * time.Second)
	granted := 0
	for buckets.Take(now, fleet, tenantName, &limit, 1, 0).Granted {
		granted++
	}
	if claims := buckets.Tick(now); granted != 1 || !slices.Equal(claims, []string{tenantName}) {
		t.Errorf("%d requests granted and %v claimed, want 1 and the tenant", granted, claims)
	}
	if claims := buckets.Tick(now.Add(100 * time.Millisecond)); claims != nil {
		t.Errorf("claimed again without a stall: %v", claims)
	}
}
