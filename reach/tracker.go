// Package reach distinguishes addresses that no longer exist from network paths of this machine that are cut. It
// connects to addresses over the machine's own paths or through other daemons.
//
// A Tracker decides which paths to use. Failed attempts at several addresses in a row, with no success in between,
// point to this machine rather than to the addresses. A Dialer makes the attempts.
package reach

import (
	"sync"
	"time"
)

const (
	// relayAfter is the delay before a connection through another daemon is requested as well, while the own path
	// is not in doubt. It covers several round trips between zones.
	relayAfter = 150 * time.Millisecond
	// relayAfterDoubtful is that delay while all paths of the machine are in doubt.
	relayAfterDoubtful = 50 * time.Millisecond
	// minFailedDoubtful is the number of unreachable addresses in a row from which all paths are in doubt.
	minFailedDoubtful = 2
	// minFailedCut is the number from which the machine considers itself cut off from all addresses.
	minFailedCut = 4
	// retryBackoff is the time between two attempts over a path that has failed.
	retryBackoff = 500 * time.Millisecond
	// inFlightWindow is how long after the first failure bytes that were already in flight may still arrive.
	inFlightWindow = 200 * time.Millisecond
	// failureTTL is how long an address counts as failed after the last attempt at it.
	failureTTL = 10 * time.Second
)

// Plan states how to connect to an address.
type Plan struct {
	// Direct means that the machine's own path is tried.
	Direct bool
	// Relay means that a connection through another daemon is requested, RelayAfter after the start; zero means at
	// once.
	Relay      bool
	RelayAfter time.Duration
}

// Status is the state of all paths of the machine together.
type Status struct {
	// Cut means that the machine reaches no address, Doubtful that this is possible.
	Cut      bool
	Doubtful bool
	// Since is the time of the first of the consecutive failed attempts; zero if the last attempt succeeded.
	Since time.Time
	// Failed is the number of addresses that can't be reached directly. FailedInARow counts those that failed since the
	// last success.
	Failed       int
	FailedInARow int
}

// failure is the state of an address that could not be reached.
type failure struct {
	since   time.Time
	lastAt  time.Time
	retryAt time.Time
	// relayRetryAt is when a connection through another daemon may be requested again.
	relayRetryAt time.Time
	// reachedByOthersAt is when another daemon connected to the address; zero if none has. localFault means that
	// an attempt from this machine failed even after that.
	reachedByOthersAt time.Time
	localFault        bool
}

// Tracker tracks which addresses this machine can reach over its own paths. It is safe for concurrent use.
type Tracker struct {
	mutex  sync.Mutex
	failed map[string]*failure
	// consecutive are the addresses that failed since the last success, since is the time of the first of these
	// failures.
	consecutive map[string]bool
	since       time.Time
	// connectedAt is when the last attempt succeeded, receivedAt when bytes were last received over an own path.
	connectedAt time.Time
	receivedAt  time.Time
	retryAt     time.Time
	// addresses is the number of addresses that the daemon connects to.
	addresses int
}

// NewTracker returns a Tracker without failures.
func NewTracker() *Tracker {
	return &Tracker{failed: map[string]*failure{}, consecutive: map[string]bool{}}
}

// SetAddresses sets how many addresses the daemon connects to. It caps the thresholds for doubtful and cut.
func (t *Tracker) SetAddresses(count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addresses = count
}

// Plan returns how to connect to an address now. If other daemons reach an address that can't be reached from
// here, the own path is tried only once per backoff. If none does, the address has most likely ended, and other
// daemons are used only once per backoff.
func (t *Tracker) Plan(now time.Time, address string) Plan {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	status, entry := t.status(), t.failed[address]
	switch {
	case entry != nil && (status.Doubtful || !entry.reachedByOthersAt.IsZero()):
		return Plan{Direct: due(now, &entry.retryAt), Relay: true}
	case entry != nil:
		return Plan{Direct: true, Relay: due(now, &entry.relayRetryAt)}
	case status.Cut:
		return Plan{Direct: due(now, &t.retryAt), Relay: true}
	case status.Doubtful:
		return Plan{Direct: true, Relay: true, RelayAfter: relayAfterDoubtful}
	default:
		return Plan{Direct: true, Relay: true, RelayAfter: relayAfter}
	}
}

// due reports whether an attempt is due, and if so schedules the next one.
func due(now time.Time, retryAt *time.Time) bool {
	if now.Before(*retryAt) {
		return false
	}
	*retryAt = now.Add(retryBackoff)
	return true
}

// Connected records a successful attempt.
func (t *Tracker) Connected(now time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.status().Cut {
		// All paths may work again, so each of them is retried at once.
		for _, entry := range t.failed {
			entry.retryAt = now
		}
	}
	delete(t.failed, address)
	clear(t.consecutive)
	t.since, t.connectedAt = time.Time{}, now
}

// Failed records a failed attempt that started at began.
func (t *Tracker) Failed(now time.Time, address string, began time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.failed[address]
	if entry == nil {
		entry = &failure{since: now, retryAt: now.Add(retryBackoff), relayRetryAt: now.Add(retryBackoff)}
		t.failed[address] = entry
	}
	entry.lastAt = now
	if !entry.reachedByOthersAt.IsZero() && began.After(entry.reachedByOthersAt) {
		entry.localFault = true
	}
	if began.Before(t.connectedAt) {
		return
	}
	if len(t.consecutive) == 0 {
		t.since = now
	}
	t.consecutive[address] = true
}

// ReachedByOthers records that another daemon has connected to an address. Attempts from here that fail after that
// are not the fault of the address.
func (t *Tracker) ReachedByOthers(now time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.failed[address]; entry != nil && entry.reachedByOthersAt.IsZero() {
		entry.reachedByOthersAt = now
	}
}

// NotReachedByOthers records that another daemon could not connect to an address either.
func (t *Tracker) NotReachedByOthers(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.failed[address]; entry != nil {
		entry.reachedByOthersAt, entry.localFault = time.Time{}, false
	}
}

// Failures counts those of the addresses that can't be reached, and those of them where the fault lies with this
// machine. Unproved is an address whose fault is not established, or empty.
func (t *Tracker) Failures(now time.Time, addresses []string) (failed, localFault int, unproved string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, address := range addresses {
		entry := t.failed[address]
		switch {
		case entry == nil:
		case entry.localFault:
			failed++
			localFault++
		default:
			failed++
			unproved = address
		}
	}
	return failed, localFault, unproved
}

// ObserveBytes records that bytes were received over an own path.
func (t *Tracker) ObserveBytes(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.receivedAt = now
}

// Fit reports whether an open connection to an address should be reused, given when bytes were last received over
// it. The connection may hang if the path has failed since then.
func (t *Tracker) Fit(address string, receivedAt time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.failed[address]; entry != nil && receivedAt.Before(entry.since) {
		return false
	}
	return !t.status().Doubtful || receivedAt.After(t.since)
}

// UsesRelays reports whether connections to an address go through other daemons.
func (t *Tracker) UsesRelays(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry := t.failed[address]
	return entry != nil && !entry.reachedByOthersAt.IsZero() || t.status().Doubtful
}

// Status returns the state of all paths together.
func (t *Tracker) Status(now time.Time) Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	return t.status()
}

func (t *Tracker) status() Status {
	status := Status{Since: t.since, Failed: len(t.failed), FailedInARow: len(t.consecutive)}
	status.Doubtful = status.FailedInARow >= min(minFailedDoubtful, max(1, t.addresses))
	enough := status.FailedInARow >= min(minFailedCut, max(1, t.addresses))
	status.Cut = enough && t.receivedAt.Before(t.since.Add(inFlightWindow))
	return status
}

// expire removes addresses that are no longer tried: their instances may be gone.
func (t *Tracker) expire(now time.Time) {
	for address, entry := range t.failed {
		if now.Sub(entry.lastAt) > failureTTL {
			delete(t.failed, address)
			delete(t.consecutive, address)
		}
	}
	if len(t.consecutive) == 0 {
		t.since = time.Time{}
	}
}
