package gateway

import (
	"bytes"

	"github.com/zeebo/errs"
)

// ErrBrokenOff is the class of answers that their instance broke off although their framing looks whole.
var ErrBrokenOff = errs.Class("gateway: broken off")

// eventScanner follows a stream of events byte by byte and knows whether it stands between two events. Lines end with LF,
// CR or CR LF, an event with an empty line; a line that begins with a colon is a comment and part of no event. The zero
// value stands at the beginning of a stream.
type eventScanner struct {
	// inLine says that a line has begun.
	inLine bool
	// inEvent says that an event has begun.
	inEvent bool
	// afterCR says that the last byte was a CR, of which an LF would be the second half.
	afterCR bool
	// ended says that an event has ended.
	ended bool
}

// scan takes in a piece and returns how much of it stands before the last place between two events; zero if there is none.
func (s *eventScanner) scan(piece []byte) (cut int) {
	for i := 0; i < len(piece); i++ {
		if s.inLine {
			// The rest of a line says nothing.
			if i += lineLength(piece[i:]); i == len(piece) {
				break
			}
		}
		if s.take(piece[i]) {
			cut = i + 1
		}
	}
	return cut
}

// lineLength returns how many bytes stand before the first line end.
func lineLength(piece []byte) int {
	if end := bytes.IndexByte(piece, '\n'); end >= 0 {
		piece = piece[:end]
	}
	if end := bytes.IndexByte(piece, '\r'); end >= 0 {
		piece = piece[:end]
	}
	return len(piece)
}

// take takes in a byte and reports whether the stream stands behind an empty line.
func (s *eventScanner) take(char byte) bool {
	secondHalf := s.afterCR && char == '\n'
	s.afterCR = char == '\r'
	switch {
	case secondHalf:
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
		s.inEvent, s.ended = false, true
	}
	return true
}

// brokenOff returns an error if a stream that ends here was broken off, whatever its framing says. A stream without a
// length or chunks that ends before its first event cannot be told from one whose instance has crashed, unless it goes on
// after an event that may have been the last one.
func (s *eventScanner) brokenOff(framing Framing, goesOn bool) error {
	switch {
	case s.inEvent:
		return ErrBrokenOff.New("inside an event")
	case framing == FramedByConnection && !s.ended && !goesOn:
		return ErrBrokenOff.New("before the first event")
	}
	return nil
}

// eventCutter cuts a stream of events after whole events.
type eventCutter struct {
	scanner eventScanner
	pending []byte
	lastID  string
}

var idPrefix = []byte("id:")

// whole returns the whole events that are complete now. The slice is valid until the next call.
func (c *eventCutter) whole(piece []byte) []byte {
	cut := c.scanner.scan(piece)
	if cut == 0 {
		c.pending = append(c.pending, piece...)
		return nil
	}
	events := piece[:cut]
	if len(c.pending) > 0 {
		events = append(c.pending, events...)
	}
	c.pending = append([]byte(nil), piece[cut:]...)
	c.note(events)
	return events
}

// note remembers the id of the last event that has one.
func (c *eventCutter) note(events []byte) {
	for _, line := range bytes.FieldsFunc(events, isLineEnd) {
		if value, found := bytes.CutPrefix(line, idPrefix); found {
			c.lastID = string(bytes.TrimSpace(value))
		}
	}
}

func isLineEnd(char rune) bool { return char == '\n' || char == '\r' }

// rest returns what follows the last whole event.
func (c *eventCutter) rest() []byte { return c.pending }
