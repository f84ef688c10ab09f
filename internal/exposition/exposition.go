// Package exposition makes a root scope for counters and histograms, and writes
// all of them as Prometheus text.
package exposition

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// Root is a scope with its registry.
type Root struct {
	tally.Scope
	registry *prometheus.Registry
	closer   io.Closer
}

// NewRoot returns a root scope whose names begin with a prefix.
func NewRoot(prefix string) *Root {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, time.Second)
	return &Root{Scope: scope, registry: registry, closer: closer}
}

// Write writes all figures as text.
func (r *Root) Write(w io.Writer) error {
	families, err := r.registry.Gather()
	if err != nil {
		return err
	}
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return err
		}
	}
	return nil
}

// Close ends the reporting.
func (r *Root) Close() { _ = r.closer.Close() }

// DurationBuckets are the bounds of all histograms of durations.
func DurationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
}
