package balance

import "time"

// backoffResetAfter is how long after the end of a pause the next one counts as a further
// one, and is twice as long.
const backoffResetAfter = 3 * time.Second

// backoff is a pause that becomes longer each time that its cause comes back soon.
type backoff struct {
	until  time.Time
	rounds int
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend begins a pause of the base length, twice as long for each one before it, up to
// a limit. What happens during a pause is a part of the same trouble.
func (b *backoff) extend(now time.Time, base, limit time.Duration) {
	if b.active(now) {
		return
	}
	if now.Sub(b.until) > backoffResetAfter {
		b.rounds = 0
	}
	pause := base
	for range b.rounds {
		pause = min(2*pause, limit)
	}
	b.until = now.Add(pause)
	b.rounds++
}
