// Package resumption tracks which software version began a stream. Instances of several versions may serve at the same
// time. Their outputs cannot be joined into one stream, and the instances do not check this. An interrupted stream
// therefore resumes only at the version that began it, also when its client resumes it at a daemon that did not begin
// it.
//
// While a service has one version, no messages are needed: each daemon records only its own streams. As soon as a
// second version is seen, each daemon sends the versions of its streams to two other daemons, selected by rendezvous
// hashing of the stream's ID. A daemon at which a client resumes a stream queries the daemons that may have received
// its version. If none of them has it, the stream resumes only if the service has had a single version for as long as a
// client may wait. A daemon that has just started knows only the versions that are present now: it relies on daemons that
// have observed the service for longer.
//
// The durable record in the store is what is left after all daemons were killed: the recent versions of each service and,
// while a service has several, the versions of its streams. A Recorder keeps it up to date.
//
// A Tracker does no I/O and reads no clock. It is safe for concurrent use.
package resumption

import "time"

// Began identifies the service and software version that began a stream.
type Began struct {
	Service  string `msgpack:"s,omitempty"`
	Software string `msgpack:"v,omitempty"`
}

// Stream is the record of a resumable stream.
type Stream struct {
	// ID is the ID of the request that delivered the stream's first event.
	ID       string `msgpack:"i"`
	Service  string `msgpack:"s"`
	Software string `msgpack:"v,omitempty"`
	// Left is the remaining time in which the client may resume the stream.
	Left time.Duration `msgpack:"l"`
}

// Message is a message about streams between daemons; exactly one field is set.
type Message struct {
	Streams []Stream `msgpack:"s,omitempty"`
	// Record holds streams that the receiver is to add to the durable record.
	Record   []Stream  `msgpack:"r,omitempty"`
	Question *Question `msgpack:"q,omitempty"`
	Answer   *Answer   `msgpack:"a,omitempty"`
}

// Question requests the version that began a stream, and the recent versions of its service.
type Question struct {
	// ID matches the answer to the question.
	ID      uint64 `msgpack:"i"`
	Stream  string `msgpack:"t"`
	Service string `msgpack:"s"`
}

// Answer is a daemon's response to a Question.
type Answer struct {
	ID uint64 `msgpack:"i"`
	// Known reports whether the daemon has a record of what began the stream.
	Known bool  `msgpack:"k,omitempty"`
	Began Began `msgpack:"b"`
	// Versions are the recent versions of the service that the daemon has seen. Fresh reports whether the daemon
	// currently receives updates about new instances.
	Versions []string `msgpack:"n,omitempty"`
	Fresh    bool     `msgpack:"f,omitempty"`
	// Complete reports whether Versions includes every version that has been present within the version window.
	Complete bool `msgpack:"c,omitempty"`
}

// Update is the update to send to one daemon.
type Update struct {
	Daemon  string
	Streams []Stream
}
