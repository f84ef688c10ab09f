package messagehead

import "bytes"

// ResponseScanner follows the head of one response, with the interim responses before it, as its bytes arrive in any split. It finds
// the first byte with which they can no longer become such a head (RFC 9112). Bytes that a server left behind an earlier response
// may stand before a head, and take it into their own last line; then its status line is not the first thing in it.
type ResponseScanner struct {
	state scanState
	// place counts the bytes of the status line so far, up to the reason.
	place int
	// status is that of the response being read, minor the minor version of its protocol.
	status int
	minor  byte
	// named says that the name of the field being read is not empty. returned says that a carriage return came last: only the end of
	// the line may follow.
	named, returned bool
	// line is the field being read, up to maxFramingLine bytes; lineBytes is its full length.
	line      []byte
	lineBytes int
	framing   Framing
	// hidden finds a status line behind the beginning of the first line.
	hidden statusLineFinder
	err    error
}

type scanState uint8

const (
	inStatusLine scanState = iota
	inReason
	atLineStart
	inFieldName
	inFieldValue
	headEnded
)

// statusLineForm is how a status line begins, up to the status; v stands for the minor version.
const statusLineForm = "HTTP/1.v "

const (
	versionPlace = 7
	statusPlace  = 9
	statusDigits = 3
	// leastStatus and mostStatus bound the statuses (RFC 9110 section 15), interim ones are below finalStatus.
	leastStatus       = 100
	finalStatus       = 200
	mostStatus        = 599
	switchingProtocol = 101
	// maxFramingLine bounds what is kept of a field: those that frame a body are short.
	maxFramingLine = 256
)

// Done reports whether the head has ended.
func (s *ResponseScanner) Done() bool { return s.state == headEnded }

// Err returns what is wrong with the bytes so far; nil if nothing is.
func (s *ResponseScanner) Err() error { return s.err }

// Scan takes in what arrived next, and returns how many of the bytes belong to the head.
func (s *ResponseScanner) Scan(data []byte) (count int, err error) {
	for count < len(data) && s.err == nil && s.state != headEnded {
		if defect := s.next(data[count]); defect != "" {
			s.err = &MalformedError{Defect: defect}
		}
		count++
	}
	return count, s.err
}

// next takes in one byte, and returns what is wrong with it.
func (s *ResponseScanner) next(char byte) Defect {
	if s.returned {
		s.returned = false
		if char != '\n' {
			return s.controlDefect()
		}
	}
	switch {
	case char == '\n':
		return s.endLine()
	case char == '\r':
		s.returned = true
		return ""
	}
	if s.state != inStatusLine && s.hidden.next(char) {
		return DefectStatusLine
	}
	switch s.state {
	case inStatusLine:
		return s.nextOfStatusLine(char)
	case inReason:
		if isControl(char) {
			return DefectStatusLine
		}
		return ""
	case atLineStart:
		if char == ' ' || char == '\t' {
			return DefectFolding
		}
		s.state, s.named = inFieldName, false
	}
	return s.nextOfField(char)
}

// nextOfStatusLine takes in a byte up to the blank behind the status.
func (s *ResponseScanner) nextOfStatusLine(char byte) Defect {
	place := s.place
	s.place++
	switch {
	case place == versionPlace:
		s.minor = char
		if char != '0' && char != '1' {
			return DefectStatusLine
		}
	case place < statusPlace:
		if char != statusLineForm[place] {
			return DefectStatusLine
		}
	case place < statusPlace+statusDigits:
		if !isDigit(char) {
			return DefectStatus
		}
		s.status = 10*s.status + int(char-'0')
		return s.checkStatus(place - statusPlace + 1)
	default:
		// Blank and reason may be missing.
		s.state = inReason
		if char != ' ' {
			return DefectStatus
		}
	}
	return ""
}

// checkStatus checks the status after some of its digits.
func (s *ResponseScanner) checkStatus(digits int) Defect {
	class := s.status
	for range digits - 1 {
		class /= 10
	}
	switch {
	case class < leastStatus/100 || class > mostStatus/100:
		return DefectStatus
	case s.status == switchingProtocol:
		// No request asks for it.
		return DefectProtocol
	}
	return ""
}

func (s *ResponseScanner) nextOfField(char byte) Defect {
	if s.lineBytes++; len(s.line) < maxFramingLine {
		s.line = append(s.line, char)
	}
	switch {
	case s.state == inFieldValue:
		if isControl(char) {
			return DefectFieldValue
		}
	case char == ':' && s.named:
		s.state = inFieldValue
	case !isToken(char):
		return DefectFieldName
	default:
		s.named = true
	}
	return ""
}

// endLine ends a line and, if it is empty, the head.
func (s *ResponseScanner) endLine() Defect {
	s.hidden = statusLineFinder{}
	switch s.state {
	case inStatusLine:
		if s.place < statusPlace+statusDigits {
			return DefectStatusLine
		}
		s.state, s.framing = atLineStart, Framing{}
	case inReason:
		s.state, s.framing = atLineStart, Framing{}
	case atLineStart:
		return s.endHead()
	case inFieldName:
		return DefectFieldName
	case inFieldValue:
		s.framing.AddLine(s.line, s.lineBytes == len(s.line))
		s.state, s.line, s.lineBytes = atLineStart, s.line[:0], 0
	}
	return ""
}

// endHead ends the head. Another one follows an interim response. Versions before HTTP/1.1 know no chunks.
func (s *ResponseScanner) endHead() Defect {
	if s.framing.Ambiguous() || s.framing.Chunked() && s.minor == '0' {
		return DefectFraming
	}
	s.state = headEnded
	if s.status < finalStatus {
		s.state, s.place, s.status = inStatusLine, 0, 0
	}
	return ""
}

// controlDefect is the defect of a carriage return inside a line.
func (s *ResponseScanner) controlDefect() Defect {
	switch s.state {
	case inStatusLine, inReason:
		return DefectStatusLine
	case inFieldValue:
		return DefectFieldValue
	default:
		return DefectFieldName
	}
}

// statusLineFinder finds the beginning of a status line, of any version and with any status. Its first byte stands nowhere else in it.
type statusLineFinder struct{ matched int }

// next takes in one byte, and reports whether a status line has begun with it.
func (f *statusLineFinder) next(char byte) bool {
	const form = "HTTP/0.0 000"
	switch expected := form[f.matched]; {
	case expected == char, expected == '0' && isDigit(char):
		f.matched++
	case char == form[0]:
		f.matched = 1
	default:
		f.matched = 0
	}
	if f.matched < len(form) {
		return false
	}
	f.matched = 0
	return true
}

func isDigit(char byte) bool { return '0' <= char && char <= '9' }

// isControl reports whether a byte may stand in no value and no reason. Bytes beyond ASCII may.
func isControl(char byte) bool { return char < ' ' && char != '\t' || char == 0x7f }

// isToken reports whether a byte may stand in the name of a field.
func isToken(char byte) bool {
	return isDigit(char) || 'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), char) >= 0
}
