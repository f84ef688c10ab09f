package daemon

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/engine"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/upstream"
)

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 16 << 20

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
	d.interests.TryPut(model.Spec.Name)
	gate := d.gate(model)
	ticket := &admit.Ticket{Priority: call.Priority, Deadline: d.deadline(call)}
	waiting, release := caller.WhileItMayBegin(ctx)
	refusal, admitted := gate.Acquire(waiting, ticket)
	refusal = caller.Told(waiting, refusal)
	release()
	if !admitted {
		d.logger.Info("Request refused.", "part", "admit", "request", call.ID, "model", model.Spec.Name,
			"priority", call.Priority, "reason", string(refusal.Reason), "retry_after", refusal.RetryAfter)
		return nil, refusal
	}
	entered := time.Now()
	leave := func() { gate.Release(time.Since(entered)) }
	answer, result := d.attemptModel(ctx, call, leave)
	if answer == nil || answer.Stream == nil {
		leave()
	}
	return answer, result
}

// attemptModel drives one exchange to its end, or to an answer that streams.
func (d *Daemon) attemptModel(ctx context.Context, call *caller.Call, leave func()) (*caller.Answer, outcome.Result) {
	request := route.Request{
		Adapter: call.Reference.Adapter,
		Zone:    d.settings.Daemon.Zone,
		Region:  d.settings.Daemon.Region,
		Prefix:  route.HashPrefix(call.Reference.Model, promptOf(call.Body)),
		Random:  rand.Uint64(),
	}
	return d.drive(ctx, call, &request, func() (*route.BackEnd, *caller.Answer, outcome.Result) {
		candidate := d.pick(call, &request)
		if candidate == nil {
			return nil, nil, outcome.Result{}
		}
		answer, result := d.attempt(ctx, call, candidate, &request.Prefix, leave)
		return candidate.BackEnd, answer, result
	})
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
	stream := &modelStream{daemon: d, call: call, response: response, leave: leave, load: load,
		told: func(result outcome.Result) outcome.Result { return caller.Told(ctx, result) }}
	if result, ok := stream.readFirst(ctx); !ok {
		load.End()
		return nil, result
	}
	return &caller.Answer{Status: statusOK, ContentType: response.Header("Content-Type"), Stream: stream}, result
}

const statusOK = 200

func (d *Daemon) wholeAnswer(ctx context.Context, response *upstream.Response) (*caller.Answer, outcome.Result) {
	answer := &caller.Answer{Status: response.Status(), ContentType: response.Header("Content-Type")}
	body, memory, err := response.ReadAndHold(maxAnswerBytes)
	if err != nil {
		return nil, brokenResult(ctx, err)
	}
	answer.Body, answer.Memory = body, memory
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
