package connlimit

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is the minimum time between two reports on one listener.
	reportInterval = time.Second
	// calmTime is how long nobody must have been turned away until it is reported that this is over.
	calmTime = 5 * time.Second
)

// TurnedAway is the number of connections and requests that were not served because of a limit.
func (c Counts) TurnedAway() int64 {
	return c.GaveWay + c.Refused + c.HeadsTooLarge + c.HeadsWithoutRoom + c.TimedOut + c.AcceptFailures
}

// since returns what was counted since an earlier moment. What is open now stays.
func (c Counts) since(earlier Counts) Counts {
	c.Accepted -= earlier.Accepted
	c.GaveWay -= earlier.GaveWay
	c.Refused -= earlier.Refused
	c.HeadsTooLarge -= earlier.HeadsTooLarge
	c.HeadsWithoutRoom -= earlier.HeadsWithoutRoom
	c.TimedOut -= earlier.TimedOut
	c.AcceptFailures -= earlier.AcceptFailures
	return c
}

// Report tells what a listener did since the last report on it.
type Report struct {
	Listener Name
	Counts   Counts
	// Ended means that nobody has been turned away for a while.
	Ended bool
}

// Observer decides what is reported of listeners: at most one report on each in reportInterval, however many clients are turned away.
// Its zero value is ready for use.
type Observer struct{ told map[Name]*told }

// told is what was last reported of a listener.
type told struct {
	counts  Counts
	at      time.Time
	ongoing bool
}

// Observe returns the reports that are due.
func (o *Observer) Observe(now time.Time, all map[Name]Counts) []Report {
	if o.told == nil {
		o.told = map[Name]*told{}
	}
	var due []Report
	for name, counts := range all {
		before := o.told[name]
		if before == nil {
			before = &told{}
			o.told[name] = before
		}
		changed := counts.TurnedAway() > before.counts.TurnedAway()
		switch {
		case changed && now.Sub(before.at) >= reportInterval:
			due = append(due, Report{Listener: name, Counts: counts.since(before.counts)})
			*before = told{counts, now, true}
		case !changed && before.ongoing && now.Sub(before.at) >= calmTime:
			due = append(due, Report{Listener: name, Counts: counts.since(before.counts), Ended: true})
			*before = told{counts, now, false}
		}
	}
	return due
}

// Fields returns the keys and values of a log line on the report.
func (r Report) Fields() []any {
	return []any{
		"listener", string(r.Listener), "open", r.Counts.Open, "limit", r.Counts.Limit, "accepted", r.Counts.Accepted, "gave_way", r.Counts.GaveWay,
		"refused", r.Counts.Refused, "heads_too_large", r.Counts.HeadsTooLarge, "heads_without_room", r.Counts.HeadsWithoutRoom,
		"timed_out", r.Counts.TimedOut, "accept_failures", r.Counts.AcceptFailures,
	}
}

// Scope makes gauges by their names.
type Scope interface{ Gauge(name string) tally.Gauge }

// Gauges show the counts of one listener as metrics.
type Gauges struct {
	open, limit, gaveWay, refused, headsTooLarge, headsWithoutRoom, timedOut, acceptFailures tally.Gauge
}

// NewGauges returns the gauges of a listener in a scope of its own.
func NewGauges(scope Scope) *Gauges {
	return &Gauges{
		open: scope.Gauge("connections_open"), limit: scope.Gauge("connections_limit"), gaveWay: scope.Gauge("connections_gave_way"),
		refused: scope.Gauge("connections_refused"), headsTooLarge: scope.Gauge("heads_too_large"),
		headsWithoutRoom: scope.Gauge("heads_without_room"), timedOut: scope.Gauge("requests_timed_out"),
		acceptFailures: scope.Gauge("accept_failures"),
	}
}

// Update shows counts.
func (g *Gauges) Update(counts Counts) {
	g.open.Update(float64(counts.Open))
	g.limit.Update(float64(counts.Limit))
	g.gaveWay.Update(float64(counts.GaveWay))
	g.refused.Update(float64(counts.Refused))
	g.headsTooLarge.Update(float64(counts.HeadsTooLarge))
	g.headsWithoutRoom.Update(float64(counts.HeadsWithoutRoom))
	g.timedOut.Update(float64(counts.TimedOut))
	g.acceptFailures.Update(float64(counts.AcceptFailures))
}
