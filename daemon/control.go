package daemon

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/objectstore"
	"github.com/wheatweir/wheatweir/ring"
)

// event is something that happened, for the control duty to take in.
type event func(node *control.Node, now time.Time) []control.Action

const (
	tickInterval = 100 * time.Millisecond
	// tableInterval is the least time between two routing tables.
	tableInterval = 100 * time.Millisecond

	platformWorkers = 2
	pollWorkers     = 8
	orderWorkers    = 4
)

// callRings join the control duty to the duties that make calls.
type callRings struct {
	watches  *ring.Ring[control.FetchChanges]
	platform *ring.Ring[control.Action]
	polls    *ring.Ring[control.Poll]
	orders   *ring.Ring[control.SendOrder]
}

func newCallRings() callRings {
	return callRings{
		watches:  ring.New[control.FetchChanges](1),
		platform: ring.New[control.Action](callRingSize),
		polls:    ring.New[control.Poll](callRingSize),
		orders:   ring.New[control.SendOrder](callRingSize),
	}
}

// runControl is the control duty.
func (d *Daemon) runControl(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var published time.Time
	var revision uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.observe(now)
			d.perform(d.node.Tick(now))
			if d.noteCaughtUp(now) {
				revision, published = d.node.Revision(), now
			}
			d.limiter.Tick(now)
			d.observeConnections(now)
			d.lastTick.Store(time.Now().UnixNano())
		case happened := <-d.events.Items():
			d.perform(happened(d.node, time.Now()))
		case model := <-d.interests.Items():
			d.node.RequestReceived(time.Now(), model)
		}
		now := time.Now()
		if d.node.Revision() != revision && now.Sub(published) >= tableInterval {
			revision = d.node.Revision()
			published = now
			d.publish(now)
		}
		if now.Sub(d.fleetAt) >= fleetRefresh {
			d.publishFleet(now)
		}
	}
}

// noteCaughtUp notes whether this daemon knows enough to serve, and reports whether
// it made a new routing table for that: requests are let in only once the table
// holds what the daemon caught up with.
func (d *Daemon) noteCaughtUp(now time.Time) bool {
	known := d.node.CaughtUp(now)
	fresh := known && !d.caughtUp.Load()
	if fresh {
		d.publish(now)
	}
	d.caughtUp.Store(known)
	return fresh
}

// observe tells the node about the demand seen here.
func (d *Daemon) observe(now time.Time) {
	d.gateMutex.RLock()
	defer d.gateMutex.RUnlock()
	for model, gate := range d.gates {
		running, waiting := gate.Requests()
		d.node.ObserveDemand(now, model, float64(running+waiting))
	}
}

// publish makes a new routing table and adjusts the gates to it.
func (d *Daemon) publish(now time.Time) {
	table := d.node.Table(now)
	d.table.Store(table)
	d.publishTenants(now)
	d.budgets.Prune(func(target string) bool { return table.Models[target] != nil || table.Services[target] != nil })
	d.gateMutex.RLock()
	defer d.gateMutex.RUnlock()
	for name, gate := range d.gates {
		if model := table.Models[name]; model != nil {
			gate.SetLimit(d.gateLimit(model))
		}
	}
}

// perform hands actions to the duties that carry them out. An action that
// finds a full ring is answered as not done.
func (d *Daemon) perform(actions []control.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case control.SendPeer:
			d.transport.Send(action.Address, action.Message)
		case control.Decision:
			d.logDecision(action)
		case control.FetchChanges:
			if !d.calls.watches.TryPut(action) {
				d.perform(d.node.ChangesAnswered(time.Now(), control.ChangesAnswer{Err: control.CallNotDone}))
			}
		case control.Write:
			if !d.calls.platform.TryPut(action) {
				d.perform(d.node.WriteAnswered(time.Now(), control.WriteAnswer{Key: action.Object.Key, Err: control.CallNotDone}))
			}
		case control.Read:
			if !d.calls.platform.TryPut(action) {
				d.perform(d.node.ReadAnswered(time.Now(), control.ReadAnswer{Key: action.Key, Err: control.CallNotDone}))
			}
		case control.Poll:
			if !d.calls.polls.TryPut(action) {
				d.perform(d.node.PollAnswered(time.Now(), control.PollAnswer{BackEnd: action.BackEnd, Err: control.CallNotDone}))
			}
		case control.SendOrder:
			d.calls.orders.TryPut(action)
		}
	}
}

// receive takes in a message of another daemon.
func (d *Daemon) receive(message control.Message) {
	if message.Limit != nil {
		d.limiter.Receive(message.Sender, message.Limit)
		return
	}
	d.events.TryPut(func(node *control.Node, now time.Time) []control.Action {
		return node.Receive(now, message)
	})
}

// ask runs a question on the control duty and waits for its end.
func (d *Daemon) ask(ctx context.Context, question func(node *control.Node)) bool {
	answered := make(chan struct{})
	put := d.events.Put(ctx, func(node *control.Node, _ time.Time) []control.Action {
		question(node)
		close(answered)
		return nil
	})
	if !put {
		return false
	}
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Daemon) runWatches(ctx context.Context) {
	for {
		watch, ok := d.calls.watches.Take(ctx)
		if !ok {
			return
		}
		delta, err := d.platform.Changes(ctx, watch.Since, watch.Wait)
		d.noteMalformed(err, platformName)
		answer := control.ChangesAnswer{Delta: delta, Err: callError(err)}
		d.events.Put(ctx, func(node *control.Node, now time.Time) []control.Action {
			return node.ChangesAnswered(now, answer)
		})
	}
}

func (d *Daemon) runPlatformCalls(ctx context.Context) {
	for {
		call, ok := d.calls.platform.Take(ctx)
		if !ok {
			return
		}
		switch call := call.(type) {
		case control.Write:
			d.writeObject(ctx, call)
		case control.Read:
			d.readObject(ctx, call.Key)
		}
	}
}

func (d *Daemon) writeObject(ctx context.Context, call control.Write) {
	object, err := d.platform.Put(ctx, call.Object, call.IfVersion)
	d.noteMalformed(err, platformName)
	answer := control.WriteAnswer{Key: call.Object.Key, Object: object, Err: callError(err)}
	d.events.Put(ctx, func(node *control.Node, now time.Time) []control.Action {
		return node.WriteAnswered(now, answer)
	})
}

func (d *Daemon) readObject(ctx context.Context, key api.Key) {
	object, err := d.platform.Get(ctx, key)
	d.noteMalformed(err, platformName)
	answer := control.ReadAnswer{Key: key, Object: object, Err: callError(err)}
	d.events.Put(ctx, func(node *control.Node, now time.Time) []control.Action {
		return node.ReadAnswered(now, answer)
	})
}

// platformName stands for the platform in the log, where calls to back ends have the back end's name.
const platformName = "platform"

// noteMalformed counts and logs a call of this daemon's own that was answered with a malformed head.
func (d *Daemon) noteMalformed(err error, from string) {
	defect := messagehead.DefectOf(err)
	if defect == "" {
		return
	}
	d.metrics.countMalformed(err)
	d.logger.Info("Malformed head.", "part", "calls", "from", from, "malformed", string(defect), "error", err)
}

func callError(err error) control.CallError {
	switch {
	case err == nil:
		return control.CallOK
	case objectstore.ErrConflict.Has(err):
		return control.CallConflict
	case objectstore.ErrNotDone.Has(err):
		return control.CallNotDone
	default:
		return control.CallUnknown
	}
}

func (d *Daemon) runPolls(ctx context.Context) {
	for {
		poll, ok := d.calls.polls.Take(ctx)
		if !ok {
			return
		}
		report, err := d.engines.Report(ctx, poll.Address)
		d.noteMalformed(err, poll.BackEnd)
		answer := control.PollAnswer{BackEnd: poll.BackEnd, Report: report}
		if err != nil || report.BackEnd != poll.BackEnd {
			answer.Err = control.CallUnknown
		}
		d.events.Put(ctx, func(node *control.Node, now time.Time) []control.Action {
			return node.PollAnswered(now, answer)
		})
	}
}

func (d *Daemon) runOrders(ctx context.Context) {
	for {
		sent, ok := d.calls.orders.Take(ctx)
		if !ok {
			return
		}
		err := d.engines.Order(ctx, sent.Address, sent.Order)
		d.noteMalformed(err, sent.BackEnd)
		if err != nil {
			d.logger.Warn("Order failed.", "part", "placement", "back_end", sent.BackEnd,
				"artifact", sent.Order.Artifact.String(), "error", err)
		}
	}
}
