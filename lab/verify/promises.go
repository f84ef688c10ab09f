// Package verify drives the daemons' own code in virtual time through random
// faults and checks the promises that must always hold.
package verify

import (
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/lab/sim"
)

// ErrVerify is the class of failures of the verifier itself.
var ErrVerify = errs.Class("verify")

// Promise is one of the promises that must always hold.
type Promise struct {
	Name string `json:"name"`
	// Text says what is checked.
	Text string `json:"text"`
	// Mechanisms lists the mechanisms that the promise hangs on and that a
	// run can be made without.
	Mechanisms []sim.Mechanism `json:"mechanisms"`
}

// Promises lists all promises that runs check.
var Promises = []Promise{
	{"memory", "no engine is told to load more than its memory holds, and whatever it holds is reserved",
		[]sim.Mechanism{sim.MechanismConditionalUpdate, sim.MechanismFence, sim.MechanismReservation}},
	{"reachable", "every created model is held by a live engine at every instant, through the loss of any one engine",
		[]sim.Mechanism{sim.MechanismSecondReplica}},
	{"answers", "every call gets one final result", nil},
	{"not-run", "no call that was told 'not run' ran", []sim.Mechanism{sim.MechanismOutcomeKinds}},
	{"at-most-once", "no two runs under one request key",
		[]sim.Mechanism{sim.MechanismKeyClaim, sim.MechanismNoRepeat}},
	{"leaving", "no new work reaches an engine later than the bound after it began to leave",
		[]sim.Mechanism{sim.MechanismLeavingNews}},
	{"planned-stop", "a planned stop of a daemon cuts off no call and turns none away",
		[]sim.Mechanism{sim.MechanismDrainBeforeStop}},
	{"configuration", "an accepted configuration is in force within the bound and never reverts",
		[]sim.Mechanism{sim.MechanismVersionOrder, sim.MechanismCatchUp}},
}

// PromiseNames returns the names of all promises.
func PromiseNames() []string {
	names := make([]string, len(Promises))
	for i, promise := range Promises {
		names[i] = promise.Name
	}
	return names
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string {
	var names []string
	for _, promise := range Promises {
		for _, mechanism := range promise.Mechanisms {
			names = append(names, string(mechanism))
		}
	}
	return names
}
