package sim

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/outcome"
)

// Oracle keeps what an observer outside the system knows: what each call was
// told and what each engine ran.
type Oracle struct {
	calls []*callRecord
	// Accepted, if set, is told of each write that the platform accepted.
	Accepted func(object api.Object)
	// CutByStop counts calls that a planned stop cut off or turned away at an
	// address that the caller was still allowed to keep.
	CutByStop int
	// LatestWorkAtLeaving is the longest time after an engine began to leave
	// that new work arrived there.
	LatestWorkAtLeaving time.Duration
	WorkAtLeaving       int
}

type callRecord struct {
	call   Call
	result Result
	ended  bool
}

func newOracle() *Oracle { return &Oracle{} }

func (o *Oracle) began(call Call) *callRecord {
	record := &callRecord{call: call}
	o.calls = append(o.calls, record)
	return record
}

func (r *callRecord) finished(result Result) {
	r.result = result
	r.ended = true
}

func (o *Oracle) workAtLeaving(after time.Duration) {
	o.WorkAtLeaving++
	o.LatestWorkAtLeaving = max(o.LatestWorkAtLeaving, after)
}

// runs returns how often each call was run by any engine.
func (w *World) runs() map[string]int {
	total := map[string]int{}
	for _, e := range w.Engines {
		for id, count := range e.Core.Executions {
			total[id] += count
		}
	}
	return total
}

// CheckNotRun returns the calls that were told "not run" but ran.
func (w *World) CheckNotRun() []string {
	runs := w.runs()
	var violations []string
	for _, record := range w.Oracle.calls {
		if record.ended && record.result.Kind == outcome.NotRun && runs[record.call.ID] > 0 {
			violations = append(violations, fmt.Sprintf("%s was told not run (%s) and ran %d times",
				record.call.ID, record.result.Reason, runs[record.call.ID]))
		}
	}
	return violations
}

// CheckAtMostOnce returns the keys under which more than one run happened.
func (w *World) CheckAtMostOnce() []string {
	runs := w.runs()
	byKey := map[string]int{}
	var order []string
	for _, record := range w.Oracle.calls {
		if key := record.call.Key; key != "" {
			if byKey[key] == 0 {
				order = append(order, key)
			}
			byKey[key] += runs[record.call.ID]
		}
	}
	var violations []string
	for _, key := range order {
		if byKey[key] > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, byKey[key]))
		}
	}
	return violations
}

// CheckMemory returns the engines whose memory was ever overcommitted.
func (w *World) CheckMemory() []string {
	var violations []string
	for _, e := range w.Engines {
		if e.Core.Overcommits > 0 {
			violations = append(violations, fmt.Sprintf("%s was overcommitted %d times", e.Name, e.Core.Overcommits))
		}
	}
	return violations
}

// CheckAnswers returns calls that ended twice or not at all; the caller must
// have let all calls end.
func (w *World) CheckAnswers() []string {
	var violations []string
	for _, record := range w.Oracle.calls {
		if !record.ended {
			violations = append(violations, record.call.ID+" never got an answer")
		}
	}
	return violations
}

// Unreachable returns the live models that no live engine can serve now, in
// any version.
func (w *World) Unreachable(models []string) []string {
	served := map[string]bool{}
	for _, e := range w.Engines {
		if !e.Alive {
			continue
		}
		report := e.Core.Report(w.Now)
		for _, artifact := range report.Residents {
			served[artifact.Model] = true
		}
	}
	var missing []string
	for _, model := range models {
		if !served[model] {
			missing = append(missing, model)
		}
	}
	return missing
}

// Count returns how many calls ended and how many were answered.
func (o *Oracle) Count() (calls, answered int) {
	for _, record := range o.calls {
		calls++
		if record.ended && record.result.Kind == outcome.Answered {
			answered++
		}
	}
	return calls, answered
}
