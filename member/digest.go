package member

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// currentDigest returns a sum over what is known of members and back ends that
// does not depend on the order in which it was learned. Suspicions and deaths
// are left out: the first pass quickly, and the second are forgotten at
// different times.
func (d *Detector) currentDigest() uint64 {
	if !d.digestStale {
		return d.digest
	}
	d.digestStale = false
	d.digest = memberDigest(d.self)
	for _, known := range d.members {
		if known.State != Dead {
			d.digest += memberDigest(known.Member)
		}
	}
	for _, news := range d.backEnds {
		d.digest += xxhash.Sum64String(fmt.Sprintf("%s %s %d %d", news.Name, news.Boot, news.Change, news.State))
	}
	return d.digest
}

func memberDigest(m Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d %t", m.Name, m.Incarnation, m.Leaving))
}
