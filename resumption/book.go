package resumption

import "time"

const (
	// longestID bounds the IDs that are kept: clients make them up.
	longestID = 128
	// mostStreams bounds the streams that one daemon keeps.
	mostStreams = 100_000
)

// record is a stream that is kept until a moment.
type record struct {
	service  string
	software string
	// ambiguous says that two versions were named for the stream.
	ambiguous bool
	until     time.Time
	// own says that this daemon began the stream, or took it up.
	own bool
}

// book holds the streams that are known here.
type book map[string]*record

// keep takes in a stream.
func (b book) keep(now time.Time, stream *Stream, own bool) {
	if stream.ID == "" || len(stream.ID) > longestID || stream.Left <= 0 {
		return
	}
	until := now.Add(stream.Left)
	if known := b[stream.ID]; known != nil {
		known.ambiguous = known.ambiguous || known.software != stream.Software || known.service != stream.Service
		known.own = known.own || own
		if until.After(known.until) {
			known.until = until
		}
		return
	}
	if len(b) >= mostStreams {
		b.dropOne()
	}
	b[stream.ID] = &record{service: stream.Service, software: stream.Software, until: until, own: own}
}

// dropOne makes room. Whoever takes the dropped stream up is told that nobody knows it.
func (b book) dropOne() {
	for id := range b {
		delete(b, id)
		return
	}
}

// find returns the service and the version that began a stream.
func (b book) find(now time.Time, id string) (began Began, known bool) {
	found := b[id]
	if found == nil || found.ambiguous || !now.Before(found.until) {
		return Began{}, false
	}
	return Began{Service: found.service, Software: found.software}, true
}

// forget drops the streams that no client takes up any more.
func (b book) forget(now time.Time) {
	for id, kept := range b {
		if !now.Before(kept.until) {
			delete(b, id)
		}
	}
}

// ownOf returns the own streams of a service, for others to keep.
func (b book) ownOf(now time.Time, service string) []Stream {
	var streams []Stream
	for id, kept := range b {
		if kept.own && kept.service == service && !kept.ambiguous && now.Before(kept.until) {
			streams = append(streams, Stream{ID: id, Service: service, Software: kept.software, Left: kept.until.Sub(now)})
		}
	}
	return streams
}
