package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// The load of these tests: requests of one route share the first part of their
// prompts, a subject as the second part, and end with a part of their own. Others have a part at its place under which
// each server crashes as it begins to write an answer. A server that has crashed is back some time later.
const (
	partDaemons = 3
	partServers = 12
	// soundPause and deadlyPause are the pauses between two requests.
	soundPause  = 25 * time.Millisecond
	deadlyPause = 150 * time.Millisecond
	// partLoadSpan is how long the load lasts, deadlyFrom when the first request comes that crashes its server.
	partLoadSpan = 15 * time.Second
	deadlyFrom   = time.Second
	// restartAfter is how long a crashed server is gone.
	restartAfter = 1500 * time.Millisecond
	// contactSpan is the time that daemons have to agree on what happened.
	contactSpan = 3 * time.Second
	// crashesAllowed is how many servers may crash under a part before no request with it may be sent on.
	crashesAllowed = 5
	// soundShare is the least share of sound requests with the same first part that must be served.
	soundShare    = 0.95
	promptSubject = 40
)

// partLoad is a deployment whose servers crash under parts of prompts, and what its clients saw.
type partLoad struct {
	*deployment
	parts []string
	// first says that the part is the first one of its prompts.
	first bool

	mutex   sync.Mutex
	began   time.Time
	answers []soundAnswer
	next    int
}

// soundAnswer is the answer to a sound request that was sent at a moment.
type soundAnswer struct {
	at     time.Time
	served bool
}

// startPartLoad starts daemons before servers that crash under parts of prompts.
func startPartLoad(t *testing.T, first bool, parts ...string) *partLoad {
	t.Helper()
	load := &partLoad{deployment: startWithModelServers(t, partDaemons, partServers), parts: parts, first: first}
	for _, server := range load.servers {
		server.CrashOnParts(parts...)
	}
	return load
}

// startWithModelServers starts daemons before servers of one model whose streams take a fifth of a second.
func startWithModelServers(t *testing.T, daemons, servers int) *deployment {
	t.Helper()
	f := start(t, daemons)
	for number := range servers {
		f.addServer(t, fmt.Sprint("engine", number), "llm", "m")
	}
	for _, server := range f.servers {
		server.EventPause = 40 * time.Millisecond
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
	}
	// Turns are given out by daemons that have known each other for a while.
	time.Sleep(time.Second)
	return f
}

// sendPrompt sends one request with a prompt to a daemon.
func (f *deployment) sendPrompt(daemon int, prompt string) (standin.ClientAnswer, error) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	return client.Do(context.Background(), f.all[daemon].FrontAddress, standin.ClientRequest{
		ID: id, Host: "h.example", Path: "/stream/x", Body: "prompt of " + id, Model: "m", PromptTokens: 100, OutputTokens: 10,
		Prompt: prompt + fmt.Sprintf(",%s:20", id), Patience: 4 * time.Second,
	})
}

// run plays the load. Racks are the moments at which servers crash by themselves, three at a time.
func (l *partLoad) run(t *testing.T, racks ...time.Duration) {
	t.Helper()
	l.began = time.Now()
	ended := l.began.Add(partLoadSpan)
	var group sync.WaitGroup
	repeat := func(from time.Time, pause time.Duration, do func(number int)) {
		group.Go(func() {
			time.Sleep(time.Until(from))
			for number := 0; time.Now().Before(ended); number++ {
				group.Go(func() { do(number) })
				time.Sleep(pause)
			}
		})
	}
	repeat(l.began, soundPause, l.sendSound)
	if len(l.parts) > 0 {
		repeat(l.began.Add(deadlyFrom), deadlyPause, func(number int) { _, _ = l.sendPrompt(number%partDaemons, l.deadlyPrompt(number)) })
	}
	for _, at := range racks {
		group.Go(func() {
			time.Sleep(time.Until(l.began.Add(at)))
			l.crashRack(t)
		})
	}
	for time.Now().Before(ended) {
		l.restartCrashed(t)
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
}

// deadlyPrompt returns the prompt of one of the requests that crash their servers, but for its last part.
func (l *partLoad) deadlyPrompt(number int) string {
	part := l.parts[number%len(l.parts)]
	if l.first {
		return fmt.Sprintf("%s:30,%s", part, subject())
	}
	return fmt.Sprintf("f0:30,%s:30", part)
}

func subject() string { return fmt.Sprintf("5b%02d:20", rand.IntN(promptSubject)) }

func (l *partLoad) sendSound(number int) {
	at := time.Now()
	answer, err := l.sendPrompt(number%partDaemons, "f0:30,"+subject())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, soundAnswer{at: at, served: err == nil && answer.Status == 200 && answer.Complete})
}

// crashRack crashes three servers that run.
func (l *partLoad) crashRack(t *testing.T) {
	l.mutex.Lock()
	running := slices.DeleteFunc(slices.Clone(l.servers), func(server *standin.Server) bool { return server.Service != "llm" || server.Ended() })
	l.mutex.Unlock()
	for _, server := range running[:min(3, len(running))] {
		server.Crash()
		l.replace(t, server)
	}
}

// restartCrashed has servers that crashed under a request come back.
func (l *partLoad) restartCrashed(t *testing.T) {
	l.mutex.Lock()
	servers := slices.Clone(l.servers)
	l.mutex.Unlock()
	for _, server := range servers {
		if server.TakeCrash() {
			l.replace(t, server)
		}
	}
}

// replace starts another server in the place of one that has crashed, some time later, and has its entry expire.
func (l *partLoad) replace(t *testing.T, crashed *standin.Server) {
	time.AfterFunc(entryExpiry, func() { l.store.Delete("servers", crashed.ID) })
	time.AfterFunc(restartAfter, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.next++
		server := l.addServer(t, fmt.Sprint("again", l.next), "llm", "m")
		server.EventPause = 40 * time.Millisecond
		server.CrashOnParts(l.parts...)
	})
}

// deadlyRuns returns when servers were sent requests with a part, in order.
func (l *partLoad) deadlyRuns(part string) []time.Time {
	var runs []time.Time
	for _, server := range l.servers {
		for _, run := range server.Runs() {
			if run.SharesPart([]string{part}) {
				runs = append(runs, run.At)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs
}

// check checks that requests with a part are kept from servers soon after so many have crashed, and that sound ones
// are served afterwards.
func (l *partLoad) check(t *testing.T) {
	t.Helper()
	settled := l.began.Add(deadlyFrom)
	for _, part := range l.parts {
		runs := l.deadlyRuns(part)
		if len(runs) > crashesAllowed {
			t.Errorf("%d servers crashed under part %s, want %d at most", len(runs), part, crashesAllowed)
		}
		if len(runs) == 0 {
			t.Fatalf("no server was sent part %s", part)
		}
		decisive := runs[min(len(runs), crashesAllowed)-1]
		settled = later(settled, decisive)
		late := 0
		for _, run := range runs {
			if run.After(decisive.Add(contactSpan)) {
				late++
			}
		}
		t.Logf("%d servers crashed under part %s, %d sends came late", len(runs), part, late)
		if late > 0 {
			t.Errorf("part %s was sent %d times later than %v after the fifth crash, want none", part, late, contactSpan)
		}
	}
	l.checkSound(t, settled.Add(2*contactSpan))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkSound checks that sound requests that were sent from a moment on are served.
func (l *partLoad) checkSound(t *testing.T, from time.Time) {
	t.Helper()
	sent, served := 0, 0
	for _, answer := range l.answers {
		if answer.at.Before(from) {
			continue
		}
		sent++
		if answer.served {
			served++
		}
	}
	if float64(served) < soundShare*float64(sent) {
		t.Errorf("%d of %d sound requests were served, want %v", served, sent, soundShare)
	}
	t.Logf("%d of %d sound requests were served", served, sent)
}

// TestPartThatCrashesServersIsStopped sends requests that share one part of their prompts and nothing else, under which
// every server crashes. It guards against judging requests by their whole content only, under which each one begins
// anew.
func TestPartThatCrashesServersIsStopped(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool
		parts []string
		racks []time.Duration
	}{
		{name: "second", parts: []string{"dead01"}},
		{name: "first", first: true, parts: []string{"dead02"}},
		{name: "two in turn", parts: []string{"dead03", "dead04"}},
		{name: "beside crashes of racks", parts: []string{"dead05"}, racks: []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			load := startPartLoad(t, c.first, c.parts...)
			load.run(t, c.racks...)
			load.check(t)
		})
	}
}

// TestPartsBesideCrashesOfRacksAreServed has racks of servers crash by themselves. It guards against taking the parts of
// the requests that ran there for the cause.
func TestPartsBesideCrashesOfRacksAreServed(t *testing.T) {
	load := startPartLoad(t, false)
	load.run(t, time.Second, 2500*time.Millisecond, 4*time.Second)
	load.checkSound(t, load.began.Add(8*time.Second))
	var group sync.WaitGroup
	for number := range promptSubject {
		group.Go(func() {
			for i := range load.all {
				if answer, err := load.sendPrompt(i, fmt.Sprintf("f0:30,5b%02d:20", number)); err != nil || answer.Status != 200 {
					t.Errorf("subject %d at daemon %d got %d", number, i, answer.Status)
				}
			}
		})
	}
	group.Wait()
}
