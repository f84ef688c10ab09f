package placement

import (
	"fmt"
	"slices"

	"github.com/wheatweir/wheatweir/api"
)

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
	relied, serving := p.servingWithout(view, held)
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

// servingWithout counts the engines observed to serve the model without one of its
// replicas, and names one of them whose anchor is there to stay. Replicas that are to
// go count while they serve, so that an old version can make room for a new one step
// by step; two versions on one engine are lost together and count once.
func (p *plan) servingWithout(view *modelView, without holding) (string, int) {
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

func sameReplica(a, b holding) bool {
	return a.backEnd == b.backEnd && a.entry.Artifact == b.entry.Artifact
}

// releaseAdapters releases adapters that are no longer configured, at most one
// for each back end in a round.
func (p *plan) releaseAdapters(view *modelView) {
	for _, replica := range view.replicas {
		backEnd := &p.backEnds[replica.backEnd]
		for _, entry := range backEnd.Placement.Entries {
			if p.touched[backEnd.Name] {
				break
			}
			stray := entry.Artifact.Adapter != "" && entry.Artifact.Base() == view.weights &&
				entry.Phase == api.PhaseHeld && !view.model.Model.HasAdapter(entry.Artifact.Adapter)
			if stray {
				p.emit(Operation{
					Kind: OperationRelease, BackEnd: backEnd.Name, IfVersion: backEnd.Version,
					Artifact: entry.Artifact, Reason: "adapter deleted",
				})
			}
		}
	}
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
