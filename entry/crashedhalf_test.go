package entry_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// crashedFor is for how long the servers that crash are away, silentFor for how long they stay listed.
	crashedFor = 2 * time.Second
	silentFor  = 3600 * time.Millisecond
	// slowLoad is how long these servers load a model.
	slowLoad = 1500 * time.Millisecond
	// slowPath is the path of the streams that are long at the first server of v1.
	slowPath = "/resumable/slow"
	// streamPatience is how long a client waits. A daemon waits for an instance for half of that.
	streamPatience = 12 * time.Second
	// brokenStreams is how many streams break off when servers crash.
	brokenStreams = 16
	// minTakeUps is how many of them clients have to take up. A daemon may continue the others itself.
	minTakeUps = 12
)

// openServer adds a server of a software version with one model.
func (f *deployment) openServer(t *testing.T, options standin.Options) {
	t.Helper()
	options.Service, options.Zone, options.Loads = "llm", "z", slowLoad
	server, err := standin.Open(f.store, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.servers = append(f.servers, server)
}

// startHalfReleased starts daemons before four servers of v1, of which only the first one has the model m. Each server has room
// for one model.
func startHalfReleased(t *testing.T, daemons int) *deployment {
	t.Helper()
	f := start(t, daemons)
	configuration := usualConfiguration(2)
	resumable := route("resumable", fleet.KindStream, 20*time.Second, 4*time.Second, 2, "llm")
	resumable.Resumable = true
	engine := configuration.Services[0].Engine
	engine.WeightsMB, engine.Slots = 70, 64
	for i := range engine.Models {
		engine.Models[i].LoadTime = slowLoad
	}
	configuration.Routes = append(configuration.Routes, resumable)
	f.store.Configure(configuration)
	f.openServer(t, standin.Options{ID: "v1-0", Software: "v1", Models: []string{"m"}, SlowPath: slowPath, SlowPause: time.Second})
	for number := range 3 {
		f.openServer(t, standin.Options{ID: fmt.Sprint("v1-", 1+number), Software: "v1", Models: []string{"n"}})
	}
	f.server("llm0").Close()
	f.server("llm1").Close()
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
		eventually(t, "the servers are known", func() bool { return gauge(f.daemons[i].Metrics(), "instances") == 6 })
		eventually(t, "the route is known", func() bool {
			_, status, _, _ := post(f.all[i].FrontAddress, "/resumable/x", "m")
			return status == 200
		})
	}
	return f
}

// sendStream sends one try of a stream to a daemon.
func (f *deployment) sendStream(daemon int, sent standin.ClientRequest) standin.ClientAnswer {
	sent.Host, sent.Path, sent.Model, sent.PromptTokens, sent.OutputTokens = "h.example", slowPath, "m", 100, 10
	sent.Patience = streamPatience
	answer, _ := client.Do(context.Background(), f.all[daemon%len(f.all)].FrontAddress, sent)
	return answer
}

// crashHalf crashes the only server of v1 with the model m and two others. Other processes listen at their addresses a moment
// later, with another ID and without models, while the store lists the crashed ones for as long as it takes to miss them. The returned
// function waits for that and adds the processes to the servers.
func (f *deployment) crashHalf(t *testing.T) (wait func()) {
	t.Helper()
	var group sync.WaitGroup
	followers := make(chan *standin.Server, 3)
	for _, id := range []string{"v1-0", "v2-0", "v2-1"} {
		server := f.server(id)
		address := server.Address()
		server.Crash()
		group.Go(func() {
			time.Sleep(crashedFor)
			next, err := standin.Open(f.store, standin.Options{ID: id + "-next", Service: "llm", Zone: "z", Software: server.Software, Listen: address, Empty: true, Loads: slowLoad})
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(next.Close)
			followers <- next
			time.Sleep(silentFor - crashedFor)
			f.store.Delete("servers", id)
		})
	}
	return func() {
		group.Wait()
		close(followers)
		for server := range followers {
			f.servers = append(f.servers, server)
		}
	}
}

// TestStreamsGoOnAfterHalfOfTheServersCrashed guards against streams that are taken up after a crash of the only server of their
// version with their model and are refused: they were sent to the server that had crashed, held as suspects between the refused
// connections, and refused as the process that followed turned them away.
func TestStreamsGoOnAfterHalfOfTheServersCrashed(t *testing.T) {
	f := startHalfReleased(t, 3)
	before := len(f.server("v1-0").Runs())
	var group sync.WaitGroup
	var mutex sync.Mutex
	takenUp, wentOn, refusedEarly := 0, 0, 0
	var slowest time.Duration
	var tries [][2]string
	for number := range brokenStreams {
		group.Go(func() {
			first := standin.ClientRequest{ID: nextID(), Body: fmt.Sprint("prompt ", number), Prompt: fmt.Sprintf("shared:50,own%d:50", number)}
			broken := f.sendStream(number, first)
			events := strings.Count(broken.Body, "\n\n")
			if broken.Complete {
				return
			}
			next := first
			next.ID, next.Resumes, next.ResumeAfter = nextID(), first.ID, strconv.Itoa(events)
			began := time.Now()
			answer := f.sendStream(number+1, next)
			mutex.Lock()
			defer mutex.Unlock()
			takenUp++
			if answer.Complete && answer.Body == standin.StreamBody(next.ID, events) {
				wentOn++
				slowest = max(slowest, time.Since(began))
			} else if answer.Status == 503 && time.Since(began) < streamPatience/2 {
				refusedEarly++
			}
			tries = append(tries, [2]string{first.ID, next.ID})
		})
	}
	eventually(t, "all streams run", func() bool { return len(f.server("v1-0").Runs()) == before+brokenStreams })
	for number := range 5 {
		f.openServer(t, standin.Options{ID: fmt.Sprint("v2-", number), Software: "v2", Models: []string{"m"}})
	}
	for i := range f.daemons {
		eventually(t, "the new servers are known", func() bool { return gauge(f.daemons[i].Metrics(), "instances") == 11 })
	}
	time.Sleep(time.Second)
	wait := f.crashHalf(t)
	group.Wait()
	wait()
	for _, ids := range tries {
		if mixed(f.softwareOf(ids[0], ids[1])) {
			t.Errorf("the stream of %s went on at another version", ids[0])
		}
	}
	t.Logf("%d of %d streams went on, the last one after %v", wentOn, takenUp, slowest)
	if takenUp < minTakeUps || 2*wentOn < takenUp || refusedEarly > 0 {
		t.Errorf("%d of %d streams went on, %d were refused with most of their time left", wentOn, takenUp, refusedEarly)
	}
}
