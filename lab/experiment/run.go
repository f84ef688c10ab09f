package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wheatweir/wheatweir/placement"
)

// policy is one way to run the same requests.
type policy interface {
	run(c *Config, seed uint64, arrivals []arrival, stop func() bool) Result
}

// policies are run for each experiment, in this order.
func policies() []policy {
	return []policy{
		&systemPolicy{name: "static", fixed: true},
		&onDemand{name: "on-demand-lru"},
		&systemPolicy{name: "wheatweir-attainment", adjust: func(s *placement.Settings) {
			s.Weights = placement.Weights{Attainment: 4, Moves: 1}
			s.MinimumStay = 30 * time.Second
		}},
		&systemPolicy{name: "wheatweir-moves", adjust: func(s *placement.Settings) {
			s.Weights = placement.Weights{Attainment: 1, Moves: 8}
			s.MinimumStay = 5 * time.Minute
		}},
		&onDemand{name: "bound", bound: true},
	}
}

// Run runs all policies on the same requests. Stop ends it early; results are
// then marked as partial.
func Run(c *Config, seed uint64, progress io.Writer, stop func() bool) []Result {
	arrivals := workload(c, seed)
	all := policies()
	results := make([]Result, len(all))
	workers := pool.New()
	for index, each := range all {
		workers.Go(func() {
			began := time.Now()
			results[index] = each.run(c, seed, arrivals, stop)
			if progress != nil {
				fmt.Fprintf(progress, "%s: %s took %s\n", c.Name, results[index].Policy, time.Since(began).Round(time.Millisecond))
			}
		})
	}
	workers.Wait()
	return results
}

// JSON returns results as JSON.
func JSON(results []Result) []byte {
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return []byte("[]")
	}
	return encoded
}

// Print writes results as a table.
func Print(output io.Writer, results []Result) {
	writer := tabwriter.NewWriter(output, 0, 8, 2, ' ', 0)
	fmt.Fprintln(writer, "POLICY\tREQUESTS\tANSWERED\tATTAINMENT\tACCELERATORS\tPER ACCELERATOR\tMOVES\tVIOLATIONS")
	for i := range results {
		r := &results[i]
		name := r.Policy
		if r.Partial {
			name += " (PARTIAL)"
		}
		fmt.Fprintf(writer, "%s\t%d\t%d\t%.4f\t%d\t%.6f\t%d\t%d\n", name, r.Requests, r.Answered, r.Attainment, r.Accelerators, r.AttainmentPerAccelerator, r.Moves, r.Violations)
	}
	fmt.Fprintln(writer, "\nPOLICY\tTIER\tREQUESTS\tATTAINMENT\tFIRST P50 ms\tP95\tTOKEN P50 ms\tP95")
	for i := range results {
		for _, tier := range results[i].Tiers {
			fmt.Fprintf(writer, "%s\t%s\t%d\t%.4f\t%.0f\t%.0f\t%.1f\t%.1f\n", results[i].Policy, tier.Tier, tier.Requests, tier.Attainment, tier.FirstP50, tier.FirstP95, tier.TokenP50, tier.TokenP95)
		}
	}
	_ = writer.Flush()
}
