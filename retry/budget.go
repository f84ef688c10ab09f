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

// Take consumes one token and reports whether a retry is allowed. It returns false if less than one token is left.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
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
