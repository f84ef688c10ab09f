package quota

import (
	"time"
)

// ownerStrategy is what the daemons run: they query the owner of a tenant, then its stand-ins.
type ownerStrategy struct {
	// within is how long requests may wait for their turn.
	within time.Duration
	// strict is for small limits: a daemon that reaches others grants nothing without them.
	strict bool
}

func (o ownerStrategy) buckets() *Buckets {
	if o.strict {
		return NewBucketsInDebt(1)
	}
	return NewBuckets()
}

func (o ownerStrategy) tick(s *simulation) {
	if s.now.Sub(s.lastTick) < tickInterval {
		return
	}
	s.lastTick = s.now
	for _, n := range s.nodes {
		if !n.dead && !n.frozen {
			s.rebuildIfForming(n)
			o.claim(s, n, n.buckets.Tick(s.now))
		}
	}
}

func (o ownerStrategy) changed(s *simulation, at *node) {
	var owned []string
	if at.fleet.RoleOf(tenantName) == RoleOwner {
		owned = append(owned, tenantName)
	}
	o.claim(s, at, at.buckets.SetOwned(s.now, at.fleet, owned))
}

// claim sends claims to the rivals. Each yields, or answers with a claim of its own if it precedes the sender.
func (o ownerStrategy) claim(s *simulation, at *node, names []string) {
	for _, name := range names {
		for _, rival := range at.fleet.Rivals(name) {
			other := s.find(rival)
			s.messages++
			switch {
			case !s.reaches(at, other):
			case other.fleet.Precedes(at.name, name):
				other.buckets.RecordClaim(s.now, name, at.name)
			case other.fleet.RoleOf(name) == RoleOwner:
				s.messages++
				at.buckets.RecordClaim(s.now, name, other.name)
			}
		}
	}
}

func (o ownerStrategy) take(s *simulation, at *node, cost float64) (bool, time.Duration) {
	delay := time.Duration(0)
	for _, name := range at.fleet.Owners(tenantName) {
		answer, answered := o.query(s, at, name, cost, &delay)
		if answered && answer.RedirectTo != "" {
			answer, answered = o.query(s, at, answer.RedirectTo, cost, &delay)
		}
		if answered && answer.RedirectTo == "" {
			if answer.Granted {
				delay += answer.Wait
			}
			return answer.Granted, delay
		}
	}
	if o.strict && !at.fleet.Isolated {
		return false, delay
	}
	return at.buckets.TakeLocal(s.now, at.fleet, tenantName, &s.limit, cost), delay
}

func (o ownerStrategy) query(s *simulation, at *node, name string, cost float64, delay *time.Duration) (Answer, bool) {
	if name == "" || s.now.Before(at.backoffUntil[name]) {
		return Answer{}, false
	}
	queried := s.find(name)
	if queried != at {
		s.messages++
		if !s.reaches(at, queried) {
			at.backoffUntil[name] = s.now.Add(unreachableBackoff)
			*delay += answerTimeout
			return Answer{}, false
		}
		s.messages++
	}
	return queried.buckets.Take(s.now, queried.fleet, tenantName, &s.limit, cost, o.within), true
}

// evenSplit is the baseline: each daemon grants an even part of the limit without messages.
type evenSplit struct{}

func (evenSplit) buckets() *Buckets          { return NewBuckets() }
func (evenSplit) tick(*simulation)           {}
func (evenSplit) changed(*simulation, *node) {}

func (evenSplit) take(s *simulation, at *node, cost float64) (bool, time.Duration) {
	alone := &Fleet{Daemons: len(s.nodes)}
	return at.buckets.TakeLocal(s.now, alone, tenantName, &s.limit, cost*LocalPart), 0
}

// fullLimitEach has each daemon grant the whole limit without the others.
type fullLimitEach struct{}

func (fullLimitEach) buckets() *Buckets          { return NewBuckets() }
func (fullLimitEach) tick(*simulation)           {}
func (fullLimitEach) changed(*simulation, *node) {}

func (fullLimitEach) take(s *simulation, at *node, cost float64) (bool, time.Duration) {
	return at.buckets.Take(s.now, &Fleet{Self: at.name, Part: 1, Daemons: 1, owners: map[string][]string{}}, tenantName, &s.limit, cost, 0).Granted, 0
}

// leaseStrategy is an alternative for comparison. Each daemon reports its demand to the owner, and
// holds a lease on a part of the rate for a term. A new owner collects for one term what the others
// hold before it grants more.
type leaseStrategy struct {
	term, interval time.Duration
	nextRenewal    time.Time
	lessees        map[string]*lessee
	lessors        map[string]*lessor
}

// lessee is the state of a daemon that holds a lease.
type lessee struct {
	// part is the part of the limit that it holds until expiresAt.
	part      float64
	expiresAt time.Time
	demand    float64
	spent     bucket
}

// lessor is the state of the owner: the leases and demand by daemon, and since when it is the owner.
type lessor struct {
	parts      map[string]float64
	expiresAt  map[string]time.Time
	demand     map[string]float64
	ownedSince time.Time
}

func newLeaseStrategy() *leaseStrategy {
	return &leaseStrategy{term: time.Second, interval: 200 * time.Millisecond, lessees: map[string]*lessee{}, lessors: map[string]*lessor{}}
}

func (l *leaseStrategy) buckets() *Buckets { return NewBuckets() }

func (l *leaseStrategy) lesseeFor(name string) *lessee {
	current := l.lessees[name]
	if current == nil {
		current = &lessee{}
		l.lessees[name] = current
	}
	return current
}

func (l *leaseStrategy) changed(s *simulation, at *node) {
	owns := at.fleet.RoleOf(tenantName) == RoleOwner
	switch current := l.lessors[at.name]; {
	case owns && current == nil:
		l.lessors[at.name] = &lessor{parts: map[string]float64{}, expiresAt: map[string]time.Time{}, demand: map[string]float64{}, ownedSince: s.now}
	case !owns:
		delete(l.lessors, at.name)
	}
}

func (l *leaseStrategy) take(s *simulation, at *node, cost float64) (bool, time.Duration) {
	current := l.lesseeFor(at.name)
	current.demand += cost
	part := 0.0
	if s.now.Before(current.expiresAt) {
		part = current.part
	}
	granted, _ := current.spent.take(s.now, &s.limit, max(part, LocalPart/float64(2*len(s.nodes))), cost, 0)
	return granted, 0
}

// tick renews the leases.
func (l *leaseStrategy) tick(s *simulation) {
	if s.now.Before(l.nextRenewal) {
		return
	}
	l.nextRenewal = s.now.Add(l.interval)
	for _, n := range s.nodes {
		if n.dead || n.frozen {
			continue
		}
		current := l.lesseeFor(n.name)
		current.demand *= 0.7
		owner := s.find(n.fleet.owner(tenantName))
		if owner == nil || owner != n && !s.reaches(n, owner) {
			continue
		}
		s.messages += 2
		if lessor := l.lessors[owner.name]; lessor != nil {
			l.renew(s, lessor, n.name, current, owner.fleet.Part)
		}
	}
}

// renew grants a daemon its part in proportion to its demand and that of the others.
func (l *leaseStrategy) renew(s *simulation, from *lessor, name string, current *lessee, whole float64) {
	from.demand[name] = current.demand
	totalDemand, granted := 0.0, 0.0
	for other, demand := range from.demand {
		totalDemand += demand
		if other != name && s.now.Before(from.expiresAt[other]) {
			granted += from.parts[other]
		}
	}
	part := current.part
	if s.now.Sub(from.ownedSince) >= l.term {
		part = whole / float64(len(s.nodes)) / 4
		if totalDemand > 0 {
			part = 0.25*part + 0.75*whole*current.demand/totalDemand
		}
	}
	part = max(0, min(part, whole-granted))
	current.part, current.expiresAt = part, s.now.Add(l.term)
	from.parts[name], from.expiresAt[name] = part, current.expiresAt
}
