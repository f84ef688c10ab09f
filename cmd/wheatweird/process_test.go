package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/demo"
)

// testTimeout only ends a test that hangs; no assertion depends on time.
const testTimeout = 4 * time.Minute

// process is one wheatweird as its own process.
type process struct {
	command *exec.Cmd
	address string
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wheatweird")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return binary
}

// startProcesses starts three daemons before the stand-ins of a cluster that
// has no daemons of its own.
func startProcesses(t *testing.T, binary, platform string) []*process {
	t.Helper()
	var started []*process
	folder := t.TempDir()
	for index := range 3 {
		path := filepath.Join(folder, fmt.Sprintf("daemon-%d.ini", index))
		content := fmt.Sprintf(`[daemon]
name = daemon-%[1]d
zone = zone-%[1]d
caller_address = 127.0.0.1:%[2]d
peer_address = 127.0.0.1:%[3]d
platform_address = %[4]s
seeds = 127.0.0.1:28401, 127.0.0.1:28402, 127.0.0.1:28403
deployment_key = %[5]s
[operators]
credential = %[6]s
[requests]
address_keep = 1s
[membership]
probe_interval = 200ms
probe_timeout = 80ms
join_wait = 500ms
[placement]
poll_interval = 200ms
plan_interval = 200ms
`, index+1, 28301+index, 28401+index, platform, cluster.DeploymentKey, cluster.Credential)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(binary, "--settings", path)
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
		started = append(started, &process{command, fmt.Sprintf("127.0.0.1:%d", 28301+index)})
	}
	return started
}

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// load calls until it is stopped and returns what did not end as answered.
func load(ctx context.Context, caller *client.Client, during func()) []string {
	var mutex sync.Mutex
	var failures []string
	stop := make(chan struct{})
	workers := pool.New()
	for worker := range 8 {
		workers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				request := client.Request{Model: "glossary", Prompt: fmt.Sprintf("%d/%d", worker, number), Tokens: 50, Stream: true}
				answer, err := caller.Do(ctx, request)
				if err == nil && answer.Outcome == "answered" {
					continue
				}
				mutex.Lock()
				failures = append(failures, fmt.Sprintf("%+v %v", answer, err))
				mutex.Unlock()
			}
		})
	}
	during()
	close(stop)
	workers.Wait()
	return failures
}

func TestProcessesFrozenStoppedAndKilled(t *testing.T) {
	options := cluster.DefaultOptions(nil)
	options.Daemons = 0
	standIns, err := cluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standIns.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	daemons := startProcesses(t, buildBinary(t), standIns.Store.Address())
	var addresses []string
	for _, each := range daemons {
		if err := cluster.Wait(ctx, "daemon ready", each.ready); err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, each.address)
	}
	caller := client.New(addresses)
	defer caller.Close()
	machines := len(standIns.Engines) + len(standIns.Services)
	if err := demo.SetupAt(ctx, addresses, cluster.Credential, machines, caller, os.Stderr); err != nil {
		t.Fatal(err)
	}

	frozen, stopped, killed := daemons[0], daemons[1], daemons[2]
	signal := func(p *process, s syscall.Signal) {
		if err := p.command.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	// Frozen past its place in the membership, then resumed.
	signal(frozen, syscall.SIGSTOP)
	known := func(state string) func() bool {
		return func() bool {
			result, err := caller.Operator(ctx, stopped.address, "", "show daemons where daemon = daemon-1")
			return err == nil && len(result.Rows) == 1 && result.Rows[0][2] == state
		}
	}
	if err := cluster.Wait(ctx, "frozen daemon held for dead", known("dead")); err != nil {
		t.Fatal(err)
	}
	signal(frozen, syscall.SIGCONT)
	if err := cluster.Wait(ctx, "frozen daemon back", func() bool { return known("alive")() && frozen.ready() }); err != nil {
		t.Fatal(err)
	}
	// Stopped as planned, under load: nothing is cut off.
	failures := load(ctx, caller, func() {
		signal(stopped, syscall.SIGTERM)
		if err := stopped.command.Wait(); err != nil {
			t.Errorf("planned stop: %v", err)
		}
	})
	if len(failures) > 0 {
		t.Errorf("%d calls failed during a planned stop, the first: %s", len(failures), failures[0])
	}
	// Killed: calls in progress there break, none gets a wrong answer, and the
	// last daemon goes on.
	failures = load(ctx, caller, func() {
		signal(killed, syscall.SIGKILL)
		_ = killed.command.Wait()
		caller.SetBootstrap([]string{frozen.address})
		alone := func() bool {
			answer, err := caller.DoAt(ctx, frozen.address, client.Request{Model: "glossary", Prompt: "alone", Tokens: 3, Stream: true})
			return err == nil && answer.Outcome == "answered"
		}
		if err := cluster.Wait(ctx, "last daemon answers", alone); err != nil {
			t.Error(err)
		}
	})
	for _, failure := range failures {
		if strings.Contains(failure, client.ErrWrongAnswer.New("").Error()) {
			t.Error(failure)
		}
	}
}
