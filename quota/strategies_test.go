package quota

import (
	"time"
)

// owners is the way of the product: the owner of a tenant is asked, then its stand-in.
type owners struct {
	// within is how long requests wait for their turn.
	within time.Duration
	// strict is for small limits: a daemon that hears others has nothing by itself.
	strict bool
}

func (o owners) keeper() *Keeper {
	if o.strict {
		return NewKeeperInDebt(1)
	}
	return NewKeeper()
}

func (o owners) tick(w *world) {
	if w.now.Sub(w.ticked) < tickPause {
		return
	}
	w.ticked = w.now
	for _, n := range w.nodes {
		if !n.dead && !n.frozen {
			w.refresh(n)
			o.claim(w, n, n.keeper.Tick(w.now))
		}
	}
}

func (o owners) changed(w *world, at *node) {
	var owned []string
	if at.fleet.RoleOf(tenantName) == RoleOwner {
		owned = append(owned, tenantName)
	}
	o.claim(w, at, at.keeper.Own(w.now, at.fleet, owned))
}

// claim has the others yield, or claim in turn what they come first for.
func (o owners) claim(w *world, at *node, names []string) {
	for _, name := range names {
		for _, rival := range at.fleet.Rivals(name) {
			other := w.find(rival)
			w.messages++
			switch {
			case !w.reaches(at, other):
			case other.fleet.Precedes(at.name, name):
				other.keeper.Yield(w.now, name, at.name)
			case other.fleet.RoleOf(name) == RoleOwner:
				w.messages++
				at.keeper.Yield(w.now, name, other.name)
			}
		}
	}
}

func (o owners) take(w *world, at *node, cost float64) (bool, time.Duration) {
	delay := time.Duration(0)
	for _, name := range at.fleet.Owners(tenantName) {
		answer, answered := o.ask(w, at, name, cost, &delay)
		if answered && answer.Owner != "" {
			answer, answered = o.ask(w, at, answer.Owner, cost, &delay)
		}
		if answered && answer.Owner == "" {
			if answer.Granted {
				delay += answer.Wait
			}
			return answer.Granted, delay
		}
	}
	if o.strict && !at.fleet.Lonely {
		return false, delay
	}
	return at.keeper.TakeAlone(w.now, at.fleet, tenantName, &w.limit, cost), delay
}

func (o owners) ask(w *world, at *node, name string, cost float64, delay *time.Duration) (Answer, bool) {
	if name == "" || w.now.Before(at.resting[name]) {
		return Answer{}, false
	}
	asked := w.find(name)
	if asked != at {
		w.messages++
		if !w.reaches(at, asked) {
			at.resting[name] = w.now.Add(restSpan)
			*delay += answerLimit
			return Answer{}, false
		}
		w.messages++
	}
	return asked.keeper.Take(w.now, asked.fleet, tenantName, &w.limit, cost, o.within), true
}

// evenParts is the baseline: each daemon has its part of the limit and asks nobody.
type evenParts struct{}

func (evenParts) keeper() *Keeper       { return NewKeeper() }
func (evenParts) tick(*world)           {}
func (evenParts) changed(*world, *node) {}

func (evenParts) take(w *world, at *node, cost float64) (bool, time.Duration) {
	alone := &Fleet{Daemons: len(w.nodes)}
	return at.keeper.TakeAlone(w.now, alone, tenantName, &w.limit, cost*AlonePart), 0
}

// wholeEach has each daemon keep to the whole limit by itself.
type wholeEach struct{}

func (wholeEach) keeper() *Keeper       { return NewKeeper() }
func (wholeEach) tick(*world)           {}
func (wholeEach) changed(*world, *node) {}

func (wholeEach) take(w *world, at *node, cost float64) (bool, time.Duration) {
	return at.keeper.Take(w.now, &Fleet{Self: at.name, Part: 1, Daemons: 1, owners: map[string][]string{}}, tenantName, &w.limit, cost, 0).Granted, 0
}

// leases is a way that was weighed: each daemon tells the owner what it is asked for, and has a
// lease on a part of the rate for a while. An owner that is new learns for one term what the
// others have before it gives out more.
type leases struct {
	term, every time.Duration
	next        time.Time
	lessees     map[string]*lessee
	lessors     map[string]*lessor
}

// lessee is a daemon's side.
type lessee struct {
	// part is the part of the limit that it has until a moment.
	part  float64
	until time.Time
	wants float64
	spent bucket
}

// lessor is the owner's side: what each daemon has and until when, and since when this one owns.
type lessor struct {
	parts map[string]float64
	until map[string]time.Time
	wants map[string]float64
	since time.Time
}

func newLeases() *leases {
	return &leases{term: time.Second, every: 200 * time.Millisecond, lessees: map[string]*lessee{}, lessors: map[string]*lessor{}}
}

func (l *leases) keeper() *Keeper { return NewKeeper() }

func (l *leases) of(name string) *lessee {
	known := l.lessees[name]
	if known == nil {
		known = &lessee{}
		l.lessees[name] = known
	}
	return known
}

func (l *leases) changed(w *world, at *node) {
	owns := at.fleet.RoleOf(tenantName) == RoleOwner
	switch known := l.lessors[at.name]; {
	case owns && known == nil:
		l.lessors[at.name] = &lessor{parts: map[string]float64{}, until: map[string]time.Time{}, wants: map[string]float64{}, since: w.now}
	case !owns:
		delete(l.lessors, at.name)
	}
}

func (l *leases) take(w *world, at *node, cost float64) (bool, time.Duration) {
	known := l.of(at.name)
	known.wants += cost
	part := 0.0
	if w.now.Before(known.until) {
		part = known.part
	}
	granted, _ := known.spent.take(w.now, &w.limit, max(part, AlonePart/float64(2*len(w.nodes))), cost, 0)
	return granted, 0
}

// tick renews the leases.
func (l *leases) tick(w *world) {
	if w.now.Before(l.next) {
		return
	}
	l.next = w.now.Add(l.every)
	for _, n := range w.nodes {
		if n.dead || n.frozen {
			continue
		}
		known := l.of(n.name)
		known.wants *= 0.7
		owner := w.find(n.fleet.owner(tenantName))
		if owner == nil || owner != n && !w.reaches(n, owner) {
			continue
		}
		w.messages += 2
		if lessor := l.lessors[owner.name]; lessor != nil {
			l.renew(w, lessor, n.name, known, owner.fleet.Part)
		}
	}
}

// renew gives a daemon its part by what it and the others want.
func (l *leases) renew(w *world, from *lessor, name string, known *lessee, whole float64) {
	from.wants[name] = known.wants
	wanted, given := 0.0, 0.0
	for other, wants := range from.wants {
		wanted += wants
		if other != name && w.now.Before(from.until[other]) {
			given += from.parts[other]
		}
	}
	part := known.part
	if w.now.Sub(from.since) >= l.term {
		part = whole / float64(len(w.nodes)) / 4
		if wanted > 0 {
			part = 0.25*part + 0.75*whole*known.wants/wanted
		}
	}
	part = max(0, min(part, whole-given))
	known.part, known.until = part, w.now.Add(l.term)
	from.parts[name], from.until[name] = part, known.until
}
