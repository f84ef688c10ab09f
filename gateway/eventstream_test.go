package gateway

import (
	"strings"
	"testing"
)

// TestScannerKnowsWhereEventsEnd guards against a stream that is cut, or taken for whole, at a place that is inside an event.
func TestScannerKnowsWhereEventsEnd(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		// whole is the part up to the last place between two events.
		whole  string
		inside bool
	}{
		{"nothing", "", "", false},
		{"one event", "data: a\n\n", "data: a\n\n", false},
		{"a field without its line end", "data: a\n\ndata", "data: a\n\n", true},
		{"a line without the empty one", "data: a\n\ndata: b\n", "data: a\n\n", true},
		{"CR", "data: a\r\rid: 2\r", "data: a\r\r", true},
		{"CR LF", "data: a\r\n\r\n", "data: a\r\n\r\n", false},
		{"CR LF inside an event", "data: a\r\n\r\ndata: b\r\n", "data: a\r\n\r\n", true},
		{"line ends of two kinds", "data: a\n\r\ndata: b\r\n\n", "data: a\n\r\ndata: b\r\n\n", false},
		{"a comment", "data: a\n\n: no news\n", "data: a\n\n", false},
		{"a comment without its line end", "data: a\n\n: no", "data: a\n\n", false},
		{"a comment in an event", "data: a\n: no news\n", "", true},
		{"empty lines", "\n\ndata: a\n\n\n", "\n\ndata: a\n\n\n", false},
	}
	for _, c := range cases {
		for size := 1; size <= len(c.stream)+1; size++ {
			var cutter eventSplitter
			var whole strings.Builder
			for rest := c.stream; len(rest) > 0; {
				piece := rest[:min(size, len(rest))]
				rest = rest[len(piece):]
				whole.Write(cutter.completeEvents([]byte(piece)))
			}
			if whole.String() != c.whole || cutter.scanner.inEvent != c.inside || whole.String()+string(cutter.remainder()) != c.stream {
				t.Errorf("%s, in pieces of %d bytes: %q whole, %q left, inside %v", c.name, size, whole.String(), cutter.remainder(), cutter.scanner.inEvent)
			}
		}
	}
}

// BenchmarkScanner measures what the look for the ends of events adds to each one of 60 bytes.
func BenchmarkScanner(b *testing.B) {
	var scanner eventScanner
	piece := []byte("id: 17\ndata: " + strings.Repeat("x", 45) + "\n\n")
	for b.Loop() {
		scanner.scan(piece)
	}
}
