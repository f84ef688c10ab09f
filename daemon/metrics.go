package daemon

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/wheatweir/wheatweir/outcome"
)

// metrics counts what a daemon does. Names carry no model, since 600 models on
// 320 daemons would make too many series; per-model figures come from queries.
type metrics struct {
	registry   *prometheus.Registry
	scope      tally.Scope
	closer     io.Closer
	outcomes   map[outcome.Kind]tally.Counter
	firstToken tally.Histogram
	attempts   tally.Counter
	retries    tally.Counter
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "wheatweir", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, time.Second)
	m := &metrics{
		registry: registry, scope: scope, closer: closer,
		outcomes: map[outcome.Kind]tally.Counter{},
		attempts: scope.Counter("attempts"),
		retries:  scope.Counter("retries"),
		firstToken: scope.Histogram("first_byte_seconds",
			tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
	for _, kind := range []outcome.Kind{outcome.Answered, outcome.NotRun, outcome.Failed, outcome.Unknown} {
		m.outcomes[kind] = scope.Tagged(map[string]string{"outcome": kind.String()}).Counter("requests")
	}
	return m
}

func (m *metrics) write(w io.Writer) error {
	families, err := m.registry.Gather()
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
