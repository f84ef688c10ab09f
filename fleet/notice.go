package fleet

import "time"

// Notice is the state of an instance, reported in the headers of any of its responses.
type Notice struct {
	// Leaving means that the instance accepts no new requests until it terminates.
	Leaving bool
	// Limit is the rate of requests that the instance accepts from all daemons together.
	Limit LimitNotice
	// Brittle is the rate at which the instance can reject requests for lack of capacity without failing.
	Brittle BrittleNotice
	// Backoff is the backoff during which this daemon must send no requests to the instance; zero if none was
	// requested.
	Backoff time.Duration
	// Unreadable lists header fields whose values could not be parsed. They are otherwise ignored.
	Unreadable []string
}

// LimitNotice is the rate limit reported in a response.
type LimitNotice struct {
	// Named means that the response sets a limit of PerSecond requests per second.
	Named     bool
	PerSecond float64
	// Unreadable means that the response has a limit that could not be parsed. It is then unknown whether an
	// earlier limit is still in force.
	Unreadable bool
}

// BrittleNotice is the refusal rate, reported in a response, above which the instance fails. An instance with such
// a bound is called brittle.
type BrittleNotice struct {
	// Named means that the instance fails after it rejects more than Refusals requests within one second.
	Named    bool
	Refusals float64
	// Unreadable means that the response has a number that could not be parsed.
	Unreadable bool
}

// ObservedNotice is a notice together with the instance and the time of the request.
type ObservedNotice struct {
	Instance string
	// SentAt is the time at which the request was sent. Notices received before it are older than this one.
	SentAt time.Time
	Notice Notice
}
