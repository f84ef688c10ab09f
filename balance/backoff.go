package balance

import "time"

// backoffResetAfter is the time after the end of a backoff from which the next one starts at the
// base length again. Within it, the next one is twice as long.
const backoffResetAfter = 3 * time.Second

// backoff is a period without requests that doubles each time its cause recurs soon.
type backoff struct {
	until  time.Time
	rounds int
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend starts a backoff of the base length, doubled for each round before it, up to a limit. It
// does nothing during a backoff, because failures in that time have the same cause.
func (b *backoff) extend(now time.Time, base, limit time.Duration) {
	if b.active(now) {
		return
	}
	if now.Sub(b.until) > backoffResetAfter {
		b.rounds = 0
	}
	length := base
	for range b.rounds {
		length = min(2*length, limit)
	}
	b.until = now.Add(length)
	b.rounds++
}
