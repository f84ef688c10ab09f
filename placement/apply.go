package placement

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
)

// Apply returns the record after an operation. It returns false if the
// operation changes nothing in the record, or if the back end's memory does not
// suffice.
func Apply(record api.Placement, memoryBytes int64, operation Operation, now time.Time) (api.Placement, bool) {
	next := record.Clone()
	switch operation.Kind {
	case OperationAdd:
		return applyAdd(next, memoryBytes, operation, now)
	case OperationMarkMoving:
		return applyToReplica(next, operation, func(entry *api.PlacementEntry) { entry.Moving = true })
	case OperationUnmarkMoving:
		return applyToReplica(next, operation, func(entry *api.PlacementEntry) { entry.Moving = false })
	case OperationPromote:
		return applyToReplica(next, operation, func(entry *api.PlacementEntry) { entry.Anchor = true })
	case OperationRelease:
		return applyToReplica(next, operation, func(entry *api.PlacementEntry) {
			entry.Phase = api.PhaseReleasing
			entry.Since = now.UnixMilli()
		})
	}
	return record, false
}

func applyAdd(next api.Placement, memoryBytes int64, operation Operation, now time.Time) (api.Placement, bool) {
	added := false
	for _, entry := range operation.Entries {
		entry.Since = now.UnixMilli()
		entry.Reason = operation.Reason
		existing := next.Find(entry.Artifact)
		switch {
		case existing == nil:
			next.Entries = append(next.Entries, entry)
			added = true
		case existing.Phase == api.PhaseReleasing:
			// Its memory is still reserved, so the entry is held again.
			*existing = entry
			added = true
		}
	}
	if !added || next.Reserved() > memoryBytes {
		return next, false
	}
	return next, true
}

// applyToReplica changes the held entry of the operation's artifact and, if it is
// weights, the held entries of their adapters.
func applyToReplica(next api.Placement, operation Operation, change func(*api.PlacementEntry)) (api.Placement, bool) {
	changed := false
	for i := range next.Entries {
		entry := &next.Entries[i]
		covered := entry.Artifact == operation.Artifact ||
			operation.Artifact.Adapter == "" && entry.Artifact.Base() == operation.Artifact
		if !covered || entry.Phase != api.PhaseHeld {
			continue
		}
		before := *entry
		change(entry)
		if *entry != before {
			entry.Reason = operation.Reason
			changed = true
		}
	}
	return next, changed
}

// CanRelyOn reports whether the release of another replica may rely on the artifact
// in this record.
func CanRelyOn(record api.Placement, artifact api.Artifact) bool {
	entry := record.Find(artifact)
	return entry != nil && entry.Phase == api.PhaseHeld && entry.Anchor && !entry.Moving && !record.Emptying()
}
