package messagehead

import (
	"bytes"
	"regexp"

	"github.com/zeebo/errs"
)

// ErrMalformed is the class of heads that are not those of one answer.
var ErrMalformed = errs.Class("malformed head")

var (
	// anyStatusLine matches the beginning of a status line, wherever it is.
	anyStatusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)
	// fieldName matches the beginning of a field.
	fieldName = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:")
)

// CheckResponse returns an error unless raw is the head of one answer, behind any number of interim ones. Bytes that a server left
// behind an earlier answer may stand before a head, and take it into their own last line; then its status line is not the first
// thing in it.
func CheckResponse(raw []byte) error {
	if len(raw) == 0 {
		return ErrMalformed.New("no head")
	}
	for len(raw) > 0 {
		rest, err := checkOne(raw)
		if err != nil {
			return err
		}
		raw = rest
	}
	return nil
}

// checkOne checks the first head and returns what is behind it.
func checkOne(raw []byte) (rest []byte, err error) {
	statusLine, rest := cutLine(raw)
	if statuses := anyStatusLine.FindAllIndex(statusLine, 2); len(statuses) != 1 || statuses[0][0] != 0 {
		return nil, ErrMalformed.New("no single status line at the beginning")
	}
	var framing Framing
	for {
		if len(rest) == 0 {
			return nil, ErrMalformed.New("no empty line at the end")
		}
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return rest, checkFraming(statusLine, &framing)
		}
		if anyStatusLine.Match(line) {
			return nil, ErrMalformed.New("status line behind the first line")
		}
		if !isFolded(line) && !fieldName.Match(line) {
			return nil, ErrMalformed.New("line that is no field")
		}
		framing.AddLine(line, true)
	}
}

// cutLine returns the first line, without its end, and what is behind it.
func cutLine(raw []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(raw, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// checkFraming checks that the end of the body can be told in one way. Versions before HTTP/1.1 know no chunks.
func checkFraming(statusLine []byte, framing *Framing) error {
	if framing.Ambiguous() || framing.Chunked() && !bytes.HasPrefix(statusLine, []byte("HTTP/1.1 ")) {
		return ErrMalformed.New("body is framed in two ways")
	}
	return nil
}
