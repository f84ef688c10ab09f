package daemon

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/exchange"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/retry"
)

// TestOneServicePaysForNoRetriesAtAnother guards against a service that fails and gets retries for the answers of another one.
func TestOneServicePaysForNoRetriesAtAnother(t *testing.T) {
	d := &Daemon{budgets: retry.NewBudgets(retry.Settings{Share: 0.5, Floor: 2, Initial: 2}), exchange: exchange.DefaultSettings()}
	now := time.Now()
	end := func(service string, result outcome.Result) exchange.Step {
		machine := d.newExchange(&caller.Call{Service: service, Repeatable: true, Deadline: now.Add(time.Minute)})
		machine.Start()
		return machine.AttemptEnded(now, result, false)
	}
	retries := 0
	for range 20 {
		if end("failing", outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonDeadline}) == exchange.StepAttempt {
			retries++
		}
		for range 10 {
			end("busy", outcome.Result{Kind: outcome.Answered})
		}
	}
	if retries != 2 {
		t.Errorf("%d retries at a service without a single answer, want the first 2", retries)
	}
}
