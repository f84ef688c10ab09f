package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// killAllAndStartAgain kills all daemons at the same time and starts them again.
func (f *deployment) killAllAndStartAgain(t *testing.T) {
	t.Helper()
	for _, daemon := range f.daemons {
		daemon.Kill()
	}
	for i := range f.daemons {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "the daemon serves again", func() bool {
			_, status, _, _ := post(f.all[i].FrontAddress, "/resumable/x", "m")
			return status == 200
		})
	}
}

// TestStreamsKeepToTheirVersionAfterAllDaemonsWereKilled guards against streams that are taken up after a kill of all daemons
// and go on at a server of another software version, and against refusing those whose version still serves.
func TestStreamsKeepToTheirVersionAfterAllDaemonsWereKilled(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("the first version leaves: ", leaves), func(t *testing.T) {
			f := startTwoVersions(t, 3)
			for _, server := range f.servers {
				server.EventPause = 50 * time.Millisecond
			}
			const streams = 40
			var begun []string
			for number := range streams {
				begun = append(begun, cutStream(t, f.all[number%3].FrontAddress))
			}
			time.Sleep(time.Second)
			if leaves {
				for _, server := range f.servers {
					if server.Software == "v1" {
						server.Close()
					}
				}
				for i := range f.daemons {
					eventually(t, "the servers have left", func() bool { return gauge(f.daemons[i].Metrics(), "instances") == 5 })
				}
			}
			f.killAllAndStartAgain(t)
			mixes, serving, wentOn := 0, 0, 0
			for number, resumes := range begun {
				software := f.softwareOf(resumes)
				if len(software) == 0 {
					t.Fatalf("stream %s did not begin", resumes)
				}
				id, answer, err := takeUp(f.all[(number+1)%3].FrontAddress, resumes)
				if mixed(f.softwareOf(resumes, id)) {
					mixes++
				}
				if leaves && software[0] == "v1" {
					continue
				}
				serving++
				if err == nil && answer.Status == 200 && strings.Count(answer.Body, "data: "+id) == standin.EventCount-1 {
					wentOn++
				}
			}
			if mixes > 0 || 2*wentOn < serving {
				t.Errorf("%d of %d streams whose version serves went on, %d streams at another version", wentOn, serving, mixes)
			}
		})
	}
}

// TestRestartedDaemonKnowsNoOnlyVersion guards against a daemon that has just started and takes the only version that it has
// seen for the one that began a stream, also if the client does not name the stream.
func TestRestartedDaemonKnowsNoOnlyVersion(t *testing.T) {
	f := startTwoVersions(t, 3)
	for _, server := range f.servers {
		server.EventPause = 50 * time.Millisecond
	}
	var begun []string
	for range 20 {
		begun = append(begun, cutStream(t, f.all[1].FrontAddress))
	}
	for _, server := range f.servers {
		if server.Software == "v1" {
			server.Close()
		}
	}
	for i := range f.daemons {
		eventually(t, "the servers have left", func() bool { return gauge(f.daemons[i].Metrics(), "instances") == 5 })
	}
	f.daemons[0].Kill()
	f.daemons[0] = f.startDaemon(t, f.all[0])
	f.waitReady(t)
	eventually(t, "the daemon serves again", func() bool {
		_, status, _, _ := post(f.all[0].FrontAddress, "/resumable/x", "m")
		return status == 200
	})
	for _, named := range []bool{true, false} {
		for _, began := range begun {
			resumes := began
			if !named {
				resumes = ""
			}
			id, _, _ := takeUp(f.all[0].FrontAddress, resumes)
			if versions := f.softwareOf(began, id); mixed(versions) {
				t.Errorf("named %t: the stream went on at %v", named, versions)
			}
		}
	}
}

// TestStreamOfARouteThatMovedIsNotTakenUp guards against a stream that goes on at the service that its route leads to by now.
func TestStreamOfARouteThatMovedIsNotTakenUp(t *testing.T) {
	f := startTwoVersions(t, 2)
	for _, server := range f.servers {
		server.EventPause = 50 * time.Millisecond
	}
	other, err := standin.Open(f.store, standin.Options{ID: "other", Service: "llm2", Zone: "z", Models: []string{"m"}, Software: "v1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	resumes := cutStream(t, f.all[0].FrontAddress)
	configuration := usualConfiguration(3)
	service := configuration.Services[0]
	service.Name = "llm2"
	configuration.Services = append(configuration.Services, service)
	resumable := route("resumable", fleet.KindStream, 10*time.Second, time.Second, 2, "llm2")
	resumable.Resumable = true
	configuration.Routes = append(configuration.Routes, resumable)
	f.store.Configure(configuration)
	for i := range f.all {
		eventually(t, "the route leads to the other service", func() bool {
			_, status, _, _ := post(f.all[i].FrontAddress, "/resumable/x", "m")
			return status == 200 && gauge(f.daemons[i].Metrics(), "configuration_version") == 3
		})
		runs := len(other.Runs())
		if _, answer, err := takeUp(f.all[i].FrontAddress, resumes); err != nil || answer.Status != 503 || len(other.Runs()) > runs {
			t.Errorf("status %d, %v, %d runs at the other service", answer.Status, err, len(other.Runs())-runs)
		}
	}
}
