package resumption

import "time"

const (
	// maxIDBytes bounds the length of recorded IDs, since clients choose them.
	maxIDBytes = 128
	// maxStreams bounds the number of streams that one daemon records.
	maxStreams = 100_000
)

// record describes a stream until it expires.
type record struct {
	service  string
	software string
	// ambiguous is set if two different services or versions were reported for the stream.
	ambiguous bool
	until     time.Time
	// own is set if this daemon began or resumed the stream.
	own bool
}

// streamIndex holds the streams recorded at this daemon, by ID.
type streamIndex map[string]*record

// merge adds a stream or merges it into its existing record.
func (s streamIndex) merge(now time.Time, stream *Stream, own bool) {
	if stream.ID == "" || len(stream.ID) > maxIDBytes || stream.Left <= 0 {
		return
	}
	until := now.Add(stream.Left)
	if existing := s[stream.ID]; existing != nil {
		existing.ambiguous = existing.ambiguous || existing.software != stream.Software || existing.service != stream.Service
		existing.own = existing.own || own
		if until.After(existing.until) {
			existing.until = until
		}
		return
	}
	if len(s) >= maxStreams {
		s.evictOne()
	}
	s[stream.ID] = &record{service: stream.Service, software: stream.Software, until: until, own: own}
}

// evictOne evicts an arbitrary stream. A later attempt to resume that stream finds no record of it here.
func (s streamIndex) evictOne() {
	for id := range s {
		delete(s, id)
		return
	}
}

// find returns the service and the version that began a stream, if its record is unambiguous and has not expired.
func (s streamIndex) find(now time.Time, id string) (began Began, known bool) {
	found := s[id]
	if found == nil || found.ambiguous || !now.Before(found.until) {
		return Began{}, false
	}
	return Began{Service: found.service, Software: found.software}, true
}

// prune removes expired streams, which no client resumes any more.
func (s streamIndex) prune(now time.Time) {
	for id, kept := range s {
		if !now.Before(kept.until) {
			delete(s, id)
		}
	}
}

// ownStreams returns the streams of a service that this daemon began or resumed, for other daemons to record.
func (s streamIndex) ownStreams(now time.Time, service string) []Stream {
	var streams []Stream
	for id, kept := range s {
		if kept.own && kept.service == service && !kept.ambiguous && now.Before(kept.until) {
			streams = append(streams, Stream{ID: id, Service: service, Software: kept.software, Left: kept.until.Sub(now)})
		}
	}
	return streams
}
