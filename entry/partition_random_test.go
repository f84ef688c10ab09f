package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// cutsFor is how long paths are cut at random, healedWithin how soon afterwards all is served.
	cutsFor      = 6 * time.Second
	healedWithin = 3 * time.Second
	// mostCutPause bounds the time between two changes of the paths of one daemon.
	mostCutPause = 1200 * time.Millisecond
)

// cutAtRandom changes the paths of a daemon again and again until ctx ends, and leaves them sound.
func (f *deployment) cutAtRandom(ctx context.Context, daemon int, random *rand.Rand) {
	network := f.network(f.all[daemon].Name)
	defer network.SetCut(standin.CutNone)
	for ctx.Err() == nil {
		network.SetCut(standin.Cut(random.IntN(int(standin.CutNew) + 1)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Float64() * float64(mostCutPause))):
		}
	}
}

// TestRequestsRunAtMostOnceWhilePathsAreCutAtRandom guards against requests that run twice, answers of other requests and
// answers that only look whole, whenever paths and tunnels break: each daemon's paths are cut and healed in series
// that overlap, and one daemon, which carries connections for others, is killed and started again.
func TestRequestsRunAtMostOnceWhilePathsAreCutAtRandom(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := start(t, 4)
			f.waitReady(t)
			for _, server := range f.servers {
				server.EventPause = 30 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), cutsFor)
			defer cancel()
			var group sync.WaitGroup
			for daemon := range f.all {
				random := rand.New(rand.NewPCG(seed, uint64(daemon)))
				group.Go(func() { f.cutAtRandom(ctx, daemon, random) })
			}
			group.Go(func() {
				time.Sleep(cutsFor / 2)
				f.daemons[3].Kill()
				f.daemons[3] = f.startDaemon(t, f.all[3])
			})
			for number := range 16 {
				group.Go(func() {
					for ctx.Err() == nil {
						f.checkOne(t, number%len(f.all), number%2 == 0)
					}
				})
			}
			group.Wait()
			f.checkRunsOnce(t)
			healed := time.Now()
			for daemon := range f.all {
				eventually(t, "all is served again", func() bool { return f.tryAt(daemon, 2).failed.Load() == 0 })
			}
			if took := time.Since(healed); took > healedWithin {
				t.Errorf("all is served again after %v", took)
			}
		})
	}
}

// checkOne sends one request, and checks that an answer that looks whole is the server's.
func (f *deployment) checkOne(t *testing.T, daemon int, stream bool) {
	path, model := "/plain/x", ""
	if stream {
		path, model = "/stream/x", "m"
	}
	id, status, body, err := post(f.all[daemon].FrontAddress, path, model)
	if err != nil || status != 200 {
		return
	}
	whole := strings.HasPrefix(body, id+" from web")
	if stream {
		whole = body == standin.StreamBody(id, 0)
	}
	if !whole {
		t.Errorf("request %s: the answer is %q", id, body)
	}
}

// checkRunsOnce checks that no request ran twice: none of the routes allows that.
func (f *deployment) checkRunsOnce(t *testing.T) {
	t.Helper()
	seen := map[string]string{}
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if other, again := seen[run.ID]; again {
				t.Errorf("request %s ran at %s and at %s", run.ID, other, run.Server)
			}
			seen[run.ID] = run.Server
		}
	}
	if len(seen) == 0 {
		t.Error("no request ran")
	}
}

// silentSecond is how long a sound server may be silent.
const silentSecond = 1300 * time.Millisecond

// TestSilentSecondBreaksNothing guards against requests that fail, run again or are blamed on a server that was silent
// for a second and goes on: for nobody, neither probes of connections nor tunnels nor verdicts may take it for gone.
func TestSilentSecondBreaksNothing(t *testing.T) {
	logged := &lockedText{}
	f := startWithLogs(t, 3, logged)
	f.waitReady(t)
	eventually(t, "a daemon holds the lease", func() bool { return f.holder() >= 0 })
	holder := f.holder()
	for _, server := range f.servers {
		server.EventPause = 200 * time.Millisecond
	}
	for i := range f.all {
		f.tryAt(i, 4)
	}
	var group sync.WaitGroup
	for number := range 24 {
		group.Go(func() {
			path, model := "/plain/x", ""
			if number%2 == 0 {
				path, model = "/stream/x", "m"
			}
			time.Sleep(time.Duration(number) * 60 * time.Millisecond)
			if id, status, _, err := post(f.all[number%len(f.all)].FrontAddress, path, model); err != nil || status != 200 {
				t.Errorf("request %s at %s: status %d, %v", id, path, status, err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	silent := []string{f.servers[0].Address(), f.servers[1].Address()}
	for _, settings := range f.all {
		for _, address := range silent {
			f.network(settings.Name).SetSilent(address, true)
		}
	}
	time.Sleep(silentSecond)
	for _, settings := range f.all {
		for _, address := range silent {
			f.network(settings.Name).SetSilent(address, false)
		}
	}
	group.Wait()
	f.checkRunsOnce(t)
	if now := f.holder(); now != holder {
		t.Errorf("the lease has gone from d%d to d%d", holder, now)
	}
	for _, sign := range []string{"crashed=true", "Stands aside.", "Instance closes new connections."} {
		if strings.Contains(logged.String(), sign) {
			t.Errorf("the log has %q", sign)
		}
	}
}
