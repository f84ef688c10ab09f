package gateway

import "github.com/wheatweir/wheatweir/fleet"

// origin is the software version of the instances that began a stream. What two versions write does not fit together, and
// instances do not check it.
type origin struct {
	pinned   bool
	software string
}

// pin has the stream go on at instances of one version only, from its first event on.
func (o *origin) pin(software string) { o.pinned, o.software = true, software }

// allows reports whether a stream may go on at an instance.
func (o *origin) allows(instance *fleet.Instance) bool {
	return !o.pinned || instance.Software == o.software
}

// lacksSoftware reports whether no instance is left at which the stream may go on: it cannot be known when one comes back.
func (e *exchange) lacksSoftware(view *fleet.View) bool {
	if !e.origin.pinned {
		return false
	}
	for _, instance := range view.Instances(e.service) {
		if !instance.Leaving && e.origin.allows(instance) {
			return false
		}
	}
	return true
}
