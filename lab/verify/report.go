package verify

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wheatweir/wheatweir/lab/sim"
	"github.com/wheatweir/wheatweir/nearest"
)

// Plan says which runs to make.
type Plan struct {
	// First is the seed of the first run and Runs the number of runs.
	First uint64
	Runs  int
	// Promise limits the report to one promise; empty means all.
	Promise string
	Without sim.Mechanism
	// Progress gets a line now and then on long work.
	Progress io.Writer
	// Trace, if set, gets the trace; it needs Runs to be 1.
	Trace func(line string)
}

// PromiseResult is the result for one promise over all runs.
type PromiseResult struct {
	Promise    string   `json:"promise"`
	Text       string   `json:"text"`
	Runs       int      `json:"runs"`
	Violations int      `json:"violations"`
	Seeds      []uint64 `json:"seeds,omitempty"`
	Examples   []string `json:"examples,omitempty"`
}

// Summary is the result of all runs.
type Summary struct {
	Without  string          `json:"without,omitempty"`
	Runs     int             `json:"runs"`
	Partial  bool            `json:"partial"`
	Faults   map[string]int  `json:"faults"`
	Calls    int             `json:"calls"`
	Answered int             `json:"answered"`
	InForce  int             `json:"in_force_checks"`
	Latest   string          `json:"latest_work_at_leaving"`
	Promises []PromiseResult `json:"promises"`
}

// Violations returns the number of violations over all promises.
func (s *Summary) Violations() int {
	total := 0
	for i := range s.Promises {
		total += s.Promises[i].Violations
	}
	return total
}

// Check checks the names in a plan.
func (p *Plan) Check() error {
	if p.Promise != "" && !slices.Contains(PromiseNames(), p.Promise) {
		return ErrVerify.New("no promise %q; did you mean %q?", p.Promise, nearest.Match(p.Promise, PromiseNames()))
	}
	if p.Without != sim.MechanismNone && !slices.Contains(MechanismNames(), string(p.Without)) {
		return ErrVerify.New("no mechanism %q; did you mean %q?", p.Without, nearest.Match(string(p.Without), MechanismNames()))
	}
	return nil
}

// progressEvery is the number of runs between two lines of progress.
const progressEvery = 50

// Execute makes the runs, several at once. Stop ends it early; the summary is
// then marked as partial.
func Execute(plan Plan, stop func() bool) (Summary, error) {
	if err := plan.Check(); err != nil {
		return Summary{}, err
	}
	outcomes := make([]*Outcome, plan.Runs)
	var mutex sync.Mutex
	finished := 0
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for index := range plan.Runs {
		workers.Go(func() {
			if stop() {
				return
			}
			outcome := Run(Options{Seed: plan.First + uint64(index), Without: plan.Without, Trace: plan.Trace})
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[index] = &outcome
			finished++
			if plan.Progress != nil && finished%progressEvery == 0 {
				fmt.Fprintf(plan.Progress, "%d of %d runs\n", finished, plan.Runs)
			}
		})
	}
	workers.Wait()
	return summarize(&plan, outcomes), nil
}

// maxExamples bounds the violations that a summary shows for each promise.
const maxExamples = 3

func summarize(plan *Plan, outcomes []*Outcome) Summary {
	summary := Summary{Without: string(plan.Without), Faults: map[string]int{}}
	for _, promise := range Promises {
		if plan.Promise == "" || plan.Promise == promise.Name {
			summary.Promises = append(summary.Promises, PromiseResult{Promise: promise.Name, Text: promise.Text})
		}
	}
	var latest time.Duration
	for _, outcome := range outcomes {
		if outcome == nil {
			summary.Partial = true
			continue
		}
		summary.Runs++
		summary.Calls += outcome.Calls
		summary.Answered += outcome.Answered
		summary.InForce += outcome.InForceChecks
		latest = max(latest, outcome.LatestLeaving)
		for name, count := range outcome.Faults {
			summary.Faults[name] += count
		}
		for i := range summary.Promises {
			summary.Promises[i].add(outcome)
		}
	}
	summary.Latest = latest.String()
	return summary
}

func (r *PromiseResult) add(outcome *Outcome) {
	r.Runs++
	found := outcome.Violations[r.Promise]
	if len(found) == 0 {
		return
	}
	r.Violations += len(found)
	r.Seeds = append(r.Seeds, outcome.Seed)
	for _, text := range found {
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, fmt.Sprintf("seed %d %s", outcome.Seed, text))
		}
	}
}

// Print writes the summary as text.
func (s *Summary) Print(output io.Writer) {
	if s.Without != "" {
		fmt.Fprintf(output, "without %s\n", s.Without)
	}
	if s.Partial {
		fmt.Fprintln(output, "PARTIAL: stopped before all runs were made")
	}
	fmt.Fprintf(output, "runs %d  calls %d  answered %d  configuration changes checked for being in force %d\n", s.Runs, s.Calls, s.Answered, s.InForce)
	fmt.Fprintf(output, "latest new work after an engine began to leave: %s\n", s.Latest)
	fmt.Fprintln(output, "faults brought about:")
	total := 0
	for _, fault := range faults {
		fmt.Fprintf(output, "  %-28s %d\n", fault.name, s.Faults[fault.name])
		total += s.Faults[fault.name]
	}
	for i := range s.Promises {
		promise := &s.Promises[i]
		fmt.Fprintf(output, "%-14s runs %d  faults %d  violations %d\n", promise.Promise, promise.Runs, total, promise.Violations)
		for _, example := range promise.Examples {
			fmt.Fprintf(output, "    %s\n", example)
		}
	}
}

// JSON returns the summary as JSON.
func (s *Summary) JSON() []byte {
	encoded, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
