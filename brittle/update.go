package brittle

import "time"

// Update carries the state of services from one daemon to others: services that report that they are brittle, and those
// that no longer do.
type Update struct {
	Words []Word `msgpack:"w,omitempty"`
}

// Empty reports whether the update has no entries.
func (u *Update) Empty() bool { return len(u.Words) == 0 }

// Word is the state of a service according to its latest answer.
type Word struct {
	Service string `msgpack:"s"`
	// Named is set if the service is brittle. Refusals is how many refusals a second an instance tolerates.
	Named    bool    `msgpack:"n,omitempty"`
	Refusals float64 `msgpack:"r,omitempty"`
	// Age is how long ago the request was sent whose answer reported this state.
	Age time.Duration `msgpack:"a"`
}

// Newest returns the state of all brittle services, for daemons that may lack it.
func (b *Book) Newest(now time.Time) Update {
	var update Update
	for name, svc := range b.services {
		update.Words = append(update.Words, Word{Service: name, Named: true, Refusals: svc.refusals, Age: now.Sub(svc.lastReportAt)})
	}
	return update
}

// Learn merges a report that another daemon received. Reports that are not newer than the known state are ignored, since
// daemons forward them to each other.
func (b *Book) Learn(now time.Time, report Word) Change {
	reportedAt := now.Add(-report.Age)
	svc := b.services[report.Service]
	switch {
	case report.Age < 0 || report.Age > serviceTTL || report.Refusals < 0:
		return Nothing
	case !report.Named:
		return b.Hear(now, report.Service, reportedAt, false, 0)
	case !reportedAt.After(b.endedAt[report.Service]):
		return Nothing
	case svc == nil:
		b.services[report.Service] = &service{refusals: report.Refusals, firstReportAt: now, lastReportAt: reportedAt, shareUsedUntil: map[string]time.Time{}}
		return Begins
	case !reportedAt.After(svc.lastReportAt):
		return Nothing
	}
	svc.lastReportAt = reportedAt
	if svc.refusals == report.Refusals {
		return Nothing
	}
	svc.refusals = report.Refusals
	return Begins
}
