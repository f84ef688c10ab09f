// Package messagehead checks the heads of HTTP/1.1 messages by their bytes (RFC 9112): that a head is that of one message, and that
// the end of its body can be told in one way only. HTTP libraries read such heads by rules of their own and drop what they do not use.
package messagehead

import (
	"bytes"
	"strconv"
	"strings"
)

// Framing is what the fields of a head say about the end of the body.
type Framing struct {
	lengths []string
	chunked bool
	// inFraming is set behind a field that frames the body.
	inFraming bool
	// unclear is set if such a field may be read in two ways.
	unclear bool
}

// Fields that frame a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// AddLine takes in a line of fields, without its end. Whole says that the line was kept to its end.
func (f *Framing) AddLine(line []byte, whole bool) {
	if isFolded(line) {
		f.unclear = f.unclear || f.inFraming
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	field := bytes.TrimSpace(name)
	isLength := bytes.EqualFold(field, contentLength)
	f.inFraming = isLength || bytes.EqualFold(field, transferEncoding)
	if !f.inFraming {
		return
	}
	text := strings.Trim(string(value), " \t")
	if !whole || len(field) != len(name) || strings.ContainsAny(text, "\r\x00") {
		f.unclear = true
	}
	if isLength {
		f.lengths = append(f.lengths, text)
		return
	}
	f.unclear = f.unclear || f.chunked || !strings.EqualFold(text, "chunked")
	f.chunked = true
}

// isFolded reports whether a line continues the field before it.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// Chunked reports whether the body is sent in chunks.
func (f *Framing) Chunked() bool { return f.chunked }

// Ambiguous reports whether the end of the body may be told in more than one way.
func (f *Framing) Ambiguous() bool {
	if f.unclear || f.chunked && len(f.lengths) > 0 {
		return true
	}
	for _, length := range f.lengths {
		if length != f.lengths[0] || !isDecimal(length) {
			return true
		}
	}
	return false
}

// Length returns the length of the body; zero if none is given.
func (f *Framing) Length() int64 {
	if len(f.lengths) == 0 {
		return 0
	}
	length, err := strconv.ParseInt(f.lengths[0], 10, 64)
	if err != nil {
		return 0
	}
	return length
}

func isDecimal(text string) bool {
	_, err := strconv.ParseUint(text, 10, 63)
	return err == nil
}
