package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
)

// gatedWriter blocks until its gate opens.
type gatedWriter struct {
	gate  chan struct{}
	mutex sync.Mutex
	text  strings.Builder
}

func (w *gatedWriter) Write(content []byte) (int, error) {
	<-w.gate
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(content)
}

// TestLogNeverBlocks fills the log while its output blocks: adding goes on at once,
// what does not fit is dropped, and the number is told when the output works again.
func TestLogNeverBlocks(t *testing.T) {
	writer := &gatedWriter{gate: make(chan struct{})}
	book := newLogBook("info", "n", writer)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		book.run(ctx)
		close(ended)
	}()
	const lines = 3 * logRingSize
	for range lines {
		book.add("request", "Decided.", "request", "r1", "step", "sent")
	}
	if dropped := book.lines.Dropped(); dropped < logRingSize {
		t.Fatalf("%d lines dropped of %d", dropped, lines)
	}
	close(writer.gate)
	cancel()
	<-ended
	written := strings.Count(writer.text.String(), "request=r1")
	if written > logRingSize+1 || written < logRingSize {
		t.Errorf("%d lines written", written)
	}
	if !strings.Contains(writer.text.String(), "Lines dropped") || !strings.Contains(writer.text.String(), "node=n") {
		t.Error("the log does not tell of dropped lines")
	}
}

func BenchmarkLogLineDropped(b *testing.B) {
	book := newLogBook("info", "n", &gatedWriter{gate: make(chan struct{})})
	for b.Loop() {
		book.lines.TryPut(line{text: "request: Decided."})
	}
}

// TestLogTellsOfDroppedLinesAtItsEnd covers lines that were dropped before the writer ever
// ran: a daemon that is stopped under load still says that lines are missing.
func TestLogTellsOfDroppedLinesAtItsEnd(t *testing.T) {
	writer := &gatedWriter{gate: make(chan struct{})}
	close(writer.gate)
	book := newLogBook("info", "n", writer)
	for range 2 * logRingSize {
		book.add("request", "Decided.", "request", "r1", "step", "sent")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	book.run(ctx)
	if !strings.Contains(writer.text.String(), "Lines dropped") {
		t.Error("the log does not tell of dropped lines")
	}
}

// TestLogKeepsNoLongValues guards against lines that wait to be written and that quote what a server has sent: the error for a
// malformed head of 64 KiB has four times as many bytes, and the log may hold thousands of lines.
func TestLogKeepsNoLongValues(t *testing.T) {
	var output strings.Builder
	book := newLogBook("info", "n", &output)
	long := strings.Repeat("x", 256<<10)
	book.add("request", "Decided.", "request", "r1", "text", long, "error", errors.New(long), "status", 502)
	waiting := <-book.lines.Items()
	for _, field := range waiting.fields {
		if text, isText := field.(string); isText && len(text) > longestLoggedValue {
			t.Errorf("%d bytes of a value wait to be written", len(text))
		}
		if _, isError := field.(error); isError {
			t.Error("an error with a long text waits to be written")
		}
	}
	book.write(waiting)
	if len(output.String()) > 3*longestLoggedValue || !strings.Contains(output.String(), "status=502") {
		t.Errorf("a line of %d bytes", output.Len())
	}
}
