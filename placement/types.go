package placement

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
)

// Health is the state of a back end as the planner sees it.
type Health int

// Health of a back end.
const (
	Up Health = iota
	Leaving
	Down
	// Suspended means that the back end's whole zone was lost from view a
	// short while ago, as when regions lose each other for minutes. Its
	// replicas serve nobody here, but are not replaced yet either.
	Suspended
)

// BackEnd is one engine with its record.
type BackEnd struct {
	Name        string
	Zone        string
	Region      string
	MemoryBytes int64
	ChecksFence bool
	Health      Health
	Placement   api.Placement
	// Version is the object version of Placement; zero if it has no record.
	Version uint64
	// Report is the newest report, or nil if this daemon has none.
	Report *api.Report
}

// free returns the bytes that are not reserved.
func (b *BackEnd) free() int64 { return b.MemoryBytes - b.Placement.Reserved() }

// loadShare returns the requests at the back end as a share of its batch slots,
// as last reported; zero if it has not reported.
func (b *BackEnd) loadShare() float64 {
	if b.Report == nil || b.Report.Slots == 0 {
		return 0
	}
	return float64(b.Report.Running+b.Report.Waiting) / float64(b.Report.Slots)
}

// usable reports whether replicas on the back end may be relied on.
func (b *BackEnd) usable() bool { return b.Health == Up && !b.Placement.Emptying() }

// serves reports whether the back end was observed to serve the artifact.
func (b *BackEnd) serves(artifact api.Artifact) bool {
	return b.Report != nil && b.Report.Serves(artifact)
}

// Demand is the load of one model over all daemons.
type Demand struct {
	// Fast and Slow are averages of the requests in progress and waiting,
	// over a few seconds and over a few minutes.
	Fast float64
	Slow float64
}

// Model is one model to plan for.
type Model struct {
	Model   api.Model
	Deleted bool
	Demand  Demand
}

// Weights say how much a deployment cares for each measure.
type Weights struct {
	// Attainment is the worth of serving one more waiting request in time.
	Attainment float64
	// Moves is the cost of one load, unload or relocation.
	Moves float64
}

// Settings of the planner.
type Settings struct {
	Weights Weights
	// TargetUtilization is the share of an engine's batch slots that one
	// model's load should take before another replica is added.
	TargetUtilization float64
	// Headroom is the multiple of the slow demand for which replicas are kept
	// ready while memory is free.
	Headroom float64
	// MinimumStay is how long a surplus replica stays at least.
	MinimumStay time.Duration
	// SpareFraction of all memory is kept free of replicas above the
	// minimum, so that new models and recoveries find room.
	SpareFraction float64
}

// DefaultSettings returns the settings used unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		Weights:           Weights{Attainment: 1, Moves: 1},
		TargetUtilization: 0.7,
		Headroom:          5,
		MinimumStay:       2 * time.Minute,
		SpareFraction:     0.02,
	}
}

// Snapshot is the input of the planner.
type Snapshot struct {
	Now      time.Time
	BackEnds []BackEnd
	// Models are those that this daemon plans for.
	Models   []Model
	Settings Settings
}

// OperationKind is what an operation does to a record.
type OperationKind int

// Kinds of operations.
const (
	// OperationAdd reserves memory for artifacts.
	OperationAdd OperationKind = iota
	// OperationMarkMoving tells others not to rely on a replica.
	OperationMarkMoving
	// OperationKeep withdraws OperationMarkMoving.
	OperationKeep
	// OperationRelease starts the release of a replica.
	OperationRelease
	// OperationPromote makes a surplus replica an anchor.
	OperationPromote
)

var operationNames = [...]string{"add", "mark_moving", "keep", "release", "promote"}

// String returns the name used in logs.
func (k OperationKind) String() string { return operationNames[k] }

// Operation is one change of one placement record.
type Operation struct {
	Kind    OperationKind
	BackEnd string
	// IfVersion is the record version that the operation was planned on.
	IfVersion uint64
	// Artifact is the weights that the operation is about, or one adapter.
	Artifact api.Artifact
	// Entries are what OperationAdd reserves.
	Entries []api.PlacementEntry
	// ReliesOn names the back end whose record must be read afresh and still
	// allow the release; empty when no other replica is relied on.
	ReliesOn string
	// ReliesOnArtifact is the replica there.
	ReliesOnArtifact api.Artifact
	// Reason is logged and kept in the record.
	Reason string
}
