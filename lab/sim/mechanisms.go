package sim

import (
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
)

// Mechanism names a protective mechanism that a run can be made without. The
// switch lives in this package only: it changes what the mechanism's messages
// carry or what the other side checks, never the daemon's code.
type Mechanism string

// Mechanisms.
const (
	MechanismNone              Mechanism = ""
	MechanismConditionalUpdate Mechanism = "conditional-update"
	MechanismFence             Mechanism = "fence"
	MechanismReservation       Mechanism = "reservation"
	MechanismSecondReplica     Mechanism = "second-replica"
	MechanismOutcomeKinds      Mechanism = "outcome-kinds"
	MechanismKeyClaim          Mechanism = "key-claim"
	MechanismNoRepeat          Mechanism = "no-repeat"
	MechanismLeavingNews       Mechanism = "leaving-news"
	MechanismDrainBeforeStop   Mechanism = "drain-before-stop"
	MechanismVersionOrder      Mechanism = "version-order"
	MechanismCatchUp           Mechanism = "catch-up"
)

// withoutReservations drops reservations of artifacts that are leaving, as if
// memory were free from the moment its release was decided.
func withoutReservations(w *World, object api.Object) api.Object {
	if w.Settings.Without != MechanismReservation || object.Kind != api.KindPlacement || object.Deleted {
		return object
	}
	record, err := api.Decode[api.Placement](object)
	if err != nil {
		return object
	}
	var kept []api.PlacementEntry
	for _, entry := range record.Entries {
		if entry.Phase == api.PhaseHeld {
			kept = append(kept, entry)
		}
	}
	record.Entries = kept
	object.Value = api.Encode(record)
	return object
}

// withoutLeaving drops the news that a back end is leaving.
func withoutLeaving(w *World, message control.Message) control.Message {
	if w.Settings.Without != MechanismLeavingNews || message.Probe == nil {
		return message
	}
	probe := *message.Probe
	probe.BackEnds = append([]member.BackEnd(nil), probe.BackEnds...)
	for i := range probe.BackEnds {
		if probe.BackEnds[i].State == member.BackEndLeaving {
			probe.BackEnds[i].State = member.BackEndUp
		}
	}
	message.Probe = &probe
	return message
}
