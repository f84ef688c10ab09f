package gateway

import (
	"slices"

	"github.com/wheatweir/wheatweir/fleet"
)

// misdirection tracks the instances that turned a request away because they do not have its model, or are another
// process than the one that is listed. None of them ran it, so it may wait for another instance like one that was never
// sent.
type misdirection struct {
	count int
	// listed are the instances that are still listed with the model. unloaded are those that were listed without it
	// since: once they are listed with it again, they may be tried again.
	listed, unloaded []string
}

// record adds an instance that turned the request away.
func (m *misdirection) record(id string) {
	m.count++
	m.listed = append(m.listed, id)
	m.unloaded = slices.DeleteFunc(m.unloaded, func(other string) bool { return other == id })
}

// update moves the instances that are no longer listed with the model.
func (m *misdirection) update(hasModel func(id string) bool) {
	m.listed = slices.DeleteFunc(m.listed, func(id string) bool {
		if hasModel(id) {
			return false
		}
		m.unloaded = append(m.unloaded, id)
		return true
	})
}

// updateMisdirection compares the instances that turned the request away with the current snapshot.
func (e *exchange) updateMisdirection(view *fleet.View) {
	e.misdirection.update(func(id string) bool {
		instance := view.Instance(id)
		return instance != nil && e.hasModel(instance)
	})
}

// onlyMisdirected reports whether no instance accepted the request: it was sent to none, or all turned it away.
func (e *exchange) onlyMisdirected() bool { return len(e.attemptedInstances) == e.misdirection.count }

// excludedInstances returns the instances to which the request is not sent again.
func (e *exchange) excludedInstances() []string {
	if len(e.misdirection.unloaded) == 0 {
		return e.attemptedInstances
	}
	return slices.DeleteFunc(slices.Clone(e.attemptedInstances), func(id string) bool {
		return slices.Contains(e.misdirection.unloaded, id)
	})
}
