// Package brittle keeps requests from instances that fall over when they have to turn too many away for want of room.
// A Book knows which services say so in their answers, and decides from the loads that this daemon knows whether one
// of their instances has room for another request. It does no I/O and reads no clock.
//
// Loads of other daemons are known a little late, so some requests are turned away all the same. Of the refusals that an
// instance bears each daemon has an even part, and none of them sends to an instance again before its own refusals
// there are within that part. A daemon also leaves places free for the others to send requests that are not known yet,
// unless it uses less than its even part of the places.
package brittle

import (
	"maps"
	"slices"
	"time"
)

const (
	// refusedPart is the part of the refusals that an instance bears which all daemons together may cause.
	refusedPart = 0.5
	// refusalSpan is the time for which an instance says how many refusals it bears.
	refusalSpan = time.Second
	// longestClosed bounds how long a daemon keeps away from an instance.
	longestClosed = 20 * time.Second
	// silentSpan is how long after its last answer a service counts as brittle.
	silentSpan = time.Minute
)

// Book is what services have said. It is not safe for concurrent use.
type Book struct {
	services map[string]*service
	// endedAt is when the requests were sent whose answers said that services are no longer brittle.
	endedAt map[string]time.Time
}

// service is one whose instances say that they are brittle.
type service struct {
	refusals float64
	// learnedAt is when this was first said, heardAt when it was last said.
	learnedAt time.Time
	heardAt   time.Time
	// paidAt is until when this daemon's refusals at an instance use up its part, by the instance's ID.
	paidAt map[string]time.Time
}

// NewBook returns a book in which no service is brittle.
func NewBook() *Book {
	return &Book{services: map[string]*service{}, endedAt: map[string]time.Time{}}
}

// Change is what is new of a service.
type Change uint8

// Changes of a service.
const (
	Nothing Change = iota
	// Begins means that its instances are brittle from now on, or bear another number of refusals.
	Begins
	// Ends means that they are not brittle any more.
	Ends
)

// Hear takes in whether an answer to a request that was sent at a moment says that the service is brittle, and how many
// refusals a second an instance bears.
func (b *Book) Hear(now time.Time, name string, sentAt time.Time, named bool, refusals float64) Change {
	known := b.services[name]
	switch {
	case !named && (known == nil || !sentAt.After(known.learnedAt)):
		return Nothing
	case !named:
		delete(b.services, name)
		b.endedAt[name] = sentAt
		return Ends
	case known == nil:
		b.services[name] = &service{refusals: refusals, learnedAt: now, heardAt: now, paidAt: map[string]time.Time{}}
		return Begins
	}
	known.heardAt = now
	if known.refusals == refusals {
		return Nothing
	}
	known.refusals = refusals
	return Begins
}

// Load is what this daemon knows of one instance.
type Load struct {
	// Slots is how many requests it works on at once.
	Slots int
	// Requests is how many it has from all daemons, Own how many from this one.
	Requests int
	Own      int
	// Daemons is how many daemons may send it requests.
	Daemons int
}

// Admit reports whether an instance of a service may get another request from here.
func (b *Book) Admit(now time.Time, name, id string, load Load) bool {
	known := b.services[name]
	switch {
	case known == nil || load.Slots <= 0:
		return true
	case load.Requests >= load.Slots || known.closed(now, id, load.Daemons):
		return false
	}
	daemons := max(1, load.Daemons)
	free := load.Slots - min(load.Slots/2, daemons-1)
	return load.Requests < free || load.Own < load.Slots/daemons
}

// TurnedAway takes in that an instance had no room for a request.
func (b *Book) TurnedAway(now time.Time, name, id string, daemons int) {
	known := b.services[name]
	if known == nil {
		return
	}
	from := now
	if paidAt := known.paidAt[id]; paidAt.After(now) {
		from = paidAt
	}
	// A service that bears none is left alone for the longest time.
	cost := longestClosed
	if part := known.part(daemons); part > 0 {
		cost = min(time.Duration(float64(refusalSpan)/part), longestClosed)
	}
	known.paidAt[id] = minTime(from.Add(cost), now.Add(longestClosed))
}

// part is how many refusals a second each daemon may cause at an instance.
func (s *service) part(daemons int) float64 {
	return refusedPart * s.refusals / float64(max(1, daemons))
}

// closed reports whether this daemon has used its part at an instance up.
func (s *service) closed(now time.Time, id string, daemons int) bool {
	ahead := time.Duration(0)
	if part := s.part(daemons); part > 1 {
		ahead = refusalSpan - time.Duration(float64(refusalSpan)/part)
	}
	return s.paidAt[id].Sub(now) > ahead
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Names returns the services that are brittle, in no particular order.
func (b *Book) Names() []string { return slices.Collect(maps.Keys(b.services)) }

// Services returns how many services are brittle.
func (b *Book) Services() int { return len(b.services) }

// Forget drops services that were not heard of for long, and instances that are not listed any more.
func (b *Book) Forget(now time.Time, listed func(id string) bool) {
	maps.DeleteFunc(b.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > silentSpan })
	for name, known := range b.services {
		if now.Sub(known.heardAt) > silentSpan {
			delete(b.services, name)
			continue
		}
		for id, paidAt := range known.paidAt {
			if !listed(id) || !paidAt.After(now) {
				delete(known.paidAt, id)
			}
		}
	}
}
