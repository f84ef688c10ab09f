package cluster_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/demo"
)

// testTimeout only ends tests that hang; no assertion depends on time.
const testTimeout = 3 * time.Minute

func start(t *testing.T, adjust func(*cluster.Options)) (*cluster.Cluster, *client.Client, context.Context) {
	t.Helper()
	options := cluster.DefaultOptions(io.Discard)
	if adjust != nil {
		adjust(&options)
	}
	running, err := cluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	caller := client.New(running.CallerAddresses())
	t.Cleanup(caller.Close)
	if err := demo.Setup(ctx, running, caller, io.Discard); err != nil {
		t.Fatal(err)
	}
	if err := cluster.Wait(ctx, "all replicas serve", func() bool { return replicasServe(ctx, running, caller) }); err != nil {
		t.Fatal(err)
	}
	return running, caller, ctx
}

// replicasServe reports whether every model is served by as many engines as it was
// created with. The setup waits for one of them only, and a second one that is still
// loading is neither room for many calls at once nor a way out when the first is lost.
func replicasServe(ctx context.Context, running *cluster.Cluster, caller *client.Client) bool {
	want, serving := map[string]int{}, map[string]map[string]bool{}
	for _, address := range running.CallerAddresses() {
		result, err := caller.Operator(ctx, address, "", "show models")
		if err != nil {
			return false
		}
		model, replicas, engines := slices.Index(result.Columns, "model"), slices.Index(result.Columns, "replicas"), slices.Index(result.Columns, "serving_on")
		for _, row := range result.Rows {
			want[row[model]], _ = strconv.Atoi(row[replicas])
			if serving[row[model]] == nil {
				serving[row[model]] = map[string]bool{}
			}
			for _, engine := range strings.FieldsFunc(row[engines], func(r rune) bool { return r == ',' }) {
				serving[row[model]][engine] = true
			}
		}
	}
	for model, count := range want {
		if count == 0 || len(serving[model]) < count {
			return false
		}
	}
	return len(want) > 0
}

// TestEveryCallerGetsItsOwnWholeAnswer runs many streams with distinct payloads
// over shared connections, with some callers hanging up in the middle.
func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	_, caller, ctx := start(t, nil)
	const calls, concurrency = 3000, 150
	var mutex sync.Mutex
	outcomes := map[string]int{}
	workers := pool.New().WithMaxGoroutines(concurrency)
	random := rand.New(rand.NewPCG(1, 2))
	for number := range calls {
		request := client.Request{
			Model: "lecture-summary", Prompt: fmt.Sprintf("%d %s", number, strings.Repeat("x", random.IntN(3000))),
			Tokens: 1 + random.IntN(30), Stream: number%3 != 0,
		}
		hangUp := number%20 == 7
		workers.Go(func() {
			callCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			if hangUp {
				time.AfterFunc(5*time.Millisecond, cancel)
			}
			answer, err := caller.Do(callCtx, request)
			mutex.Lock()
			defer mutex.Unlock()
			if client.ErrWrongAnswer.Has(err) || err != nil && !hangUp {
				t.Errorf("call %d: %v", number, err)
			}
			outcomes[answer.Outcome+" "+answer.Reason]++
		})
	}
	workers.Wait()
	if outcomes["answered "] < calls/2 {
		t.Fatalf("outcomes %v", outcomes)
	}
}

// TestNotRepeatableRunsAtMostOnce sends bookings to machines that run every
// fifth call and lose its answer, each key twice at once.
func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	running, caller, ctx := start(t, func(o *cluster.Options) { o.ServiceDropEvery = 5 })
	const bookings = 60
	var mutex sync.Mutex
	told := map[string][]string{}
	workers := pool.New().WithMaxGoroutines(16)
	for number := range 2 * bookings {
		request := client.Request{Service: "berths", Prompt: fmt.Sprintf("booking %d", number/2), Key: fmt.Sprintf("key-%d", number/2)}
		address := running.Daemons[number%len(running.Daemons)].CallerAddress()
		workers.Go(func() {
			answer, err := caller.DoAt(ctx, address, request)
			if err != nil {
				t.Errorf("%s: %v", request.Prompt, err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			told[request.Prompt] = append(told[request.Prompt], answer.Outcome)
		})
	}
	workers.Wait()
	runs := map[string]int{}
	for _, machine := range running.Services {
		for body, count := range machine.Executions() {
			runs[body] += count
		}
	}
	for booking, outcomes := range told {
		text := strings.Join(outcomes, ",")
		if runs[booking] > 1 {
			t.Errorf("%s ran %d times and was told %s", booking, runs[booking], text)
		}
		if text == "not_run,not_run" && runs[booking] > 0 {
			t.Errorf("%s ran although both calls were told not run", booking)
		}
		if strings.Contains(text, "answered") && runs[booking] != 1 {
			t.Errorf("%s was answered and ran %d times", booking, runs[booking])
		}
	}
}

// TestRollingStopCutsNothing replaces every daemon, one by one, under load from
// callers that keep addresses as long as they may.
func TestRollingStopCutsNothing(t *testing.T) {
	running, caller, ctx := start(t, nil)
	stop := make(chan struct{})
	var failures sync.Map
	workers := pool.New()
	for worker := range 12 {
		workers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				request := client.Request{Model: "glossary", Prompt: fmt.Sprintf("%d/%d", worker, number), Tokens: 60, Stream: true}
				answer, err := caller.Do(ctx, request)
				if err != nil || answer.Outcome != "answered" {
					failures.Store(request.Prompt, fmt.Sprintf("%+v %v", answer, err))
				}
			}
		})
	}
	for index, old := range running.Daemons {
		old.Stop(ctx)
		fresh, err := running.StartDaemon(index)
		if err != nil {
			t.Fatal(err)
		}
		running.Daemons[index] = fresh
		caller.SetBootstrap(running.CallerAddresses())
		if err := cluster.Wait(ctx, "new daemon ready", fresh.Ready); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	workers.Wait()
	failures.Range(func(prompt, failure any) bool {
		t.Errorf("%v: %v", prompt, failure)
		return true
	})
}

// TestEngineLossIsToldTruthfully closes an engine under streams: each caller
// gets its whole answer, or an error that does not claim "not run".
func TestEngineLossIsToldTruthfully(t *testing.T) {
	running, caller, ctx := start(t, nil)
	outcomes := make(chan string, 400)
	workers := pool.New().WithMaxGoroutines(64)
	for number := range cap(outcomes) {
		if number == cap(outcomes)/2 {
			running.Engines[0].Close()
			running.Engines = running.Engines[1:]
		}
		workers.Go(func() {
			answer, err := caller.Do(ctx, client.Request{Model: "lecture-summary", Prompt: fmt.Sprint(number), Tokens: 20, Stream: true})
			if err != nil {
				t.Errorf("call %d: %v", number, err)
			}
			outcomes <- answer.Outcome
		})
	}
	workers.Wait()
	close(outcomes)
	counts := map[string]int{}
	for outcome := range outcomes {
		counts[outcome]++
	}
	if counts["answered"] < cap(outcomes)/2 {
		t.Fatalf("outcomes %v", counts)
	}
}

func TestOperatorsRaceNamesTheWinner(t *testing.T) {
	running, caller, ctx := start(t, nil)
	address := running.Daemons[0].CallerAddress()
	first, err := caller.Operator(ctx, address, cluster.Credential, "set model glossary priority paid")
	if err != nil || first.Error != "" {
		t.Fatalf("%+v %v", first, err)
	}
	lost, err := caller.Operator(ctx, running.Daemons[1].CallerAddress(), cluster.Credential,
		fmt.Sprintf("set model glossary priority free if version %d", first.Version-1))
	if err != nil {
		t.Fatal(err)
	}
	if lost.ErrorKind != "conflict" || !strings.Contains(lost.Error, "operator at daemon-1") || !strings.Contains(lost.Error, fmt.Sprint(first.Version)) {
		t.Fatalf("%+v", lost)
	}
	denied, err := caller.Operator(ctx, address, "wrong", "delete model glossary")
	if err != nil || denied.ErrorKind != "credential" {
		t.Fatalf("%+v %v", denied, err)
	}
}
