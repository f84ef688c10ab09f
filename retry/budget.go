// Package retry limits the rate of retries after failed attempts.
//
// A limit over all processes is kept without messages between them: each process pays for its retries from its own requests only,
// so the sum over all of them is bounded by the requests of all, whatever a process believes of the others.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Settings of a Budget.
type Settings struct {
	// Share is how many tokens each request adds.
	Share float64
	// SavedShare is how many tokens may be saved for each request of the last Window.
	SavedShare float64
	Window     time.Duration
	// Floor is how many tokens may be saved whatever the traffic, so that little traffic pays for a retry from time to time.
	// All processes together may spend that much more, each.
	Floor float64
	// Initial is how many tokens a new budget has. Where a bound holds for all processes together it is zero: a process that
	// starts again and again is given none.
	Initial float64
}

const (
	// earnedShare and savedShare are the parts of a share over all processes that each process earns with a request, and that it
	// may save for the requests of the last window. Their sum bounds the retries of all; the rest is for requests and retries that
	// arrive in another window than they were counted in.
	earnedShare = 0.85
	savedShare  = 0.1
)

// ShareOfFleet returns the settings with which all processes together retry at most a share of the requests of any window, or of
// the window before it, and the sum of their floors.
func ShareOfFleet(share float64, window time.Duration, floor float64) Settings {
	return Settings{Share: earnedShare * share, SavedShare: savedShare * share, Window: window, Floor: floor}
}

// Budget limits the retries of one process at one service. Within any window of length Settings.Window, they are at most Share of
// the requests in that window, plus SavedShare of the requests in the window before it or Floor, whichever is more. It is safe
// for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	settings Settings
	requests recentCount
	tokens   float64
	// reserved is how many of the tokens are promised to requests that wait to be sent again.
	reserved int
}

// NewBudget returns a budget with its initial tokens.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, requests: newRecentCount(settings.Window), tokens: settings.Initial}
}

// Set changes the settings. It keeps what was counted unless the window changes.
func (b *Budget) Set(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if settings.Window != b.settings.Window {
		b.requests = newRecentCount(settings.Window)
	}
	b.settings = settings
}

// Earn records a request for the service, which adds to the tokens.
func (b *Budget) Earn(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests.add(now)
	b.tokens += b.settings.Share
	b.bound(now)
}

// bound drops the tokens that may no longer be saved, and returns how many may be. The mutex is held.
func (b *Budget) bound(now time.Time) (limit float64) {
	limit = max(b.settings.Floor, b.settings.SavedShare*float64(b.requests.count(now)))
	b.tokens = min(b.tokens, limit)
	return limit
}

// Decision says whether a retry is allowed, and what that was based on.
type Decision struct {
	Allowed bool
	// Tokens is how many are left, Limit how many may be saved.
	Tokens float64
	Limit  float64
}

// Reserve promises a token to a request that is to be sent again, if there is one. It must be followed by Spend or Cancel.
func (b *Budget) Reserve(now time.Time) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := b.bound(now)
	allowed := b.tokens-float64(b.reserved) >= 1
	if allowed {
		b.reserved++
	}
	return Decision{Allowed: allowed, Tokens: max(0, b.tokens-float64(b.reserved)), Limit: limit}
}

// Spend consumes a reserved token when the request is sent. The request must not be sent if the token may no longer be saved.
func (b *Budget) Spend(now time.Time) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reserved--
	limit := b.bound(now)
	allowed := b.tokens >= 1
	if allowed {
		b.tokens--
	}
	return Decision{Allowed: allowed, Tokens: b.tokens, Limit: limit}
}

// Refund reserves a token again that was spent for a request of which nothing was sent.
func (b *Budget) Refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reserved++
	b.tokens++
}

// Cancel gives a reserved token back.
func (b *Budget) Cancel() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reserved--
}

// Take consumes a token for a retry that is sent at once.
func (b *Budget) Take(now time.Time) bool {
	return b.Reserve(now).Allowed && b.Spend(now).Allowed
}

// Backoff returns the delay before an attempt, as exponential backoff with full
// jitter: uniformly random from zero to base, doubled for each earlier attempt up
// to limit.
func Backoff(random *rand.Rand, attempt int, base, limit time.Duration) time.Duration {
	ceiling := base
	for range attempt {
		ceiling = min(2*ceiling, limit)
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
