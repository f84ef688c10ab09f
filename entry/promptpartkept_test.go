package entry_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"
)

const deadPart = "dead09"

// startBeforeDeadlyPart starts daemons before model servers that crash under a part, and has them serve sound requests.
func startBeforeDeadlyPart(t *testing.T, daemons int) *deployment {
	t.Helper()
	f := startWithModelServers(t, daemons, 8)
	for _, server := range f.servers {
		server.CrashOnParts(deadPart)
	}
	f.expireCrashed(t)
	for i := range f.all {
		f.serveSound(t, i)
	}
	return f
}

// serveSound waits until a daemon serves a request with the same first part.
func (f *deployment) serveSound(t *testing.T, daemon int) {
	t.Helper()
	eventually(t, "a sound request is served", func() bool {
		answer, err := f.sendPrompt(daemon, "f0:30,5b01:20")
		return err == nil && answer.Status == 200
	})
}

// crashUnderPart sends requests with the part, no two alike, until so many servers have crashed under it.
func (f *deployment) crashUnderPart(t *testing.T, count int) {
	t.Helper()
	eventually(t, fmt.Sprint(count, " servers crash"), func() bool {
		if f.partRuns() < count {
			_, _ = f.sendPrompt(f.partRuns()%len(f.all), "f0:30,"+deadPart+":30")
		}
		return f.partRuns() >= count
	})
	time.Sleep(2 * betweenTries)
}

// partRuns counts the runs of requests with the part.
func (f *deployment) partRuns() int {
	count := 0
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if run.SharesPart([]string{deadPart}) {
				count++
			}
		}
	}
	return count
}

// expectHeld sends further requests with the part to all daemons and checks how many servers have crashed in all.
func (f *deployment) expectHeld(t *testing.T) {
	t.Helper()
	// Until then the store lists servers that have crashed.
	time.Sleep(entryExpiry)
	for try := range 2 * len(f.all) {
		_, _ = f.sendPrompt(try%len(f.all), "f0:30,"+deadPart+":30")
		time.Sleep(betweenTries)
	}
	if crashed := f.partRuns(); crashed != crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
	for i := range f.all {
		if answer, err := f.sendPrompt(i, "f0:30,5b02:20"); err != nil || answer.Status != 200 {
			t.Errorf("a sound request at daemon %d got %d, %v", i, answer.Status, err)
		}
	}
}

// restartAll kills all daemons and starts them again.
func (f *deployment) restartAll(t *testing.T) {
	t.Helper()
	for _, daemon := range f.daemons {
		daemon.Kill()
	}
	for i := range f.daemons {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	for i := range f.all {
		f.serveSound(t, i)
	}
	time.Sleep(contactSpan)
}

// TestDeadlyPartOutlastsAllDaemons kills all daemons after, or just before, the crash that decides. It guards against
// losing with them what servers have paid for.
func TestDeadlyPartOutlastsAllDaemons(t *testing.T) {
	for crashes := crashLimit - 1; crashes <= crashLimit; crashes++ {
		t.Run(fmt.Sprint(crashes, " crashes before"), func(t *testing.T) {
			f := startBeforeDeadlyPart(t, 2)
			f.crashUnderPart(t, crashes)
			time.Sleep(500 * time.Millisecond)
			f.restartAll(t)
			f.crashUnderPart(t, crashLimit)
			f.expectHeld(t)
		})
	}
}

// TestDeadlyPartIsKnownToDaemonsThatStartLater covers daemons that were not there when the servers crashed: one that
// starts again, and one more that joins.
func TestDeadlyPartIsKnownToDaemonsThatStartLater(t *testing.T) {
	f := startBeforeDeadlyPart(t, 2)
	f.crashUnderPart(t, crashLimit)
	f.daemons[1].Kill()
	f.daemons[1] = f.startDaemon(t, f.all[1])
	f.all = append(f.all, f.daemonSettings(t, 2, f.all[0].PeerAddress))
	f.daemons = append(f.daemons, f.startDaemon(t, f.all[2]))
	for i := range f.all {
		f.serveSound(t, i)
	}
	time.Sleep(contactSpan)
	f.expectHeld(t)
}

// TestReleasedPartIsServed has operators release a part whose cause they have mended: the line that holds it names its
// digest, and the line of each crash says which ID that is.
func TestReleasedPartIsServed(t *testing.T) {
	logged := &lockedText{}
	f := startWithLogs(t, 2, logged)
	for number := range 4 {
		f.addServer(t, fmt.Sprint("engine", number), "llm", "m")
	}
	for _, server := range f.servers {
		server.CrashOnParts(deadPart)
	}
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == len(f.all) })
		f.serveSound(t, i)
	}
	f.crashUnderPart(t, crashLimit)
	for _, server := range f.servers {
		server.CrashOnParts()
	}
	held := regexp.MustCompile(`quarantine: Held\." node=d\d content=([0-9a-f]{32}) kind=part`).FindStringSubmatch(logged.String())
	if held == nil || !regexp.MustCompile(`parts="?`+deadPart+`=`+held[1]).MatchString(logged.String()) {
		t.Fatalf("the log does not tell which part is held: %v", held)
	}
	path, signals := filepath.Join(t.TempDir(), "node.ini"), make(chan os.Signal, 1)
	f.daemons[0].WatchSettings(path, signals)
	if err := os.WriteFile(path, []byte(settingsText(&f.all[0], "released_contents = "+held[1])), 0o600); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	for i := range f.all {
		eventually(t, "served again", func() bool {
			answer, err := f.sendPrompt(i, "f0:30,"+deadPart+":30")
			return err == nil && answer.Status == 200
		})
	}
}
