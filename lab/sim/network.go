package sim

import "time"

// NetworkSettings are one-way delays.
type NetworkSettings struct {
	SameZone    time.Duration
	CrossZone   time.Duration
	CrossRegion time.Duration
	// Jitter is the largest random share added to a delay.
	Jitter float64
	// Loss is the share of messages between daemons that are lost.
	Loss float64
	// CallTimeout is how long a caller waits for a call that gets no answer.
	CallTimeout time.Duration
}

// DefaultNetworkSettings follows the sizes of the brief: well under or little
// over a millisecond between zones.
func DefaultNetworkSettings() NetworkSettings {
	return NetworkSettings{
		SameZone: 200 * time.Microsecond, CrossZone: time.Millisecond, CrossRegion: 15 * time.Millisecond,
		Jitter: 0.5, CallTimeout: 5 * time.Second,
	}
}

// place is where an endpoint is.
type place struct{ zone, region string }

// link is one direction between two names, each an endpoint or a zone.
type link struct{ from, to string }

// Network carries messages between named endpoints.
type Network struct {
	world  *World
	places map[string]place
	cuts   map[link]int
}

func newNetwork(w *World) *Network {
	return &Network{world: w, places: map[string]place{}, cuts: map[link]int{}}
}

// Place puts an endpoint into a zone and region.
func (n *Network) Place(endpoint, zone, region string) { n.places[endpoint] = place{zone, region} }

// Cut stops messages from one endpoint, zone or region to another, in this
// direction only. Cuts add up.
func (n *Network) Cut(from, to string) { n.cuts[link{from, to}]++ }

// Heal undoes one Cut.
func (n *Network) Heal(from, to string) { n.cuts[link{from, to}]-- }

// IsCut reports whether messages in this direction are lost.
func (n *Network) IsCut(from, to string) bool {
	if len(n.cuts) == 0 {
		return false
	}
	source, target := n.places[from], n.places[to]
	for _, a := range [3]string{from, source.zone, source.region} {
		for _, b := range [3]string{to, target.zone, target.region} {
			if n.cuts[link{a, b}] > 0 {
				return true
			}
		}
	}
	return false
}

// Delay returns the time that a message takes.
func (n *Network) Delay(from, to string) time.Duration {
	source, target := n.places[from], n.places[to]
	settings := &n.world.Settings.Network
	delay := settings.SameZone
	switch {
	case source.region != target.region:
		delay = settings.CrossRegion
	case source.zone != target.zone:
		delay = settings.CrossZone
	}
	return delay + time.Duration(n.world.Random.Float64()*settings.Jitter*float64(delay))
}

// Send delivers a message after its delay unless the link is cut.
func (n *Network) Send(from, to string, deliver func()) {
	if n.IsCut(from, to) || n.world.Chance(n.world.Settings.Network.Loss) {
		return
	}
	n.world.After(n.Delay(from, to), deliver)
}
