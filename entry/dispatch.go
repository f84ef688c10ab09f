package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// choiceTimeout is how long the dispatcher may take. It answers within a
	// millisecond or two unless it is overloaded or gone.
	choiceTimeout = 40 * time.Millisecond
	// choiceRest is how long this daemon chooses by itself after that.
	choiceRest = 250 * time.Millisecond
	// groupEvery is the time between two messages of a dispatcher to the others.
	groupEvery = 20 * time.Millisecond
	// groupPrefix marks the load of a whole group in the tracker.
	groupPrefix = "group/"
)

// dispatch chooses instances in a large fleet: it asks the dispatcher of this daemon's
// group, or answers the others if it is the dispatcher. Without an answer in time it
// chooses by what this daemon knows. It implements gateway.Chooser.
type dispatch struct {
	daemon *Daemon
	picker *balance.Picker
	group  atomic.Pointer[coordination.Group]
	// restUntil is until when the dispatcher is not asked (Unix nanoseconds).
	restUntil atomic.Int64

	mutex   sync.Mutex
	last    uint64
	waiting map[uint64]chan *coordination.Choice
}

func newDispatch(daemon *Daemon) *dispatch {
	d := &dispatch{daemon: daemon, picker: balance.NewPicker(daemon.tracker), waiting: map[uint64]chan *coordination.Choice{}}
	d.group.Store(&coordination.Group{})
	return d
}

// Choose implements gateway.Chooser.
func (d *dispatch) Choose(ctx context.Context, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	group := d.group.Load()
	asks := request.Model != "" && group.Dispatcher != "" && !group.Dispatching && time.Now().UnixNano() >= d.restUntil.Load()
	if asks {
		if candidate := d.ask(ctx, group, view, service, request); candidate != nil {
			return candidate
		}
	}
	return d.picker.Pick(time.Now(), view.Instances(service), request)
}

// ask returns the dispatcher's choice, or nil if there is none that this daemon may use.
func (d *dispatch) ask(ctx context.Context, group *coordination.Group, view *fleet.View, service string, request *balance.Request) *balance.Candidate {
	id, answers := d.expect()
	defer d.forget(id)
	question := &coordination.ChoiceRequest{ID: id, Service: service, Request: *request}
	d.daemon.peers.Send(group.Address, coordination.Message{From: d.daemon.current().Name, Choose: question})
	timer := time.NewTimer(choiceTimeout)
	defer timer.Stop()
	select {
	case choice := <-answers:
		return d.candidate(group, view, request, choice)
	case <-timer.C:
		d.restUntil.Store(time.Now().Add(choiceRest).UnixNano())
		d.daemon.log.add("dispatch", "No answer in time.", "daemon", group.Dispatcher, "rest_ms", choiceRest.Milliseconds())
		return nil
	case <-ctx.Done():
		return nil
	}
}

// candidate checks a choice against what this daemon knows: the dispatcher may not have
// heard yet that the instance is leaving.
func (d *dispatch) candidate(group *coordination.Group, view *fleet.View, request *balance.Request, choice *coordination.Choice) *balance.Candidate {
	instance := view.Instance(choice.Instance)
	if instance == nil || !d.picker.Allows(request, instance) {
		return nil
	}
	return &balance.Candidate{
		Instance: instance, Load: choice.Load, Available: true, Of: choice.Of, Crowded: choice.Crowded, By: group.Dispatcher,
	}
}

func (d *dispatch) expect() (uint64, chan *coordination.Choice) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.last++
	answers := make(chan *coordination.Choice, 1)
	d.waiting[d.last] = answers
	return d.last, answers
}

func (d *dispatch) forget(id uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.waiting, id)
}

// chosen takes in an answer of the dispatcher.
func (d *dispatch) chosen(choice *coordination.Choice) {
	d.mutex.Lock()
	answers := d.waiting[choice.ID]
	d.mutex.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- choice:
	default:
	}
}

// answer chooses for another daemon of the group.
func (d *dispatch) answer(from string, question *coordination.ChoiceRequest) {
	address, known := d.daemon.peerAddresses.Load().of(from)
	if !known {
		return
	}
	now := time.Now()
	view := d.daemon.gateway.View()
	choice := &coordination.Choice{ID: question.ID}
	if picked := d.picker.Pick(now, view.Instances(question.Service), &question.Request); picked != nil {
		choice.Instance, choice.Load, choice.Of, choice.Crowded = picked.Instance.ID, picked.Load, picked.Of, picked.Crowded
		if !picked.Crowded {
			d.daemon.tracker.Grant(now, picked.Instance.ID, question.Request.PromptTokens)
		}
	}
	d.daemon.peers.Send(address, coordination.Message{From: d.daemon.current().Name, Chosen: choice})
}

// takeLoad takes in the load of another daemon. A dispatcher counts the daemons of its
// group by themselves and all others by the loads of their groups.
func (d *dispatch) takeLoad(from string, loads map[string]balance.Load) {
	group := d.group.Load()
	if group.Dispatching && !group.Leads(from) {
		return
	}
	d.daemon.tracker.SetPeer(time.Now(), from, loads)
}

// takeGroup takes in the load of another group.
func (d *dispatch) takeGroup(from string, loads map[string]balance.Load) {
	if d.group.Load().Dispatching {
		d.daemon.tracker.SetPeer(time.Now(), groupPrefix+from, loads)
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

// run tells the other dispatchers the load of this daemon's group, when it has changed.
func (d *dispatch) run() {
	ticker := time.NewTicker(groupEvery)
	defer ticker.Stop()
	var told map[string]balance.Load
	var toldAt time.Time
	for {
		select {
		case <-d.daemon.ctx.Done():
			return
		case now := <-ticker.C:
			group := d.group.Load()
			if !group.Dispatching || len(group.Others) == 0 {
				continue
			}
			loads := d.daemon.tracker.Group(now, group.Members)
			if maps.Equal(loads, told) && now.Sub(toldAt) < time.Second {
				continue
			}
			told, toldAt = loads, now
			d.daemon.peers.SendAll(group.Others, coordination.Message{From: d.daemon.current().Name, Group: loads})
		}
	}
}
