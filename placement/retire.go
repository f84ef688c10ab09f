package placement

import (
	"fmt"
	"slices"

	"github.com/wheatweir/wheatweir/api"
)

// retire releases the retiring replicas once enough other replicas are reported
// to serve, and keeps a moving one that is needed again.
func (p *plan) retire(view *modelView) {
	for _, held := range view.retiring {
		backEnd := &p.backEnds[held.backEnd]
		if p.modified[backEnd.Name] {
			continue
		}
		wanted := held.entry.Artifact == view.weights && backEnd.usable()
		if wanted && len(view.replicas) < view.desired && held.entry.Moving {
			p.emit(Operation{
				Kind: OperationUnmarkMoving, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
				Artifact: held.entry.Artifact, Reason: "needed after all",
			})
			continue
		}
		p.advanceRetirement(view, held, retireReason(view, backEnd, held))
	}
}

func retireReason(view *modelView, backEnd *BackEnd, held placedReplica) string {
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

// advanceRetirement plans the next step of releasing a replica: it is marked as
// moving first, and released once enough other replicas are reported to serve.
func (p *plan) advanceRetirement(view *modelView, held placedReplica, reason string) {
	backEnd := &p.backEnds[held.backEnd]
	if !held.entry.Moving {
		p.emit(Operation{
			Kind: OperationMarkMoving, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: held.entry.Artifact, Reason: reason,
		})
		return
	}
	relied, serving := p.countServingWithout(view, held)
	if relied == "" || serving < view.model.Model.MinReplicas || view.releasePlanned {
		return
	}
	view.releasePlanned = true
	p.emit(Operation{
		Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
		Artifact: held.entry.Artifact, Reason: reason,
		ReliesOn: relied, ReliesOnArtifact: view.weights,
	})
}

// countServingWithout counts the engines reported to serve the model, leaving out one
// of its replicas. It also returns the name of one of them that holds an anchor which
// is not retiring. Retiring replicas count while they serve, so that a new version can
// replace an old one step by step. Two versions on one engine would be lost together,
// so they count once.
func (p *plan) countServingWithout(view *modelView, without placedReplica) (string, int) {
	name, serving := "", map[int]bool{}
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		if sameReplica(replica, without) || !backEnd.serves(view.weights) {
			continue
		}
		serving[replica.backEnd] = true
		if replica.entry.Anchor {
			name = backEnd.Name
		}
	}
	for _, held := range view.retiring {
		backEnd := &p.backEnds[held.backEnd]
		if !sameReplica(held, without) && backEnd.Health == Up && backEnd.serves(held.entry.Artifact) {
			serving[held.backEnd] = true
		}
	}
	return name, len(serving)
}

func sameReplica(a, b placedReplica) bool {
	return a.backEnd == b.backEnd && a.entry.Artifact == b.entry.Artifact
}

// releaseAdapters releases adapters that are no longer configured, at most one
// per back end and round.
func (p *plan) releaseAdapters(view *modelView) {
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		for _, entry := range backEnd.Placement.Entries {
			if p.modified[backEnd.Name] {
				break
			}
			unconfigured := entry.Artifact.Adapter != "" && entry.Artifact.Base() == view.weights &&
				entry.Phase == api.PhaseHeld && !view.model.Model.HasAdapter(entry.Artifact.Adapter)
			if unconfigured {
				p.emit(Operation{
					Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
					Artifact: entry.Artifact, Reason: "adapter deleted",
				})
			}
		}
	}
}

// trim releases one replica if there are more than desired. Replicas that are
// not anchors are released first. A replica is kept for its minimum stay unless
// memory is short.
func (p *plan) trim(view *modelView) {
	if view.recordedReplicas() <= view.desired {
		return
	}
	for i := len(view.replicas) - 1; i >= 0; i-- {
		replica := view.replicas[i]
		backEnd := &p.backEnds[replica.backEnd]
		if replica.entry.Since == 0 || p.modified[backEnd.Name] || slices.Contains(view.model.Model.Pins, backEnd.Name) {
			continue
		}
		if !p.minimumStayElapsed(replica) {
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

// trimAnchor starts to release an anchor above the minimum, such as one on a back
// end that is reachable again after its models were placed elsewhere. It prefers
// an anchor with many replicas of the model in the same region and zone.
func (p *plan) trimAnchor(view *modelView) {
	anchors := 0
	chosen, maxCrowding := -1, 0
	for i, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		name := backEnd.Name
		if !replica.entry.Anchor || replica.entry.Since == 0 {
			continue
		}
		anchors++
		movable := p.minimumStayElapsed(replica) && !p.modified[name]
		inZone, inRegion := p.replicasNear(view, backEnd)
		crowding := 2*inRegion + inZone
		if movable && crowding >= maxCrowding && !slices.Contains(view.model.Model.Pins, name) {
			chosen, maxCrowding = i, crowding
		}
	}
	if anchors <= max(view.model.Model.MinReplicas, len(view.model.Model.Pins)) || chosen < 0 {
		return
	}
	p.advanceRetirement(view, view.replicas[chosen], "more anchors than needed")
}

func (p *plan) minimumStayElapsed(replica placedReplica) bool {
	if p.memoryIsShort() {
		return true
	}
	stayed := p.snapshot.Now.UnixMilli() - replica.entry.Since
	return stayed >= p.snapshot.Settings.MinimumStay.Milliseconds()
}

// releaseDeleted releases all replicas of a deleted model.
func (p *plan) releaseDeleted(name string) {
	for _, held := range p.byModel[name] {
		backEnd := &p.backEnds[held.backEnd]
		if held.entry.Phase != api.PhaseHeld || p.modified[backEnd.Name] {
			continue
		}
		p.emit(Operation{
			Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
			Artifact: held.entry.Artifact, Reason: "model deleted",
		})
	}
}
