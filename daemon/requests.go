package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
)

const (
	// noReplicaRetry is when to come back for a model that nothing serves now.
	noReplicaRetry = 2 * time.Second
	// startingRetry is when to come back to a daemon that has just started.
	startingRetry = time.Second
	// backoffBase and backoffLimit bound the pause between two attempts.
	backoffBase  = 10 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// Serve implements caller.Handler.
func (d *Daemon) Serve(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	if !d.knowsEnough() {
		result := outcome.Refuse(outcome.ReasonStarting, startingRetry)
		d.settle(call, result)
		return nil, result
	}
	giveBack, refusal, admitted := d.admitTenant(ctx, call)
	if !admitted {
		d.settle(call, refusal)
		return nil, refusal
	}
	var answer *caller.Answer
	var result outcome.Result
	if call.Service != "" {
		answer, result = d.serveService(ctx, call)
	} else {
		answer, result = d.serveModel(ctx, call)
	}
	result = caller.Told(ctx, result)
	if result.Kind == outcome.NotRun {
		giveBack()
	}
	if answer == nil || answer.Stream == nil {
		d.settle(call, result)
	}
	return answer, result
}

// knowsEnough reports whether this daemon has caught up with the others and its
// control duty has run lately. After a pause of the process it is false until
// the control duty has caught up anew.
func (d *Daemon) knowsEnough() bool {
	lastTick := time.Unix(0, d.lastTick.Load())
	return d.caughtUp.Load() && time.Since(lastTick) <= d.settings.Control.PauseLimit
}

// settle logs and counts the final result of a request.
func (d *Daemon) settle(call *caller.Call, result outcome.Result) {
	d.metrics.outcomes[result.Kind].Inc(1)
	took := time.Since(call.ArrivedAt)
	d.requests.add(call, target(call), result, took)
	d.logger.Info("Request ended.", "part", "request", "request", call.ID, "target", target(call), "tenant", call.Tenant,
		"outcome", result.Kind, "reason", string(result.Reason), "took", took.Round(time.Microsecond), "error", result.Err)
}

// target returns the plain service or the model that a call asks for.
func target(call *caller.Call) string {
	return cmp.Or(call.Service, call.Reference.Model)
}

func (d *Daemon) deadline(call *caller.Call) time.Time {
	if !call.Deadline.IsZero() {
		return call.Deadline
	}
	return call.ArrivedAt.Add(d.settings.Requests.DefaultDeadline)
}

// try chooses a back end and makes one attempt at it. The back end is nil if there is
// none to choose, the answer if the attempt failed.
type try func() (*route.BackEnd, *caller.Answer, outcome.Result)

// drive carries a request through its exchange: claim, attempts with pauses between
// them, and the final result.
func (d *Daemon) drive(ctx context.Context, call *caller.Call, request *route.Request, next try) (*caller.Answer, outcome.Result) {
	machine := d.newExchange(call)
	step := machine.Start()
	for {
		switch step {
		case exchange.StepClaim:
			waiting, release := caller.WhileItMayBegin(ctx)
			claim := d.ledger.claim(waiting, call.Key)
			release()
			step = machine.ClaimAnswered(time.Now(), claim)
			if claim == exchange.ClaimUnavailable && caller.Draining(ctx) {
				step = refuseBegin(machine)
			}
		case exchange.StepFinish:
			return nil, machine.Result
		case exchange.StepAttempt:
			d.pauseBeforeRetry(ctx, machine.Attempts())
			switch {
			case caller.Draining(ctx) && !machine.MayHaveRun():
				step = refuseBegin(machine)
				continue
			case ctx.Err() != nil:
				step = machine.NoBackEnd(outcome.ReasonCallerGone, 0)
				continue
			}
			if !d.knowsEnough() {
				step = machine.NoBackEnd(outcome.ReasonStarting, startingRetry)
				continue
			}
			backEnd, answer, result := next()
			if backEnd == nil {
				step = machine.NoBackEnd(outcome.ReasonNoReplica, noReplicaRetry)
				continue
			}
			backEnd.Load.RecordResult(time.Now(), result)
			result = caller.Told(ctx, result)
			if answer == nil {
				d.noteFailure(call, backEnd, request, result)
			}
			step = machine.AttemptEnded(time.Now(), result, false)
			if answer != nil {
				return answer, result
			}
		}
	}
}

// refuseBegin ends an exchange whose call may no longer begin.
func refuseBegin(machine *exchange.Exchange) exchange.Step {
	refusal := caller.RefuseStopping()
	return machine.NoBackEnd(refusal.Reason, refusal.RetryAfter)
}

func (d *Daemon) newExchange(call *caller.Call) *exchange.Exchange {
	return exchange.New(d.exchange, d.budgets.Of(target(call)), exchange.Request{
		Repeatable: call.Repeatable, HasKey: call.Key != "", Deadline: d.deadline(call),
	})
}

func (d *Daemon) pauseBeforeRetry(ctx context.Context, attempt int) {
	d.metrics.attempts.Inc(1)
	if attempt <= 1 {
		return
	}
	d.metrics.retries.Inc(1)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	sleep(ctx, retryBackoff(random, attempt-2))
}

// noteFailure keeps the request from the back end that failed it.
func (d *Daemon) noteFailure(call *caller.Call, backEnd *route.BackEnd, request *route.Request, result outcome.Result) {
	request.Exclude(backEnd.Load)
	d.metrics.countMalformed(result.Err)
	d.logger.Info("Attempt failed.", "part", "route", "request", call.ID, "back_end", backEnd.Name,
		"outcome", result.Kind, "reason", string(result.Reason), "error", result.Err)
}

// Addresses implements caller.Handler.
func (d *Daemon) Addresses(model string) (caller.AddressesAnswer, bool) {
	answer := caller.AddressesAnswer{Model: model, KeepSeconds: int(d.settings.Requests.AddressKeep.Seconds())}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	known := false
	d.ask(ctx, func(node *control.Node) {
		known = node.CaughtUp(time.Now())
		answer.Addresses = node.Addresses(model, d.settings.Daemon.Zone)
	})
	return answer, known
}

// Models implements caller.Handler.
func (d *Daemon) Models() []api.Model {
	table := d.table.Load()
	models := make([]api.Model, 0, len(table.Models))
	for _, name := range sortedKeys(table.Models) {
		models = append(models, table.Models[name].Spec)
	}
	return models
}

// Ready implements caller.Handler.
func (d *Daemon) Ready() bool { return !d.stopping.Load() && d.knowsEnough() }
