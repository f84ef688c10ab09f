package brittle

import "time"

// Update carries the state of services from one daemon to others: services that report that they are brittle, and those
// that no longer do.
type Update struct {
	Entries []Entry `msgpack:"w,omitempty"`
}

// Empty reports whether the update has no entries.
func (u *Update) Empty() bool { return len(u.Entries) == 0 }

// Entry is the state of a service according to its latest answer.
type Entry struct {
	Service string `msgpack:"s"`
	// Named is set if the service is brittle. Refusals is how many refusals a second an instance tolerates.
	Named    bool    `msgpack:"n,omitempty"`
	Refusals float64 `msgpack:"r,omitempty"`
	// Age is how long ago the request was sent whose answer reported this state.
	Age time.Duration `msgpack:"a"`
}

// Snapshot returns the state of all brittle services, for daemons that may lack it.
func (t *Tracker) Snapshot(now time.Time) Update {
	var update Update
	for name, svc := range t.services {
		update.Entries = append(update.Entries, Entry{Service: name, Named: true, Refusals: svc.refusals, Age: now.Sub(svc.lastReportAt)})
	}
	return update
}

// Merge applies a report that another daemon received. Reports that are not newer than the known state are ignored,
// since daemons forward them to each other.
func (t *Tracker) Merge(now time.Time, report Entry) Change {
	reportedAt := now.Add(-report.Age)
	svc := t.services[report.Service]
	switch {
	case report.Age < 0 || report.Age > serviceTTL || report.Refusals < 0:
		return Unchanged
	case !report.Named:
		return t.Observe(now, report.Service, reportedAt, false, 0)
	case !reportedAt.After(t.endedAt[report.Service]):
		return Unchanged
	case svc == nil:
		t.services[report.Service] = &service{refusals: report.Refusals, firstReportAt: now, lastReportAt: reportedAt, shareUsedUntil: map[string]time.Time{}}
		return Started
	case !reportedAt.After(svc.lastReportAt):
		return Unchanged
	}
	svc.lastReportAt = reportedAt
	if svc.refusals == report.Refusals {
		return Unchanged
	}
	svc.refusals = report.Refusals
	return Started
}
