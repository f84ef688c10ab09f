package quota

import (
	"sync"
	"time"
)

// Answer is the response of a Buckets to a request for use.
type Answer struct {
	Granted bool
	// Wait is the time until tokens are available, or if granted, until the grant may be used.
	Wait time.Duration
	// RedirectTo is the daemon to query instead; empty if the answer is final.
	RedirectTo string
}

// GrantTTL is how long a grant of Take may be used, or returned. A limit applies to the moments at which instances
// begin to work, so grants from long before must not arrive together: with half a second, at most half a second of a
// subject's rate is added to its limit.
const GrantTTL = 500 * time.Millisecond

// MaxTurnWait is how far ahead turns should be granted. A turn is a grant for a later moment. Turns that an owner has
// granted before it is lost are added to what the next owner grants.
const MaxTurnWait = 500 * time.Millisecond

// rivalClaim records that another daemon claims to own a subject's limit.
type rivalClaim struct {
	claimant  string
	expiresAt time.Time
}

const (
	// claimTTL is how long a claim is valid by itself. By its end the membership of all daemons
	// includes the claimant, and the order of the subject decides.
	claimTTL = 3 * time.Second
	// stallThreshold is how long a process may be stalled before others take over what it owns.
	// Ticks are late by up to a tenth of a second when the processor is overcommitted.
	stallThreshold = 500 * time.Millisecond
	// standInIdleTTL is how long a stand-in without requests retains the level of a bucket.
	standInIdleTTL = time.Second
)

// Buckets holds the buckets from which this daemon grants limits. It is safe for concurrent use.
type Buckets struct {
	mutex   sync.Mutex
	buckets map[string]*bucket
	// localBuckets are for the time in which no owner or stand-in can be reached.
	localBuckets map[string]*bucket
	rivalClaims  map[string]rivalClaim
	// aliveCount is the number of reachable daemons at the last call of SetOwned.
	aliveCount int
	// lastActiveAt is when the process was last observed to run. stalled says that it did not run for a while
	// before that, and that Tick has not reported it yet.
	lastActiveAt time.Time
	stalled      bool
	// resumedAt is when the process was first observed to run after its last stall.
	resumedAt time.Time
	// previous holds the snapshots of the fleet that were replaced within ownershipDelay before the last replacement.
	previous []previousFleet
	// initialLevel returns the maximum level at which a bucket begins when this daemon begins to grant from it.
	initialLevel func(name string) float64
}

// NewBuckets returns a Buckets without buckets.
func NewBuckets() *Buckets { return NewBucketsInDebt(0) }

// NewBucketsInDebt returns a Buckets for small limits. A daemon that begins to grant a limit assumes that the previous
// owner granted this many units a moment ago. In a fleet that becomes partitioned many daemons begin one after the
// other.
func NewBucketsInDebt(debt float64) *Buckets {
	return NewBucketsWithLevel(func(string) float64 { return -debt })
}

// NewBucketsWithLevel returns a Buckets that calls a function for the level at which it begins to grant a limit. The
// function must not call the Buckets.
func NewBucketsWithLevel(initialLevel func(name string) float64) *Buckets {
	return &Buckets{
		buckets: map[string]*bucket{}, localBuckets: map[string]*bucket{}, rivalClaims: map[string]rivalClaim{},
		initialLevel: initialLevel,
	}
}

// SetOwned records the subjects whose limits this daemon grants as their owner, and returns those that
// it has to claim. These are the subjects that it did not own before, and all of them if more
// daemons are reachable than before: one of those may own them too, as after a network partition
// heals. The buckets of new subjects are empty, as what the previous owner granted a moment ago
// counts in the same window.
func (b *Buckets) SetOwned(now time.Time, fleet *Fleet, names []string) (claims []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detectStall(now)
	grown := fleet.Reachable > b.aliveCount
	b.aliveCount = fleet.Reachable
	for _, name := range names {
		if existing := b.buckets[name]; existing == nil || existing.role != RoleOwner || grown {
			claims = append(claims, name)
		}
		b.bucket(now, name, RoleOwner)
	}
	return claims
}

// Tick records that this process runs, and must be called a few times in each stallThreshold. It
// returns the subjects that have to be claimed again because the process was stalled: other
// daemons may have granted their limits in the meantime.
func (b *Buckets) Tick(now time.Time) (claims []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detectStall(now)
	if !b.stalled {
		return nil
	}
	b.stalled = false
	for name, existing := range b.buckets {
		if existing.role == RoleOwner {
			claims = append(claims, name)
		}
	}
	return claims
}

// detectStall empties all buckets except the local ones after a stall, at the first call that
// observes it: other daemons may have granted the tokens that accumulated in the meantime.
func (b *Buckets) detectStall(now time.Time) {
	if !b.lastActiveAt.IsZero() && now.Sub(b.lastActiveAt) > stallThreshold {
		b.stalled, b.resumedAt = true, now
		for name, existing := range b.buckets {
			existing.capLevel(now, b.initialLevel(name))
		}
	}
	b.lastActiveAt = now
}

// RecordClaim records that another daemon, which precedes this one, claims a subject's limit.
func (b *Buckets) RecordClaim(now time.Time, name, claimant string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rivalClaims[name] = rivalClaim{claimant: claimant, expiresAt: now.Add(claimTTL)}
}

// activeClaimant returns the daemon that grants a subject's limit instead of this one, or an empty
// string. A claim ends once the local snapshot of the fleet names its claimant as the owner.
func (b *Buckets) activeClaimant(now time.Time, fleet *Fleet, name string) string {
	claim, found := b.rivalClaims[name]
	if !found {
		return ""
	}
	if now.After(claim.expiresAt) || fleet.owner(name) == claim.claimant {
		delete(b.rivalClaims, name)
		return ""
	}
	return claim.claimant
}

// Prune drops the buckets and claims of removed subjects.
func (b *Buckets) Prune(present func(name string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, buckets := range []map[string]*bucket{b.buckets, b.localBuckets} {
		for name := range buckets {
			if !present(name) {
				delete(buckets, name)
			}
		}
	}
	for name := range b.rivalClaims {
		if !present(name) {
			delete(b.rivalClaims, name)
		}
	}
}

// bucket returns the bucket of a subject for a role. A new bucket begins at the initial level. An existing one is
// lowered to at most that level if the role changes, or if a stand-in has not used it for standInIdleTTL.
func (b *Buckets) bucket(now time.Time, name string, role Role) *bucket {
	existing := b.buckets[name]
	if existing == nil {
		existing = &bucket{at: now, role: role, level: b.initialLevel(name)}
		b.buckets[name] = existing
	}
	if existing.role != role || role == RoleStandIn && now.Sub(existing.at) > standInIdleTTL {
		existing.role = role
		existing.capLevel(now, b.initialLevel(name))
	}
	return existing
}

// Take takes the cost of one request of a subject, as its owner or a stand-in by the local snapshot
// of the fleet. The parameter within is how long the request may wait for its turn.
func (b *Buckets) Take(now time.Time, fleet *Fleet, name string, limit *Limit, cost float64, within time.Duration) Answer {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detectStall(now)
	if owner := b.activeClaimant(now, fleet, name); owner != "" {
		return Answer{RedirectTo: owner}
	}
	role := fleet.RoleOf(name)
	granted, wait := b.bucket(now, name, role).take(now, limit, fleet.partOf(role), cost, within)
	return Answer{Granted: granted, Wait: wait}
}

// Refund returns what Take granted a moment ago and was not used.
func (b *Buckets) Refund(now time.Time, fleet *Fleet, name string, limit *Limit, cost float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detectStall(now)
	role := fleet.RoleOf(name)
	b.bucket(now, name, role).refund(now, limit, fleet.partOf(role), cost)
}

// TakeLocal takes the cost of one request from what this daemon may use without the others.
func (b *Buckets) TakeLocal(now time.Time, fleet *Fleet, name string, limit *Limit, cost float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	existing := b.localBuckets[name]
	if existing == nil {
		existing = &bucket{at: now, role: RoleLocal}
		b.localBuckets[name] = existing
	}
	return existing.takeIfCovered(now, limit, LocalPart/float64(max(1, fleet.Daemons)), cost)
}
