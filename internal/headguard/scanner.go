package headguard

import (
	"bytes"
	"strconv"
	"strings"
)

// scanner follows the requests of one connection byte by byte, in any split, with the grammar of net/http: lines end with LF or
// CR LF, a body has a length or chunks. It decides of each head whether its body is framed in one way only.
type scanner struct {
	state state
	// line is the line that is being read, up to maxLine bytes; lineBytes is its full length.
	line      []byte
	lineBytes int
	head      head
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

// head is what the fields of a head say about the framing of the body.
type head struct {
	lengths []string
	chunked bool
	// inFraming is set behind a field that frames the body.
	inFraming bool
	// unclear is set if such a field may be read in two ways.
	unclear bool
}

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
				verdicts = append(verdicts, verdict{s.head.ambiguous(), s.head.chunked, s.head.length()})
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
	if s.head.chunked {
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
			s.state, s.head = inFields, head{}
		}
	case inFields:
		if empty {
			return true
		}
		s.head.add(line, whole)
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
	case s.head.ambiguous():
		// The connection is closed after the answer.
		s.state = lost
	case s.head.chunked:
		s.state = inChunkLine
	default:
		s.left, s.state = s.head.length(), inLengthBody
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

// add takes in a field. Whole says that the line was kept to its end.
func (h *head) add(line []byte, whole bool) {
	if line[0] == ' ' || line[0] == '\t' {
		// It continues the field before it.
		h.unclear = h.unclear || h.inFraming
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	field := bytes.TrimSpace(name)
	isLength := bytes.EqualFold(field, contentLength)
	h.inFraming = isLength || bytes.EqualFold(field, transferEncoding)
	if !h.inFraming {
		return
	}
	text := strings.Trim(string(value), " \t")
	if !whole || len(field) != len(name) || strings.ContainsAny(text, "\r\x00") {
		h.unclear = true
	}
	if isLength {
		h.lengths = append(h.lengths, text)
		return
	}
	h.unclear = h.unclear || h.chunked || !strings.EqualFold(text, "chunked")
	h.chunked = true
}

// Fields that frame a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// ambiguous reports whether the framing of the body may be read in more than one way.
func (h *head) ambiguous() bool {
	if h.unclear || h.chunked && len(h.lengths) > 0 {
		return true
	}
	for _, length := range h.lengths {
		if length != h.lengths[0] || !isDecimal(length) {
			return true
		}
	}
	return false
}

// length returns the length of the body; zero if there is none.
func (h *head) length() int64 {
	if len(h.lengths) == 0 {
		return 0
	}
	length, err := strconv.ParseInt(h.lengths[0], 10, 64)
	if err != nil {
		return 0
	}
	return length
}

func isDecimal(text string) bool {
	_, err := strconv.ParseUint(text, 10, 63)
	return err == nil
}
