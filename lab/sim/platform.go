package sim

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	client "github.com/wheatweir/wheatweir/objectstore"
	"github.com/wheatweir/wheatweir/replica"
)

// platformName is the platform's endpoint on the network.
const platformName = "platform"

// Platform is the object API with its faults.
type Platform struct {
	world   *World
	Core    *objectstore.Core
	waiters []*waiter
	// LostAnswers is the share of writes whose answer is lost.
	LostAnswers float64
	// StaleReads is the share of watches answered from an old state.
	StaleReads float64
	// Slow is added to every call.
	Slow time.Duration
	// WatchCalls and WatchAnswers count watches.
	WatchCalls   uint64
	WatchAnswers uint64
	history      []api.Object
}

type waiter struct {
	since  uint64
	answer func(control.ChangesAnswer)
	done   bool
}

func newPlatform(w *World) *Platform {
	return &Platform{world: w, Core: objectstore.NewCore(w.Settings.Store)}
}

// SetDown begins or ends an outage.
func (p *Platform) SetDown(down bool) {
	p.Core.SetDown(down)
	if !down {
		return
	}
	for _, waiting := range p.waiters {
		p.finish(waiting, control.ChangesAnswer{Err: control.CallNotDone})
	}
	p.waiters = nil
}

// SetMachine changes the lagging machine list.
func (p *Platform) SetMachine(machine api.Machine) {
	p.Core.SetMachine(p.world.Now, machine)
	p.world.After(p.world.Settings.Store.MachineLag, p.wake)
}

// RemoveMachine takes a machine off the lagging machine list.
func (p *Platform) RemoveMachine(name string) {
	p.Core.RemoveMachine(p.world.Now, name)
	p.world.After(p.world.Settings.Store.MachineLag, p.wake)
}

// wake answers the watches that have something to tell.
func (p *Platform) wake() {
	var kept []*waiter
	for _, waiting := range p.waiters {
		if waiting.done {
			continue
		}
		objects, through := p.Core.Changes(p.world.Now, waiting.since, client.ReplicatedKinds)
		if len(objects) == 0 {
			kept = append(kept, waiting)
			continue
		}
		p.finish(waiting, control.ChangesAnswer{Delta: replica.Delta{From: waiting.since, Through: through, Objects: objects}})
	}
	p.waiters = kept
}

func (p *Platform) finish(waiting *waiter, answer control.ChangesAnswer) {
	if waiting.done {
		return
	}
	waiting.done = true
	p.WatchAnswers++
	waiting.answer(answer)
}

// call carries a call there and its answer back. The handler runs at the
// platform; the answer gets CallNotDone if the call did not arrive and
// CallUnknown if its answer got lost.
func (p *Platform) call(from string, handle func() (answer func(control.CallError), lost bool), failed func(control.CallError)) {
	w := p.world
	timeout := w.Settings.Network.CallTimeout
	if w.Network.IsCut(from, platformName) {
		w.After(timeout, func() { failed(control.CallNotDone) })
		return
	}
	w.After(w.Network.Delay(from, platformName)+p.Slow, func() {
		answer, lost := handle()
		if lost || w.Network.IsCut(platformName, from) {
			w.After(timeout, func() { failed(control.CallUnknown) })
			return
		}
		w.After(w.Network.Delay(platformName, from), func() { answer(control.CallOK) })
	})
}

func callErrorOf(status objectstore.Status) control.CallError {
	switch status {
	case objectstore.OK:
		return control.CallOK
	case objectstore.Conflict:
		return control.CallConflict
	default:
		return control.CallNotDone
	}
}

// Write makes a conditional update.
func (p *Platform) Write(from string, object api.Object, ifVersion uint64, answer func(api.Object, control.CallError)) {
	p.call(from, func() (func(control.CallError), bool) {
		if p.world.Settings.Without == MechanismConditionalUpdate {
			ifVersion = p.Core.Peek(object.Key).Version
		}
		stored, status := p.Core.Put(p.world.Now, object, ifVersion)
		if status == objectstore.OK {
			p.history = append(p.history, stored)
			if p.world.Oracle.Accepted != nil {
				p.world.Oracle.Accepted(stored)
			}
			p.wake()
		}
		lost := status == objectstore.OK && p.world.Chance(p.LostAnswers)
		return func(control.CallError) { answer(stored, callErrorOf(status)) }, lost
	}, func(err control.CallError) { answer(api.Object{}, err) })
}

// Read fetches one object.
func (p *Platform) Read(from string, key api.Key, answer func(api.Object, control.CallError)) {
	p.call(from, func() (func(control.CallError), bool) {
		object, status := p.Core.Get(p.world.Now, key)
		return func(control.CallError) { answer(object, callErrorOf(status)) }, false
	}, func(err control.CallError) { answer(api.Object{}, err) })
}

// Watch waits for changes.
func (p *Platform) Watch(from string, since uint64, wait time.Duration, answer func(control.ChangesAnswer)) {
	p.WatchCalls++
	failed := func(err control.CallError) { answer(control.ChangesAnswer{Err: err}) }
	w := p.world
	if w.Network.IsCut(from, platformName) {
		w.After(w.Settings.Network.CallTimeout, func() { failed(control.CallNotDone) })
		return
	}
	w.After(w.Network.Delay(from, platformName)+p.Slow, func() { p.beginWatch(from, since, wait, answer) })
}

func (p *Platform) beginWatch(from string, since uint64, wait time.Duration, answer func(control.ChangesAnswer)) {
	w := p.world
	waiting := &waiter{since: since}
	waiting.answer = func(result control.ChangesAnswer) {
		if w.Network.IsCut(platformName, from) {
			w.After(w.Settings.Network.CallTimeout, func() { answer(control.ChangesAnswer{Err: control.CallUnknown}) })
			return
		}
		w.After(w.Network.Delay(platformName, from), func() { answer(result) })
	}
	if status := p.Core.Admit(w.Now); status != objectstore.OK {
		p.finish(waiting, control.ChangesAnswer{Err: control.CallNotDone})
		return
	}
	if w.Chance(p.StaleReads) {
		p.finish(waiting, control.ChangesAnswer{Delta: p.staleDelta(since)})
		return
	}
	p.waiters = append(p.waiters, waiting)
	w.After(wait, func() {
		p.finish(waiting, control.ChangesAnswer{Delta: replica.Delta{From: waiting.since, Through: waiting.since}})
	})
	p.wake()
}

// staleDelta answers from a random earlier state, as a lagging replica of the
// platform would: it is complete only through an old version, whatever was
// asked for.
func (p *Platform) staleDelta(since uint64) replica.Delta {
	if len(p.history) == 0 {
		return replica.Delta{From: since, Through: since}
	}
	old := p.history[:p.world.Random.IntN(len(p.history))+1]
	newest := map[api.Key]int{}
	for i, object := range old {
		newest[object.Key] = i
	}
	delta := replica.Delta{}
	for i, object := range old {
		if newest[object.Key] != i || object.Kind == api.KindKeyShard {
			continue
		}
		if p.world.Settings.Without == MechanismVersionOrder {
			// Without the comparison of versions, the old value would be
			// taken for a new one.
			object.Version = p.Core.Version() + 1
		}
		delta.Objects = append(delta.Objects, object)
		delta.Through = object.Version
	}
	return delta
}
