package entry

import (
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// addressRefresh is how often the answer about addresses is made anew without a change
	// of the daemons, in another order.
	addressRefresh = time.Second
	// maxAddresses bounds an answer about addresses.
	maxAddresses = 64
	// leastNear is how many daemons a zone needs to take all of its clients, and leastNearPart the part of
	// its daemons that must be in service: a zone in trouble shares its clients with others.
	leastNear     = 4
	leastNearPart = 0.5
)

// frontAddresses are the addresses at which daemons take clients. It is immutable.
type frontAddresses struct {
	all      []string
	byRegion map[string][]string
	// byZone holds the zones that can take all of their clients.
	byZone map[string][]string
}

// newFrontAddresses sorts the addresses of daemons by place. Regions tells the region of each zone.
func newFrontAddresses(members []member.Member, regions map[string]string) *frontAddresses {
	known := map[string]int{}
	var all []string
	byRegion, byZone := map[string][]string{}, map[string][]string{}
	for i := range members {
		zone, address := members[i].Zone, members[i].CallerAddress
		known[zone]++
		if members[i].State != member.Alive || members[i].Leaving {
			continue
		}
		all = append(all, address)
		byZone[zone] = append(byZone[zone], address)
		if region := regions[zone]; region != "" {
			byRegion[region] = append(byRegion[region], address)
		}
	}
	made := &frontAddresses{all: drawAddresses(all), byRegion: map[string][]string{}, byZone: map[string][]string{}}
	for region, addresses := range byRegion {
		made.byRegion[region] = drawAddresses(addresses)
	}
	for zone, addresses := range byZone {
		if len(addresses) >= leastNear && float64(len(addresses)) >= leastNearPart*float64(known[zone]) {
			made.byZone[zone] = drawAddresses(addresses)
		}
	}
	return made
}

// drawAddresses draws as many addresses as an answer may hold.
func drawAddresses(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)]
}

// near returns the addresses for a client at a place: those of its zone, or else of its region, or else any.
func (a *frontAddresses) near(region, zone string) []string {
	if addresses := a.byZone[zone]; len(addresses) > 0 {
		return addresses
	}
	if addresses := a.byRegion[region]; len(addresses) > 0 {
		return addresses
	}
	return a.all
}
