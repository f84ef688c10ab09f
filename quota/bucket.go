// Package quota enforces rate limits of subjects over a whole fleet of daemons. A subject is a tenant, or an instance
// that states a limit of its own. One daemon, the owner, holds the token bucket of a subject. The others query it
// before they send a request to an instance. While the owner does not answer, the next daemon in the subject's order
// stands in with a part of the limit. A daemon that reaches neither grants a small part of its own. The package does
// no I/O and reads no clock.
package quota

import "time"

// Limit bounds the use of one subject.
type Limit struct {
	// PerSecond is the rate, in units.
	PerSecond float64 `msgpack:"s,omitempty"`
	// Burst is how many units may be used at once, beyond the rate, after an idle period.
	Burst float64 `msgpack:"b,omitempty"`
	// Slots says that a unit is returned when the use ends: Burst and one more may be in use at once, and PerSecond
	// only replaces units that are never returned.
	Slots bool `msgpack:"k,omitempty"`
}

// maxLevel is the maximum level of a bucket that grants a part of the limit.
func (l *Limit) maxLevel(part float64) float64 {
	if l.Slots {
		return l.Burst
	}
	return l.Burst * part
}

// minLevel is the level below which a bucket that grants a part of the limit grants nothing.
func (l *Limit) minLevel(part float64) float64 { return l.maxLevel(part) - l.Burst*part }

// Role is the authority by which a daemon grants a limit.
type Role uint8

// Roles.
const (
	// RoleOwner grants the whole part of the limit that belongs to the reachable daemons.
	RoleOwner Role = iota
	// RoleStandIn grants StandInPart of that for an owner that does not answer some daemon.
	// Both may be granting at the same time.
	RoleStandIn
	// RoleLocal grants what one daemon may use without the others.
	RoleLocal
)

const (
	// StandInPart is the part of the limit that a stand-in grants. The loss of an owner is
	// detected within about a second and a half. This part of a limit for that time stays within
	// the excess of a tenth and the slack that platforms allow, as most subjects use half of
	// their limits.
	StandInPart = 0.4
	// LocalPart is the part of its even share that a daemon grants without the others. A fleet
	// that is fully partitioned so grants less than one limit in total.
	LocalPart = 0.8
)

// bucket is a token bucket. Its level may become negative by one request: if it had to cover a
// whole request, small requests would starve large ones while a subject is at its limit.
type bucket struct {
	level float64
	// at is when level was last updated.
	at   time.Time
	role Role
}

// fill adds the tokens since the last update. Part is the part of the limit that is granted.
func (b *bucket) fill(now time.Time, limit *Limit, part float64) {
	if now.After(b.at) {
		b.level += now.Sub(b.at).Seconds() * limit.PerSecond * part
		b.at = now
	}
	b.level = min(b.level, limit.maxLevel(part))
}

// capLevel removes the tokens above a level, which another daemon may have granted in the meantime.
func (b *bucket) capLevel(now time.Time, level float64) {
	b.level = min(b.level, level)
	b.at = now
}

// take takes the cost of one request. If the bucket is empty, wait is the time until it is not. Tokens that arrive
// within the given duration are granted in advance, for use after the wait and not before.
func (b *bucket) take(now time.Time, limit *Limit, part, cost float64, within time.Duration) (granted bool, wait time.Duration) {
	b.fill(now, limit, part)
	if minLevel := limit.minLevel(part); b.level < minLevel {
		wait = refillTime(minLevel-b.level, limit, part)
	}
	if wait > within {
		return false, wait
	}
	b.level -= cost
	return true, wait
}

// takeIfCovered takes the cost of one request if the bucket covers all of it. Many daemons with
// negative levels would exceed the limit together.
func (b *bucket) takeIfCovered(now time.Time, limit *Limit, part, cost float64) bool {
	enlarged := *limit
	enlarged.Burst = max(limit.Burst, cost/part)
	b.fill(now, &enlarged, part)
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

func (b *bucket) refund(now time.Time, limit *Limit, part, cost float64) {
	b.fill(now, limit, part)
	b.level = min(b.level+cost, limit.maxLevel(part))
}

// refillTime is how long it takes to refill the missing tokens.
func refillTime(missing float64, limit *Limit, part float64) time.Duration {
	rate := limit.PerSecond * part
	if rate <= 0 {
		return maxReportedWait
	}
	return min(time.Duration(missing/rate*float64(time.Second)), maxReportedWait)
}

// maxReportedWait bounds the wait that is reported to callers.
const maxReportedWait = time.Minute
