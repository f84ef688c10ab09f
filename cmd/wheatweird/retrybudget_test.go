package main

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// mostFailing is the share of requests, in thousandths, that a service fails in these tests.
	mostFailing = 950
	// saveSpan is how long daemons have sound traffic from which they save tokens, at saveRate requests a second.
	saveSpan = 8 * time.Second
	saveRate = 250
	// quietSpan is how long the service is nearly quiet then, so that the traffic of before no longer counts.
	quietSpan = 12 * time.Second
	// failRate is the rate of requests while the service fails, for failSpan.
	failRate = 60
	failSpan = 9 * time.Second
)

// TestBusyServicePaysForNoRetriesElsewhere guards against a service whose servers all fail and that gets retries for the traffic
// of another service.
func TestBusyServicePaysForNoRetriesElsewhere(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.failShare.Store(mostFailing)
	var group sync.WaitGroup
	group.Go(func() { f.load("busy", saveRate, failSpan) })
	f.load("failing", failRate, failSpan)
	group.Wait()
	f.checkRepeats(t)
	f.checkPaid(t)
}

// TestSeparatedDaemonsKeepTheRetryBudget guards against daemons that are cut off from each other, each of which takes itself for
// the only one and spends the budget of all.
func TestSeparatedDaemonsKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.cutAll()
	time.Sleep(3 * time.Second)
	f.failAfterQuiet(t, nil)
	f.checkRepeats(t)
	f.checkPaid(t)
}

// TestRestartedDaemonsKeepTheRetryBudget guards against tokens that daemons are given anew each time that they start.
func TestRestartedDaemonsKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.failAfterQuiet(t, func() {
		for range 4 {
			for _, d := range f.daemons {
				d.signal(syscall.SIGKILL)
			}
			time.Sleep(2 * time.Second)
		}
	})
	f.checkRepeats(t)
}

// TestFrozenDaemonsKeepTheRetryBudget guards against daemons that go on after a freeze with retries, and with tokens, of before,
// while the others have taken over what they could spend. The servers close connections instead of answering.
func TestFrozenDaemonsKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := startRetryFleet(t, buildBinary(t))
	f.closes.Store(true)
	f.failAfterQuiet(t, func() {
		for _, d := range f.daemons[:4] {
			d.signal(syscall.SIGSTOP)
		}
		time.Sleep(5 * time.Second)
		for _, d := range f.daemons[:4] {
			d.signal(syscall.SIGCONT)
		}
	})
	f.checkRepeats(t)
	f.checkPaid(t)
}

// failAfterQuiet lets the failing service have much sound traffic, then hardly any, then fail. Trouble runs beside the failures.
func (f *retryFleet) failAfterQuiet(t *testing.T, trouble func()) {
	t.Helper()
	sent, served := f.load("failing", saveRate, saveSpan)
	t.Logf("sound: %d of %d served", served, sent)
	f.load("failing", failRate/10, quietSpan)
	f.failShare.Store(mostFailing)
	var group sync.WaitGroup
	if trouble != nil {
		group.Go(trouble)
	}
	sent, served = f.load("failing", failRate, failSpan)
	group.Wait()
	t.Logf("failing: %d of %d served", served, sent)
}
