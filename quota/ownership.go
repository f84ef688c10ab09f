package quota

import "time"

// ownershipDelay is how long a daemon must have owned a limit, by its own snapshots of the fleet, before TakeAsOwner
// grants any of it. In that time it can discover that the previous owner still runs, and a starting fleet can form.
const ownershipDelay = time.Second

// previousFleet is a snapshot of the fleet that was replaced by a newer one.
type previousFleet struct {
	fleet      *Fleet
	replacedAt time.Time
}

// FleetReplaced records that a snapshot of the fleet was replaced by a newer one.
func (b *Buckets) FleetReplaced(now time.Time, replaced *Fleet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	retained := b.previous[:0]
	for _, previous := range b.previous {
		if now.Sub(previous.replacedAt) < ownershipDelay {
			retained = append(retained, previous)
		}
	}
	b.previous = append(retained, previousFleet{replaced, now})
}

// TakeAsOwner takes the cost of one request of a limit that only its owner may grant. Unlike with Take, a stand-in
// redirects to the owner that it can reach, and a daemon denies requests until it has owned the limit for
// ownershipDelay.
func (b *Buckets) TakeAsOwner(
	now time.Time, fleet *Fleet, name string, limit *Limit, cost float64, within time.Duration,
) Answer {
	switch owner := fleet.owner(name); owner {
	case fleet.Self:
	case "":
		return Answer{Wait: ownershipDelay}
	default:
		return Answer{RedirectTo: owner}
	}
	if wait := b.ownershipWait(now, fleet, name); wait > 0 {
		return Answer{Wait: wait}
	}
	return b.Take(now, fleet, name, limit, cost, within)
}

// ownershipWait returns how long this daemon has to wait until it has owned a limit for ownershipDelay. The delay
// starts again after a stall, and does not start while the daemon reaches no other one or its fleet forms.
func (b *Buckets) ownershipWait(now time.Time, fleet *Fleet, name string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detectStall(now)
	if fleet.Forming || fleet.Isolated {
		return ownershipDelay
	}
	since := b.resumedAt
	for _, previous := range b.previous {
		owned := !previous.fleet.Isolated && previous.fleet.owner(name) == fleet.Self
		if !owned && previous.replacedAt.After(since) {
			since = previous.replacedAt
		}
	}
	if since.IsZero() {
		return 0
	}
	return max(0, ownershipDelay-now.Sub(since))
}
