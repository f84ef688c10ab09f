package headguard

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/wheatweir/wheatweir/internal/messagehead"
)

// scanner follows the requests of one connection byte by byte, in any split, with the grammar of net/http: lines end with LF or
// CR LF, a body has a length or chunks. It decides of each head whether its body is framed in one way only.
type scanner struct {
	state state
	// line is the line that is being read, up to maxLine bytes; lineBytes is its full length.
	line      []byte
	lineBytes int
	head      messagehead.Framing
	// left is how many bytes of a body or chunk are still to come.
	left int64
}

// state is the part of a request that comes next.
type state uint8

const (
	inRequestLine state = iota
	inFields
	inLengthBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	// lost means that the scanner cannot tell where the next request begins.
	lost
)

// maxLine bounds what is kept of a line: the fields that matter here are short, and of others only the name.
const maxLine = 256

// verdict is the result for one head: whether the framing of its body may be read in more than one way, and how it is read.
type verdict struct {
	ambiguous bool
	chunked   bool
	length    int64
}

// scan processes bytes and appends a verdict for each head that ends in them.
func (s *scanner) scan(data []byte, verdicts []verdict) []verdict {
	for len(data) > 0 {
		switch s.state {
		case lost:
			return verdicts
		case inLengthBody, inChunk:
			taken := min(int64(len(data)), s.left)
			data = data[taken:]
			if s.left -= taken; s.left == 0 {
				s.endBody()
			}
		default:
			end := bytes.IndexByte(data, '\n')
			if end < 0 {
				s.addLine(data)
				return verdicts
			}
			s.addLine(data[:end])
			data = data[end+1:]
			if s.endLine() {
				verdicts = append(verdicts, verdict{s.head.Ambiguous(), s.head.Chunked(), s.head.Length()})
				s.beginBody()
			}
		}
	}
	return verdicts
}

func (s *scanner) addLine(part []byte) {
	s.lineBytes += len(part)
	s.line = append(s.line, part[:min(len(part), max(0, maxLine-len(s.line)))]...)
}

// endBody ends a body with a length, or a chunk.
func (s *scanner) endBody() {
	s.state = inRequestLine
	if s.head.Chunked() {
		s.state = inChunkEnd
	}
}

// endLine ends a line and reports whether it ends a head.
func (s *scanner) endLine() (headEnded bool) {
	line, whole := bytes.TrimSuffix(s.line, []byte{'\r'}), s.lineBytes == len(s.line)
	empty := len(line) == 0 && whole
	s.line, s.lineBytes = s.line[:0], 0
	switch s.state {
	case inRequestLine:
		// net/http skips empty lines behind a body, and ends the connection for others.
		if !empty {
			s.state, s.head = inFields, messagehead.Framing{}
		}
	case inFields:
		if empty {
			return true
		}
		s.head.AddLine(line, whole)
	case inChunkLine:
		s.beginChunk(line, whole)
	case inChunkEnd:
		s.state = inChunkLine
		if !empty {
			s.state = lost
		}
	case inTrailer:
		if empty {
			s.state = inRequestLine
		}
	}
	return false
}

// beginBody begins the body that the head announces.
func (s *scanner) beginBody() {
	switch {
	case s.head.Ambiguous():
		// The connection is closed after the answer.
		s.state = lost
	case s.head.Chunked():
		s.state = inChunkLine
	default:
		s.left, s.state = s.head.Length(), inLengthBody
		if s.left == 0 {
			s.state = inRequestLine
		}
	}
}

// beginChunk reads the line before a chunk: its size, and extensions behind a semicolon.
func (s *scanner) beginChunk(line []byte, whole bool) {
	size, _, extended := strings.Cut(string(line), ";")
	count, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
	switch {
	case err != nil || !whole && !extended:
		s.state = lost
	case count == 0:
		s.state = inTrailer
	default:
		s.left, s.state = int64(count), inChunk
	}
}
