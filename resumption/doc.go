// Package resumption knows which software version began a stream. Servers of several versions may serve side by side; what two
// of them write does not fit together, and servers do not check it. So a stream that breaks off goes on at its version only,
// also where its client takes it up at a daemon that has not begun it.
//
// While a service has one version there is nothing to tell: each daemon keeps its own streams. As soon as a second one is
// seen, each daemon tells two others, drawn by rendezvous of the stream's ID, which version began its streams. A daemon that
// a client takes a stream up at asks those that may have been told. Where nobody knows, the stream does not go on unless
// the service has had one version for as long as a client waits.
//
// A Keeper does no I/O and reads no clock. It is safe for concurrent use.
package resumption

import "time"

// Began is what began a stream.
type Began struct {
	Service  string `msgpack:"s,omitempty"`
	Software string `msgpack:"v,omitempty"`
}

// Stream is what is kept of a stream.
type Stream struct {
	// ID is that of the request that brought its first event.
	ID       string `msgpack:"i"`
	Service  string `msgpack:"s"`
	Software string `msgpack:"v,omitempty"`
	// Left is how much longer its client may take it up.
	Left time.Duration `msgpack:"l"`
}

// Message is what daemons tell each other about streams; one field is set.
type Message struct {
	Streams  []Stream  `msgpack:"s,omitempty"`
	Question *Question `msgpack:"q,omitempty"`
	Answer   *Answer   `msgpack:"a,omitempty"`
}

// Question asks what began a stream, and which versions a service has had.
type Question struct {
	// ID pairs the answer with the question.
	ID      uint64 `msgpack:"i"`
	Stream  string `msgpack:"t"`
	Service string `msgpack:"s"`
}

// Answer is what a daemon knows of it.
type Answer struct {
	ID uint64 `msgpack:"i"`
	// Known says that the daemon knows what began the stream.
	Known bool  `msgpack:"k,omitempty"`
	Began Began `msgpack:"b"`
	// Versions are all that the service has had lately, as far as the daemon knows, and Fresh says that it hears of new
	// servers.
	Versions []string `msgpack:"n,omitempty"`
	Fresh    bool     `msgpack:"f,omitempty"`
}

// Tell is what to tell one daemon.
type Tell struct {
	Daemon  string
	Streams []Stream
}
