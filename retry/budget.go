// Package retry bounds how often failed attempts are made again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget lets retries be a share of recent successes, so that retries cannot
// multiply load when most attempts fail. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	share  float64
	limit  float64
}

// NewBudget returns a budget that grows by share for each success up to limit,
// and starts full.
func NewBudget(share, limit float64) *Budget {
	return &Budget{tokens: limit, share: share, limit: limit}
}

// SetLimit changes the limit, for example because it is shared by more daemons.
func (b *Budget) SetLimit(limit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
	b.tokens = min(b.tokens, limit)
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mutex.Lock()
	b.share = share
	b.mutex.Unlock()
}

// Succeeded notes a success.
func (b *Budget) Succeeded() {
	b.mutex.Lock()
	b.tokens = min(b.tokens+b.share, b.limit)
	b.mutex.Unlock()
}

// Take returns whether one more retry may be made.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before an attempt, with full jitter: a random time
// up to base doubled for each earlier attempt, at most limit.
func Backoff(random *rand.Rand, attempt int, base, limit time.Duration) time.Duration {
	ceiling := base
	for range attempt {
		ceiling = min(2*ceiling, limit)
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
