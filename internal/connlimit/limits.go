package connlimit

import "time"

// Limits bound one request of a connection. Zero times mean no limit.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time until the first byte of a request, and that without progress of a body or an answer.
	IdleTimeout time.Duration
}

const (
	// lookaheadBytes is how much of what follows a head is read with it.
	lookaheadBytes = 4 << 10
	// freeHeadBytes is how much of a head needs no memory from the budget. The number of connections bounds it.
	freeHeadBytes = 4 << 10
	// A byte of a head costs headByteCost bytes, and each of its lines headLineCost: the line, its copies, and its place in a map.
	headByteCost = 4
	headLineCost = 200
	// shortestField is the size of the shortest line of a head.
	shortestField = 4
)

// HeadCost is what the largest head of a limit may occupy: one of the shortest lines.
func HeadCost(headBytes int) int64 {
	return int64(headBytes+lookaheadBytes) * (headByteCost + headLineCost/shortestField)
}

const (
	// youngConnection is the age up to which a connection without a request is spared: its request may be on its way.
	youngConnection = time.Second
	// stalledWrite is how long a client must not have read before its answer gives way.
	stalledWrite = time.Second
	// roomTimeout is how long a head waits for memory while others give way.
	roomTimeout  = 300 * time.Millisecond
	roomInterval = 5 * time.Millisecond
	// writePieceBytes is how much a client has to take within IdleTimeout.
	writePieceBytes = 64 << 10
	// lingerTime and lingerBytes bound what is read from a client that was refused while it was sending: a connection that is
	// closed with unread bytes is reset, which may destroy the answer.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
	// lingerShare is the part of a listener's connections that may linger, beyond its limit.
	lingerShare = 8
	// endTimeout is how long the listener waits for connections that give way to end before it refuses another one.
	endTimeout  = 100 * time.Millisecond
	endInterval = time.Millisecond
	// acceptRetry is the pause after a failure to accept.
	acceptRetry = 5 * time.Millisecond
)
