package daemon

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/service"
	"github.com/wheatweir/wheatweir/upstream"
)

const (
	// noReplicaRetry is when to come back for a model that nothing serves now.
	noReplicaRetry = 2 * time.Second
	// startingRetry is when to come back to a daemon that has just started.
	startingRetry = time.Second
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 16 << 20
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
	var answer *caller.Answer
	var result outcome.Result
	if call.Service != "" {
		answer, result = d.serveService(ctx, call)
	} else {
		answer, result = d.serveModel(ctx, call)
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
	target := call.Service
	if target == "" {
		target = call.Reference.Model
	}
	took := time.Since(call.ArrivedAt)
	d.requests.add(call, target, result, took)
	d.logger.Info("Request ended.", "part", "request", "request", call.ID, "target", target,
		"outcome", result.Kind, "reason", string(result.Reason), "took", took.Round(time.Microsecond), "error", result.Err)
}

func (d *Daemon) deadline(call *caller.Call) time.Time {
	if !call.Deadline.IsZero() {
		return call.Deadline
	}
	return call.ArrivedAt.Add(d.settings.Requests.DefaultDeadline)
}

// gate returns the gate of a model and creates it on first use.
func (d *Daemon) gate(model *route.Model) *admit.Gate {
	d.gateMutex.RLock()
	gate := d.gates[model.Spec.Name]
	d.gateMutex.RUnlock()
	if gate != nil {
		return gate
	}
	d.gateMutex.Lock()
	defer d.gateMutex.Unlock()
	gate = d.gates[model.Spec.Name]
	if gate == nil {
		settings := admit.Settings{MaxWaiting: d.settings.Requests.MaxWaiting, Handicap: d.settings.Requests.Handicap}
		gate = admit.NewGate(settings, d.gateLimit(model))
		d.gates[model.Spec.Name] = gate
	}
	return gate
}

// gateLimit is how many requests of a model may be at engines from here.
func (d *Daemon) gateLimit(model *route.Model) int {
	return max(1, int(d.settings.Requests.SlotOvercommit*float64(model.Slots())))
}

func (d *Daemon) serveModel(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	model := d.table.Load().Models[call.Reference.Model]
	if model == nil || call.Reference.Adapter != "" && !model.Spec.HasAdapter(call.Reference.Adapter) {
		return nil, outcome.Refuse(outcome.ReasonUnknownModel, 0)
	}
	if call.Priority == caller.NoPriority {
		call.Priority = model.Spec.Priority
	}
	d.interests.Offer(model.Spec.Name)
	gate := d.gate(model)
	ticket := &admit.Ticket{Priority: call.Priority, Deadline: d.deadline(call)}
	if refusal, admitted := gate.Enter(ctx, ticket); !admitted {
		d.logger.Info("Request refused.", "part", "admit", "request", call.ID, "model", model.Spec.Name,
			"priority", call.Priority, "reason", string(refusal.Reason), "retry_after", refusal.RetryAfter)
		return nil, refusal
	}
	entered := time.Now()
	leave := func() { gate.Exit(time.Since(entered)) }
	answer, result := d.attemptModel(ctx, call, leave)
	if answer == nil || answer.Stream == nil {
		leave()
	}
	return answer, result
}

// attemptModel drives one exchange to its end, or to an answer that streams.
func (d *Daemon) attemptModel(ctx context.Context, call *caller.Call, leave func()) (*caller.Answer, outcome.Result) {
	machine := d.newExchange(call)
	request := route.Request{
		Adapter: call.Reference.Adapter,
		Zone:    d.settings.Daemon.Zone,
		Region:  d.settings.Daemon.Region,
		Prefix:  route.HashPrefix(call.Reference.Model, promptOf(call.Body)),
		Random:  rand.Uint64(),
	}
	step := machine.Start()
	for {
		switch step {
		case exchange.StepClaim:
			step = machine.ClaimAnswered(time.Now(), d.ledger.claim(call.Key))
		case exchange.StepFinish:
			return nil, machine.Result
		case exchange.StepAttempt:
			d.pauseBeforeRetry(ctx, machine.Attempts())
			if !d.knowsEnough() {
				step = machine.NoBackEnd(outcome.ReasonStarting, startingRetry)
				continue
			}
			candidate := d.pick(call, &request)
			if candidate == nil {
				step = machine.NoBackEnd(outcome.ReasonNoReplica, noReplicaRetry)
				continue
			}
			answer, result := d.attempt(ctx, call, candidate, &request.Prefix, leave)
			if answer != nil {
				machine.AttemptEnded(time.Now(), result, false)
				return answer, result
			}
			d.noteFailure(call, candidate.BackEnd, &request, result)
			step = machine.AttemptEnded(time.Now(), result, false)
		}
	}
}

func (d *Daemon) newExchange(call *caller.Call) *exchange.Exchange {
	return exchange.New(d.exchange, d.budget, exchange.Request{
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

// pick chooses a candidate from the newest table and logs the choice.
func (d *Daemon) pick(call *caller.Call, request *route.Request) *route.Candidate {
	model := d.table.Load().Models[call.Reference.Model]
	if model == nil {
		return nil
	}
	candidate := d.picker.Pick(time.Now(), model, request)
	if candidate == nil {
		d.logger.Info("No back end.", "part", "route", "request", call.ID, "model", model.Spec.Name, "candidates", len(model.Candidates))
		return nil
	}
	d.logger.Info("Back end chosen.", "part", "route", "request", call.ID, "model", model.Spec.Name,
		"version", candidate.Version, "back_end", candidate.BackEnd.Name, "candidates", len(model.Candidates),
		"own_load", candidate.BackEnd.Load.InFlight(), "observed", candidate.Observed)
	return candidate
}

// noteFailure keeps the request from the back end that failed it, and other
// requests for a while if the back end was not reached or turned this one away.
func (d *Daemon) noteFailure(call *caller.Call, backEnd *route.BackEnd, request *route.Request, result outcome.Result) {
	request.Exclude(backEnd.Load)
	if result.Kind == outcome.NotRun {
		backEnd.Load.Refused(time.Now())
	}
	d.logger.Info("Attempt failed.", "part", "route", "request", call.ID, "back_end", backEnd.Name,
		"outcome", result.Kind, "reason", string(result.Reason), "error", result.Err)
}

// attempt makes one attempt at one back end.
func (d *Daemon) attempt(ctx context.Context, call *caller.Call, candidate *route.Candidate, prefix *route.PrefixHashes, leave func()) (*caller.Answer, outcome.Result) {
	load := candidate.BackEnd.Load
	load.Begin()
	response, result := d.engines.Open(ctx, candidate.BackEnd.Address, engine.Call{
		Path: call.Path, Body: call.Body, RequestID: call.ID, Version: candidate.Version,
		Priority: call.Priority, FreshConnection: !call.Repeatable,
	})
	if response == nil {
		load.End()
		return nil, result
	}
	d.prefixes.Record(prefix, load.ID)
	if !call.Stream || response.Status() != statusOK {
		defer load.End()
		return d.wholeAnswer(ctx, response)
	}
	stream := &modelStream{daemon: d, call: call, response: response, leave: leave, load: load}
	if result, ok := stream.readFirst(ctx); !ok {
		load.End()
		return nil, result
	}
	return &caller.Answer{Status: statusOK, ContentType: response.Header("Content-Type"), Stream: stream}, result
}

const statusOK = 200

func (d *Daemon) wholeAnswer(ctx context.Context, response *upstream.Response) (*caller.Answer, outcome.Result) {
	answer := &caller.Answer{Status: response.Status(), ContentType: response.Header("Content-Type")}
	body, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, brokenResult(ctx, err)
	}
	answer.Body = body
	return answer, outcome.Result{Kind: outcome.Answered, Status: answer.Status}
}

func brokenResult(ctx context.Context, err error) outcome.Result {
	reason := outcome.ReasonBroken
	if ctx.Err() != nil {
		reason = outcome.ReasonCallerGone
	}
	return outcome.Result{Kind: outcome.Failed, Reason: reason, Err: err}
}

// promptOf returns the part of a body that an engine caches by its prefix.
func promptOf(body []byte) []byte {
	for _, field := range []string{`"messages"`, `"prompt"`} {
		if index := bytes.Index(body, []byte(field)); index >= 0 {
			return body[index:]
		}
	}
	return nil
}

// serveService passes a request on to a plain service.
func (d *Daemon) serveService(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	view := d.table.Load().Services[call.Service]
	if view == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownModel, 0)
	}
	machine := d.newExchange(call)
	request := route.Request{Zone: d.settings.Daemon.Zone, Random: rand.Uint64()}
	step := machine.Start()
	for {
		switch step {
		case exchange.StepClaim:
			step = machine.ClaimAnswered(time.Now(), d.ledger.claim(call.Key))
		case exchange.StepFinish:
			return nil, machine.Result
		case exchange.StepAttempt:
			d.pauseBeforeRetry(ctx, machine.Attempts())
			if !d.knowsEnough() {
				step = machine.NoBackEnd(outcome.ReasonStarting, startingRetry)
				continue
			}
			chosen := route.PickMachine(time.Now(), view, &request)
			if chosen == nil {
				step = machine.NoBackEnd(outcome.ReasonNoReplica, noReplicaRetry)
				continue
			}
			answer, result := d.attemptService(ctx, call, chosen)
			if result.Kind == outcome.Answered {
				machine.AttemptEnded(time.Now(), result, false)
				return answer, result
			}
			d.noteFailure(call, chosen, &request, result)
			step = machine.AttemptEnded(time.Now(), result, false)
		}
	}
}

func (d *Daemon) attemptService(ctx context.Context, call *caller.Call, chosen *route.BackEnd) (*caller.Answer, outcome.Result) {
	d.logger.Info("Machine chosen.", "part", "route", "request", call.ID, "service", call.Service, "machine", chosen.Name)
	chosen.Load.Begin()
	defer chosen.Load.End()
	answer, result := d.services.Do(ctx, chosen.Address, service.Call{
		Method: call.Method, Path: call.Path, ContentType: call.ContentType, Body: call.Body,
		RequestID: call.ID, FreshConnection: !call.Repeatable,
	})
	return &caller.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, result
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
