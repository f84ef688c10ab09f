package gateway

import (
	"context"

	"github.com/wheatweir/wheatweir/balance"
)

// maxFullInstances is the number of instances without room after which a search ends: those chosen first have the most
// room.
const maxFullInstances = 4

// hasRoom reports whether an instance has room for the request, according to its notices.
func (e *exchange) hasRoom(candidate *balance.Candidate) bool {
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	return notices.HasRoom(candidate.Instance, candidate.Load.Requests)
}

// reportNoRoom records that an instance declined the request, presumably for lack of room.
func (e *exchange) reportNoRoom(id string) {
	instance := e.gateway.view.Load().Instance(id)
	if notices := e.gateway.settings.Notices; notices != nil && instance != nil {
		notices.RecordRefusal(instance)
	}
}

// acquireSlot reserves a slot of an instance for the request, and reports whether the request may be sent there.
func (e *exchange) acquireSlot(ctx context.Context, candidate *balance.Candidate) bool {
	e.releaseSlot()
	notices := e.gateway.settings.Notices
	if notices == nil {
		return true
	}
	slot := notices.AcquireSlot(ctx, candidate.Instance, candidate.Load.Requests)
	if slot == SlotTaken {
		e.slotInstance = candidate.Instance
	}
	return slot != SlotDenied
}

// releaseSlot releases the slot that the request holds, if any.
func (e *exchange) releaseSlot() {
	if e.slotInstance != nil {
		e.gateway.settings.Notices.ReleaseSlot(e.slotInstance)
		e.slotInstance = nil
	}
}
