package entry

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/clock"
	"github.com/wheatweir/wheatweir/retry"
)

// TestSpentRetryBudgetsAreTold guards against retries that are denied, and nothing tells for which service or since when; and
// against a line for each of them.
func TestSpentRetryBudgetsAreTold(t *testing.T) {
	writer := &gatedWriter{gate: make(chan struct{})}
	close(writer.gate)
	d := &Daemon{clock: clock.New(), log: newLogBook("info", "n", writer), metrics: newMetrics()}
	d.fleet.setLive(7)
	d.retries = newRetryObserver(d)
	request := &gateway.Request{ID: "r", Arrived: time.Now()}
	decided := func(service string, step gateway.Step) {
		d.Observe(gateway.Event{Step: step, Request: request, Service: service, Retry: retry.Decision{Tokens: 0.255, Limit: 4.5}})
	}
	decided("sound", gateway.StepRetryAllowed)
	for range 50 {
		decided("failing", gateway.StepRetryDenied)
		decided("failing", gateway.StepRetryAllowed)
	}
	d.retries.tick(d.clock.Now())
	d.retries.tick(d.clock.Now().Add(retryCalm))
	d.log.drain()
	text := writer.text.String()
	for _, want := range []string{
		"step=retry_denied service=failing tokens=0.26 limit=4.5 daemons=7",
		`msg="retries: Budget spent." node=n service=failing tokens=0.26 limit=4.5 daemons=7`,
		`msg="retries: Budget has tokens again." node=n service=failing spent_ms=[0-9]+ allowed=50 denied=50`,
	} {
		if !regexp.MustCompile(want).MatchString(text) {
			t.Errorf("no line with %q in\n%s", want, text)
		}
	}
	if lines := strings.Count(text, "retries: "); lines != 2 {
		t.Errorf("%d lines of budgets, want 2", lines)
	}
	counted := textOf(t, d.metrics)
	for _, want := range []string{
		`wheatweir_retries{result="retry_allowed",service="sound"} 1`, `wheatweir_retries{result="retry_denied",service="failing"} 50`,
	} {
		if !strings.Contains(counted, want) {
			t.Errorf("no line %q in\n%s", want, counted)
		}
	}
}
