// Package messageheadtest lists heads of HTTP/1.1 responses, malformed and well-formed ones, for the tests of everything that reads
// responses.
package messageheadtest

import (
	"fmt"
	"strings"
)

// Case is a head. Text holds it with fieldsMark where the fields of the response under test belong.
type Case struct {
	Name string
	Text string
}

// fieldsMark stands for the fields that a response needs, each with its line end.
const fieldsMark = "{fields}"

// Head returns the head with these fields.
func (c Case) Head(fields string) string { return strings.ReplaceAll(c.Text, fieldsMark, fields) }

const (
	ok   = "HTTP/1.1 200 OK\r\n" + fieldsMark
	end  = "\r\n"
	last = "HTTP/1.1 200 OK\r\n" + fieldsMark + end
)

// withStatusLine is a head with this status line, which has no line end.
func withStatusLine(line string) string { return line + "\r\n" + fieldsMark + end }

// withLine is a head with this line behind its fields.
func withLine(line string) string { return ok + line + "\r\n" + end }

// Malformed returns heads that no response has (RFC 9112 sections 2.2, 4, 5 and 6, RFC 9110 sections 5.5 and 15).
func Malformed() []Case {
	cases := []Case{
		{"a status without digits", withStatusLine("HTTP/1.1 OK")},
		{"no status", withStatusLine("HTTP/1.1")},
		{"no status behind a blank", withStatusLine("HTTP/1.1 ")},
		{"a status of two digits", withStatusLine("HTTP/1.1 20 OK")},
		{"a status of four digits", withStatusLine("HTTP/1.1 2000 OK")},
		{"a status with a sign", withStatusLine("HTTP/1.1 +20 OK")},
		{"a negative status", withStatusLine("HTTP/1.1 -20 OK")},
		{"a letter in a status", withStatusLine("HTTP/1.1 2O0 OK")},
		{"no blank behind the status", withStatusLine("HTTP/1.1 200OK")},
		{"two blanks before the status", withStatusLine("HTTP/1.1  200 OK")},
		{"a tab before the status", withStatusLine("HTTP/1.1\t200 OK")},
		{"a tab behind the status", withStatusLine("HTTP/1.1 200\tOK")},
		{"a protocol that nobody asked for", withStatusLine("HTTP/1.1 101 Switching Protocols")},
		{"a version in small letters", withStatusLine("http/1.1 200 OK")},
		{"another protocol", withStatusLine("ICY 200 OK")},
		{"an older major version", withStatusLine("HTTP/0.9 200 OK")},
		{"a newer major version", withStatusLine("HTTP/2.0 200 OK")},
		{"a minor version that is not spoken", withStatusLine("HTTP/1.2 200 OK")},
		{"a version that does not exist", withStatusLine("HTTP/9.9 200 OK")},
		{"a version of two digits", withStatusLine("HTTP/1.10 200 OK")},
		{"a version without a minor one", withStatusLine("HTTP/1 200 OK")},
		{"a blank before the version", withStatusLine(" HTTP/1.1 200 OK")},
		{"an empty line before the status line", end + last},
		{"no status line", fieldsMark + end},
		{"a status line inside the reason", withStatusLine("HTTP/1.1 200 OHTTP/1.1 200 OK")},
		{"a second status line", ok + "HTTP/1.1 200 OK\r\n" + end},
		{"a status line inside a field", withLine("X-Trace: abHTTP/1.1 200 OK")},
		{"a malformed status of an interim response", "HTTP/1.1 099 Odd\r\n\r\n" + last},
		{"a malformed field of an interim response", "HTTP/1.1 103 Early Hints\r\nX Odd: b\r\n\r\n" + last},
		{"a status of zeros before a response", "HTTP/1.1 000 \r\n\r\n" + last},

		{"a blank in a field name", withLine("X Odd: b")},
		{"a blank behind a field name", withLine("X-Odd : b")},
		{"a tab behind a field name", withLine("X-Odd\t: b")},
		{"a blank before the first field name", "HTTP/1.1 200 OK\r\n X-Odd: b\r\n" + fieldsMark + end},
		{"a tab before the first field name", "HTTP/1.1 200 OK\r\n\tX-Odd: b\r\n" + fieldsMark + end},
		{"a blank before a later field name", withLine("X-Even: a\r\n X-Odd: b")},
		{"a tab before a later field name", withLine("X-Even: a\r\n\tX-Odd: b")},
		{"a blank before a signature", withLine("X-Even: a\r\n X-Server-Signature: b")},
		{"a blank line of blanks", withLine("X-Even: a\r\n  ")},
		{"a field without a name", withLine(": b")},
		{"a field without a colon", withLine("X-Odd")},
		{"a letter beyond ASCII in a field name", withLine("X-\xc3\xa4: b")},
		{"a blank in the name of the length", withLine("Content Length: 1")},
		{"a control byte in the name of the length", withLine("Content-Length\x01: 1")},
		{"a control byte before the name of the framing", withLine("\x01Transfer-Encoding: chunked")},
		{"a carriage return inside a name", withLine("X-\rOdd: b")},
		{"two carriage returns at the end of a line", withLine("X-Odd: b\r")},
		{"a carriage return before the empty line", ok + "\r\r\n"},
		{"a folded value", withLine("X-Text: a\r\n b c")},
		{"a value folded with a tab", withLine("X-Text: a;\r\n\tb=\"c\"")},
		{"a control byte in a folded line", withLine("X-Even: a\r\n b\x01")},

		{"two lengths", withLine("Content-Length: 99\r\nContent-Length: 98")},
		{"a list of lengths", withLine("Content-Length: 5, 5")},
		{"a length and chunks", withLine("Content-Length: 5\r\nTransfer-Encoding: chunked")},
		{"a length with a sign", withLine("Content-Length: +5")},
		{"another transfer coding", withLine("Transfer-Encoding: gzip")},
		{"chunks in an old version", "HTTP/1.0 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n"},
	}
	for _, status := range []string{"000", "001", "042", "099", "600", "777", "999"} {
		cases = append(cases, Case{"status " + status, withStatusLine("HTTP/1.1 " + status + " Odd")})
	}
	cases = append(cases, Case{"status 000 without a reason", withStatusLine("HTTP/1.1 000")})
	for _, char := range controlBytes() {
		cases = append(cases,
			Case{fmt.Sprintf("byte %#02x in a reason", char), withStatusLine("HTTP/1.1 200 O" + string(char) + "K")},
			Case{fmt.Sprintf("byte %#02x in a field name", char), withLine("X-O" + string(char) + "dd: b")},
			Case{fmt.Sprintf("byte %#02x in a value", char), withLine("X-Odd: a" + string(char) + "b")},
		)
	}
	for _, char := range `"(),/;<=>?@[\]{}` {
		cases = append(cases, Case{fmt.Sprintf("%q in a field name", char), withLine("X-O" + string(char) + "dd: b")})
	}
	return cases
}

// controlBytes returns the control bytes but for the tab and the ends of lines. A carriage return is one if no line feed follows.
func controlBytes() []rune {
	var list []rune
	for char := rune(0); char < ' '; char++ {
		if char != '\t' && char != '\n' {
			list = append(list, char)
		}
	}
	return append(list, 0x7f)
}

// LineFeeds is a well-formed head whose lines end with LF only, which some libraries do not read.
func LineFeeds() Case { return Case{"lines that end with LF", strings.ReplaceAll(last, "\r\n", "\n")} }

// WellFormed returns heads that responses have, of a status with a body.
func WellFormed() []Case {
	cases := []Case{
		{"no reason", withStatusLine("HTTP/1.1 200")},
		{"a blank and no reason", withStatusLine("HTTP/1.1 200 ")},
		{"a reason of several words", withStatusLine("HTTP/1.1 200 All: is\twell")},
		{"a reason beyond ASCII", withStatusLine("HTTP/1.1 200 D'accord, \xe7a va \xc3\xa7a")},
		{"an old version", withStatusLine("HTTP/1.0 200 OK")},
		{"no other fields", last},
		{"names in small letters", withLine("server: uvicorn\r\ndate: Mon, 07 Dec 2026 10:00:00 GMT\r\ncontent-type: application/json")},
		{"the fields of a proxy", withLine("Server: nginx/1.24.0 (Ubuntu)\r\nDate: Mon, 07 Dec 2026 10:00:00 GMT\r\nETag: W/\"5f-1\"\r\nVia: 1.1 varnish, HTTP/1.1 edge\r\nAlt-Svc: h3=\":443\"; ma=86400\r\nSet-Cookie: a=b; Path=/; Expires=Wed, 09 Jun 2027 10:18:14 GMT\r\nSet-Cookie: c=d")},
		{"a policy", withLine("Content-Security-Policy: default-src 'self'; img-src https: data:\r\nStrict-Transport-Security: max-age=31536000")},
		{"all bytes of a name", withLine("!#$%&'*+-.^_`|~09azAZ: b")},
		{"a value beyond ASCII", withLine("X-Text: \xe4\xc3\xa4\xff")},
		{"a tab in a value", withLine("X-Text: a\tb")},
		{"blanks around a value", withLine("X-Text: \t a \t")},
		{"a value without a blank before it", withLine("X-Text:a")},
		{"an empty value", withLine("X-Text:")},
		{"an empty value behind a blank", withLine("X-Text: ")},
		{"colons in a value", withLine("X-Time: 10:00:00")},
		{"an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + last},
		{"interim responses with fields", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + last},
	}
	return cases
}
