package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// textOf is what metrics tell.
func textOf(t *testing.T, counted *metrics) string {
	t.Helper()
	counted.root.Close()
	var text strings.Builder
	if err := counted.root.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestYieldsAreCounted guards against waits that are not counted, or counted at each step of a request.
func TestYieldsAreCounted(t *testing.T) {
	counted := newMetrics()
	request := &gateway.Request{ID: "r", Arrived: time.Now()}
	steps := []gateway.Event{
		{Step: gateway.StepPaced, Reason: gateway.ReasonYielding},
		{Step: gateway.StepPaced},
		{Step: gateway.StepSent, Yielded: 1500 * time.Millisecond},
		{Step: gateway.StepEnded, Reason: gateway.ReasonAnswered, Yielded: 1500 * time.Millisecond},
		{Step: gateway.StepEnded, Reason: gateway.ReasonAnswered},
	}
	for i := range steps {
		steps[i].Request = request
		counted.count(&steps[i], time.Second)
	}
	text := textOf(t, counted)
	for _, want := range []string{"wheatweir_requests_yielded 1\n", "wheatweir_requests_yielded_ms 1500\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
}

// TestAnswersAreCountedByFraming guards against answers that broke off and cannot be told from whole ones in the metrics.
func TestAnswersAreCountedByFraming(t *testing.T) {
	counted := newMetrics()
	request := &gateway.Request{ID: "r", Arrived: time.Now()}
	steps := []gateway.Event{
		{Step: gateway.StepStreamTruncated, Framing: gateway.FramedByConnection},
		{Step: gateway.StepEnded, Reason: gateway.ReasonAnswered, Framing: gateway.FramedByConnection},
		{Step: gateway.StepEnded, Reason: gateway.ReasonAnswered, Framing: gateway.FramedByConnection},
		{Step: gateway.StepEnded, Reason: gateway.ReasonClientDisconnected},
	}
	for i := range steps {
		steps[i].Request = request
		counted.count(&steps[i], time.Second)
	}
	text := textOf(t, counted)
	for _, want := range []string{`wheatweir_answers_ended{end="broken",framing="connection"} 1`, `wheatweir_answers_ended{end="whole",framing="connection"} 2`} {
		if !strings.Contains(text, want) {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
}
