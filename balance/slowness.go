package balance

import (
	"math"

	"github.com/wheatweir/wheatweir/fleet"
)

// SlownessSource provides the slowness of an instance: the time its work takes relative to the typical
// instance of its service. 1 is typical, 2 takes twice as long. It is called once for each
// candidate of a choice and must be safe for concurrent use.
type SlownessSource interface {
	Slowness(instance string) float64
}

const (
	typicalSlowness = 1.0
	// minSlowness and maxSlowness bound the slowness that is used. Values outside are more likely
	// errors of measurement than speeds of servers.
	minSlowness = 0.25
	maxSlowness = 4.0
	// unevenRatio is the ratio of the largest to the smallest slowness of the candidates from which
	// they count as uneven. Smaller differences may be errors of the estimates, which must not
	// change choices.
	unevenRatio = 1.5
)

// SetSlownessSource sets the source of the slowness of instances. It must be called before the first use of
// the tracker. With nil, all instances are typical.
func (t *Tracker) SetSlownessSource(p SlownessSource) { t.paces = p }

// boundedSlowness limits a slowness to the valid range. Zero, negative numbers, NaN and infinity
// count as typical.
func boundedSlowness(factor float64) float64 {
	if !(factor > 0) || math.IsInf(factor, 1) {
		return typicalSlowness
	}
	return min(max(factor, minSlowness), maxSlowness)
}

// fillSlowness sets the slowness of the candidates of a choice in their statuses, and reports
// whether those that may take the request are uneven.
func (t *Tracker) fillSlowness(candidates []*fleet.Instance, statuses []status) (uneven bool) {
	if t.paces == nil {
		return false
	}
	smallest, largest := maxSlowness, minSlowness
	for i, instance := range candidates {
		if statuses[i].missing {
			continue
		}
		slowness := boundedSlowness(t.paces.Slowness(instance.ID))
		statuses[i].slowness = slowness
		smallest, largest = min(smallest, slowness), max(largest, slowness)
	}
	return largest >= unevenRatio*smallest
}
