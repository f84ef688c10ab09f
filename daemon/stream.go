package daemon

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/caller"
	"github.com/wheatweir/wheatweir/outcome"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/upstream"
)

// ErrStream is the class of streams that an engine broke.
var ErrStream = errs.Class("stream")

// doneMarker ends every whole stream of the protocol.
var doneMarker = []byte("data: [DONE]")

// firstBufferBytes is room for the first piece of an answer.
const firstBufferBytes = 4 << 10

// tailBytes is how much of the end is kept to look for the marker.
const tailBytes = 32

// modelStream is an answer of an engine that is relayed to the caller. The
// first piece is read before the caller gets a status, so that an engine that
// fails before its first token can still be replaced by another.
type modelStream struct {
	daemon   *Daemon
	call     *caller.Call
	response *upstream.Response
	leave    func()
	load     *route.Load
	// told turns the result into what the log and the caller are told.
	told  func(outcome.Result) outcome.Result
	first []byte
	tail  []byte
	ended error
}

func (s *modelStream) readFirst(ctx context.Context) (outcome.Result, bool) {
	buffer := make([]byte, firstBufferBytes)
	count, err := s.response.Read(buffer)
	if err != nil && err != io.EOF || count == 0 {
		s.response.Close()
		if err == nil || err == io.EOF {
			err = ErrStream.New("empty answer")
		}
		return brokenResult(ctx, err), false
	}
	s.daemon.metrics.firstToken.RecordDuration(time.Since(s.call.ArrivedAt))
	s.first = buffer[:count]
	s.ended = err
	return outcome.Result{Kind: outcome.Answered, Status: s.response.Status()}, true
}

// Read implements caller.Stream.
func (s *modelStream) Read(buffer []byte) (int, error) {
	var count int
	var err error
	switch {
	case len(s.first) > 0:
		count = copy(buffer, s.first)
		s.first = s.first[count:]
	case s.ended != nil:
		return 0, s.ended
	default:
		count, err = s.response.Read(buffer)
		s.ended = err
	}
	s.keepTail(buffer[:count])
	return count, err
}

func (s *modelStream) keepTail(piece []byte) {
	s.tail = append(s.tail, piece...)
	if over := len(s.tail) - tailBytes; over > 0 {
		s.tail = append(s.tail[:0], s.tail[over:]...)
	}
}

// Buffered implements caller.Stream.
func (s *modelStream) Buffered() int { return len(s.first) + s.response.Buffered() }

// Finish implements caller.Stream.
func (s *modelStream) Finish(deliveryError error) outcome.Result {
	result := outcome.Result{Kind: outcome.Answered, Status: statusOK}
	switch {
	case deliveryError != nil:
		result = outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonCallerGone, Err: ErrStream.Wrap(deliveryError)}
	case s.ended != io.EOF:
		result = outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Err: ErrStream.Wrap(s.ended)}
	case !bytes.Contains(s.tail, doneMarker):
		result = outcome.Result{Kind: outcome.Failed, Reason: outcome.ReasonBroken, Err: ErrStream.New("no end marker")}
	}
	result = s.told(result)
	s.response.Close()
	s.load.End()
	s.leave()
	s.daemon.settle(s.call, result)
	return result
}

func retryBackoff(random *rand.Rand, attempt int) time.Duration {
	return retry.Backoff(random, attempt, backoffBase, backoffLimit)
}
