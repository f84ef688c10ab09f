// Package load sends requests to running daemons over real sockets by an open
// arrival process: a request is sent when it is due, however many still wait,
// so that a slow system does not slow its own load.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/lab/client"
)

// ErrLoad is the class of failures of the load itself.
var ErrLoad = errs.Class("load")

// Options of a load.
type Options struct {
	// Targets are caller addresses of daemons; they must be on loopback.
	Targets   []string
	Models    []string
	PerSecond float64
	Duration  time.Duration
	Tokens    int
	Seed      uint64
	// MaxInFlight bounds the requests in progress; more are counted as not
	// sent.
	MaxInFlight int
	Progress    io.Writer
}

// Check checks the options.
func (o *Options) Check() error {
	if len(o.Targets) == 0 || len(o.Models) == 0 {
		return ErrLoad.New("give at least one target and one model")
	}
	for _, target := range o.Targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil {
			return ErrLoad.New("target %q: give IP:port", target)
		}
		if !address.Addr().IsLoopback() {
			return ErrLoad.New("target %q: load goes to loopback addresses only", target)
		}
	}
	if o.PerSecond <= 0 || o.Duration <= 0 || o.Tokens <= 0 || o.MaxInFlight <= 0 {
		return ErrLoad.New("rate, duration, tokens and the bound on requests in progress must be positive")
	}
	return nil
}

// Result is what came of a load.
type Result struct {
	Sent       int            `json:"sent"`
	NotSent    int            `json:"not_sent"`
	Wrong      int            `json:"wrong_answers"`
	FirstWrong string         `json:"first_wrong,omitempty"`
	Outcomes   map[string]int `json:"outcomes"`
	FirstP50   float64        `json:"first_token_p50_ms"`
	FirstP95   float64        `json:"first_token_p95_ms"`
	FirstP99   float64        `json:"first_token_p99_ms"`
	TokenP50   float64        `json:"per_token_p50_ms"`
	TokenP95   float64        `json:"per_token_p95_ms"`
	TokenP99   float64        `json:"per_token_p99_ms"`
	Partial    bool           `json:"partial,omitempty"`
}

const histogramLimit = int64(10 * time.Minute / time.Microsecond)

// collector gathers results from all requests.
type collector struct {
	mutex        sync.Mutex
	inFlight     int
	result       Result
	first, token *hdrhistogram.Histogram
}

// Run sends the load and waits for its last answer.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.Check(); err != nil {
		return Result{}, err
	}
	caller := client.New(options.Targets)
	defer caller.Close()
	c := &collector{
		result: Result{Outcomes: map[string]int{}},
		first:  hdrhistogram.New(1, histogramLimit, 3), token: hdrhistogram.New(1, histogramLimit, 3),
	}
	random := rand.New(rand.NewPCG(options.Seed, 5))
	var group conc.WaitGroup
	began := time.Now()
	due := began
	reported := began
	for number := 0; ; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / options.PerSecond * float64(time.Second)))
		if due.Sub(began) > options.Duration || !waitUntil(ctx, due) {
			break
		}
		request := client.Request{
			Model: options.Models[random.IntN(len(options.Models))], Prompt: fmt.Sprintf("load %d %d", options.Seed, number),
			Tokens: options.Tokens, Stream: true,
		}
		if c.begin(options.MaxInFlight) {
			group.Go(func() { c.end(caller.Do(ctx, request)) })
		}
		if options.Progress != nil && time.Since(reported) >= 5*time.Second {
			reported = time.Now()
			fmt.Fprintf(options.Progress, "%s of %s, %d sent\n", time.Since(began).Round(time.Second), options.Duration, number+1)
		}
	}
	c.result.Partial = ctx.Err() != nil
	group.Wait()
	return c.sum(), nil
}

func waitUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *collector) begin(limit int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inFlight >= limit {
		c.result.NotSent++
		return false
	}
	c.inFlight++
	c.result.Sent++
	return true
}

func (c *collector) end(answer client.Answer, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight--
	switch {
	case client.ErrWrongAnswer.Has(err):
		c.result.Wrong++
		if c.result.FirstWrong == "" {
			c.result.FirstWrong = err.Error()
		}
	case err != nil:
		c.result.Outcomes["broken"]++
	default:
		name := answer.Outcome
		if answer.Reason != "" {
			name += ": " + answer.Reason
		}
		c.result.Outcomes[name]++
	}
	if answer.FirstToken > 0 {
		_ = c.first.RecordValue(answer.FirstToken.Microseconds())
		_ = c.token.RecordValue(answer.PerToken.Microseconds())
	}
}

func (c *collector) sum() Result {
	r := c.result
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.FirstP50, r.FirstP95, r.FirstP99 = at(c.first, 50), at(c.first, 95), at(c.first, 99)
	r.TokenP50, r.TokenP95, r.TokenP99 = at(c.token, 50), at(c.token, 95), at(c.token, 99)
	return r
}

// Print writes the result as text.
func (r *Result) Print(output io.Writer) {
	if r.Partial {
		fmt.Fprintln(output, "PARTIAL: stopped early")
	}
	fmt.Fprintf(output, "sent %d  not sent (too many in progress) %d  wrong answers %d\n", r.Sent, r.NotSent, r.Wrong)
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(output, "  %-40s %d\n", name, r.Outcomes[name])
	}
	fmt.Fprintf(output, "first token  p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", r.FirstP50, r.FirstP95, r.FirstP99)
	fmt.Fprintf(output, "per token    p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", r.TokenP50, r.TokenP95, r.TokenP99)
}
