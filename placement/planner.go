package placement

import (
	"slices"
	"strings"

	"github.com/wheatweir/wheatweir/api"
)

// Plan returns the operations that bring the models of the snapshot closer to
// where they should be. Models with a higher priority are planned first, and
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

// plan collects the operations of one round.
type plan struct {
	snapshot Snapshot
	backEnds []BackEnd
	byName   map[string]int
	byModel  map[string][]holding
	free     []int64
	// typical is the size of a typical model; memory counts as free in whole
	// multiples of it, since what is left over beside them takes no replica.
	typical    int64
	totalFree  int64
	totalBytes int64
	touched    map[string]bool
	operations []Operation
}

// holding is one entry for weights in one record.
type holding struct {
	backEnd int
	entry   api.PlacementEntry
}

func newPlan(snapshot Snapshot) *plan {
	p := &plan{
		snapshot: snapshot,
		backEnds: snapshot.BackEnds,
		byName:   make(map[string]int, len(snapshot.BackEnds)),
		byModel:  make(map[string][]holding),
		typical:  typicalBytes(snapshot.Models),
		free:     make([]int64, len(snapshot.BackEnds)),
		touched:  map[string]bool{},
	}
	for i := range p.backEnds {
		backEnd := &p.backEnds[i]
		p.byName[backEnd.Name] = i
		p.free[i] = backEnd.free()
		if backEnd.usable() {
			p.totalFree += p.wholeReplicas(p.free[i])
			p.totalBytes += backEnd.MemoryBytes
		}
		for _, entry := range backEnd.Placement.Entries {
			if entry.Artifact.Adapter == "" {
				p.byModel[entry.Artifact.Model] = append(p.byModel[entry.Artifact.Model], holding{i, entry})
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
	// ends that others may rely on.
	replicas []holding
	// retiring are the other held entries: old versions, entries marked as
	// moving, and entries on back ends that are drained or leaving.
	retiring []holding
	// suspended counts the replicas on suspended back ends.
	suspended int
	// released says that a release was planned in this round. One at a time
	// keeps two releases from counting on each other.
	released bool
}

// inRecords counts the replicas that are in records already, and not only
// planned in this round.
func (v *modelView) inRecords() int {
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

// emit adds an operation. Reservations on the same record are merged into one
// write by the caller; every other operation is the only one on its record in
// this round, because its condition was checked on the record as it is.
func (p *plan) emit(operation Operation) {
	if operation.Kind != OperationAdd {
		p.touched[operation.BackEnd] = true
	}
	p.operations = append(p.operations, operation)
}
