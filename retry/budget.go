// Package retry limits the rate of retries after failed attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a share of recent successes, so that retries cannot
// multiply the load when most attempts fail. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	share  float64
	limit  float64
}

// NewBudget returns a full budget of limit tokens. Each success adds share
// tokens, up to limit.
func NewBudget(share, limit float64) *Budget {
	return &Budget{tokens: limit, share: share, limit: limit}
}

// SetLimit changes the limit, for example because more daemons share it.
func (b *Budget) SetLimit(limit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
	b.tokens = min(b.tokens, limit)
}

// SetShare changes the number of tokens that each success adds.
func (b *Budget) SetShare(share float64) {
	b.mutex.Lock()
	b.share = share
	b.mutex.Unlock()
}

// Succeeded records a successful attempt.
func (b *Budget) Succeeded() {
	b.mutex.Lock()
	b.tokens = min(b.tokens+b.share, b.limit)
	b.mutex.Unlock()
}

// Decision says whether a retry is allowed, and what that was based on.
type Decision struct {
	Allowed bool
	// Tokens is how many are left, Limit how many may be saved.
	Tokens float64
	Limit  float64
}

// Take is Decide without the reasons.
func (b *Budget) Take() bool { return b.Decide().Allowed }

// Decide consumes one token if there is one, which allows a retry.
func (b *Budget) Decide() Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	allowed := b.tokens >= 1
	if allowed {
		b.tokens--
	}
	return Decision{Allowed: allowed, Tokens: b.tokens, Limit: b.limit}
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
