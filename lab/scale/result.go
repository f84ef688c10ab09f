package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
)

// Percentiles of a measure over daemons or repetitions.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func percentilesOf(values []float64) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := func(share float64) float64 {
		return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
	}
	return Percentiles{P50: at(0.5), P99: at(0.99), Max: sorted[len(sorted)-1]}
}

// Result is what a measurement found. Rates are per daemon, bytes are sent
// ones with frame and TCP/IP headers, and the processor share is of one core.
type Result struct {
	// Partial says that the measurement ended before its last phase.
	Partial                  bool        `json:"partial,omitempty"`
	Daemons                  int         `json:"daemons"`
	Servers                  int         `json:"servers"`
	Models                   int         `json:"models"`
	Placed                   float64     `json:"all_models_placed_seconds"`
	PlacedWrites             float64     `json:"all_models_placed_writes"`
	PlacedRefused            float64     `json:"all_models_placed_refused_calls"`
	ControlBytes             Percentiles `json:"control_bytes_per_second"`
	ControlBytesReceived     Percentiles `json:"control_bytes_received_per_second"`
	ControlMessages          Percentiles `json:"control_messages_per_second"`
	ControlCPU               Percentiles `json:"control_cpu_share"`
	HeapBytesPerDaemon       float64     `json:"heap_bytes_per_daemon"`
	HeapBytes                float64     `json:"heap_bytes"`
	PlatformReads            float64     `json:"platform_reads_per_second"`
	PlatformWrites           float64     `json:"platform_writes_per_second"`
	PlatformWatches          float64     `json:"platform_watches_per_second"`
	ConfigInForce            Percentiles `json:"config_in_force_seconds"`
	ConfigAfterCut           float64     `json:"config_in_force_after_region_return_seconds"`
	MembershipAfterCut       float64     `json:"membership_whole_after_region_return_seconds"`
	Detection                Percentiles `json:"detection_seconds"`
	FalseDeaths              int         `json:"false_deaths"`
	UnreachableAfterZoneLoss int         `json:"unreachable_after_zone_loss"`
	ZoneRecovery             float64     `json:"zone_recovery_seconds"`
	ZoneRecoveryWrites       float64     `json:"zone_recovery_writes_per_second"`
}

// JSON returns any result as JSON.
func JSON(value any) []byte {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// row is one measure in the text form.
type row struct {
	name   string
	value  func(*Result) string
	number func(*Result) float64
}

func percentileRow(name string, unit string, scale float64, pick func(*Result) Percentiles) row {
	return row{
		name: name,
		value: func(r *Result) string {
			p := pick(r)
			return fmt.Sprintf("p50 %.4g  p99 %.4g  max %.4g %s", p.P50*scale, p.P99*scale, p.Max*scale, unit)
		},
		number: func(r *Result) float64 { return pick(r).P50 * scale },
	}
}

func numberRow(name, unit string, scale float64, pick func(*Result) float64) row {
	return row{
		name:   name,
		value:  func(r *Result) string { return fmt.Sprintf("%.4g %s", pick(r)*scale, unit) },
		number: func(r *Result) float64 { return pick(r) * scale },
	}
}

var rows = []row{
	numberRow("empty to all held twice", "s", 1, func(r *Result) float64 { return r.Placed }),
	numberRow("writes until then", "", 1, func(r *Result) float64 { return r.PlacedWrites }),
	numberRow("refused calls until then", "", 1, func(r *Result) float64 { return r.PlacedRefused }),
	percentileRow("control bytes sent", "B/s", 1, func(r *Result) Percentiles { return r.ControlBytes }),
	percentileRow("control bytes received", "B/s", 1, func(r *Result) Percentiles { return r.ControlBytesReceived }),
	percentileRow("control messages sent", "1/s", 1, func(r *Result) Percentiles { return r.ControlMessages }),
	percentileRow("control processor share", "% of a core", 100, func(r *Result) Percentiles { return r.ControlCPU }),
	numberRow("heap for each daemon", "MB", 1e-6, func(r *Result) float64 { return r.HeapBytesPerDaemon }),
	numberRow("heap in all", "MB", 1e-6, func(r *Result) float64 { return r.HeapBytes }),
	numberRow("platform reads", "1/s", 1, func(r *Result) float64 { return r.PlatformReads }),
	numberRow("platform writes", "1/s", 1, func(r *Result) float64 { return r.PlatformWrites }),
	numberRow("platform watches", "1/s", 1, func(r *Result) float64 { return r.PlatformWatches }),
	percentileRow("configuration in force", "s", 1, func(r *Result) Percentiles { return r.ConfigInForce }),
	numberRow("in force after region cut", "s", 1, func(r *Result) float64 { return r.ConfigAfterCut }),
	numberRow("members after region cut", "s", 1, func(r *Result) float64 { return r.MembershipAfterCut }),
	percentileRow("death of a daemon known", "s", 1, func(r *Result) Percentiles { return r.Detection }),
	numberRow("live daemons held for dead", "", 1, func(r *Result) float64 { return float64(r.FalseDeaths) }),
	numberRow("models lost with a zone", "", 1, func(r *Result) float64 { return float64(r.UnreachableAfterZoneLoss) }),
	numberRow("zone loss until held twice", "s", 1, func(r *Result) float64 { return r.ZoneRecovery }),
	numberRow("writes during recovery", "1/s", 1, func(r *Result) float64 { return r.ZoneRecoveryWrites }),
}

// Print writes a result as text.
func (r *Result) Print(output io.Writer) {
	if r.Partial {
		fmt.Fprintln(output, "PARTIAL: ended before the last phase; measures of later phases are zero")
	}
	fmt.Fprintf(output, "daemons %d  servers %d  models %d\n", r.Daemons, r.Servers, r.Models)
	for _, row := range rows {
		fmt.Fprintf(output, "  %-28s %s\n", row.name, row.value(r))
	}
}

// PrintSweep writes several results side by side, with the slope of each
// measure: the exponent of its growth with the number of daemons between the
// first and the last size.
func PrintSweep(output io.Writer, results []Result) {
	fmt.Fprintf(output, "%-28s", "daemons")
	for i := range results {
		fmt.Fprintf(output, " %10d", results[i].Daemons)
	}
	fmt.Fprintf(output, " %10s\n", "exponent")
	for _, row := range rows {
		fmt.Fprintf(output, "%-28s", row.name)
		for i := range results {
			fmt.Fprintf(output, " %10.4g", row.number(&results[i]))
		}
		fmt.Fprintf(output, " %10s\n", exponent(row, results))
	}
}

func exponent(row row, results []Result) string {
	first, last := &results[0], &results[len(results)-1]
	low, high := row.number(first), row.number(last)
	if low <= 0 || high <= 0 || first.Daemons == last.Daemons {
		return "-"
	}
	return fmt.Sprintf("%.2f", math.Log(high/low)/math.Log(float64(last.Daemons)/float64(first.Daemons)))
}
