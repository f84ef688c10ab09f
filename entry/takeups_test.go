package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// openStream is one try of a client whose answer is still arriving.
type openStream struct {
	id       string
	conn     net.Conn
	response *http.Response
	reader   *bufio.Reader
}

// openTry begins a stream at a daemon, or takes one up after an event unless that is zero.
func openTry(t *testing.T, address, id, resumes string, after int) *openStream {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	head := "POST /resumable/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Model: m\r\nX-Token-Count: 100,10\r\nX-Deadline-Ms: 8000\r\n"
	if resumes != "" {
		head += "Resumes: " + resumes + "\r\n"
	}
	if after > 0 {
		head += "Last-Event-Id: " + strconv.Itoa(after) + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"Content-Length: 6\r\n\r\nprompt")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("try %s: %v", id, err)
	}
	return &openStream{id: id, conn: conn, response: response, reader: bufio.NewReader(response.Body)}
}

// next reads one event; empty at the end of the answer.
func (s *openStream) next() string {
	var event strings.Builder
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return ""
		}
		if line == "\n" {
			return event.String()
		}
		event.WriteString(strings.TrimSuffix(line, "\n") + " ")
	}
}

// rest reads the rest of the answer and reports whether it is the whole stream behind an event, as one run wrote it.
func (s *openStream) rest(after int) bool {
	read, err := io.ReadAll(s.reader)
	return err == nil && s.response.StatusCode == http.StatusOK && string(read) == standin.StreamBody(s.id, after)
}

func nextID() string { return fmt.Sprintf("%016x", requestNumber.Add(1)) }

// TestTakeUpsWhileTheFirstTryStillRuns guards against answers that reach another try of the same client, and against records
// of a stream that contradict each other: the client takes its stream up at two other daemons while the first one still writes, and
// once more after that.
func TestTakeUpsWhileTheFirstTryStillRuns(t *testing.T) {
	f := startTwoVersions(t, 4)
	for _, server := range f.servers {
		server.EventPause = 60 * time.Millisecond
	}
	for number := range 12 {
		first := openTry(t, f.all[0].FrontAddress, nextID(), "", 0)
		first.next()
		second := openTry(t, f.all[1].FrontAddress, nextID(), first.id, 1)
		third := openTry(t, f.all[2].FrontAddress, nextID(), first.id, 1)
		second.next()
		fourth := openTry(t, f.all[3].FrontAddress, nextID(), first.id, 2)
		fifth := openTry(t, f.all[number%4].FrontAddress, nextID(), second.id, 2)
		for place, try := range []*openStream{first, second, third, fourth, fifth} {
			if after := []int{1, 2, 1, 2, 2}[place]; !try.rest(after) {
				t.Errorf("stream %d, try %d: status %d, not whole or not its own", number, place, try.response.StatusCode)
			}
		}
		versions := f.softwareOf(first.id, second.id, third.id, fourth.id, fifth.id)
		for _, version := range versions {
			if len(versions) != 5 || version != versions[0] {
				t.Errorf("stream %d: its tries ran at %v", number, versions)
				break
			}
		}
	}
}

// startTwoServices starts daemons before two services of one version each, to which the route /resumable/ leads.
func startTwoServices(t *testing.T, daemons int) *deployment {
	t.Helper()
	f := start(t, daemons)
	configuration := usualConfiguration(2)
	other := configuration.Services[0]
	other.Name = "llm2"
	configuration.Services = append(configuration.Services, other)
	resumable := route("resumable", fleet.KindStream, 10*time.Second, time.Second, 2, "llm")
	resumable.Resumable = true
	resumable.Targets = append(resumable.Targets, fleet.Target{Service: "llm2", Weight: 1})
	configuration.Routes = append(configuration.Routes, resumable)
	for number := range 2 {
		server, err := standin.Open(f.store, standin.Options{ID: fmt.Sprint("other-", number), Service: "llm2", Zone: "z", Models: []string{"m"}, Software: "v2"})
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

// TestTakeUpKeepsToTheServiceAfterItsDaemonWasKilled guards against a stream of a route that leads to two services of one version
// each: no other daemon is told which of them began it, and after a kill of the one that knows its take-up is drawn to the other service.
func TestTakeUpKeepsToTheServiceAfterItsDaemonWasKilled(t *testing.T) {
	f := startTwoServices(t, 3)
	mixes, wentOn := 0, 0
	var begun []string
	for range 20 {
		begun = append(begun, cutStream(t, f.all[0].FrontAddress))
	}
	f.daemons[0].Kill()
	for number, resumes := range begun {
		id, answer, err := takeUp(f.all[1+number%2].FrontAddress, resumes)
		if err == nil && answer.Status == 200 {
			wentOn++
		}
		if mixed(f.softwareOf(resumes, id)) {
			mixes++
		}
	}
	if mixes > 0 || wentOn < 10 {
		t.Errorf("%d of 20 streams went on, %d of them at another service", wentOn, mixes)
	}
}
