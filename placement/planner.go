package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/rendezvous"
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

// typicalBytes returns the mean size of the models.
func typicalBytes(models []Model) int64 {
	total, count := int64(0), int64(0)
	for i := range models {
		if bytes := models[i].Model.Bytes(); bytes > 0 {
			total += bytes
			count++
		}
	}
	return total / max(count, 1)
}

// wholeReplicas rounds free bytes down to what whole replicas take.
func (p *plan) wholeReplicas(free int64) int64 {
	if p.typical <= 0 {
		return max(free, 0)
	}
	return max(free, 0) / p.typical * p.typical
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

// slotsOf returns the batch slots of an engine that was observed to hold the
// model, or zero if there is none.
func (p *plan) slotsOf(replicas []holding) float64 {
	for _, replica := range replicas {
		if report := p.backEnds[replica.backEnd].Report; report != nil && report.Slots > 0 {
			return float64(report.Slots)
		}
	}
	return 0
}

// desiredReplicas turns demand into a number of replicas. Demand above what
// the present replicas should take adds replicas if the worth of serving the
// excess outweighs the moves; fewer are wanted only once the slow average
// fits comfortably in fewer. While no engine with the model has reported, nobody
// knows how much one takes, and demand changes nothing. While memory is free,
// replicas for a rise of the slow demand are kept ready, so that a burst needs no
// loads and no platform. Suspended replicas count
// towards the minimum as long as one other is there.
func (p *plan) desiredReplicas(model *Model, present, suspended int) int {
	settings := p.snapshot.Settings
	floor := max(model.Model.MinReplicas-suspended, 1, len(model.Model.Pins))
	perReplica := p.slotsOf(p.byModel[model.Model.Name]) * settings.TargetUtilization
	if perReplica == 0 {
		return max(present, floor)
	}
	wanted := int(math.Ceil(model.Demand.Fast / perReplica))
	held := int(math.Ceil(max(model.Demand.Slow, model.Demand.Fast) / (perReplica * scaleDownShare)))
	ready := 0
	if !p.memoryIsShort() {
		ready = int(math.Ceil(model.Demand.Slow * settings.Headroom / perReplica))
	}
	desired := present
	switch {
	case wanted > present:
		excess := model.Demand.Fast - float64(present)*perReplica
		if settings.Weights.Attainment*excess >= settings.Weights.Moves*float64(wanted-present) {
			desired = wanted
		}
	case ready > present:
		desired = ready
	case max(held, ready) < present:
		desired = max(held, ready)
	}
	desired = max(desired, floor)
	if model.Model.MaxReplicas > 0 {
		desired = min(desired, max(model.Model.MaxReplicas, floor))
	}
	return desired
}

// scaleDownShare is the load share that replicas must fit in before one is
// given up. The gap to 1 is the hysteresis between adding and removing.
const scaleDownShare = 0.6

// addReplicas gives each model its first missing replica, then each its
// second, and so on.
func (p *plan) addReplicas(views []*modelView) {
	for _, view := range views {
		p.addPinned(view)
		p.addAdapters(view)
		p.promote(view)
	}
	for level := 1; ; level++ {
		more := false
		for _, view := range views {
			if view.desired < level {
				continue
			}
			more = true
			if len(view.replicas) < level {
				p.addReplica(view, "")
			}
		}
		if !more {
			break
		}
	}
	for _, view := range views {
		p.spread(view)
	}
}

// spread adds an anchor elsewhere if all are in one region although there is
// another, or in one zone although there is another. The anchor that is
// then too many is trimmed later.
func (p *plan) spread(view *modelView) {
	if view.suspended > 0 || view.model.Model.MinReplicas < 2 || len(view.replicas) < view.model.Model.MinReplicas {
		return
	}
	first := &p.backEnds[view.replicas[0].backEnd]
	sameRegion, sameZone := true, true
	for _, replica := range view.replicas[1:] {
		backEnd := &p.backEnds[replica.backEnd]
		sameRegion = sameRegion && backEnd.Region == first.Region
		sameZone = sameZone && backEnd.Zone == first.Zone
	}
	switch {
	case sameRegion && p.otherPlace(func(b *BackEnd) bool { return b.Region != first.Region }):
		p.addReplica(view, "all replicas are in one region")
	case sameZone && p.otherPlace(func(b *BackEnd) bool { return b.Zone != first.Zone }):
		p.addReplica(view, "all replicas are in one zone")
	}
}

// otherPlace reports whether a usable back end is in another place.
func (p *plan) otherPlace(elsewhere func(*BackEnd) bool) bool {
	for i := range p.backEnds {
		if p.backEnds[i].usable() && elsewhere(&p.backEnds[i]) {
			return true
		}
	}
	return false
}

func (p *plan) addPinned(view *modelView) {
	for _, name := range view.model.Model.Pins {
		i, found := p.byName[name]
		if !found || holds(view.replicas, i) || !p.backEnds[i].usable() {
			continue
		}
		bytes := view.model.Model.Bytes()
		if p.free[i] >= bytes && !p.touched[name] {
			p.add(view, i, bytes, true, "pinned by an operator")
		}
	}
}

// addAdapters reserves adapters that a replica lacks.
func (p *plan) addAdapters(view *modelView) {
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		var missing []api.PlacementEntry
		var bytes int64
		for _, entry := range adapterEntries(view, replica.entry.Anchor) {
			known := backEnd.Placement.Find(entry.Artifact)
			if known == nil || known.Phase == api.PhaseReleasing {
				missing = append(missing, entry)
				bytes += entry.Bytes
			}
		}
		if len(missing) == 0 || p.touched[backEnd.Name] {
			continue
		}
		if p.free[replica.backEnd] < bytes {
			continue
		}
		p.free[replica.backEnd] -= bytes
		p.emit(Operation{
			Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: view.weights, Entries: missing, Reason: "adapter configured",
		})
	}
}

// promote makes surplus replicas anchors when there are too few anchors.
func (p *plan) promote(view *modelView) {
	anchors := 0
	for _, replica := range view.replicas {
		if replica.entry.Anchor {
			anchors++
		}
	}
	for i := range view.replicas {
		replica := &view.replicas[i]
		backEnd := &p.backEnds[replica.backEnd]
		if anchors >= view.model.Model.MinReplicas {
			return
		}
		if replica.entry.Anchor || p.touched[backEnd.Name] {
			continue
		}
		anchors++
		p.emit(Operation{
			Kind: OperationPromote, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: view.weights, Reason: "too few anchors",
		})
	}
}

func adapterEntries(view *modelView, anchor bool) []api.PlacementEntry {
	entries := make([]api.PlacementEntry, 0, len(view.model.Model.Adapters))
	for _, adapter := range view.model.Model.Adapters {
		artifact := view.weights
		artifact.Adapter = adapter.Name
		entries = append(entries, api.PlacementEntry{
			Artifact: artifact, Bytes: adapter.Bytes, Phase: api.PhaseHeld, Anchor: anchor,
		})
	}
	return entries
}

// addReplica adds one replica on the best back end that has room. Replicas above
// the minimum leave some memory spare; a reason says why one is needed although
// demand asks for none.
func (p *plan) addReplica(view *modelView, reason string) {
	bytes := view.model.Model.Bytes()
	spareNeeded := int64(0)
	above := len(view.replicas) >= view.model.Model.MinReplicas
	if above {
		spareNeeded = int64(p.snapshot.Settings.SpareFraction * float64(p.totalBytes))
	}
	if p.totalFree-bytes < spareNeeded {
		return
	}
	best := p.bestBackEnd(view, bytes)
	if best < 0 {
		return
	}
	anchor := !above || reason != ""
	switch {
	case reason != "":
	case !above:
		reason = "fewer replicas than the minimum"
	default:
		reason = fmt.Sprintf("demand %.1f over %d replicas", view.model.Demand.Fast, len(view.replicas))
	}
	p.add(view, best, bytes, anchor, reason)
}

func (p *plan) add(view *modelView, index int, bytes int64, anchor bool, reason string) {
	backEnd := &p.backEnds[index]
	version, _ := view.model.Model.ServingVersion()
	weights := api.PlacementEntry{Artifact: view.weights, Bytes: version.Bytes, Phase: api.PhaseHeld, Anchor: anchor}
	p.free[index] -= bytes
	p.totalFree -= bytes
	view.replicas = append(view.replicas, holding{index, weights})
	p.emit(Operation{
		Kind: OperationAdd, BackEnd: backEnd.Name, IfVersion: backEnd.Version, Artifact: view.weights,
		Entries: append([]api.PlacementEntry{weights}, adapterEntries(view, anchor)...), Reason: reason,
	})
}

// bestBackEnd picks the back end for one more replica: one that has room and
// does not hold the model. Anchors go to a region and zone with the fewest
// replicas of it; replicas for demand go where the load is least. After that the
// largest share of free memory counts. Several daemons plan at once, so near-equal
// back ends are told apart by a hash of model and back end, which spreads the
// choices and saves lost races.
func (p *plan) bestBackEnd(view *modelView, bytes int64) int {
	best, bestScore := -1, math.Inf(-1)
	for i := range p.backEnds {
		backEnd := &p.backEnds[i]
		if !backEnd.usable() || p.free[i] < bytes || p.touched[backEnd.Name] {
			continue
		}
		if backEnd.Placement.Find(view.weights) != nil || holds(view.replicas, i) {
			continue
		}
		score := float64(p.free[i]) / float64(backEnd.MemoryBytes)
		score -= loadPenalty * backEnd.loadShare()
		inZone, inRegion := p.replicasNear(view, backEnd)
		spread := zonePenalty*float64(inZone) + regionPenalty*float64(inRegion)
		if len(view.replicas) >= view.model.Model.MinReplicas {
			spread *= surplusSpreadShare
		}
		score -= spread
		score += spreadShare * float64(rendezvous.Weight(view.model.Model.Name, backEnd.Name)) / math.MaxUint64
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

const (
	// zonePenalty makes a zone without a replica win over any free share, and
	// regionPenalty a region without one over any zone.
	zonePenalty   = 2.0
	regionPenalty = 4.0
	// surplusSpreadShare is how much of these counts for replicas above the
	// minimum.
	surplusSpreadShare = 0.05
	// loadPenalty is the cost of a back end whose batch is full.
	loadPenalty = 1.0
	// spreadShare is how much of the score the hash may decide.
	spreadShare = 0.2
)

// replicasNear counts the model's replicas in the zone and region of a back end.
func (p *plan) replicasNear(view *modelView, backEnd *BackEnd) (inZone, inRegion int) {
	for _, replica := range view.replicas {
		other := &p.backEnds[replica.backEnd]
		if other.Zone == backEnd.Zone {
			inZone++
		}
		if other.Region == backEnd.Region {
			inRegion++
		}
	}
	return inZone, inRegion
}

func holds(replicas []holding, index int) bool {
	for _, replica := range replicas {
		if replica.backEnd == index {
			return true
		}
	}
	return false
}

// retire takes away replicas that should go, once others are seen to serve.
func (p *plan) retire(view *modelView) {
	for _, held := range view.retiring {
		backEnd := &p.backEnds[held.backEnd]
		if p.touched[backEnd.Name] {
			continue
		}
		wanted := held.entry.Artifact == view.weights && backEnd.usable()
		if wanted && len(view.replicas) < view.desired && held.entry.Moving {
			p.emit(Operation{
				Kind: OperationKeep, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
				Artifact: held.entry.Artifact, Reason: "needed after all",
			})
			continue
		}
		p.retireOne(view, held, retireReason(view, backEnd, held))
	}
}

func retireReason(view *modelView, backEnd *BackEnd, held holding) string {
	switch {
	case held.entry.Artifact != view.weights:
		return "version replaced by " + view.weights.Version
	case backEnd.Placement.Drained:
		return "back end drained"
	case backEnd.Health == Leaving:
		return "back end leaving"
	default:
		return "moved"
	}
}

// retireOne takes the next step to release a replica: mark it as moving, or
// release it if enough other replicas are observed to serve.
func (p *plan) retireOne(view *modelView, held holding, reason string) {
	backEnd := &p.backEnds[held.backEnd]
	if !held.entry.Moving {
		p.emit(Operation{
			Kind: OperationMarkMoving, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: held.entry.Artifact, Reason: reason,
		})
		return
	}
	relied, serving := p.servingWithout(view, held.backEnd)
	if relied == "" || serving < view.model.Model.MinReplicas || view.released {
		return
	}
	view.released = true
	p.emit(Operation{
		Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
		Artifact: held.entry.Artifact, Reason: reason,
		ReliesOn: relied, ReliesOnArtifact: view.weights,
	})
}

// servingWithout counts the replicas observed to serve, other than those on
// one back end, and names an anchor among them that is there to stay. Replicas
// that are to go count while they serve, so that an old version can make room
// for a new one step by step.
func (p *plan) servingWithout(view *modelView, except int) (string, int) {
	name, count := "", 0
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		if replica.backEnd == except || !backEnd.serves(view.weights) {
			continue
		}
		count++
		if replica.entry.Anchor {
			name = backEnd.Name
		}
	}
	for _, held := range view.retiring {
		backEnd := &p.backEnds[held.backEnd]
		if held.backEnd != except && backEnd.Health == Up && backEnd.serves(held.entry.Artifact) {
			count++
		}
	}
	return name, count
}

// trim gives up one replica more than desired. Replicas that are not anchors
// go first, and only after their minimum stay unless memory is short.
func (p *plan) trim(view *modelView) {
	if view.inRecords() <= view.desired {
		return
	}
	for i := len(view.replicas) - 1; i >= 0; i-- {
		replica := view.replicas[i]
		backEnd := &p.backEnds[replica.backEnd]
		if replica.entry.Since == 0 || p.touched[backEnd.Name] || slices.Contains(view.model.Model.Pins, backEnd.Name) {
			continue
		}
		if !p.stayedLongEnough(replica) {
			continue
		}
		if replica.entry.Anchor {
			continue
		}
		p.emit(Operation{
			Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version, Artifact: view.weights,
			Reason: fmt.Sprintf("%d replicas are enough for demand %.1f", view.desired, view.model.Demand.Slow),
		})
		return
	}
	p.trimAnchor(view)
}

// trimAnchor starts to give up an anchor above the minimum, such as one on a
// back end that came back after its models were placed elsewhere.
func (p *plan) trimAnchor(view *modelView) {
	anchors := 0
	last, mostCrowded := -1, 0
	for i, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		name := backEnd.Name
		if !replica.entry.Anchor || replica.entry.Since == 0 {
			continue
		}
		anchors++
		movable := p.stayedLongEnough(replica) && !p.touched[name]
		inZone, inRegion := p.replicasNear(view, backEnd)
		crowded := 2*inRegion + inZone
		if movable && crowded >= mostCrowded && !slices.Contains(view.model.Model.Pins, name) {
			last, mostCrowded = i, crowded
		}
	}
	if anchors <= max(view.model.Model.MinReplicas, len(view.model.Model.Pins)) || last < 0 {
		return
	}
	p.retireOne(view, view.replicas[last], "more anchors than needed")
}

// memoryIsShort reports whether little more than the spare memory is free.
func (p *plan) memoryIsShort() bool {
	return float64(p.totalFree) < shortShare*p.snapshot.Settings.SpareFraction*float64(p.totalBytes)
}

// shortShare is the share of the spare memory under which memory is short. It
// is under 1, so that replicas which may use memory down to the spare do not
// make it short.
const shortShare = 0.6

func (p *plan) stayedLongEnough(replica holding) bool {
	if p.memoryIsShort() {
		return true
	}
	stayed := p.snapshot.Now.UnixMilli() - replica.entry.Since
	return stayed >= p.snapshot.Settings.MinimumStay.Milliseconds()
}

// releaseDeleted releases everything of a model that no longer exists.
func (p *plan) releaseDeleted(name string) {
	for _, held := range p.byModel[name] {
		backEnd := &p.backEnds[held.backEnd]
		if held.entry.Phase != api.PhaseHeld || p.touched[backEnd.Name] {
			continue
		}
		p.emit(Operation{
			Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: held.entry.Artifact, Reason: "model deleted",
		})
	}
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
