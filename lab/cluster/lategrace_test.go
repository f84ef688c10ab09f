package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/settings"
)

// slowService answers calls after a while and notes their bodies.
type slowService struct {
	takes time.Duration
	mutex sync.Mutex
	ran   map[string]bool
}

// ServeHTTP implements http.Handler.
func (s *slowService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.ran[string(body)] = true
	s.mutex.Unlock()
	time.Sleep(s.takes)
	_, _ = io.WriteString(writer, "done: "+string(body))
}

// TestCallsLateInADrainAreAnswered guards against calls that a stopping native daemon takes late, passes on and ends without an answer.
// Clients keep using their connections until the daemon is gone.
func TestCallsLateInADrainAreAnswered(t *testing.T) {
	const (
		callPause = 50 * time.Millisecond
		before    = 20
		calls     = 70
	)
	for _, takes := range []time.Duration{100 * time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint(takes), func(t *testing.T) {
			t.Parallel()
			slow := &slowService{takes: takes, ran: map[string]bool{}}
			caller, address, stop := startBeforeService(t, slow)
			type result struct {
				name   string
				answer client.Answer
				err    error
			}
			results := make(chan result, calls)
			var group sync.WaitGroup
			for number := range calls {
				if number == before {
					group.Go(stop)
				}
				group.Go(func() {
					name := fmt.Sprint("late-", number)
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					answer, err := caller.DoAt(ctx, address, client.Request{Service: "slow", Prompt: name, Deadline: patience})
					results <- result{name, answer, err}
				})
				time.Sleep(callPause)
			}
			group.Wait()
			close(results)
			slow.mutex.Lock()
			defer slow.mutex.Unlock()
			counts := map[string]int{}
			for got := range results {
				ran := slow.ran[got.name]
				if ran && (got.err != nil || got.answer.Outcome == "not_run") {
					t.Errorf("%s ran: %+v, %v", got.name, got.answer, got.err)
				}
				if !ran && got.err != nil && !strings.Contains(got.err.Error(), "connection refused") && got.answer.Total > 200*time.Millisecond {
					t.Errorf("%s: %+v, %v", got.name, got.answer, got.err)
				}
				counts[fmt.Sprintf("%d %s", got.answer.Status, got.answer.Outcome)]++
			}
			t.Logf("%v", counts)
		})
	}
}

// startBeforeService starts a daemon with a short drain limit before one machine of a service, and returns a function that stops it.
func startBeforeService(t *testing.T, handler http.Handler) (caller *client.Client, address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	options := cluster.DefaultOptions(io.Discard)
	adjust := options.Adjust
	options.Daemons, options.Engines, options.Services = 1, 0, 0
	options.Adjust = func(s *settings.Settings) {
		adjust(s)
		s.Requests.DrainLimit = stopDrainLimit
	}
	running, err := cluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	running.Store.Do(func(now time.Time, core *objectstore.Core) {
		core.SetMachine(now, api.Machine{Name: "slow-1", Role: api.RoleService, Zone: "zone-1", State: api.MachineLive, Address: listener.Addr().String()})
	})
	address = running.Daemons[0].CallerAddress()
	caller = client.New([]string{address})
	t.Cleanup(caller.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	served := func() bool {
		_, _ = caller.Operator(ctx, address, cluster.Credential, "create service slow on slow-1 priority critical")
		answer, err := caller.DoAt(ctx, address, client.Request{Service: "slow", Prompt: "first", Deadline: patience})
		return err == nil && answer.Outcome == "answered"
	}
	if err := cluster.Wait(ctx, "the service answers", served); err != nil {
		t.Fatal(err)
	}
	return caller, address, func() { running.Daemons[0].Stop(ctx) }
}
