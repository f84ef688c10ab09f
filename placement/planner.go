package placement

import (
	"slices"
	"strings"

	"github.com/wheatweir/wheatweir/api"
)

// Plan returns the operations that bring the placement of the snapshot's models
// closer to the desired one. Models with a higher priority are planned first, and
// every model gets its first replica before any gets its second.
func Plan(snapshot Snapshot) []Operation {
	plan := newPlan(snapshot)
	models := slices.Clone(snapshot.Models)
	slices.SortStableFunc(models, func(a, b Model) int {
		if a.Model.Priority != b.Model.Priority {
			return int(a.Model.Priority) - int(b.Model.Priority)
		}
		return strings.Compare(a.Model.Name, b.Model.Name)
	})
	views := make([]*modelView, 0, len(models))
	for i := range models {
		if models[i].Deleted {
			plan.releaseDeleted(models[i].Model.Name)
			continue
		}
		views = append(views, plan.view(&models[i]))
	}
	plan.addReplicas(views)
	for _, view := range views {
		plan.retire(view)
		plan.releaseAdapters(view)
		plan.trim(view)
	}
	return plan.operations
}

// plan is the state of one planning round.
type plan struct {
	snapshot  Snapshot
	backEnds  []BackEnd
	byName    map[string]int
	byModel   map[string][]placedReplica
	freeBytes []int64
	// typicalModelBytes is the mean size of the models. Free memory counts in
	// whole multiples of it, since a smaller remainder fits no replica.
	typicalModelBytes int64
	totalFreeBytes    int64
	totalBytes        int64
	// modified contains the back ends whose record gets an operation other
	// than OperationAdd in this round. They get no further operation.
	modified   map[string]bool
	operations []Operation
}

// placedReplica is an entry for weights in the record of a back end.
type placedReplica struct {
	backEnd int
	entry   api.PlacementEntry
}

func newPlan(snapshot Snapshot) *plan {
	p := &plan{
		snapshot:          snapshot,
		backEnds:          snapshot.BackEnds,
		byName:            make(map[string]int, len(snapshot.BackEnds)),
		byModel:           make(map[string][]placedReplica),
		typicalModelBytes: meanModelBytes(snapshot.Models),
		freeBytes:         make([]int64, len(snapshot.BackEnds)),
		modified:          map[string]bool{},
	}
	for i := range p.backEnds {
		backEnd := &p.backEnds[i]
		p.byName[backEnd.Name] = i
		p.freeBytes[i] = backEnd.freeBytes()
		if backEnd.usable() {
			p.totalFreeBytes += p.roundToModelSize(p.freeBytes[i])
			p.totalBytes += backEnd.MemoryBytes
		}
		for _, entry := range backEnd.Placement.Entries {
			if entry.Artifact.Adapter == "" {
				p.byModel[entry.Artifact.Model] = append(p.byModel[entry.Artifact.Model], placedReplica{i, entry})
			}
		}
	}
	return p
}

// modelView is a model with its replicas.
type modelView struct {
	model   *Model
	weights api.Artifact
	desired int
	// replicas are the held entries of the serving version on usable back
	// ends that are not moving, so that releases may rely on them.
	replicas []placedReplica
	// retiring are the other held entries: other versions, entries marked as
	// moving, and entries on back ends that are drained or leaving.
	retiring []placedReplica
	// suspended counts the replicas on suspended back ends.
	suspended int
	// releasePlanned says that a release was planned in this round. A second
	// one could rely on the replica that the first one releases.
	releasePlanned bool
}

// recordedReplicas counts the replicas that are already in records, without
// those planned in this round.
func (v *modelView) recordedReplicas() int {
	count := 0
	for _, replica := range v.replicas {
		if replica.entry.Since != 0 {
			count++
		}
	}
	return count
}

func (p *plan) view(model *Model) *modelView {
	version, _ := model.Model.ServingVersion()
	view := &modelView{
		model:   model,
		weights: api.Artifact{Model: model.Model.Name, Version: version.Name},
	}
	for _, held := range p.byModel[model.Model.Name] {
		backEnd := &p.backEnds[held.backEnd]
		switch {
		case held.entry.Phase != api.PhaseHeld || backEnd.Health == Down:
		case backEnd.Health == Suspended:
			if held.entry.Artifact == view.weights {
				view.suspended++
			}
		case held.entry.Artifact == view.weights && backEnd.usable() && !held.entry.Moving:
			view.replicas = append(view.replicas, held)
		default:
			view.retiring = append(view.retiring, held)
		}
	}
	view.desired = p.desiredReplicas(model, len(view.replicas), view.suspended)
	return view
}

// emit adds an operation to the plan. The caller merges reservations on the same
// record into one write. Any other operation is the only one on its record in
// this round, because its condition was checked on the present record.
func (p *plan) emit(operation Operation) {
	if operation.Kind != OperationAdd {
		p.modified[operation.BackEnd] = true
	}
	p.operations = append(p.operations, operation)
}
