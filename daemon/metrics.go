package daemon

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wheatweir/wheatweir/internal/connlimit"
	"github.com/wheatweir/wheatweir/internal/exposition"
	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/outcome"
)

// metrics counts what a daemon does. Names carry no model, since 600 models on
// 320 daemons would make too many series; per-model figures come from queries.
type metrics struct {
	root       *exposition.Root
	outcomes   map[outcome.Kind]tally.Counter
	firstToken tally.Histogram
	attempts   tally.Counter
	retries    tally.Counter
	// malformed counts answers with a malformed head.
	malformed map[messagehead.Defect]tally.Counter
}

func newMetrics() *metrics {
	root := exposition.NewRoot("wheatweir")
	m := &metrics{
		root:       root,
		outcomes:   map[outcome.Kind]tally.Counter{},
		attempts:   root.Counter("attempts"),
		retries:    root.Counter("retries"),
		firstToken: root.Histogram("first_byte_seconds", exposition.DurationBuckets()),
		malformed:  map[messagehead.Defect]tally.Counter{},
	}
	for _, defect := range messagehead.Defects() {
		m.malformed[defect] = root.Tagged(map[string]string{"defect": string(defect)}).Counter("answers_malformed")
	}
	for _, kind := range []outcome.Kind{outcome.Answered, outcome.NotRun, outcome.Failed, outcome.Unknown} {
		m.outcomes[kind] = root.Tagged(map[string]string{"outcome": kind.String()}).Counter("requests")
	}
	return m
}

// countMalformed counts a call that ended with a malformed head; other errors are left out.
func (m *metrics) countMalformed(err error) {
	if counter, found := m.malformed[messagehead.DefectOf(err)]; found {
		counter.Inc(1)
	}
}

func (m *metrics) write(w io.Writer) error { return m.root.Write(w) }

// connectionsInterval is the time between two looks at the connections.
const connectionsInterval = time.Second

// observeConnections shows how many connections the listeners have, and logs that callers are turned away.
func (d *Daemon) observeConnections(now time.Time) {
	if now.Sub(d.connectionsAt) < connectionsInterval {
		return
	}
	d.connectionsAt = now
	all := d.listeners.Counts()
	for name, counts := range all {
		gauges := d.connectionGauges[name]
		if gauges == nil {
			gauges = connlimit.NewGauges(d.metrics.root.Tagged(map[string]string{"listener": string(name)}))
			d.connectionGauges[name] = gauges
		}
		gauges.Update(counts)
	}
	for _, report := range d.connectionsTold.Observe(now, all) {
		message := "Callers are turned away."
		if report.Ended {
			message = "Callers are no longer turned away."
		}
		d.logger.Info(message, append([]any{"part", "connections"}, report.Fields()...)...)
	}
}
