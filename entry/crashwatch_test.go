package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quarantine"
)

// watched is a crash watch whose looks take a moment.
type watched struct {
	*crashWatch
	// guard guards the fields below.
	guard    sync.Mutex
	looks    int
	victims  []quarantine.InterruptedRequest
	crashes  []time.Time
	refusing bool
	// closing makes probes return ProbeClosing unless the address refuses connections.
	closing bool
	// unconfirmed are the victims reported for unconfirmed crashes.
	unconfirmed []quarantine.InterruptedRequest
	// refusesAfter is how many looks find somebody listening still.
	refusesAfter int
}

const lookTakes = 3 * time.Millisecond

func startWatch(t *testing.T) *watched {
	t.Helper()
	w := &watched{crashWatch: newCrashWatch()}
	w.now = time.Now
	w.log = func(string, ...any) {}
	w.probe = func(ctx context.Context, _ string) quarantine.ProbeResult {
		sleep(ctx, lookTakes)
		w.guard.Lock()
		defer w.guard.Unlock()
		w.looks++
		switch {
		case w.refusing && w.looks > w.refusesAfter:
			return quarantine.ProbeRefused
		case w.closing:
			return quarantine.ProbeClosing
		}
		return quarantine.ProbeListening
	}
	w.unconfirmedCrash = func(_ time.Time, _ string, victims []quarantine.InterruptedRequest) {
		w.guard.Lock()
		defer w.guard.Unlock()
		w.unconfirmed = append(w.unconfirmed, victims...)
	}
	w.crashed = func(at time.Time, _ string, victims []quarantine.InterruptedRequest) {
		w.guard.Lock()
		defer w.guard.Unlock()
		w.crashes = append(w.crashes, at)
		w.victims = append(w.victims, victims...)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

var watchedInstance = &fleet.Instance{ID: "i", Address: "address"}

// refuse makes looks find nobody listening, after some that do.
func (w *watched) refuse(after int) {
	w.guard.Lock()
	defer w.guard.Unlock()
	w.refusing, w.refusesAfter = true, after
}

// seen returns the number of looks and of victims.
func (w *watched) seen() (looks, victims int) {
	w.guard.Lock()
	defer w.guard.Unlock()
	return w.looks, len(w.victims)
}

func (w *watched) breaks(names ...string) {
	for _, name := range names {
		var digest quarantine.Digest
		copy(digest[:], name)
		w.broke(time.Now(), watchedInstance, quarantine.InterruptedRequest{Content: digest})
	}
}

// TestCrashTakesAllItsRequests covers requests that break one after the other as a server ends: one look
// is enough for all of them, and all tell of the moment when the first one broke.
func TestCrashTakesAllItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.refuse(0)
		began := time.Now()
		w.breaks("a", "b")
		time.Sleep(10 * time.Millisecond)
		w.breaks("c")
		if looks, victims := w.seen(); victims != 3 || looks != 1 {
			t.Errorf("%d victims after %d looks", victims, looks)
		}
		for _, at := range w.crashes {
			if !at.Equal(began) {
				t.Errorf("crashed %v after the first connection ended", at.Sub(began))
			}
		}
	})
}

// TestServerThatListensLongerThanItAnswers covers a process whose listener is closed last.
func TestServerThatListensLongerThanItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.refuse(1)
		w.breaks("a")
		time.Sleep(time.Second)
		if _, victims := w.seen(); victims != 1 {
			t.Errorf("%d victims", victims)
		}
	})
}

// TestConnectionsThatEndTellNothing covers reset connections to a server that lives on.
func TestConnectionsThatEndTellNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		for range 20 {
			w.breaks("a")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if looks, victims := w.seen(); victims > 0 || looks != crashLooks {
			t.Errorf("%d victims, %d looks", victims, looks)
		}
		w.refuse(0)
		w.breaks("a")
		time.Sleep(time.Second)
		if _, victims := w.seen(); victims != 1 {
			t.Errorf("%d victims of a crash a second later", victims)
		}
	})
}

// TestSecondAttemptWaitsForTheLook covers the wait of a request between two attempts.
func TestSecondAttemptWaitsForTheLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.refuse(0)
		began := time.Now()
		w.settled(context.Background(), "another", settleMost)
		if time.Since(began) > 0 {
			t.Error("waited for an instance that nothing is known of")
		}
		w.breaks("a")
		w.settled(context.Background(), "i", settleMost)
		if _, victims := w.seen(); time.Since(began) != lookTakes || victims != 1 {
			t.Errorf("waited %v, %d victims", time.Since(began), victims)
		}
		w.settled(context.Background(), "i", settleMost)
		if took := time.Since(began); took != lookTakes {
			t.Errorf("waited again, %v in all", took)
		}
	})
}

// TestServerWhoseAddressStillAnswers covers a server behind something that takes connections for it: that it
// leaves the list tells that it has crashed, and one that stays listed has not.
func TestServerWhoseAddressStillAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		listed := true
		look := func() { w.gone(time.Now(), func(string) bool { return listed }) }
		began := time.Now()
		w.breaks("a", "b")
		time.Sleep(4 * time.Second)
		look()
		if _, victims := w.seen(); victims > 0 {
			t.Errorf("%d victims of a server that is still listed", victims)
		}
		listed = false
		look()
		look()
		if _, victims := w.seen(); victims != 2 || len(w.crashes) != 1 || !w.crashes[0].Equal(began) {
			t.Errorf("%d victims, crashes at %v", victims, w.crashes)
		}
	})
}

// TestRequestsThatComeTooLateAreNoVictims covers what breaks at the address of a server that crashed seconds ago,
// and one that broke a connection, served on and crashed later.
func TestRequestsThatComeTooLateAreNoVictims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		gone := func() { w.gone(time.Now(), func(string) bool { return false }) }
		w.breaks("victim")
		for range 3 {
			time.Sleep(time.Second)
			w.breaks("late")
		}
		time.Sleep(time.Second)
		gone()
		if _, victims := w.seen(); victims != 1 || string(w.victims[0].Content[:6]) != "victim" {
			t.Errorf("victims: %q", w.victims)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.breaks("reset")
		time.Sleep(time.Second)
		w.served("i", time.Now())
		time.Sleep(time.Second)
		w.breaks("victim")
		time.Sleep(time.Second)
		w.gone(time.Now(), func(string) bool { return false })
		if _, victims := w.seen(); victims != 1 || string(w.victims[0].Content[:6]) != "victim" {
			t.Errorf("victims: %q", w.victims)
		}
	})
}

// TestServerThatClosesNewConnections covers a server behind a relay that closes connections. Requests that break within
// the crash span must be reported at once as an unconfirmed crash, and as a crash when the server leaves the list.
func TestServerThatClosesNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.closing = true
		w.breaks("a", "b")
		time.Sleep(10 * time.Millisecond)
		w.breaks("c")
		time.Sleep(time.Second)
		w.breaks("never reached it")
		time.Sleep(time.Second)
		w.guard.Lock()
		unconfirmed := len(w.unconfirmed)
		w.guard.Unlock()
		if _, victims := w.seen(); victims > 0 || unconfirmed < 3 {
			t.Errorf("%d victims and %d unconfirmed victims, want 0 and at least 3", victims, unconfirmed)
		}
		for _, victim := range w.unconfirmed {
			if string(victim.Content[:5]) == "never" {
				t.Error("a request that broke after the crash span is reported")
			}
		}
		w.gone(time.Now(), func(string) bool { return false })
		if _, victims := w.seen(); victims != 3 {
			t.Errorf("%d victims after the server left the list, want 3", victims)
		}
	})
}

// TestServerThatLeavesLongAfterIsNoCrash covers a server that ended connections and left much later.
func TestServerThatLeavesLongAfterIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.breaks("a")
		time.Sleep(listedSpan + time.Second)
		w.gone(time.Now(), func(string) bool { return false })
		if _, victims := w.seen(); victims > 0 {
			t.Errorf("%d victims", victims)
		}
	})
}
