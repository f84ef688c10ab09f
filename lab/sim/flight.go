package sim

import (
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/lab/standin/engine"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/route"
)

// flight is one call at a daemon.
type flight struct {
	plane    *requestPlane
	call     Call
	arrived  time.Time
	entered  time.Time
	deadline time.Time
	machine  *exchange.Exchange
	request  route.Request
	queue    *admit.Queue
	first    time.Time
	backEnd  string
	attempt  int
	cancel   func()
	done     func(Result)
	ended    bool
}

// begin starts the exchange of an admitted call.
func (f *flight) begin() {
	p := f.plane
	f.entered = p.daemon.world.Now
	repeatable := f.call.Key == ""
	if p.daemon.world.Settings.Without == MechanismNoRepeat {
		repeatable = true
	}
	f.machine = exchange.New(p.settings.Exchange, p.budget, exchange.Request{
		Repeatable: repeatable, HasKey: f.call.Key != "", Deadline: f.deadline,
	})
	f.request = route.Request{Adapter: f.call.Reference.Adapter, Zone: p.daemon.Zone, Region: p.daemon.Region, Random: p.random.Uint64()}
	f.request.Prefix.Hashes[0] = f.call.Prompt
	f.request.Prefix.Count = 1
	f.step(f.machine.Start())
}

func (f *flight) step(step exchange.Step) {
	switch step {
	case exchange.StepClaim:
		f.plane.ledger.claim(f.call.Key, func(claim exchange.Claim) {
			if !f.ended {
				f.step(f.machine.ClaimAnswered(f.plane.daemon.world.Now, claim))
			}
		})
	case exchange.StepAttempt:
		if f.machine.Attempts() > 1 {
			pause := retry.Backoff(f.plane.random, f.machine.Attempts()-2, 10*time.Millisecond, 500*time.Millisecond)
			f.plane.daemon.world.After(pause, f.plane.daemon.guard(f.try))
			return
		}
		f.try()
	case exchange.StepFinish:
		f.finish(f.machine.Result)
	}
}

// try makes one attempt at one engine.
func (f *flight) try() {
	p, w := f.plane, f.plane.daemon.world
	if !p.daemon.node.CaughtUp(w.Now) && w.Settings.Without != MechanismCatchUp {
		f.step(f.machine.NoBackEnd(outcome.ReasonStarting, time.Second))
		return
	}
	model := p.table.Models[f.call.Reference.Model]
	var candidate *route.Candidate
	if model != nil {
		candidate = p.picker.Pick(w.Now, model, &f.request)
	}
	if candidate == nil {
		f.step(f.machine.NoBackEnd(outcome.ReasonNoReplica, 2*time.Second))
		return
	}
	load := candidate.BackEnd.Load
	load.Begin()
	p.prefixes.Record(&f.request.Prefix, load.ID)
	f.attempt++
	f.backEnd = candidate.BackEnd.Name
	attempt := f.attempt
	ended := func(result outcome.Result) {
		p.daemon.guard(func() {
			if f.ended || f.attempt != attempt {
				return
			}
			f.attempt++
			f.cancel = nil
			load.End()
			f.request.Exclude(load)
			if result.Kind == outcome.Answered || f.first.IsZero() {
				load.RecordResult(w.Now, result)
			}
			if w.Settings.Without == MechanismOutcomeKinds && result.Kind == outcome.Unknown {
				result.Kind = outcome.NotRun
			}
			f.step(f.machine.AttemptEnded(w.Now, result, !f.first.IsZero()))
		})()
	}
	f.send(w.engines[candidate.BackEnd.Name], candidate.Version, ended)
	f.watchIdle(attempt, ended)
}

// idleTimeout is how long an engine's answer may stay silent.
const idleTimeout = 30 * time.Second

// watchIdle gives up an attempt whose engine has gone silent.
func (f *flight) watchIdle(attempt int, ended func(outcome.Result)) {
	f.plane.daemon.world.After(idleTimeout, func() {
		if f.ended || f.attempt != attempt {
			return
		}
		if f.cancel != nil {
			f.cancel()
		}
		kind := outcome.Unknown
		if !f.first.IsZero() {
			kind = outcome.Failed
		}
		ended(outcome.Result{Kind: kind, Reason: outcome.ReasonBroken})
	})
}

// send carries a request to an engine and its tokens back.
func (f *flight) send(e *Engine, version string, ended func(outcome.Result)) {
	w, name := f.plane.daemon.world, f.plane.daemon.Name
	refused := outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}
	if w.Network.IsCut(name, e.Name) {
		w.After(dialTimeout, func() { ended(refused) })
		return
	}
	w.After(w.Network.Delay(name, e.Name), func() {
		if !e.Alive {
			w.After(w.Network.Delay(e.Name, name), func() { ended(refused) })
			return
		}
		lost := w.Chance(f.plane.settings.ConnectionLost)
		request := engine.Request{
			ID: f.call.ID, Priority: f.call.Priority, Prompt: f.call.Prompt, PromptTokens: f.call.PromptTokens,
			OutputTokens: f.call.OutputTokens,
			Artifact:     api.Artifact{Model: f.call.Reference.Model, Version: version, Adapter: f.call.Reference.Adapter},
		}
		err := e.submit(request, func(event engineEvent) {
			if lost || w.Network.IsCut(e.Name, name) {
				return
			}
			w.After(w.Network.Delay(e.Name, name), func() { f.token(event, ended) })
		})
		if err != nil {
			w.After(w.Network.Delay(e.Name, name), func() {
				ended(outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonRefused})
			})
			return
		}
		f.cancel = func() { e.cancel(f.call.ID) }
		if lost {
			w.After(w.Network.Delay(e.Name, name), func() {
				ended(outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken})
			})
		}
	})
}

const dialTimeout = 2 * time.Second

// token takes in the first or last token, or the loss of the engine.
func (f *flight) token(event engineEvent, ended func(outcome.Result)) {
	w := f.plane.daemon.world
	switch {
	case event.Lost && f.first.IsZero():
		ended(outcome.Result{Kind: outcome.Unknown, Reason: outcome.ReasonBroken})
	case event.Lost:
		ended(outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken})
	case event.Token.Last:
		if f.first.IsZero() {
			f.first = w.Now
		}
		ended(outcome.Result{Kind: outcome.Answered})
	case f.first.IsZero():
		f.first = w.Now
	}
}

// finish ends a call with its final result.
func (f *flight) finish(result outcome.Result) {
	if f.ended {
		return
	}
	p := f.plane
	if f.queue != nil {
		started, expired := f.queue.Finish(p.daemon.world.Now, p.daemon.world.Now.Sub(f.entered))
		f.queue = nil
		defer p.resume(started, expired)
	}
	answer := Result{Result: result, BackEnd: f.backEnd}
	if !f.first.IsZero() {
		answer.FirstToken = f.first.Sub(f.arrived)
		answer.LastToken = p.daemon.world.Now.Sub(f.arrived)
	}
	f.tell(answer)
}

// tell sends the result to the caller once.
func (f *flight) tell(result Result) {
	if f.ended {
		return
	}
	f.ended = true
	f.plane.active--
	delete(f.plane.flights, f)
	f.done(result)
}
