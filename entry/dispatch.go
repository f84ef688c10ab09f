package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/internal/calls"
)

const (
	// choiceTimeout is how long the dispatcher may take. It answers within a
	// millisecond or two unless it is overloaded or gone.
	choiceTimeout = 40 * time.Millisecond
	// choiceRest is how long a dispatcher that did not answer is not asked again.
	choiceRest = 250 * time.Millisecond
	// groupEvery is the least time between two messages of a dispatcher to the others,
	// usualGroups how many others it tells so often.
	groupEvery  = 20 * time.Millisecond
	usualGroups = 4
	// groupPrefix marks the load of a whole group in the tracker.
	groupPrefix = "group/"
)

// dispatch chooses instances in a large fleet: it asks the dispatcher of this daemon's
// group, or answers the others if it is the dispatcher. Without an answer in time it asks
// the dispatcher of another group, and then chooses by what this daemon knows. It
// implements gateway.Chooser.
type dispatch struct {
	daemon *Daemon
	picker *balance.Picker
	group  atomic.Pointer[coordination.Group]
	calls  *calls.Calls[*coordination.Choice]
}

func newDispatch(daemon *Daemon) *dispatch {
	d := &dispatch{daemon: daemon, picker: balance.NewPicker(daemon.tracker), calls: calls.New[*coordination.Choice]()}
	d.group.Store(&coordination.Group{})
	return d
}

// Choose implements gateway.Chooser.
func (d *dispatch) Choose(ctx context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	if group := d.group.Load(); request.Model != "" && !group.Dispatching {
		if candidate := d.delegate(ctx, group, view, service, request); candidate != nil {
			return candidate
		}
	}
	return d.picker.Pick(time.Now(), view.Instances(service), request)
}

// delegate asks the dispatcher of this daemon's group, and that of another one if it does not
// answer. It returns nil if there is no choice that this daemon may use.
func (d *dispatch) delegate(ctx context.Context, group *coordination.Group, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	for _, asked := range []dispatcher{{group.Dispatcher, group.Address}, {group.Backup, group.BackupAddress}} {
		if asked.name == "" || d.calls.Rests(asked.name) {
			continue
		}
		if choice := d.ask(ctx, asked, service, request); choice != nil {
			return d.candidate(asked.name, view, request, choice)
		}
	}
	return nil
}

// dispatcher is a daemon that chooses for others, and where it hears them.
type dispatcher struct{ name, address string }

// ask returns a dispatcher's choice, or nil if there was no answer in time.
func (d *dispatch) ask(ctx context.Context, asked dispatcher, service string, request *balance.Request) *coordination.Choice {
	choice, answered := d.calls.Ask(ctx, choiceTimeout, func(id uint64) {
		question := &coordination.ChoiceRequest{ID: id, Service: service, Request: *request}
		d.daemon.peers.Send(asked.address, coordination.Message{From: d.daemon.current().Name, Choose: question})
	})
	if !answered && ctx.Err() == nil {
		d.calls.Rest(asked.name, choiceRest)
		d.daemon.log.add("dispatch", "No answer in time.", "daemon", asked.name, "rest_ms", choiceRest.Milliseconds())
	}
	return choice
}

// candidate checks a choice against what this daemon knows: the dispatcher may not have
// heard yet that the instance is leaving.
func (d *dispatch) candidate(by string, view *fleet.View, request *balance.Request, choice *coordination.Choice) *balance.Candidate {
	instance := view.Instance(choice.Instance)
	if instance == nil || !d.picker.Allows(request, instance) {
		return nil
	}
	return &balance.Candidate{
		Instance: instance, Load: choice.Load, Available: true, CandidateCount: choice.CandidateCount, Crowded: choice.Crowded, By: by,
		Slowness: choice.Slowness,
	}
}

// answer chooses for another daemon of the group.
func (d *dispatch) answer(from string, question *coordination.ChoiceRequest) {
	address, known := d.daemon.fleet.peerAddresses.Load().of(from)
	if !known {
		return
	}
	now := time.Now()
	view := d.daemon.gateway.View()
	picked := d.picker.Pick(now, view.Instances(question.Service), &question.Request)
	if picked != nil && !picked.Crowded {
		d.daemon.tracker.Grant(now, picked.Instance.ID, question.Request.PromptTokens)
	}
	choice := choiceOf(question.ID, picked)
	d.daemon.peers.Send(address, coordination.Message{From: d.daemon.current().Name, Chosen: choice})
}

// choiceOf is the answer to a question; picked is nil if there is no instance.
func choiceOf(id uint64, picked *balance.Candidate) *coordination.Choice {
	if picked == nil {
		return &coordination.Choice{ID: id}
	}
	return &coordination.Choice{
		ID: id, Instance: picked.Instance.ID, Load: picked.Load, CandidateCount: picked.CandidateCount, Crowded: picked.Crowded, Slowness: picked.Slowness,
	}
}

// takeLoad takes in the load of another daemon. A dispatcher counts the daemons of its
// group by themselves and all others by the loads of their groups.
func (d *dispatch) takeLoad(from string, load *coordination.Load) {
	group := d.group.Load()
	tellsNothing := load.Changes && len(load.Requests) == 0
	if tellsNothing || group.Dispatching && !group.HasMember(from) {
		return
	}
	d.daemon.tracker.MergePeer(time.Now(), from, load.Requests, load.Changes)
}

// takeGroup takes in the load of another group.
func (d *dispatch) takeGroup(from string, told *coordination.GroupLoad) {
	if d.group.Load().Dispatching {
		d.daemon.tracker.MergePeer(time.Now(), groupPrefix+from, told.Loads, told.Changes)
	}
}

// setGroup takes in this daemon's place in the fleet.
func (d *dispatch) setGroup(group *coordination.Group) {
	before := d.group.Swap(group)
	if before.Dispatcher == group.Dispatcher && before.Dispatching == group.Dispatching {
		return
	}
	d.daemon.log.add("dispatch", "Changed.", "dispatcher", group.Dispatcher, "own", group.Dispatching, "members", len(group.Members))
	// What was counted one way must not be counted the other way as well.
	d.daemon.tracker.DropPeers()
}

// groupPause is the time between two messages of a dispatcher to the others: the more of
// them there are, the longer, so that a dispatcher's messages don't grow as the fleet does.
func groupPause(others int) time.Duration {
	return groupEvery * time.Duration(max(1, others/usualGroups))
}

// run tells the other dispatchers the load of this daemon's group, when it has changed.
func (d *dispatch) run() {
	ticker := time.NewTicker(groupEvery)
	defer ticker.Stop()
	var deltas balance.LoadDeltas
	var toldAt time.Time
	for {
		select {
		case <-d.daemon.ctx.Done():
			return
		case now := <-ticker.C:
			group := d.group.Load()
			if !group.Dispatching || len(group.Others) == 0 || now.Sub(toldAt) < groupPause(len(group.Others)) {
				continue
			}
			toldAt = now
			loads, changes := deltas.Next(now, strings.Join(group.Others, " "), d.daemon.tracker.Group(now, group.Members))
			if changes && len(loads) == 0 {
				continue
			}
			told := &coordination.GroupLoad{Loads: loads, Changes: changes}
			d.daemon.peers.SendAll(group.Others, coordination.Message{From: d.daemon.current().Name, Group: told})
		}
	}
}
