package gateway

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

// ErrTruncated is the class of errors for answers that were truncated by their instance although their framing is
// complete.
var ErrTruncated = errs.Class("gateway: broken off")

// ErrContinuation is the class of errors for answers that do not continue a stream after the event that was named.
var ErrContinuation = errs.Class("gateway: continuation")

// eventScanner scans a stream of server-sent events byte by byte and tracks whether the position is between two events.
// Lines end with LF, CR or CR LF, and an event ends with an empty line. A line that begins with a colon is a comment
// and not part of an event. The zero value is at the beginning of a stream.
type eventScanner struct {
	// inLine is set while the position is inside a line.
	inLine bool
	// inEvent is set while the position is inside an event.
	inEvent bool
	// afterCR is set if the last byte was a CR; an LF that follows belongs to the same line end.
	afterCR bool
	// eventEnded is set once at least one event has ended.
	eventEnded bool
}

// scan processes a piece and returns the length of its part before the last boundary between two events; zero if the
// piece has no such boundary.
func (s *eventScanner) scan(piece []byte) (cut int) {
	for i := 0; i < len(piece); i++ {
		if s.inLine {
			// Only the first byte of a line and its end matter for event boundaries.
			if i += lineLength(piece[i:]); i == len(piece) {
				break
			}
		}
		if s.scanByte(piece[i]) {
			cut = i + 1
		}
	}
	return cut
}

// lineLength returns the number of bytes before the first line end.
func lineLength(piece []byte) int {
	if end := bytes.IndexByte(piece, '\n'); end >= 0 {
		piece = piece[:end]
	}
	if end := bytes.IndexByte(piece, '\r'); end >= 0 {
		piece = piece[:end]
	}
	return len(piece)
}

// scanByte processes a byte and reports whether the position is after an empty line.
func (s *eventScanner) scanByte(char byte) bool {
	completesCRLF := s.afterCR && char == '\n'
	s.afterCR = char == '\r'
	switch {
	case completesCRLF:
		return !s.inEvent && !s.inLine
	case char == '\n' || char == '\r':
		return s.endLine()
	case !s.inLine:
		s.inLine = true
		s.inEvent = s.inEvent || char != ':'
	}
	return false
}

// endLine ends a line and reports whether it was empty.
func (s *eventScanner) endLine() bool {
	if s.inLine {
		s.inLine = false
		return false
	}
	if s.inEvent {
		s.inEvent, s.eventEnded = false, true
	}
	return true
}

// truncationError returns an error if a stream that ends at this position was truncated, even if its framing is
// complete. A stream without a length or chunks that ends before its first event cannot be distinguished from one whose
// instance has crashed, unless it may be empty: it was resumed after an event that may have been the last one.
func (s *eventScanner) truncationError(framing Framing, mayBeEmpty bool) error {
	switch {
	case s.inEvent:
		return ErrTruncated.New("stream ended inside an event")
	case framing == FramedByConnection && s.inLine:
		return ErrTruncated.New("stream ended inside a comment")
	case framing == FramedByConnection && !s.eventEnded && !mayBeEmpty:
		return ErrTruncated.New("stream ended before the first event")
	}
	return nil
}

// eventSplitter processes the pieces of a stream of events. It checks the size of each event and, if only complete events may
// be forwarded, buffers the incomplete remainder.
type eventSplitter struct {
	scanner eventScanner
	// eventBytes is the size of the incomplete event so far.
	eventBytes int
	pending    []byte
	memory     membudget.Reservation
	// lastID is the ID of the last complete event, if it has one, and lacksID is set if it has none: the stream cannot be resumed
	// after that event.
	lastID  string
	lacksID bool
	// resumedAfter is the ID of the event after which the stream was resumed, or empty.
	resumedAfter string
}

var idPrefix = []byte("id:")

// checkSize adds a piece and returns the length of its part before the last boundary between two events. It returns an error
// if the incomplete event is too large.
func (c *eventSplitter) checkSize(piece []byte) (cut int, err error) {
	cut = c.scanner.scan(piece)
	if cut > 0 {
		c.eventBytes = 0
	}
	c.eventBytes += len(piece) - cut
	if c.eventBytes > maxEventBytes {
		return cut, &OversizedError{Part: PartEvent, Limit: maxEventBytes, Unit: "bytes"}
	}
	return cut, nil
}

// completeEvents adds a piece and returns the events that are complete now. The slice is valid until the next call.
func (c *eventSplitter) completeEvents(piece []byte) ([]byte, error) {
	cut, err := c.checkSize(piece)
	if err != nil {
		return nil, err
	}
	if cut == 0 {
		return nil, c.buffer(piece)
	}
	events := piece[:cut]
	if len(c.pending) > 0 {
		events = append(c.pending, events...)
	}
	c.pending = append([]byte(nil), piece[cut:]...)
	c.memory.Release()
	return events, c.recordLastID(events)
}

// buffer adds a piece to the incomplete event. The first pieceBytes are not taken from the memory budget: they are bounded by
// the number of connections.
func (c *eventSplitter) buffer(piece []byte) error {
	if needed := len(c.pending) + len(piece); needed > cap(c.pending) {
		size := max(needed, 2*cap(c.pending))
		if size > pieceBytes {
			if err := c.memory.Resize(int64(size)); err != nil {
				return err
			}
		}
		c.pending = append(make([]byte, 0, size), c.pending...)
	}
	c.pending = append(c.pending, piece...)
	return nil
}

// recordLastID stores the ID of the last event. It returns an error if an ID is too large, since it is kept until the stream
// ends, or if an event is not after the one that the stream was resumed after.
func (c *eventSplitter) recordLastID(events []byte) error {
	inEvent, id := false, ""
	for len(events) > 0 {
		var line []byte
		line, events = cutLine(events)
		switch {
		case len(line) == 0 && inEvent:
			if c.resumedAfter != "" && id != "" && !follows(id, c.resumedAfter) {
				return ErrContinuation.New("event %q after event %q", id, c.resumedAfter)
			}
			c.lastID, c.lacksID = id, id == ""
			inEvent, id = false, ""
			continue
		case len(line) == 0 || line[0] == ':':
			continue
		}
		inEvent = true
		value, found := bytes.CutPrefix(line, idPrefix)
		if !found {
			continue
		}
		if value = bytes.TrimSpace(value); len(value) > maxEventIDBytes {
			return &OversizedError{Part: PartEventID, Limit: maxEventIDBytes, Unit: "bytes"}
		}
		id = string(value)
	}
	return nil
}

// follows reports whether an event may come after another one, by their IDs. IDs that are not numbers have no order.
func follows(id, previous string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	previousNumber, previousErr := strconv.ParseUint(previous, 10, 64)
	if err != nil || previousErr != nil {
		return id != previous
	}
	return number > previousNumber
}

// cutLine returns the first line of a text without its end, and the rest.
func cutLine(text []byte) (line, rest []byte) {
	end := bytes.IndexAny(text, "\r\n")
	switch {
	case end < 0:
		return text, nil
	case bytes.HasPrefix(text[end:], []byte("\r\n")):
		return text[:end], text[end+2:]
	default:
		return text[:end], text[end+1:]
	}
}

// remainder returns the bytes after the last complete event.
func (c *eventSplitter) remainder() []byte { return c.pending }
