// Package reach tells apart addresses that have ended from paths of this machine that are cut, and connects to
// addresses by the machine's own paths or through other daemons.
//
// A Book decides. Attempts that fail at several addresses in a row, with no success in between, say more about this
// machine than about the addresses. A Dialer makes the attempts.
package reach

import (
	"sync"
	"time"
)

const (
	// relayAfter is how long an attempt over a path that is not in doubt takes before another daemon is asked
	// too. It covers several round trips between zones.
	relayAfter = 150 * time.Millisecond
	// relayInDoubt is the same over a path that is in doubt with all others.
	relayInDoubt = 50 * time.Millisecond
	// doubtfulAddresses is how many addresses in a row that can't be reached put all paths in doubt.
	doubtfulAddresses = 2
	// cutAddresses is how many do so that the machine takes itself to be cut off from all.
	cutAddresses = 4
	// retryPause is the time between two attempts over a path that has failed.
	retryPause = 500 * time.Millisecond
	// silenceSlack is how long after the first failure bytes may still come that were on their way.
	silenceSlack = 200 * time.Millisecond
	// failureMemory is how long an address that is not tried any more counts as failed.
	failureMemory = 10 * time.Second
)

// Plan is how to connect to an address.
type Plan struct {
	// Direct says that the machine's own path is tried.
	Direct bool
	// Relay says that another daemon is asked, RelayAfter how long after the start; zero means at once.
	Relay      bool
	RelayAfter time.Duration
}

// Status is what a Book holds of all paths together.
type Status struct {
	// Cut says that the machine reaches no address, Doubtful that it may be so.
	Cut      bool
	Doubtful bool
	// Since is when the first attempt failed of those that failed in a row; zero if the last one succeeded.
	Since time.Time
	// Failed is the number of addresses that can't be reached directly, InARow of those without a success in between.
	Failed int
	InARow int
}

// failure is an address that could not be reached.
type failure struct {
	since   time.Time
	lastAt  time.Time
	retryAt time.Time
	// askAt is when others may be asked again whether they reach it.
	askAt time.Time
	// byOthersAt is when another daemon has reached it; zero if none has. ownFault says that an attempt from here has
	// failed even after that.
	byOthersAt time.Time
	ownFault   bool
}

// Book is what is known of the paths of this machine. It is safe for concurrent use.
type Book struct {
	mutex  sync.Mutex
	failed map[string]*failure
	// inARow are the addresses that could not be reached since the last success, since is when the first attempt failed.
	inARow map[string]bool
	since  time.Time
	// connectedAt is when the last attempt succeeded, heardAt when bytes last came over a path.
	connectedAt time.Time
	heardAt     time.Time
	retryAt     time.Time
	// addresses is how many there are to reach.
	addresses int
}

// NewBook returns a book in which all paths are sound.
func NewBook() *Book {
	return &Book{failed: map[string]*failure{}, inARow: map[string]bool{}}
}

// SetAddresses tells how many addresses there are to reach.
func (b *Book) SetAddresses(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addresses = count
}

// Plan says how to connect to an address now. Where others reach an address that can't be reached from here, the own
// path is tried now and then only. Where nobody does, most likely the address has ended, and others are asked now and
// then only.
func (b *Book) Plan(now time.Time, address string) Plan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	status, known := b.status(), b.failed[address]
	switch {
	case known != nil && (status.Doubtful || !known.byOthersAt.IsZero()):
		return Plan{Direct: due(now, &known.retryAt), Relay: true}
	case known != nil:
		return Plan{Direct: true, Relay: due(now, &known.askAt)}
	case status.Cut:
		return Plan{Direct: due(now, &b.retryAt), Relay: true}
	case status.Doubtful:
		return Plan{Direct: true, Relay: true, RelayAfter: relayInDoubt}
	default:
		return Plan{Direct: true, Relay: true, RelayAfter: relayAfter}
	}
}

// due reports whether an attempt is due, and sets when the next one is.
func due(now time.Time, retryAt *time.Time) bool {
	if now.Before(*retryAt) {
		return false
	}
	*retryAt = now.Add(retryPause)
	return true
}

// Connected takes in that an attempt succeeded.
func (b *Book) Connected(now time.Time, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.status().Cut {
		// The paths may all be back, and each of them is tried at once.
		for _, known := range b.failed {
			known.retryAt = now
		}
	}
	delete(b.failed, address)
	clear(b.inARow)
	b.since, b.connectedAt = time.Time{}, now
}

// Failed takes in that an attempt failed that had begun at a moment.
func (b *Book) Failed(now time.Time, address string, began time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.failed[address]
	if known == nil {
		known = &failure{since: now, retryAt: now.Add(retryPause), askAt: now.Add(retryPause)}
		b.failed[address] = known
	}
	known.lastAt = now
	if !known.byOthersAt.IsZero() && began.After(known.byOthersAt) {
		known.ownFault = true
	}
	if began.Before(b.connectedAt) {
		return
	}
	if len(b.inARow) == 0 {
		b.since = now
	}
	b.inARow[address] = true
}

// ReachedByOthers takes in that another daemon has reached an address: if it can't be reached from here after that, it
// is not the address's fault.
func (b *Book) ReachedByOthers(now time.Time, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.failed[address]; known != nil && known.byOthersAt.IsZero() {
		known.byOthersAt = now
	}
}

// NotReachedByOthers takes in that another daemon has not reached an address either.
func (b *Book) NotReachedByOthers(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.failed[address]; known != nil {
		known.byOthersAt, known.ownFault = time.Time{}, false
	}
}

// Failures counts those of some addresses that can't be reached, and those of them where that is not the address's
// fault. Unproved is one of which that is not known, or empty.
func (b *Book) Failures(now time.Time, addresses []string) (failed, ownFault int, unproved string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	for _, address := range addresses {
		known := b.failed[address]
		switch {
		case known == nil:
		case known.ownFault:
			failed++
			ownFault++
		default:
			failed++
			unproved = address
		}
	}
	return failed, ownFault, unproved
}

// Heard takes in that bytes came over the machine's own path.
func (b *Book) Heard(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heardAt = now
}

// Fit reports whether an open connection to an address, over which bytes last came at a moment, should be used
// again: it may hang if the path has failed since then.
func (b *Book) Fit(address string, heardAt time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.failed[address]; known != nil && heardAt.Before(known.since) {
		return false
	}
	return !b.status().Doubtful || heardAt.After(b.since)
}

// InDoubt reports whether connections to an address go through other daemons.
func (b *Book) InDoubt(address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.failed[address]
	return known != nil && !known.byOthersAt.IsZero() || b.status().Doubtful
}

// Status returns what holds of all paths together.
func (b *Book) Status(now time.Time) Status {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	return b.status()
}

func (b *Book) status() Status {
	status := Status{Since: b.since, Failed: len(b.failed), InARow: len(b.inARow)}
	status.Doubtful = status.InARow >= min(doubtfulAddresses, max(1, b.addresses))
	enough := status.InARow >= min(cutAddresses, max(1, b.addresses))
	status.Cut = enough && b.heardAt.Before(b.since.Add(silenceSlack))
	return status
}

// expire forgets addresses that are not tried any more: their instances may be gone.
func (b *Book) expire(now time.Time) {
	for address, known := range b.failed {
		if now.Sub(known.lastAt) > failureMemory {
			delete(b.failed, address)
			delete(b.inARow, address)
		}
	}
	if len(b.inARow) == 0 {
		b.since = time.Time{}
	}
}
