package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
)

// Loss is the requests that were not served in time for one cause, within one window.
type Loss struct {
	// Begin is the start of the window, by the arrival of the requests.
	Begin time.Time `json:"begin"`
	Route string    `json:"route"`
	Model string    `json:"model,omitempty"`
	// Cause is the last step with its reason, or how the answer was late.
	Cause string `json:"cause"`
	Count int    `json:"count"`
	// MeanHeldMs is how long these requests were held, on average.
	MeanHeldMs int64 `json:"mean_held_ms"`
	// MeanCandidates is how many instances their last attempt could choose from, on average;
	// zero if none was sent.
	MeanCandidates float64 `json:"mean_candidates"`
	// Orders counts the orders that were sent in the window to instances that these requests
	// were sent to.
	Orders int `json:"orders"`
}

// Losses is what the logs tell of requests that were not served in time.
type Losses struct {
	Window   time.Duration `json:"window_ns"`
	Requests int           `json:"requests"`
	InTime   int           `json:"in_time"`
	Rows     []Loss        `json:"losses"`
	// Tenants tells how the requests of each tenant ended, in all windows.
	Tenants []TenantShare `json:"tenants,omitempty"`
	// Unfinished counts requests whose last line is missing.
	Unfinished int `json:"unfinished"`
	Torn       int `json:"torn_lines"`
	Dropped    int `json:"dropped_lines"`
}

// attempt is one request at one daemon, as far as it was read.
type attempt struct {
	arrived    time.Time
	held       time.Duration
	route      string
	model      string
	tenant     string
	instance   string
	candidates int
	cause      string
	ended      bool
}

// LossReader collects the requests of all logs.
type LossReader struct {
	window   time.Duration
	attempts map[attemptKey]*attempt
	// orders counts orders by instance and window.
	orders  map[orderKey]int
	torn    int
	dropped int
}

type (
	attemptKey struct{ node, request string }
	orderKey   struct {
		instance string
		begin    time.Time
	}
)

// NewLossReader returns a reader that counts by windows of a length.
func NewLossReader(window time.Duration) (*LossReader, error) {
	if window <= 0 {
		return nil, ErrRead.New("the window has to be longer than nothing, not %v", window)
	}
	return &LossReader{window: window, attempts: map[attemptKey]*attempt{}, orders: map[orderKey]int{}}, nil
}

// Read takes in a log.
func (r *LossReader) Read(log io.Reader) error { return eachLine(log, r.line) }

func (r *LossReader) line(text string) {
	start := strings.Index(text, lineStart)
	if start < 0 {
		return
	}
	step, message, err := parse(text[start:])
	switch {
	case err != nil:
		r.torn++
	case strings.HasPrefix(message, "log: Lines dropped"):
		r.dropped += droppedCount(&step)
	case strings.HasPrefix(message, "orders: Sent"):
		r.orders[orderKey{step.Value("instance"), step.At.Truncate(r.window)}]++
	case strings.HasPrefix(message, "request: ") && step.Value("request") != "":
		r.step(&step)
	}
}

// step takes in one decision on a request. An id may come twice, from two clients: the
// first one's end stays.
func (r *LossReader) step(step *Step) {
	key := attemptKey{step.Node, step.Value("request")}
	known := r.attempts[key]
	if known == nil {
		known = &attempt{}
		r.attempts[key] = known
	}
	if known.ended {
		return
	}
	took, err := strconv.ParseInt(step.Value("took_ms"), 10, 64)
	if err != nil {
		r.torn++
		return
	}
	known.held = time.Duration(took) * time.Millisecond
	known.arrived = step.At.Add(-known.held)
	known.route, known.model = step.Value("route"), step.Value("model")
	known.tenant = step.Value("tenant")
	if step.Name == gateway.StepSent {
		known.instance = step.Value("instance")
		known.candidates, err = strconv.Atoi(step.Value("candidates"))
		if err != nil {
			r.torn++
		}
	}
	if step.Name.IsFinal() {
		known.ended, known.cause = true, lossCause(step)
	}
}

// lossCause names why a request was not served in time; it is empty if it was.
func lossCause(step *Step) string {
	reason := step.Value("reason")
	if step.Name != gateway.StepEnded {
		return string(step.Name) + " " + reason
	}
	if gateway.Reason(reason) == gateway.ReasonAnswered {
		if late := step.Value("late"); late != "" {
			return "late " + late
		}
		return ""
	}
	return reason
}

// Losses returns the table, in the order of time.
func (r *LossReader) Losses() (Losses, error) {
	table := Losses{Window: r.window, Requests: len(r.attempts), Torn: r.torn, Dropped: r.dropped}
	if len(r.attempts) == 0 {
		return table, ErrNotFound.New("no line tells of a request (%d torn lines, %d lines dropped by daemons)", r.torn, r.dropped)
	}
	rows, tenants := map[lossKey]*lossSum{}, map[string]*TenantShare{}
	for _, known := range r.attempts {
		if known.ended {
			addTenant(tenants, known)
		}
		switch {
		case !known.ended:
			table.Unfinished++
		case known.cause == "":
			table.InTime++
		default:
			key := lossKey{known.arrived.Truncate(r.window), known.route, known.model, known.cause}
			if rows[key] == nil {
				rows[key] = &lossSum{instances: map[string]bool{}}
			}
			rows[key].add(known)
		}
	}
	for key, sum := range rows {
		table.Rows = append(table.Rows, sum.row(key, r.orders))
	}
	table.Tenants = sortedTenants(tenants)
	slices.SortFunc(table.Rows, func(a, b Loss) int {
		return cmp.Or(a.Begin.Compare(b.Begin), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Cause, b.Cause))
	})
	return table, nil
}

type lossKey struct {
	begin               time.Time
	route, model, cause string
}

type lossSum struct {
	count, candidates int
	held              time.Duration
	instances         map[string]bool
}

func (s *lossSum) add(known *attempt) {
	s.count++
	s.candidates += known.candidates
	s.held += known.held
	if known.instance != "" {
		s.instances[known.instance] = true
	}
}

func (s *lossSum) row(key lossKey, orders map[orderKey]int) Loss {
	row := Loss{
		Begin: key.begin, Route: key.route, Model: key.model, Cause: key.cause, Count: s.count,
		MeanHeldMs: (s.held / time.Duration(s.count)).Milliseconds(), MeanCandidates: float64(s.candidates) / float64(s.count),
	}
	for instance := range s.instances {
		row.Orders += orders[orderKey{instance, key.begin}]
	}
	return row
}

// DropBelow leaves out rows with fewer requests.
func (l *Losses) DropBelow(least int) {
	l.Rows = slices.DeleteFunc(l.Rows, func(row Loss) bool { return row.Count < least })
}

// Write writes the table as text.
func (l *Losses) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%-14s %-12s %-16s %-26s %6s %8s %10s %7s\n", "window", "route", "model", "cause", "count", "held ms", "candidates", "orders"); err != nil {
		return ErrRead.Wrap(err)
	}
	for _, row := range l.Rows {
		if _, err := fmt.Fprintf(w, "%-14s %-12s %-16s %-26s %6d %8d %10.1f %7d\n", row.Begin.Format("15:04:05.000"), row.Route, row.Model, row.Cause, row.Count,
			row.MeanHeldMs, row.MeanCandidates, row.Orders); err != nil {
			return ErrRead.Wrap(err)
		}
	}
	if err := writeTenants(w, l.Tenants); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d requests, %d in time, %d without an end; %d lines could not be read, %d lines were dropped by daemons\n",
		l.Requests, l.InTime, l.Unfinished, l.Torn, l.Dropped)
	return ErrRead.Wrap(err)
}
