// Package demo runs the main job on embedded stand-ins: models are created by
// an operator, placed by the daemons, and a mixed load is served and checked.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
)

// ErrDemo is the class of failures of the demo.
var ErrDemo = errs.Class("demo")

// SetupCommands are what an operator types to create the demo's models.
var SetupCommands = []string{
	"create model lecture-summary version v1 size 14GiB priority paid replicas 2",
	"create adapter maths on lecture-summary size 512MiB",
	"create adapter law on lecture-summary size 512MiB",
	"create model glossary version v1 size 6GiB priority critical replicas 2",
	"create model manifest version v3 size 20GiB priority critical replicas 2",
	"create adapter customs on manifest size 256MiB",
	"create model chapter-notes version v1 size 10GiB priority free replicas 1",
	"create service berths on portal-1, portal-2 priority critical",
}

// models are the references that the load asks for.
var models = []string{
	"lecture-summary", "lecture-summary:maths", "lecture-summary:law", "glossary", "manifest", "manifest:customs", "chapter-notes",
}

const (
	setupTimeout = 20 * time.Second
	// requests is the number of calls of the load.
	requests    = 600
	concurrency = 48
	// serviceDropEvery makes the service run every n-th booking and lose its answer: what
	// the caller is then told must not be "not run".
	serviceDropEvery = 25
)

// Run runs the demo and returns an error unless every request got its own
// whole answer or a truthful refusal.
func Run(ctx context.Context, output, logs io.Writer) error {
	began := time.Now()
	options := cluster.DefaultOptions(logs)
	options.ServiceDropEvery = serviceDropEvery
	running, err := cluster.Start(options)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintf(output, "started %d daemons, %d engines, %d service machines\n", len(running.Daemons), len(running.Engines), len(running.Services))
	caller := client.New(running.CallerAddresses())
	defer caller.Close()
	if err := Setup(ctx, running, caller, output); err != nil {
		return err
	}
	summary := load(ctx, caller, output)
	summary.print(output)
	if err := printPlacements(ctx, running, caller, output); err != nil {
		return err
	}
	fmt.Fprintf(output, "took %s\n", time.Since(began).Round(10*time.Millisecond))
	return summary.verdict(running)
}

// Setup creates the models on a cluster and waits until each answers.
func Setup(ctx context.Context, running *cluster.Cluster, caller *client.Client, output io.Writer) error {
	machines := len(running.Engines) + len(running.Services)
	return SetupAt(ctx, running.CallerAddresses(), cluster.Credential, machines, caller, output)
}

// SetupAt creates the models through running daemons, once they know at least
// so many machines, and waits until each model answers at each daemon.
func SetupAt(ctx context.Context, addresses []string, credential string, machines int, caller *client.Client, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	address := addresses[0]
	known := func() bool {
		result, err := caller.Operator(ctx, address, "", "show machines where role != entry")
		return err == nil && len(result.Rows) >= machines
	}
	if err := cluster.Wait(ctx, "machines known", known); err != nil {
		return err
	}
	for _, command := range SetupCommands {
		result, err := caller.Operator(ctx, address, credential, command)
		if err != nil {
			return err
		}
		if result.Error != "" {
			return ErrDemo.New("%s: %s", command, result.Error)
		}
		fmt.Fprintf(output, "  %s\n", result.Message)
	}
	for _, model := range models {
		answers := func() bool {
			for _, address := range addresses {
				answer, err := caller.DoAt(ctx, address, client.Request{Model: model, Prompt: "ready?", Tokens: 1, Stream: true})
				if err != nil || answer.Outcome != "answered" {
					return false
				}
			}
			return true
		}
		if err := cluster.Wait(ctx, "model "+model+" answers", answers); err != nil {
			return err
		}
	}
	fmt.Fprintf(output, "all %d models and adapters answer\n", len(models))
	return nil
}

// summary collects what came of the load.
type summary struct {
	mutex      sync.Mutex
	sent       int
	outcomes   map[string]int
	wrong      []error
	firstToken *hdrhistogram.Histogram
	perToken   *hdrhistogram.Histogram
	bookings   map[string]string
}

const maxTracked = int64(time.Minute / time.Microsecond)

func newSummary() *summary {
	return &summary{
		outcomes:   map[string]int{},
		firstToken: hdrhistogram.New(1, maxTracked, 3),
		perToken:   hdrhistogram.New(1, maxTracked, 3),
		bookings:   map[string]string{},
	}
}

func load(ctx context.Context, caller *client.Client, output io.Writer) *summary {
	total := newSummary()
	workers := pool.New().WithMaxGoroutines(concurrency)
	random := rand.New(rand.NewPCG(1, 1))
	for number := range requests {
		request := newRequest(random, number)
		workers.Go(func() { total.add(request, number, output, call(ctx, caller, request)) })
	}
	workers.Wait()
	return total
}

type callResult struct {
	answer client.Answer
	err    error
}

func call(ctx context.Context, caller *client.Client, request client.Request) callResult {
	answer, err := caller.Do(ctx, request)
	return callResult{answer, err}
}

var priorities = []string{"critical", "paid", "free"}

// newRequest mixes streams, whole answers, adapters, a plain service, and
// calls that must not be repeated.
func newRequest(random *rand.Rand, number int) client.Request {
	request := client.Request{
		Prompt:   fmt.Sprintf("request %d %s", number, strings.Repeat("text ", random.IntN(200))),
		Priority: priorities[random.IntN(len(priorities))],
	}
	if number%10 == 0 {
		request.Service = "berths"
		request.Key = fmt.Sprintf("booking-%d", number)
		return request
	}
	request.Model = models[random.IntN(len(models))]
	request.Tokens = 5 + random.IntN(40)
	request.Stream = number%4 != 1
	if number%15 == 2 {
		request.Key = fmt.Sprintf("billed-%d", number)
	}
	return request
}

const progressEvery = 100

func (s *summary) add(request client.Request, number int, output io.Writer, result callResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
	if s.sent%progressEvery == 0 {
		fmt.Fprintf(output, "  %d of %d requests\n", s.sent, requests)
	}
	if result.err != nil {
		s.wrong = append(s.wrong, ErrDemo.New("request %d: %v", number, result.err))
		return
	}
	outcome := result.answer.Outcome
	if result.answer.Reason != "" {
		outcome += ": " + result.answer.Reason
	}
	s.outcomes[outcome]++
	if request.Service != "" {
		s.bookings[request.Prompt] = result.answer.Outcome
	}
	if result.answer.FirstToken > 0 {
		_ = s.firstToken.RecordValue(result.answer.FirstToken.Microseconds())
	}
	if result.answer.PerToken > 0 {
		_ = s.perToken.RecordValue(result.answer.PerToken.Microseconds())
	}
}

func (s *summary) print(output io.Writer) {
	fmt.Fprintf(output, "requests %d\n", s.sent)
	names := make([]string, 0, len(s.outcomes))
	for name := range s.outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(output, "  %-40s %d\n", name, s.outcomes[name])
	}
	fmt.Fprintf(output, "  %-40s %d\n", "wrong or missing answers", len(s.wrong))
	fmt.Fprintf(output, "  (the service loses the answer to every %dth booking on purpose)\n", serviceDropEvery)
	printQuantiles(output, "first token", s.firstToken)
	printQuantiles(output, "per token", s.perToken)
}

func printQuantiles(output io.Writer, name string, histogram *hdrhistogram.Histogram) {
	fmt.Fprintf(output, "%-12s p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", name,
		milliseconds(histogram, 50), milliseconds(histogram, 95), milliseconds(histogram, 99))
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func printPlacements(ctx context.Context, running *cluster.Cluster, caller *client.Client, output io.Writer) error {
	result, err := caller.Operator(ctx, running.Daemons[0].CallerAddress(), "", "show models")
	if err != nil {
		return err
	}
	fmt.Fprint(output, result.Table())
	return nil
}

// verdict checks the bookings against what the service machines ran.
func (s *summary) verdict(running *cluster.Cluster) error {
	if len(s.wrong) > 0 {
		return ErrDemo.New("%d wrong or missing answers, the first: %v", len(s.wrong), s.wrong[0])
	}
	runs := map[string]int{}
	for _, machine := range running.Services {
		for body, count := range machine.Executions() {
			runs[body] += count
		}
	}
	for body, outcome := range s.bookings {
		switch count := runs[body]; {
		case count > 1:
			return ErrDemo.New("booking %.20q ran %d times", body, count)
		case outcome == "not_run" && count != 0:
			return ErrDemo.New("booking %.20q was refused as not run but ran", body)
		case outcome == "answered" && count != 1:
			return ErrDemo.New("booking %.20q was answered but ran %d times", body, count)
		}
	}
	for index, engine := range running.Engines {
		if err := checkEngine(cluster.EngineName(index), engine); err != nil {
			return err
		}
	}
	return nil
}
