// Package reach distinguishes addresses that no longer exist from network paths of this machine that are cut. It
// connects to addresses over the machine's own paths or through other daemons.
//
// A Book decides which paths to use. Failed attempts at several addresses in a row, with no success in between,
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
	// Failed is the number of addresses that can't be reached directly. InARow counts those that failed since the
	// last success.
	Failed int
	InARow int
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

// Book tracks which addresses this machine can reach over its own paths. It is safe for concurrent use.
type Book struct {
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

// NewBook returns a Book without failures.
func NewBook() *Book {
	return &Book{failed: map[string]*failure{}, consecutive: map[string]bool{}}
}

// SetAddresses sets how many addresses the daemon connects to. It caps the thresholds for doubtful and cut.
func (b *Book) SetAddresses(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addresses = count
}

// Plan returns how to connect to an address now. If other daemons reach an address that can't be reached from
// here, the own path is tried only once per backoff. If none does, the address has most likely ended, and other
// daemons are used only once per backoff.
func (b *Book) Plan(now time.Time, address string) Plan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	status, entry := b.status(), b.failed[address]
	switch {
	case entry != nil && (status.Doubtful || !entry.reachedByOthersAt.IsZero()):
		return Plan{Direct: due(now, &entry.retryAt), Relay: true}
	case entry != nil:
		return Plan{Direct: true, Relay: due(now, &entry.relayRetryAt)}
	case status.Cut:
		return Plan{Direct: due(now, &b.retryAt), Relay: true}
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
func (b *Book) Connected(now time.Time, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.status().Cut {
		// All paths may work again, so each of them is retried at once.
		for _, entry := range b.failed {
			entry.retryAt = now
		}
	}
	delete(b.failed, address)
	clear(b.consecutive)
	b.since, b.connectedAt = time.Time{}, now
}

// Failed records a failed attempt that started at began.
func (b *Book) Failed(now time.Time, address string, began time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entry := b.failed[address]
	if entry == nil {
		entry = &failure{since: now, retryAt: now.Add(retryBackoff), relayRetryAt: now.Add(retryBackoff)}
		b.failed[address] = entry
	}
	entry.lastAt = now
	if !entry.reachedByOthersAt.IsZero() && began.After(entry.reachedByOthersAt) {
		entry.localFault = true
	}
	if began.Before(b.connectedAt) {
		return
	}
	if len(b.consecutive) == 0 {
		b.since = now
	}
	b.consecutive[address] = true
}

// ReachedByOthers records that another daemon has connected to an address. Attempts from here that fail after that
// are not the fault of the address.
func (b *Book) ReachedByOthers(now time.Time, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if entry := b.failed[address]; entry != nil && entry.reachedByOthersAt.IsZero() {
		entry.reachedByOthersAt = now
	}
}

// NotReachedByOthers records that another daemon could not connect to an address either.
func (b *Book) NotReachedByOthers(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if entry := b.failed[address]; entry != nil {
		entry.reachedByOthersAt, entry.localFault = time.Time{}, false
	}
}

// Failures counts those of the addresses that can't be reached, and those of them where the fault lies with this
// machine. Unproved is an address whose fault is not established, or empty.
func (b *Book) Failures(now time.Time, addresses []string) (failed, localFault int, unproved string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	for _, address := range addresses {
		entry := b.failed[address]
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

// Heard records that bytes were received over an own path.
func (b *Book) Heard(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.receivedAt = now
}

// Fit reports whether an open connection to an address should be reused, given when bytes were last received over
// it. The connection may hang if the path has failed since then.
func (b *Book) Fit(address string, receivedAt time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if entry := b.failed[address]; entry != nil && receivedAt.Before(entry.since) {
		return false
	}
	return !b.status().Doubtful || receivedAt.After(b.since)
}

// InDoubt reports whether connections to an address go through other daemons.
func (b *Book) InDoubt(address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entry := b.failed[address]
	return entry != nil && !entry.reachedByOthersAt.IsZero() || b.status().Doubtful
}

// Status returns the state of all paths together.
func (b *Book) Status(now time.Time) Status {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	return b.status()
}

func (b *Book) status() Status {
	status := Status{Since: b.since, Failed: len(b.failed), InARow: len(b.consecutive)}
	status.Doubtful = status.InARow >= min(minFailedDoubtful, max(1, b.addresses))
	enough := status.InARow >= min(minFailedCut, max(1, b.addresses))
	status.Cut = enough && b.receivedAt.Before(b.since.Add(inFlightWindow))
	return status
}

// expire removes addresses that are no longer tried: their instances may be gone.
func (b *Book) expire(now time.Time) {
	for address, entry := range b.failed {
		if now.Sub(entry.lastAt) > failureTTL {
			delete(b.failed, address)
			delete(b.consecutive, address)
		}
	}
	if len(b.consecutive) == 0 {
		b.since = time.Time{}
	}
}
