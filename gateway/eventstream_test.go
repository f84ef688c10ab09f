package gateway

import (
	"strings"
	"testing"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

// TestScannerKnowsWhereEventsEnd guards against a stream that is split, or taken for complete, at a position inside an
// event.
func TestScannerKnowsWhereEventsEnd(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		// completeEvents is the part before the last boundary between two events.
		completeEvents string
		inside         bool
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
			splitter := eventSplitter{memory: membudget.New(0).Reserve(membudget.Event)}
			var completeEvents strings.Builder
			for remainder := c.stream; len(remainder) > 0; {
				piece := remainder[:min(size, len(remainder))]
				remainder = remainder[len(piece):]
				complete, err := splitter.completeEvents([]byte(piece))
				if err != nil {
					t.Fatalf("%s: %v", c.name, err)
				}
				completeEvents.Write(complete)
			}
			if completeEvents.String() != c.completeEvents || splitter.scanner.inEvent != c.inside || completeEvents.String()+string(splitter.remainder()) != c.stream {
				t.Errorf("%s, in pieces of %d bytes: %q complete, %q left, inside an event %v", c.name, size, completeEvents.String(), splitter.remainder(), splitter.scanner.inEvent)
			}
		}
	}
}

// BenchmarkScanner measures the cost of scanning an event of 60 bytes for its end.
func BenchmarkScanner(b *testing.B) {
	var scanner eventScanner
	piece := []byte("id: 17\ndata: " + strings.Repeat("x", 45) + "\n\n")
	for b.Loop() {
		scanner.scan(piece)
	}
}
