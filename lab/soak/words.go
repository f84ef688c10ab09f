package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// Servers say things of themselves in their answers, in series that overlap each other and all faults, whatever
// the store knows: that they take no more than so many requests, that they want rest, that they leave.
const (
	// wordsPause is the mean pause between two servers that begin to say something.
	wordsPause = 2 * time.Second
	// shortestWords and longestWords bound how long a server says so. Limits last longer, since they have to
	// hold only some time after they were named.
	shortestWords  = time.Second
	longestWords   = 4 * time.Second
	longestLimited = 12 * time.Second
	// longestRest bounds the rest that a server asks for.
	longestRest = 3 * time.Second

	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldBefore is how long before a request its daemon must have been told for the request to count.
	toldBefore = 500 * time.Millisecond
	restSlack  = 2

	// wordsStream tells the numbers that words are drawn from apart from those of the faults.
	wordsStream = 0x3057d
)

// runWords has servers say things of themselves until ctx ends. It draws from numbers of its own, so that the
// faults of a seed do not depend on it.
func (d *deployment) runWords(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(wordsPause))) {
		number := random.IntN(len(d.places))
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		switch random.IntN(4) {
		case 0:
			d.group.Go(func() { d.sayLeaving(number, own) })
		case 1:
			d.group.Go(func() { d.sayRest(ctx, number, own) })
		default:
			d.group.Go(func() { d.sayLimit(ctx, number, own) })
		}
	}
}

func drawSpan(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}

// sayLimit has a server name a limit for a while.
func (d *deployment) sayLimit(ctx context.Context, number int, random *rand.Rand) {
	server := d.places[number].current()
	perSecond := 0.5 + float64(random.IntN(8))/2
	d.tell("words: %s takes %v requests a second", server.ID, perSecond)
	words := server.Words()
	words.Limited, words.PerSecond = true, perSecond
	server.Say(words)
	pause(ctx, drawSpan(random, contact, longestLimited))
	words = server.Words()
	words.Limited = words.Limited && words.PerSecond != perSecond
	server.Say(words)
	d.tell("words: %s takes what comes", server.ID)
}

// sayRest has a server turn all requests away and ask for rest for a while.
func (d *deployment) sayRest(ctx context.Context, number int, random *rand.Rand) {
	server := d.places[number].current()
	words := server.Words()
	words.Rest = drawSpan(random, longestRest/10, longestRest)
	d.tell("words: %s wants %v of rest", server.ID, words.Rest)
	server.Say(words)
	pause(ctx, drawSpan(random, shortestWords, longestWords))
	words = server.Words()
	words.Rest = 0
	server.Say(words)
	d.tell("words: %s runs requests again", server.ID)
}

// sayLeaving has a server say that it leaves, in its answers only, end, and another one start at its address. Its
// entry is taken out when it ends.
func (d *deployment) sayLeaving(number int, random *rand.Rand) {
	place := d.places[number]
	leaving := place.current()
	d.tell("words: %s leaves", leaving.ID)
	words := leaving.Words()
	words.Leaving = true
	leaving.Say(words)
	if random.IntN(2) == 0 {
		time.Sleep(drainTime / 2)
		leaving.WriteAgain()
	}
	time.Sleep(2 * drainTime)
	d.closeServer(leaving)
	d.restart(place, number, leaving)
}

// teller is a server as one life of a daemon knows it.
type teller struct {
	server string
	daemon *daemon
	life   int
}

// wordsRecord is what servers said to daemons, and what they were sent.
type wordsRecord struct {
	arrivals []wordArrival
	// leaving is when a server first told a daemon that it leaves, rests all rests that it asked for.
	leaving map[teller]time.Time
	rests   map[teller][]*span
	// limits are the limits that each server has named, oldest first.
	limits map[string][]*namedLimit
	// harms are when links to servers were not sound, by their places.
	harms map[string][]*span
}

// wordArrival is a request that has reached a server.
type wordArrival struct {
	teller
	id string
	at time.Time
}

// span is a time from one moment to another; one without an end lasts.
type span struct{ from, until time.Time }

func (s *span) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}

// namedLimit is one limit that a server has named without a pause.
type namedLimit struct {
	perSecond   float64
	first, last time.Time
	// told is when each daemon was told first.
	told map[teller]time.Time
}

func newWordsRecord() wordsRecord {
	return wordsRecord{leaving: map[teller]time.Time{}, rests: map[teller][]*span{}, limits: map[string][]*namedLimit{}, harms: map[string][]*span{}}
}

// Arrived implements standin.Observer.
func (r *record) Arrived(arrival standin.Arrival) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.repeats.Arrived(arrival.Service, arrival.ID, arrival.At)
	sent := r.requests[arrival.ID]
	if sent == nil {
		return
	}
	arrived := wordArrival{teller: teller{arrival.Server, sent.daemon, sent.life}, id: arrival.ID, at: arrival.At}
	r.words.arrivals = append(r.words.arrivals, arrived)
	r.checkLeavingWord(sent, arrived)
}

// Answered implements standin.Observer.
func (r *record) Answered(answered standin.Answered) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sent := r.requests[answered.ID]
	if sent == nil {
		return
	}
	told := teller{answered.Server, sent.daemon, sent.life}
	if _, known := r.words.leaving[told]; answered.Words.Leaving && !known {
		r.words.leaving[told] = answered.At
	}
	if asked := answered.Words.Rest; asked > 0 {
		r.words.rests[told] = append(r.words.rests[told], &span{answered.At, answered.At.Add(asked)})
	}
	r.words.noteLimit(told, answered)
}

// noteLimit notes what an answer said of a limit.
func (w *wordsRecord) noteLimit(told teller, answered standin.Answered) {
	limits := w.limits[told.server]
	var newest *namedLimit
	if len(limits) > 0 {
		newest = limits[len(limits)-1]
	}
	words := answered.Words
	switch {
	case !words.Limited:
		if newest != nil && newest.last.IsZero() {
			newest.last = answered.At
		}
		return
	case newest == nil || !newest.last.IsZero() || newest.perSecond != words.PerSecond:
		if newest != nil && newest.last.IsZero() {
			newest.last = answered.At
		}
		newest = &namedLimit{perSecond: words.PerSecond, first: answered.At, told: map[teller]time.Time{}}
		w.limits[told.server] = append(limits, newest)
	}
	if _, known := newest.told[told]; !known {
		newest.told[told] = answered.At
	}
}

// placeOf returns the place of a server, by its ID.
func placeOf(server string) string { return server[:max(0, strings.LastIndex(server, "-"))] }

// harmedLink notes that the link to a server is not sound until the function is called.
func (r *record) harmedLink(server string) (end func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	harm := &span{from: time.Now()}
	place := placeOf(server)
	r.words.harms[place] = append(r.words.harms[place], harm)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		harm.until = time.Now()
	}
}

// linkHarmed reports whether the link to a server was harmed between two moments. The mutex is held.
func (r *record) linkHarmed(server string, from, until time.Time) bool {
	return slices.ContainsFunc(r.words.harms[placeOf(server)], func(harm *span) bool { return harm.overlaps(from, until) })
}

// forget drops what a server has said that starts again under its id. The mutex is held.
func (w *wordsRecord) forget(server string) {
	for told := range w.leaving {
		if told.server == server {
			delete(w.leaving, told)
		}
	}
	now := time.Now()
	for told, rests := range w.rests {
		for _, asked := range rests {
			if told.server == server && asked.until.After(now) {
				asked.until = now
			}
		}
	}
	for _, named := range w.limits[server] {
		if named.last.IsZero() {
			named.last = now
		}
	}
}

// excused reports whether a daemon may have missed what a server said between two moments: its process or its links
// were struck, or the link to the server was. The mutex is held.
func (r *record) excused(told teller, from, until time.Time) bool {
	return told.daemon.touchedBetween(from, until) || r.linkHarmed(told.server, from, until)
}

// checkLeavingWord checks that no daemon that was told by a server that it leaves sends it requests that came
// later. The mutex is held.
func (r *record) checkLeavingWord(sent *sentRequest, arrived wordArrival) {
	toldAt, told := r.words.leaving[arrived.teller]
	if r.untimed || !told || r.excused(arrived.teller, toldAt.Add(-toldBefore), arrived.at) {
		return
	}
	r.checked[promiseLeavingWord]++
	if since := sent.at.Sub(toldAt); since > drainTime {
		r.violate(promiseLeavingWord, sent.ID, "reached %s, sent by %s %v after that was told that the server leaves", arrived.server, sent.daemon.name, since)
	}
}

// checkWords checks limits and rests over the whole run. The mutex is held.
func (r *record) checkWords() {
	if r.untimed {
		return
	}
	for told, rests := range r.words.rests {
		for _, asked := range rests {
			r.checkRest(told, asked)
		}
	}
	for server, limits := range r.words.limits {
		for _, named := range limits {
			r.checkLimit(server, named)
		}
	}
}

func (r *record) checkRest(told teller, asked *span) {
	from := asked.from.Add(toldBefore)
	if !from.Before(asked.until) || r.excused(told, asked.from.Add(-toldBefore), asked.until) {
		return
	}
	r.checked[promiseRest]++
	count, last := 0, ""
	for _, arrived := range r.words.arrivals {
		if arrived.teller == told && !arrived.at.Before(from) && arrived.at.Before(asked.until) {
			count, last = count+1, arrived.id
		}
	}
	if count > restSlack {
		r.violate(promiseRest, last, "%s had asked %s for %v of rest, and got %d requests from it", told.server, told.daemon.name, asked.until.Sub(asked.from), count)
	}
}

func (r *record) checkLimit(server string, named *namedLimit) {
	until := named.last
	if until.IsZero() {
		until = time.Now()
	}
	var counted []time.Time
	for _, arrived := range r.words.arrivals {
		toldAt, told := named.told[arrived.teller]
		if !told || arrived.at.Before(named.first.Add(contact)) || !arrived.at.Before(until) || arrived.at.Before(toldAt.Add(toldBefore)) {
			continue
		}
		if !r.excused(arrived.teller, toldAt.Add(-toldBefore), arrived.at) {
			counted = append(counted, arrived.at)
		}
	}
	allowed := int(limitFactor*named.perSecond*limitWindow.Seconds()) + limitSlack
	for i, from := range counted {
		r.checked[promiseLimit]++
		count := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				count++
			}
		}
		if count > allowed {
			r.violate(promiseLimit, "", "%s had named a limit of %v a second, and got %d requests in %v; allowed %d", server, named.perSecond, count, limitWindow, allowed)
			return
		}
	}
}
