package placement

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
)

// Health is the planner's view of a back end's state.
type Health int

// States of a back end.
const (
	Up Health = iota
	Leaving
	Down
	// Suspended means that the back end's whole zone became unreachable a
	// short time ago, as in a network partition between regions that lasts
	// for minutes. Its replicas serve no requests from here, but are not
	// replaced yet.
	Suspended
)

// BackEnd is one engine with its placement record.
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
	// Report is the latest report of the engine, or nil if this daemon has none.
	Report *api.Report
}

// freeBytes returns the memory that is not reserved.
func (b *BackEnd) freeBytes() int64 { return b.MemoryBytes - b.Placement.Reserved() }

// utilization returns the running and waiting requests as a share of the batch
// slots, according to the latest report; zero without a report.
func (b *BackEnd) utilization() float64 {
	if b.Report == nil || b.Report.Slots == 0 {
		return 0
	}
	return float64(b.Report.Running+b.Report.Waiting) / float64(b.Report.Slots)
}

// usable reports whether replicas on the back end may be relied on: it is up,
// and its record is not being emptied.
func (b *BackEnd) usable() bool { return b.Health == Up && !b.Placement.Emptying() }

// serves reports whether the back end has reported that it serves the artifact.
func (b *BackEnd) serves(artifact api.Artifact) bool {
	return b.Report != nil && b.Report.Serves(artifact)
}

// Demand is the load of one model, summed over all daemons.
type Demand struct {
	// Fast and Slow are averages of the number of requests in progress and
	// waiting: Fast over a few seconds, Slow over a few minutes.
	Fast float64
	Slow float64
}

// Model is one model to plan for.
type Model struct {
	Model   api.Model
	Deleted bool
	Demand  Demand
}

// Weights are the weights of the planner's objectives in a deployment.
type Weights struct {
	// Attainment is the benefit of serving one more waiting request in time.
	Attainment float64
	// Moves is the cost of one load, unload or relocation.
	Moves float64
}

// Settings are the settings of the planner.
type Settings struct {
	Weights Weights
	// TargetUtilization is the share of an engine's batch slots that one
	// model's load should take before another replica is added.
	TargetUtilization float64
	// Headroom is the multiple of the slow demand for which replicas are kept
	// ready while memory is free.
	Headroom float64
	// MinimumStay is the minimum time for which a surplus replica is kept.
	MinimumStay time.Duration
	// SpareFraction is the fraction of all memory that replicas above the
	// minimum must leave free for new models and recoveries.
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
	// OperationMarkMoving marks a replica as moving, so that no release
	// relies on it.
	OperationMarkMoving
	// OperationUnmarkMoving reverts OperationMarkMoving.
	OperationUnmarkMoving
	// OperationRelease starts the release of a replica.
	OperationRelease
	// OperationPromote makes a surplus replica an anchor, that is, one that
	// counts towards the model's minimum and that releases may rely on.
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
	// Artifact is the weights, or the adapter, that the operation concerns.
	Artifact api.Artifact
	// Entries are the reservations that OperationAdd makes.
	Entries []api.PlacementEntry
	// ReliesOn names the back end whose record must be read again before the
	// release and must still permit it. It is empty if the release relies on
	// no other replica.
	ReliesOn string
	// ReliesOnArtifact is the artifact of the replica on that back end.
	ReliesOnArtifact api.Artifact
	// Reason is logged and stored in the record.
	Reason string
}
