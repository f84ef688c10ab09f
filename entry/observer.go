package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/ring"
)

// logRingSize bounds the lines that wait to be written.
const logRingSize = 2048

// line is one line of the log before it is formatted.
type line struct {
	at     time.Time
	text   string
	fields []any
}

// logBook takes lines without waiting; one duty writes them. Lines that find the
// ring full are dropped and counted.
type logBook struct {
	lines  *ring.Ring[line]
	logger *log.Logger
	now    time.Time
	// dropped is the number of dropped lines that was told.
	dropped uint64
}

func newLogBook(level, node string, output io.Writer) *logBook {
	book := &logBook{lines: ring.New[line](logRingSize)}
	book.logger = log.NewWithOptions(output, log.Options{
		ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.LogfmtFormatter,
		TimeFunction: func(time.Time) time.Time { return book.now },
	})
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	book.logger.SetLevel(parsed)
	book.logger = book.logger.With("node", node)
	return book
}

// longestLoggedValue bounds each value in bytes: errors may quote what others have sent.
const longestLoggedValue = 512

// clipped returns a value of at most longestLoggedValue bytes. A shortened one does not keep the whole in memory.
func clipped(value any) any {
	text, isText := value.(string)
	if err, isError := value.(error); isError {
		text, isText = err.Error(), true
	}
	if !isText || len(text) <= longestLoggedValue {
		return value
	}
	return strings.Clone(text[:longestLoggedValue])
}

// add takes a line. The fields must not be used afterwards.
func (b *logBook) add(part, text string, fields ...any) {
	for i, value := range fields {
		fields[i] = clipped(value)
	}
	b.lines.TryPut(line{at: time.Now(), text: part + ": " + text, fields: fields})
}

// run writes lines until ctx ends, then those that are left.
func (b *logBook) run(ctx context.Context) {
	for {
		next, ok := b.lines.Take(ctx)
		if !ok {
			b.drain()
			return
		}
		b.write(next)
		b.tellDropped()
	}
}

func (b *logBook) drain() {
	for {
		select {
		case next := <-b.lines.Items():
			b.write(next)
		default:
			b.tellDropped()
			return
		}
	}
}

// tellDropped says how many lines were dropped since it last said so.
func (b *logBook) tellDropped() {
	if total := b.lines.Dropped(); total != b.dropped {
		b.write(line{at: time.Now(), text: "log: Lines dropped.", fields: []any{"count", total - b.dropped}})
		b.dropped = total
	}
}

func (b *logBook) write(next line) {
	b.now = next.at
	b.logger.Info(next.text, next.fields...)
}

// longestLoggedID bounds what is logged of an ID that a client made up.
const longestLoggedID = 64

func loggedID(id string) string { return id[:min(len(id), longestLoggedID)] }

// mostLoggedParts bounds the parts of a prompt that are logged.
const mostLoggedParts = 16

// loggedPrompt lists the IDs of the parts of a prompt.
func loggedPrompt(parts []gateway.PromptPart) string {
	var list []string
	for _, part := range parts[:min(len(parts), mostLoggedParts)] {
		list = append(list, loggedID(part.ID))
	}
	return strings.Join(list, ",")
}

// Observe implements gateway.Observer.
func (d *Daemon) Observe(event gateway.Event) {
	took := d.clock.Since(event.Request.Arrived)
	d.metrics.count(&event, took)
	d.retries.observe(&event)
	fields := []any{"request", event.Request.ID, "route", "", "step", string(event.Step)}
	if event.Route != nil {
		fields[3] = event.Route.Name
	}
	if event.Tenant != "" {
		fields = append(fields, "tenant", event.Tenant)
	}
	if event.Request.Model != "" {
		fields = append(fields, "model", event.Request.Model, "adapter", event.Request.Adapter)
	}
	if event.Instance != "" {
		fields = append(fields, "instance", event.Instance, "attempt", event.Attempt)
	}
	if event.Step == gateway.StepSent {
		if event.Software != "" {
			fields = append(fields, "software", event.Software)
		}
		if event.Request.ResumeAfter != "" {
			fields = append(fields, "resumes", loggedID(event.Request.ResumedRequestID), "after", loggedID(event.Request.ResumeAfter))
		}
		fields = append(fields, "left_ms", event.Left.Milliseconds(), "candidates", event.Candidates, "load", event.Load.Requests, "prompt_tokens", event.Load.PromptTokens)
		if event.ChosenBy != "" {
			fields = append(fields, "chosen_by", event.ChosenBy)
		}
	}
	if event.Service != "" {
		fields = append(fields, "service", event.Service, "tokens", rounded(event.Retry.Tokens), "limit", rounded(event.Retry.Limit), "daemons", d.fleet.live.Load())
	}
	if event.Content != "" {
		fields = append(fields, "content", event.Content)
	}
	if event.HeldFor != "" {
		fields = append(fields, "held_for", event.HeldFor)
	}
	if event.NeedsPromptParts() && len(event.Request.Prompt) > 0 {
		fields = append(fields, "prompt", loggedPrompt(event.Request.Prompt))
	}
	if event.Forecast > 0 {
		fields = append(fields, "forecast_ms", event.Forecast.Milliseconds())
	}
	if event.Yielded > 0 {
		fields = append(fields, "yielded_ms", event.Yielded.Milliseconds())
	}
	if event.RetryAfter > 0 {
		fields = append(fields, "retry_after_ms", event.RetryAfter.Milliseconds())
	}
	if event.FirstEvent > 0 {
		fields = append(fields, "first_ms", event.FirstEvent.Milliseconds(), "pause_ms", event.LongestPause.Milliseconds())
	}
	if late := event.Late(d.clock.Now()); late != gateway.OnTime {
		fields = append(fields, "late", string(late))
	}
	if event.Step.IsFinal() && event.Reason != gateway.ReasonAnswered && event.Phase != "" {
		fields = append(fields, "phase", string(event.Phase))
	}
	if event.Framing == gateway.FramedByConnection {
		fields = append(fields, "framing", string(event.Framing))
	}
	if event.Oversized != "" {
		fields = append(fields, "oversized", string(event.Oversized))
	}
	if event.Malformed != "" {
		fields = append(fields, "malformed", string(event.Malformed))
	}
	if event.Status != 0 {
		fields = append(fields, "status", event.Status)
	}
	if event.Reason != "" {
		fields = append(fields, "reason", string(event.Reason))
	}
	if event.Err != nil {
		fields = append(fields, "error", strings.ReplaceAll(event.Err.Error(), "\n", " "))
	}
	fields = append(fields, "took_ms", took.Milliseconds(), "configuration", event.Version)
	d.log.add("request", "Decided.", fields...)
}
