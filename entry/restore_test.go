package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestServerThatLeavesAfterARestoreIsHeardOf has the store come back from a copy, so that its
// revisions go back, and a server leave after that.
//
// Seen: requests reached a server up to 3.5 s after it had said that it leaves, and daemons listed the
// configuration 18 times a second, each list followed by an answer that the history is gone. A daemon took
// the store's revision for a line that only grows: it passed over lists of a lower one, and asked for the
// changes since a revision that the store did not have. What was written until the store had passed that
// was lost to it. A line of the log for each list that is passed over proved it (listed=5 known=29), and a
// leaving server that one daemon knew at revision 89 while the others stood at 94.
func TestServerThatLeavesAfterARestoreIsHeardOf(t *testing.T) {
	// allowed is the time within which a server that leaves has to be known.
	const allowed = 2 * time.Second
	f := start(t, 3)
	f.waitReady(t)
	copied := f.store.Copy()
	for version := range uint64(20) {
		putConfiguration(f.store, 2+version)
	}
	f.waitConfiguration(t, "added")
	f.restore(copied)
	time.Sleep(time.Second)
	leaving := f.servers[0]
	leaving.Drain()
	time.Sleep(allowed)
	known := len(leaving.Runs())
	for i, settings := range f.all {
		for range 8 {
			if _, status, _, err := post(settings.FrontAddress, "/stream/x", "m"); err != nil || status != 200 {
				t.Errorf("daemon %d: status %d, %v", i, status, err)
			}
		}
	}
	if late := len(leaving.Runs()) - known; late > 0 {
		t.Errorf("%d requests reached a server %v after it had said that it leaves", late, allowed)
	}
}

// restore makes the store be away for a moment and come back from a copy.
func (f *deployment) restore(copied *standin.Copy) {
	f.store.SetFault(func(string, string) standin.Fault { return standin.FaultReset })
	time.Sleep(300 * time.Millisecond)
	f.store.ComeBackFrom(copied)
	f.store.SetFault(nil)
}

// TestLeavingDoesNotGoBackWithTheStore covers servers that had left, or said that they leave, before the
// store came back from a copy that shows them as ready. The one that said so serves on for a while.
func TestLeavingDoesNotGoBackWithTheStore(t *testing.T) {
	f := start(t, 3)
	f.waitReady(t)
	f.addServer(t, "llm2", "llm", "m")
	f.waitConfiguration(t, "added")
	copied := f.store.Copy()
	leaving, left := f.server("llm0"), f.server("llm2")
	leaving.Drain()
	left.Unlist()
	time.Sleep(2 * time.Second)
	served := len(leaving.Runs()) + len(left.Runs())
	f.restore(copied)
	for range 40 {
		for i, settings := range f.all {
			if _, status, _, err := post(settings.FrontAddress, "/stream/x", "m"); err != nil || status != 200 {
				t.Errorf("daemon %d: status %d, %v", i, status, err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if late := len(leaving.Runs()) + len(left.Runs()) - served; late > 0 {
		t.Errorf("%d of 120 requests reached servers that had left", late)
	}
}

// TestVerdictsAreKeptAgainAfterARestore has the store lose a content that is held, and all daemons be killed
// after that: what the store holds is all that is left.
func TestVerdictsAreKeptAgainAfterARestore(t *testing.T) {
	f := startWithFragileServers(t, 3)
	copied := f.store.Copy()
	for try := range 5 {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
		time.Sleep(betweenTries)
	}
	if crashed := f.crashes(); crashed != crashLimit {
		t.Fatalf("%d servers crashed, want %d", crashed, crashLimit)
	}
	time.Sleep(time.Second)
	f.restore(copied)
	time.Sleep(time.Second)
	for i := range f.all {
		f.daemons[i].Kill()
	}
	for i := range f.all {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	f.waitReady(t)
	time.Sleep(time.Second)
	for try := range 5 {
		f.send(try%len(f.all), "/plain/x", deadlyBody)
	}
	if crashed := f.crashes(); crashed != crashLimit {
		t.Errorf("%d servers crashed, want %d", crashed, crashLimit)
	}
}

// waitConfiguration adds a route and waits until all daemons serve it.
func (f *deployment) waitConfiguration(t *testing.T, name string) {
	t.Helper()
	putConfiguration(f.store, 1000, name)
	for _, settings := range f.all {
		eventually(t, fmt.Sprint("the route at ", settings.Name), func() bool {
			_, status, _, _ := post(settings.FrontAddress, "/"+name+"/x", "")
			return status == 200
		})
	}
}
