package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/service"
)

// serveService passes a request on to a plain service.
func (d *Daemon) serveService(ctx context.Context, call *caller.Call) (*caller.Answer, outcome.Result) {
	view := d.table.Load().Services[call.Service]
	if view == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownModel, 0)
	}
	request := route.Request{Zone: d.settings.Daemon.Zone, Random: rand.Uint64()}
	return d.drive(ctx, call, &request, func() (*route.BackEnd, *caller.Answer, outcome.Result) {
		chosen := route.PickMachine(time.Now(), view, &request)
		if chosen == nil {
			return nil, nil, outcome.Result{}
		}
		answer, result := d.attemptService(ctx, call, chosen)
		return chosen, answer, result
	})
}

// attemptService makes one attempt at one machine. There is no answer if it failed.
func (d *Daemon) attemptService(ctx context.Context, call *caller.Call, chosen *route.BackEnd) (*caller.Answer, outcome.Result) {
	d.logger.Info("Machine chosen.", "part", "route", "request", call.ID, "service", call.Service, "machine", chosen.Name)
	chosen.Load.Begin()
	defer chosen.Load.End()
	answer, result := d.services.Do(ctx, chosen.Address, service.Call{
		Method: call.Method, Path: call.Path, ContentType: call.ContentType, Body: call.Body,
		RequestID: call.ID, FreshConnection: !call.Repeatable,
	})
	if result.Kind != outcome.Answered {
		return nil, result
	}
	return &caller.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Memory: answer.Memory}, result
}
