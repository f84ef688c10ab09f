package placement

import "github.com/wheatweir/wheatweir/api"

// Reconciliation is the result of Reconcile.
type Reconciliation struct {
	// Orders are the orders to send now, with at most one load of weights per
	// free load slot.
	Orders []api.Order
	// Record is the record without the reservations that have ended.
	// RecordChanged says whether it differs from the input. If it does, there
	// are no orders.
	Record        api.Placement
	RecordChanged bool
}

// Reconcile compares a record with what the engine reports. The version is
// that of the record, and loadSlots is the maximum number of concurrent loads
// of weights.
func Reconcile(record api.Placement, version uint64, checksFence bool, report *api.Report, loadSlots int) Reconciliation {
	result := Reconciliation{Record: record}
	var kept []api.PlacementEntry
	for _, entry := range record.Entries {
		if entry.Phase == api.PhaseReleasing && reservationEnded(entry, version, checksFence, report) {
			result.RecordChanged = true
			continue
		}
		kept = append(kept, entry)
	}
	if result.RecordChanged {
		// Orders are sent in the next round, with the record version that
		// results from this change.
		result.Record = record.Clone()
		result.Record.Entries = kept
		return result
	}
	result.Orders = append(result.Orders, unloadOrders(record, version, checksFence, report)...)
	result.Orders = append(result.Orders, loadOrders(record, version, report, loadSlots-weightsLoading(report))...)
	return result
}

// reservationEnded reports whether the engine does not hold the artifact and no
// order sent earlier can still make it load the artifact.
func reservationEnded(entry api.PlacementEntry, version uint64, checksFence bool, report *api.Report) bool {
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
		// An engine that no longer holds the artifact still gets the order if
		// it checks fences, because the order raises its fence.
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

// loadOrders returns the loads in the order of the record's entries. Adapters are
// loaded once their weights serve. They are small, so they take no load slot:
// if one adapter were loaded per poll, the replica could not serve many of its
// requests for a long time.
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
