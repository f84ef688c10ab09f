package daemon

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/operator"
)

func newLogger(level string, output io.Writer) *log.Logger {
	logger := log.NewWithOptions(output, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger
}

// logDecision writes a decision of the control plane and keeps it for queries.
func (d *Daemon) logDecision(decision control.Decision) {
	fields := append([]any{"part", decision.Part}, decision.Fields...)
	d.logger.Info(decision.Text, fields...)
	d.history.add(decision.Part, decision.Text, decision.Fields)
}

// historySize is how many decisions are kept for queries.
const historySize = 2000

// history keeps the last decisions of this daemon.
type history struct {
	mutex   sync.Mutex
	entries []historyEntry
	next    int
}

type historyEntry struct {
	at     time.Time
	part   string
	text   string
	detail string
}

func newHistory() *history { return &history{entries: make([]historyEntry, 0, historySize)} }

func (h *history) add(part, text string, fields []any) {
	var detail strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		if i > 0 {
			detail.WriteByte(' ')
		}
		fmt.Fprintf(&detail, "%v=%v", fields[i], fields[i+1])
	}
	entry := historyEntry{time.Now(), part, text, detail.String()}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.entries) < historySize {
		h.entries = append(h.entries, entry)
		return
	}
	h.entries[h.next] = entry
	h.next = (h.next + 1) % historySize
}

// rows lists the entries that mention all of the words, oldest first.
func (h *history) rows(words ...string) *operator.Result {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	result := &operator.Result{Columns: []string{"at", "part", "decision", "detail"}}
	for i := range h.entries {
		entry := &h.entries[(h.next+i)%len(h.entries)]
		if mentions(entry, words) {
			at := entry.at.UTC().Format(timeLayout)
			result.Rows = append(result.Rows, []string{at, entry.part, entry.text, entry.detail})
		}
	}
	return result
}

func mentions(entry *historyEntry, words []string) bool {
	for _, word := range words {
		if !strings.Contains(entry.detail, word) && !strings.Contains(entry.text, word) {
			return false
		}
	}
	return true
}

// timeLayout has a fixed width, so that the text order of times is their order.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"
