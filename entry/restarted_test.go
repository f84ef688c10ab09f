package entry_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// replaceAll kills all daemons at the same time, starts them again and waits until they are ready, and no longer.
func (f *deployment) replaceAll(t *testing.T) {
	t.Helper()
	for _, daemon := range f.daemons {
		daemon.Kill()
	}
	for i := range f.daemons {
		f.daemons[i] = f.startDaemon(t, f.all[i])
	}
	f.waitReady(t)
}

// TestLimitOfAServerHoldsAfterAllDaemonsWereKilled guards against daemons that have all started anew, do not know that a
// server takes few requests, and send it all of theirs.
func TestLimitOfAServerHoldsAfterAllDaemonsWereKilled(t *testing.T) {
	const perSecond = 2.0
	f, server, seen := startServing(t, 5)
	l := f.begin(t, 100*time.Millisecond)
	eventually(t, "served there", func() bool { return seen.between(time.Time{}, time.Now()) > 5 })
	server.Say(standin.Words{Limited: true, PerSecond: perSecond})
	time.Sleep(contactTime)
	l.end()
	killed := time.Now()
	f.replaceAll(t)
	l = f.begin(t, 100*time.Millisecond)
	time.Sleep(2 * limitWindow)
	l.end()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	most := seen.most(killed, limitWindow)
	t.Logf("at most %d requests in %v, %d allowed", most, limitWindow, allowed)
	if most > allowed {
		t.Errorf("%d requests in %v, allowed %d", most, limitWindow, allowed)
	}
}

// TestServerThatLeavesIsLeftAloneAfterAllDaemonsWereKilled guards against daemons that have all started anew and go by the
// list alone, which shows a server as ready although its answers say that it leaves.
func TestServerThatLeavesIsLeftAloneAfterAllDaemonsWereKilled(t *testing.T) {
	f, server, seen := startServing(t, 5)
	l := f.begin(t, 50*time.Millisecond)
	eventually(t, "served there", func() bool { return seen.between(time.Time{}, time.Now()) > 5 })
	server.Say(standin.Words{Leaving: true})
	time.Sleep(leavingBound)
	l.end()
	killed := time.Now()
	f.replaceAll(t)
	server.WriteAgain()
	l = f.begin(t, 50*time.Millisecond)
	eventually(t, "served there again", func() bool { return seen.between(killed, time.Now()) > 0 })
	said := time.Now()
	time.Sleep(2 * leavingBound)
	l.end()
	t.Logf("%d requests reached the server after all daemons were killed", seen.between(killed, time.Now()))
	if late := seen.between(said.Add(leavingBound), time.Now()); late > 0 {
		t.Errorf("%d requests reached the server over %v after its answers said that it leaves", late, leavingBound)
	}
}
