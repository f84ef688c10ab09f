package entry_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// What was seen: servers of a model ended one after the other, one or two a second. Under each of
// them ran a request of the same path, caller and body, which its client sent again under a new id,
// mostly to another daemon. A daemon gave such a request its final answer and kept nothing of it, and
// told the others nothing, so each try began as if there had been none before: 17 to 20 servers
// ended under one request. Proof: each try has a single attempt in the log, so no repeat within a
// try is to blame, and tries in a row come from different daemons.

// deadlyBody is the body of the request under which servers crash in these tests.
const deadlyBody = "a prompt that no server survives"

// crashLimit is how many servers may crash under one request before no daemon sends it on.
const crashLimit = 3

// startWithFragileServers starts daemons before a plain service whose servers crash under
// deadlyBody. Routes plain (one attempt) and retried (two attempts) lead there.
func startWithFragileServers(t *testing.T, daemons int) *deployment {
	t.Helper()
	return startFragile(t, daemons, io.Discard)
}

func startFragile(t *testing.T, daemons int, output io.Writer) *deployment {
	t.Helper()
	f := startWithLogs(t, daemons, output)
	putConfiguration(f.store, 2, "retried")
	for number := range 10 {
		f.addServer(t, fmt.Sprint("spare", number), "web")
	}
	for _, server := range f.servers {
		server.CrashOn(deadlyBody)
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "the new route", func() bool {
			_, status, _, _ := post(f.all[i].FrontAddress, "/retried/x", "")
			return status == 200
		})
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == daemons })
	}
	return f
}

// send sends one request with a body to a daemon.
func (f *deployment) send(daemon int, path, body string) standin.ClientAnswer {
	answer, _ := client.Do(context.Background(), f.all[daemon].FrontAddress, standin.ClientRequest{
		ID: fmt.Sprintf("%016x", requestNumber.Add(1)), Host: "h.example", Path: path, Body: body, Patience: 5 * time.Second,
	})
	return answer
}

// crashes counts the servers that ran the deadly request.
func (f *deployment) crashes() int {
	count := 0
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if run.Body == deadlyBody {
				count++
			}
		}
	}
	return count
}

// betweenTries is the pause between two tries, a tenth of the shortest that was seen: the daemons have that
// long to tell each other.
const betweenTries = 50 * time.Millisecond

// TestDeadlyRequestIsStopped sends the same request again and again, at one daemon after the other.
func TestDeadlyRequestIsStopped(t *testing.T) {
	for _, path := range []string{"/plain/x", "/retried/x"} {
		t.Run(path, func(t *testing.T) {
			f := startWithFragileServers(t, 3)
			var last standin.ClientAnswer
			for try := range 10 {
				last = f.send(try%len(f.all), path, deadlyBody)
				time.Sleep(betweenTries)
			}
			if crashed := f.crashes(); crashed != crashLimit {
				t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
			}
			if last.Status != 503 || last.RetryAfter < time.Minute {
				t.Errorf("the last try got %d, come back in %v; want 503 and no return soon", last.Status, last.RetryAfter)
			}
			for i := range f.all {
				if answer := f.send(i, path, "another prompt"); answer.Status != 200 {
					t.Errorf("another request at daemon %d got %d", i, answer.Status)
				}
			}
		})
	}
}

// TestLogTellsWhatRanOnServersThatCrashed covers the way from a server that no longer answers to the
// request under which it crashed: its content is the same at each daemon, and one that breaks
// an answer off while it lives on is told apart.
func TestLogTellsWhatRanOnServersThatCrashed(t *testing.T) {
	logged := &lockedText{}
	f := startFragile(t, 2, logged)
	for i := range f.all {
		f.send(i, "/plain/x", deadlyBody)
	}
	pattern := regexp.MustCompile(`node=(d\d) instance=(\S+) crashed=true requests=1 contents=([0-9a-f]{32})\n`)
	eventually(t, "both daemons name the content", func() bool {
		told := pattern.FindAllStringSubmatch(logged.String(), -1)
		return len(told) == 2 && told[0][1] != told[1][1] && told[0][2] != told[1][2] && told[0][3] == told[1][3]
	})
	for _, server := range f.servers {
		server.Behave(standin.BehaviourBreaking)
	}
	eventually(t, "a broken answer of a server that lives", func() bool {
		f.send(0, "/plain/x", "another prompt")
		return regexp.MustCompile(`crashed=false requests=`).MatchString(logged.String())
	})
}

// TestDeadlyRequestIsKnownToDaemonsThatStartLater covers a daemon that was not there when the
// servers crashed, and one that has lost what it knew.
func TestDeadlyRequestIsKnownToDaemonsThatStartLater(t *testing.T) {
	f := startWithFragileServers(t, 2)
	for try := range crashLimit {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	f.daemons[1].Kill()
	f.daemons[1] = f.startDaemon(t, f.all[1])
	eventually(t, "the daemon serves again", func() bool { return f.send(1, "/plain/x", "another prompt").Status == 200 })
	// Its fleet has the time that the platform gives a daemon to be up to date again.
	time.Sleep(3 * time.Second)
	f.send(1, "/plain/x", deadlyBody)
	if crashed := f.crashes(); crashed != crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
}

// TestDeadlyRequestIsKnownAfterAllDaemonsWereKilled covers the loss of everything that only daemons know.
func TestDeadlyRequestIsKnownAfterAllDaemonsWereKilled(t *testing.T) {
	f := startWithFragileServers(t, 2)
	for try := range crashLimit {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	time.Sleep(500 * time.Millisecond)
	for _, daemon := range f.daemons {
		daemon.Kill()
	}
	for i := range f.daemons {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	for i := range f.all {
		eventually(t, "the daemon serves again", func() bool { return f.send(i, "/plain/x", "another prompt").Status == 200 })
	}
	time.Sleep(3 * time.Second)
	for try := range 4 {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	if crashed := f.crashes(); crashed != crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
}

// TestReleasedContentIsServed has operators release a content whose cause they have mended: at the daemon that
// reads the setting and, by its word, at the others.
func TestReleasedContentIsServed(t *testing.T) {
	logged := &lockedText{}
	f := startFragile(t, 2, logged)
	for try := range crashLimit {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	for _, server := range f.servers {
		server.CrashOn("")
	}
	if answer := f.send(1, "/plain/x", deadlyBody); answer.Status != 503 {
		t.Fatalf("status %d, the content is not held", answer.Status)
	}
	held := regexp.MustCompile(`quarantine: Held\." node=d\d content=([0-9a-f]{32})`).FindStringSubmatch(logged.String())
	path := filepath.Join(t.TempDir(), "node.ini")
	signals := make(chan os.Signal, 1)
	f.daemons[0].WatchSettings(path, signals)
	content := settingsText(&f.all[0], "released_contents = "+held[1])
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	for i := range f.all {
		eventually(t, "served again", func() bool { return f.send(i, "/plain/x", deadlyBody).Status == 200 })
	}
}

// TestBystandersOfCrashesAreServed sends the same harmless requests beside the deadly one: they
// run on servers that crash, more than once, and must not be taken for the cause.
func TestBystandersOfCrashesAreServed(t *testing.T) {
	f := startWithFragileServers(t, 3)
	stop := make(chan struct{})
	done := make(chan int)
	go func() {
		served := 0
		for number := 0; ; number++ {
			select {
			case <-stop:
				done <- served
				return
			default:
			}
			if f.send(number%len(f.all), "/retried/x", "a popular prompt").Status == 200 {
				served++
			}
		}
	}()
	for try := range 6 {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	close(stop)
	if served := <-done; served == 0 {
		t.Error("no bystander was served")
	}
	for i := range f.all {
		if answer := f.send(i, "/retried/x", "a popular prompt"); answer.Status != 200 {
			t.Errorf("daemon %d refuses the harmless request with %d", i, answer.Status)
		}
	}
}

// sendAtOnce sends copies of one request at the same moment, to one daemon after the other.
func (f *deployment) sendAtOnce(copies int, path, body string) {
	var group sync.WaitGroup
	for number := range copies {
		group.Go(func() { f.send(number%len(f.all), path, body) })
	}
	group.Wait()
}

// TestCopiesOfASuspectWaitForItsVerdict sends many copies of the deadly request at once, after one server or some at
// one moment have crashed under it. It guards against copies that reach servers side by side while nobody knows
// whether the content is to blame: 8 and 20 runs ended at the second and third crash, and 17 to 33 in all.
func TestCopiesOfASuspectWaitForItsVerdict(t *testing.T) {
	for _, c := range []struct{ first, most int }{{1, crashLimit}, {4, 4 + crashLimit - 1}} {
		t.Run(fmt.Sprint(c.first, " at first"), func(t *testing.T) {
			f := startWithFragileServers(t, 3)
			f.sendAtOnce(c.first, "/plain/x", deadlyBody)
			time.Sleep(betweenTries)
			f.sendAtOnce(12, "/plain/x", deadlyBody)
			f.sendAtOnce(12, "/plain/x", deadlyBody)
			if crashed := f.crashes(); crashed > c.most {
				t.Errorf("%d servers crashed, want %d at most", crashed, c.most)
			}
			if answer := f.send(0, "/plain/x", "another prompt"); answer.Status != 200 {
				t.Errorf("another request got %d", answer.Status)
			}
		})
	}
}
