package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// startTwoVersions starts daemons before model servers of two software versions, three of each. All have the model m, and
// the route /resumable/ leads there.
func startTwoVersions(t *testing.T, daemons int) *deployment {
	t.Helper()
	f := start(t, daemons)
	configuration := usualConfiguration(2)
	resumable := route("resumable", fleet.KindStream, 10*time.Second, time.Second, 2, "llm")
	resumable.Resumable = true
	configuration.Routes = append(configuration.Routes, resumable)
	f.store.Configure(configuration)
	for number := range 3 {
		for _, software := range []string{"v1", "v2"} {
			server, err := standin.Open(f.store, standin.Options{
				ID: fmt.Sprint("llm-", software, "-", number), Service: "llm", Zone: "z", Models: []string{"m"}, Software: software,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			f.servers = append(f.servers, server)
		}
	}
	f.server("llm0").Close()
	f.server("llm1").Close()
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
		eventually(t, "the servers are known", func() bool { return gauge(f.daemons[i].Metrics(), "instances") == 8 })
		eventually(t, "the route is known", func() bool {
			_, status, _, _ := post(f.all[i].FrontAddress, "/resumable/x", "m")
			return status == 200
		})
	}
	return f
}

// softwareOf returns the versions of the servers that ran requests with some IDs, in the order of their runs.
func (f *deployment) softwareOf(ids ...string) []string {
	var versions []string
	for _, id := range ids {
		for _, server := range f.servers {
			for _, run := range server.Runs() {
				if run.ID == id {
					versions = append(versions, run.Software)
				}
			}
		}
	}
	return versions
}

func mixed(versions []string) bool { return len(versions) > 1 && versions[0] != versions[1] }

// TestStreamGoesOnAtItsSoftwareVersion guards against a stream that a daemon takes up itself, after its server has broken it
// off, at a server of another software version.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	f := startTwoVersions(t, 1)
	for _, server := range f.servers {
		server.Behave(standin.BehaviourCutting)
	}
	mixes, wentOn := 0, 0
	for range 60 {
		id, _, _, _ := post(f.all[0].FrontAddress, "/resumable/x", "m")
		versions := f.softwareOf(id)
		if len(versions) > 1 {
			wentOn++
		}
		if mixed(versions) {
			mixes++
		}
	}
	if mixes > 0 || wentOn < 5 {
		t.Errorf("%d of %d streams that went on did so at another version", mixes, wentOn)
	}
}

// cutStream takes the first event of a stream of a daemon and leaves. It returns the ID of the request.
func cutStream(t *testing.T, address string) string {
	t.Helper()
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
	defer cancel()
	_, _ = client.Do(ctx, address, standin.ClientRequest{
		ID: id, Host: "h.example", Path: "/resumable/x", Body: "prompt", Model: "m", PromptTokens: 100, OutputTokens: 10, Patience: 8 * time.Second,
	})
	return id
}

// takeUp takes a stream up after its first event.
func takeUp(address, resumes string) (string, standin.ClientAnswer, error) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	answer, err := takeUpAs(id, address, "/resumable/x", resumes)
	return id, answer, err
}

// takeUpOn takes a stream of a path up after its first event.
func takeUpOn(address, path, resumes string) (standin.ClientAnswer, error) {
	return takeUpAs(fmt.Sprintf("%016x", requestNumber.Add(1)), address, path, resumes)
}

func takeUpAs(id, address, path, resumes string) (standin.ClientAnswer, error) {
	return client.Do(context.Background(), address, standin.ClientRequest{
		ID: id, Host: "h.example", Path: path, Body: "prompt", Model: "m", PromptTokens: 100, OutputTokens: 10, Patience: 8 * time.Second,
		ResumeAfter: "1", Resumes: resumes,
	})
}

// TestClientTakesItsStreamUpAtItsSoftwareVersion guards against a stream that its client takes up at another daemon, where
// it goes on at a server of another software version; the daemon that began it may have ended.
func TestClientTakesItsStreamUpAtItsSoftwareVersion(t *testing.T) {
	for _, kills := range []bool{false, true} {
		t.Run(fmt.Sprint("the first daemon is killed: ", kills), func(t *testing.T) {
			f := startTwoVersions(t, 4)
			for _, server := range f.servers {
				server.EventPause = 50 * time.Millisecond
			}
			const streams = 30
			var begun []string
			for range streams {
				begun = append(begun, cutStream(t, f.all[0].FrontAddress))
			}
			if kills {
				f.daemons[0].Kill()
			}
			mixes, wentOn := 0, 0
			for number, resumes := range begun {
				id, answer, err := takeUp(f.all[1+number%3].FrontAddress, resumes)
				if err == nil && answer.Status == 200 && strings.Count(answer.Body, "data: "+id) == standin.EventCount-1 {
					wentOn++
				}
				if mixed(f.softwareOf(resumes, id)) {
					mixes++
				}
			}
			if mixes > 0 || wentOn < streams/2 {
				t.Errorf("%d of %d streams went on, %d of them at another version", wentOn, streams, mixes)
			}
		})
	}
}

// TestStreamOfUnknownOriginIsNotTakenUp guards against a stream that goes on at a daemon that cannot know which software
// version began it.
func TestStreamOfUnknownOriginIsNotTakenUp(t *testing.T) {
	f := startTwoVersions(t, 2)
	for _, resumes := range []string{"", "ffffffffffffffff", "not an id \x7f", strings.Repeat("9", 5000)} {
		id, answer, err := takeUp(f.all[1].FrontAddress, resumes)
		if err == nil && (answer.Status != 503 || answer.RetryAfter == 0) {
			t.Errorf("resumes %.20q: status %d, come back after %v", resumes, answer.Status, answer.RetryAfter)
		}
		if runs := f.softwareOf(id); len(runs) > 0 {
			t.Errorf("resumes %.20q: it ran at %v", resumes, runs)
		}
	}
}

// TestTakeUpGoesToTheServiceThatBeganIt guards against a stream of a route that leads to two services, whose take-up is drawn
// to the other one.
func TestTakeUpGoesToTheServiceThatBeganIt(t *testing.T) {
	f := startTwoVersions(t, 2)
	configuration := usualConfiguration(3)
	other := configuration.Services[0]
	other.Name = "llm2"
	configuration.Services = append(configuration.Services, other)
	resumable := route("resumable", fleet.KindStream, 10*time.Second, time.Second, 2, "llm")
	resumable.Resumable = true
	resumable.Targets = append(resumable.Targets, fleet.Target{Service: "llm2", Weight: 1})
	configuration.Routes = append(configuration.Routes, resumable)
	services := map[string]string{}
	for number, software := range []string{"v1", "v2"} {
		server, err := standin.Open(f.store, standin.Options{
			ID: fmt.Sprint("other-", number), Service: "llm2", Zone: "z", Models: []string{"m"}, Software: software,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
	}
	for _, server := range f.servers {
		server.EventPause = 50 * time.Millisecond
	}
	f.store.Configure(configuration)
	eventually(t, "the route leads to both", func() bool {
		_, _, _, _ = post(f.all[0].FrontAddress, "/resumable/x", "m")
		return len(f.servers[len(f.servers)-1].Runs()) > 0 && gauge(f.daemons[1].Metrics(), "configuration_version") == 3
	})
	serviceOf := func(id string) string {
		for _, server := range f.servers {
			for _, run := range server.Runs() {
				if run.ID == id {
					services[server.Service] = id
					return server.Service
				}
			}
		}
		return ""
	}
	for number := range 12 {
		resumes := cutStream(t, f.all[0].FrontAddress)
		id, answer, err := takeUp(f.all[number%2].FrontAddress, resumes)
		if began, goesOn := serviceOf(resumes), serviceOf(id); err != nil || answer.Status != 200 || began != goesOn {
			t.Errorf("began at %s, goes on at %q: status %d, %v", began, goesOn, answer.Status, err)
		}
	}
	if len(services) != 2 {
		t.Errorf("streams of %v only: the test shows nothing", services)
	}
}
