// Package explain tells the story of one request from the logs of daemons.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/gateway"
)

// Classes of errors.
var (
	// ErrNotFound means that no line speaks of the request.
	ErrNotFound = errs.Class("explain: not found")
	// ErrRead means that a log could not be read.
	ErrRead = errs.Class("explain: read")
)

// timeLayout is the form of times in the log.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// lineStart is how each line of the log begins. Whatever stands before it, as in
// the output of a tool that merges logs, is left out.
const lineStart = "time="

// maxLine bounds one line.
const maxLine = 1 << 20

// Field is one field of a line.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Step is one decision on the request.
type Step struct {
	At     time.Time    `json:"at"`
	Node   string       `json:"node"`
	Name   gateway.Step `json:"step"`
	Fields []Field      `json:"fields"`
}

// Value returns a field's value, or nothing.
func (s *Step) Value(name string) string {
	for _, field := range s.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// Story is what the logs tell of one request.
type Story struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Known is what the daemons believed of the instances that they used.
	Known []Known `json:"known,omitempty"`
	// Nodes lists the daemons that speak of the request.
	Nodes []string `json:"nodes"`
	// Torn counts lines of the logs that could not be read.
	Torn int `json:"torn_lines"`
	// Dropped counts lines that daemons say they dropped.
	Dropped int `json:"dropped_lines"`
	// Warnings tell what makes the story uncertain.
	Warnings []string `json:"warnings,omitempty"`
	Cause    string   `json:"cause"`
}

// Reader collects the lines of one request.
type Reader struct {
	request string
	story   Story
	known   knowledge
	// verdicts are the first lines that say that a content or part is held, by its digest.
	verdicts map[string]Step
}

// NewReader returns a reader for a request's id.
func NewReader(request string) *Reader {
	return &Reader{request: request, story: Story{Request: request}, known: knowledge{}, verdicts: map[string]Step{}}
}

// Read takes in a log.
func (r *Reader) Read(log io.Reader) error { return eachLine(log, r.line) }

// eachLine hands on the lines of a log.
func eachLine(log io.Reader, take func(text string)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		take(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return ErrRead.Wrap(err)
	}
	return nil
}

func (r *Reader) line(text string) {
	start := strings.Index(text, lineStart)
	if start < 0 {
		if strings.TrimSpace(text) != "" && strings.Contains(text, r.request) {
			r.story.Torn++
		}
		return
	}
	step, message, err := parse(text[start:])
	switch {
	case err != nil:
		r.story.Torn++
	case strings.HasPrefix(message, "log: Lines dropped"):
		r.story.Dropped += droppedCount(&step)
	case strings.HasPrefix(message, "quarantine: Held."):
		r.addVerdict(&step)
	case strings.HasPrefix(message, "instances: Changed"):
		r.known.add(&step)
	case step.Value("request") == r.request:
		r.story.Steps = append(r.story.Steps, step)
	}
}

// addVerdict takes in that a daemon holds a content or part.
func (r *Reader) addVerdict(step *Step) {
	digest := step.Value("content")
	if known, found := r.verdicts[digest]; !found || step.At.Before(known.At) {
		r.verdicts[digest] = *step
	}
}

// heldFor tells what a request was held for, and which servers had crashed by then; empty if it was not held.
func (r *Reader) heldFor(story *Story) string {
	for i := range story.Steps {
		step := &story.Steps[i]
		digest := step.Value("held_for")
		if digest == "" {
			continue
		}
		kind := "content"
		if digest != step.Value("content") {
			kind = "a part of its prompt"
		}
		text := fmt.Sprintf("; held for %s %s", kind, digest)
		if verdict, found := r.verdicts[digest]; found {
			text += fmt.Sprintf(", since servers crashed: %s (%s)", verdict.Value("crashes"), verdict.Node)
		}
		return text
	}
	return ""
}

// originOf tells from what the software version of a stream was concluded that the request resumes; empty if it resumes none.
func originOf(story *Story) string {
	for i := range story.Steps {
		step := &story.Steps[i]
		by := step.Value("by")
		if by == "" || step.Name != "" {
			continue
		}
		text := fmt.Sprintf("; the version %q of the stream that it resumes follows from %q", step.Value("software"), by)
		if toldBy := step.Value("told_by"); toldBy != "" {
			text += ", told by " + toldBy
		}
		return text + fmt.Sprintf(" (%s of %s daemons answered, confirmed: %s, servers observed for %s ms)",
			step.Value("answers"), step.Value("asked"), step.Value("confirmed"), step.Value("observed_ms"))
	}
	return ""
}

// droppedCount is how many lines a daemon says it dropped; one that does not say counts as one.
func droppedCount(step *Step) int {
	count, err := strconv.Atoi(step.Value("count"))
	if err != nil {
		return 1
	}
	return count
}

// parse reads one line.
func parse(text string) (Step, string, error) {
	var step Step
	message := ""
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			name, value := string(decoder.Key()), string(decoder.Value())
			switch name {
			case "time":
				at, err := time.Parse(timeLayout, value)
				if err != nil {
					return step, "", ErrRead.Wrap(err)
				}
				step.At = at
			case "msg":
				message = value
			case "level":
			case "node":
				step.Node = value
			case "step":
				step.Name = gateway.Step(value)
			default:
				step.Fields = append(step.Fields, Field{name, value})
			}
		}
	}
	if err := decoder.Err(); err != nil {
		return step, "", ErrRead.Wrap(err)
	}
	if message == "" {
		return step, "", ErrRead.New("a line without a message")
	}
	return step, message, nil
}

// Story returns what was read, in the order of time.
func (r *Reader) Story() (Story, error) {
	story := r.story
	if len(story.Steps) == 0 {
		return story, ErrNotFound.New("no line speaks of request %q (%d torn lines, %d lines dropped by daemons)", r.request, story.Torn, story.Dropped)
	}
	slices.SortStableFunc(story.Steps, func(a, b Step) int { return a.At.Compare(b.At) })
	for _, step := range story.Steps {
		if !slices.Contains(story.Nodes, step.Node) {
			story.Nodes = append(story.Nodes, step.Node)
		}
	}
	slices.SortFunc(story.Nodes, cmp.Compare[string])
	story.Known = r.known.of(story.Steps)
	story.Warnings = warnings(&story)
	story.Cause = cause(&story) + originOf(&story) + r.heldFor(&story)
	return story, nil
}

func warnings(story *Story) []string {
	var warned []string
	if len(story.Nodes) > 1 {
		warned = append(warned, "several daemons speak of this id: their clocks may be apart, so the order between them is uncertain")
	}
	if story.Torn > 0 {
		warned = append(warned, fmt.Sprintf("%d lines could not be read", story.Torn))
	}
	if story.Dropped > 0 {
		warned = append(warned, fmt.Sprintf("daemons dropped %d lines; some may have been of this request", story.Dropped))
	}
	if !story.Steps[len(story.Steps)-1].Name.IsFinal() {
		warned = append(warned, "the last line is missing: the process may have ended")
	}
	return warned
}

// reasons explain why a request ended as it did.
var reasons = map[gateway.Reason]string{
	gateway.ReasonStarting:           "the daemon did not know a configuration yet",
	gateway.ReasonStopping:           "the daemon was stopping",
	gateway.ReasonNoRoute:            "no route of the configuration begins its path",
	gateway.ReasonNoInstance:         "no instance of the service could take it",
	gateway.ReasonOverloaded:         "no instance with its model would have begun to answer in time",
	gateway.ReasonNoModel:            "no instance had its model in time",
	gateway.ReasonNoAdapter:          "no instance had its adapter in time",
	gateway.ReasonUnknownOrigin:      "nobody knew which software version began the stream that it takes up",
	gateway.ReasonNoSoftware:         "no instance was left of the software version that began its stream",
	gateway.ReasonNoConnection:       "all connections to the instances that could take it were in use",
	gateway.ReasonDeclined:           "the instance declined it, and no further attempt was allowed",
	gateway.ReasonUnreachable:        "no instance could be reached",
	gateway.ReasonBroken:             "the instance failed after it may have run, and it may not run again",
	gateway.ReasonTimeout:            "its time was over before the instance answered",
	gateway.ReasonNeverSent:          "its time was over before it could be sent",
	gateway.ReasonClientDisconnected: "the client left",
	gateway.ReasonAnswered:           "the instance answered",
	gateway.ReasonNoMemory:           "this daemon had no memory left for its body",
	gateway.ReasonBodyTooSlow:        "its body stopped arriving",
	gateway.ReasonConnections:        "its body had not arrived, and its connection was needed for another client",
	gateway.ReasonBodyTooLarge:       "its body is larger than the configuration allows",
	gateway.ReasonBodyFramedTwice:    "its head may be read in two ways as to where its body ends, such as with both a length and chunks",
	gateway.ReasonQuarantined:        "servers crashed under requests like it",
	gateway.ReasonSuspected:          "a server crashed under requests like it, and its turn was too far off",
	gateway.ReasonStreamBroke:        "the stream broke off, and it may not be resumed",
}

// cause tells in one sentence why the request ended as it did.
func cause(story *Story) string {
	var last *Step
	for i := range story.Steps {
		if story.Steps[i].Name.IsFinal() {
			last = &story.Steps[i]
		}
	}
	if last == nil {
		return "unknown: no line tells of its end"
	}
	text := reasons[gateway.Reason(last.Value("reason"))]
	if spent := spentBudget(story); spent != "" {
		text = spent
	}
	if text == "" {
		text = "reason " + last.Value("reason")
	}
	if status := last.Value("status"); status != "" {
		text += " (status " + status + ")"
	}
	for i := len(story.Steps) - 1; i >= 0; i-- {
		if part := story.Steps[i].Value("oversized"); part != "" {
			return fmt.Sprintf("%s after %s ms; at %s the connection was closed, since it sent a %s without end: %s",
				text, last.Value("took_ms"), story.Steps[i].Value("instance"), part, story.Steps[i].Value("error"))
		}
		if defect := story.Steps[i].Value("malformed"); defect != "" {
			return fmt.Sprintf("%s after %s ms; %s sent a malformed head (%s), and the connection was closed",
				text, last.Value("took_ms"), story.Steps[i].Value("instance"), defect)
		}
		if failure := story.Steps[i].Value("error"); failure != "" {
			return fmt.Sprintf("%s after %s ms; the last failure, at %s: %s", text, last.Value("took_ms"), story.Steps[i].Value("instance"), failure)
		}
	}
	return fmt.Sprintf("%s after %s ms", text, last.Value("took_ms"))
}

// spentBudget tells that no further attempt was made since the retry budget had no token; empty if that is not why.
func spentBudget(story *Story) string {
	for i := range story.Steps {
		step := &story.Steps[i]
		if step.Name == gateway.StepRetryDenied {
			return fmt.Sprintf("the attempt failed, and the retry budget of its service %s was spent (%s tokens, limit %s)",
				step.Value("service"), step.Value("tokens"), step.Value("limit"))
		}
	}
	return ""
}

// Write writes the story as text, a line for each step, the cause last.
func (s *Story) Write(w io.Writer) error {
	begin := s.Steps[0].At
	for _, step := range s.Steps {
		parts := make([]string, 0, len(step.Fields))
		for _, field := range step.Fields {
			if field.Name != "request" && field.Value != "" {
				parts = append(parts, field.Name+"="+field.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%s +%5dms %-16s %-14s %s\n", step.At.Format(timeLayout), step.At.Sub(begin).Milliseconds(),
			step.Node, step.Name, strings.Join(parts, " ")); err != nil {
			return ErrRead.Wrap(err)
		}
	}
	if err := writeKnown(w, begin, s.Known); err != nil {
		return err
	}
	for _, warning := range s.Warnings {
		if _, err := fmt.Fprintln(w, "note:", warning); err != nil {
			return ErrRead.Wrap(err)
		}
	}
	_, err := fmt.Fprintln(w, "cause:", s.Cause)
	return err
}
