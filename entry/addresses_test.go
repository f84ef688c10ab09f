package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/member"
)

// frontsOf returns so many daemons in each zone, whose addresses are their zone and number.
func frontsOf(zones map[string]int) []member.Member {
	var members []member.Member
	for zone, count := range zones {
		for i := range count {
			members = append(members, member.Member{Name: fmt.Sprint(zone, i), Zone: zone, CallerAddress: fmt.Sprint(zone, "/", i)})
		}
	}
	return members
}

// zonesOf returns the zones of addresses in order.
func zonesOf(addresses []string) []string {
	var zones []string
	for _, address := range addresses {
		if zone, _, _ := strings.Cut(address, "/"); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// TestClientsAreSentToDaemonsNearThem guards against clients that are sent to another zone or region, which costs
// bytes and time between them, although their own has daemons enough.
func TestClientsAreSentToDaemonsNearThem(t *testing.T) {
	regions := map[string]string{"a": "east", "b": "east", "c": "west"}
	cases := []struct {
		name         string
		fronts       map[string]int
		change       func(known *member.Member)
		region, zone string
		want         []string
	}{
		{"own zone", map[string]int{"a": 6, "b": 6, "c": 6}, nil, "east", "a", []string{"a"}},
		{"few in the zone", map[string]int{"a": 3, "b": 6, "c": 6}, nil, "east", "a", []string{"a", "b"}},
		{"none in the region", map[string]int{"c": 6}, nil, "east", "a", []string{"c"}},
		{"zone is not known", map[string]int{"a": 6, "b": 6, "c": 6}, nil, "", "elsewhere", []string{"a", "b", "c"}},
		{"most of the zone has died", map[string]int{"a": 10, "b": 6, "c": 6}, func(known *member.Member) {
			if known.Zone == "a" && known.Name != "a0" && known.Name < "a7" {
				known.State = member.Dead
			}
		}, "east", "a", []string{"a", "b"}},
		{"some of the zone leave", map[string]int{"a": 10, "b": 6}, func(known *member.Member) {
			known.Leaving = known.Name == "a1" || known.Name == "a2"
		}, "east", "a", []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			members := frontsOf(c.fronts)
			for i := range members {
				if c.change != nil {
					c.change(&members[i])
				}
			}
			addresses := newFrontAddresses(members, regions).near(c.region, c.zone)
			if zones := zonesOf(addresses); !slices.Equal(zones, c.want) {
				t.Errorf("addresses of %v, want %v", zones, c.want)
			}
		})
	}
}

// TestAnswerAboutAddressesIsBounded covers a zone of hundreds of daemons.
func TestAnswerAboutAddressesIsBounded(t *testing.T) {
	if got := len(newFrontAddresses(frontsOf(map[string]int{"a": 500}), nil).near("", "a")); got != maxAddresses {
		t.Errorf("%d addresses", got)
	}
}
