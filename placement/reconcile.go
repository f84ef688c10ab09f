package placement

import "github.com/wheatweir/wheatweir/api"

// Reconciliation is what makes an engine follow its record.
type Reconciliation struct {
	// Orders to send now, at most one load of weights per free load slot.
	Orders []api.Order
	// Record is the record without the reservations that have ended, and
	// RecordChanged says whether it differs from the input.
	Record        api.Placement
	RecordChanged bool
}

// Reconcile compares a record with what the engine reports. The version is
// that of the record, and loadSlots is how many loads may be started.
func Reconcile(record api.Placement, version uint64, checksFence bool, report *api.Report, loadSlots int) Reconciliation {
	result := Reconciliation{Record: record}
	var kept []api.PlacementEntry
	for _, entry := range record.Entries {
		if entry.Phase == api.PhaseReleasing && hasLetGo(entry, version, checksFence, report) {
			result.RecordChanged = true
			continue
		}
		kept = append(kept, entry)
	}
	if result.RecordChanged {
		// Orders wait for the next round, under the version of this change.
		result.Record = record.Clone()
		result.Record.Entries = kept
		return result
	}
	result.Orders = append(result.Orders, unloadOrders(record, version, checksFence, report)...)
	result.Orders = append(result.Orders, loadOrders(record, version, report, loadSlots-weightsLoading(report))...)
	return result
}

// hasLetGo reports whether no order that was ever sent can still make the
// engine hold the artifact.
func hasLetGo(entry api.PlacementEntry, version uint64, checksFence bool, report *api.Report) bool {
	return checksFence && report.Fence >= version && !report.Holds(entry.Artifact)
}

func newOrder(kind api.OrderKind, entry api.PlacementEntry, version uint64, report *api.Report) api.Order {
	return api.Order{
		Kind:     kind,
		Artifact: entry.Artifact,
		Bytes:    entry.Bytes,
		Fence:    version,
		Boot:     report.Boot,
	}
}

func unloadOrders(record api.Placement, version uint64, checksFence bool, report *api.Report) []api.Order {
	var adapters, weights []api.Order
	for _, entry := range record.Entries {
		if entry.Phase != api.PhaseReleasing {
			continue
		}
		// An engine that no longer holds the artifact still gets the order
		// if it checks fences: the order is what raises its fence.
		if !report.Holds(entry.Artifact) && !checksFence {
			continue
		}
		order := newOrder(api.OrderUnload, entry, version, report)
		if entry.Artifact.Adapter == "" {
			weights = append(weights, order)
		} else {
			adapters = append(adapters, order)
		}
	}
	return append(adapters, weights...)
}

// loadOrders returns loads in the order of the record, and adapters once their
// weights serve. Adapters are small, so they take no slot of their own: a
// replica whose adapters came one poll after another would stay useless for
// many requests.
func loadOrders(record api.Placement, version uint64, report *api.Report, slots int) []api.Order {
	var orders []api.Order
	for _, entry := range record.Entries {
		if entry.Phase != api.PhaseHeld || report.Holds(entry.Artifact) {
			continue
		}
		if entry.Artifact.Adapter != "" {
			if report.Serves(entry.Artifact.Base()) {
				orders = append(orders, newOrder(api.OrderLoad, entry, version, report))
			}
			continue
		}
		if slots > 0 {
			slots--
			orders = append(orders, newOrder(api.OrderLoad, entry, version, report))
		}
	}
	return orders
}

// weightsLoading counts the weights among the artifacts that are loading.
func weightsLoading(report *api.Report) int {
	count := 0
	for _, artifact := range report.Loading {
		if artifact.Adapter == "" {
			count++
		}
	}
	return count
}
