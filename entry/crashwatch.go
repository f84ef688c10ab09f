package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/ring"
)

const (
	// crashLooks is how often it is looked whether a server that ended a connection still takes new
	// ones, and crashLookPause the pause between two looks: a process that ends closes its connections one
	// by one, and the place where it listens may be the last.
	crashLooks     = 2
	crashLookPause = 100 * time.Millisecond
	// crashSpan is how long what was found out holds for connections that break later: those of
	// one crash break within some ten milliseconds, and a server is back after a second at least.
	crashSpan = 500 * time.Millisecond
	// listedSpan is how long an instance whose address still answers may take to leave the list for
	// that to count as a crash: somebody else may listen there for it. A silent server's entry goes
	// after three heartbeats, 3.6 s on the platform.
	listedSpan = 10 * time.Second
	// crashWatchers bounds the servers that are looked at side by side. One that nobody answers for
	// takes a dial's whole time.
	crashWatchers  = 4
	crashWatchRing = 256
	// mostVictims bounds the contents that are remembered of one crash: engines run 64 requests
	// at once at most.
	mostVictims = 64
)

// crashWatch finds out whether servers that end connections have crashed. A reset connection or a
// garbled answer says nothing about the request; a server at which nobody listens any more does.
type crashWatch struct {
	now   func() time.Time
	probe func(ctx context.Context, address string) quarantine.ProbeResult
	// crashed is called with the contents that ran on a server when it crashed.
	crashed func(at time.Time, instance string, victims []quarantine.InterruptedRequest)
	// unconfirmedCrash is called with the contents that ran on a server whose address closes new connections.
	unconfirmedCrash func(at time.Time, instance string, victims []quarantine.InterruptedRequest)
	log              func(text string, fields ...any)
	looks            *ring.Ring[*fleet.Instance]

	mutex  sync.Mutex
	broken map[string]*brokenInstance
}

// brokenInstance is an instance that has ended connections.
type brokenInstance struct {
	// first are the requests that broke first since it last served one: what breaks later may never
	// have reached it, if something else listens at its address.
	first series
	// last are those that broke since it was last found listening.
	last    series
	crashed bool
	// closing is set once its address has closed a new connection.
	closing bool
	// looking says that it is being looked at; looked is closed after the first look, and after
	// what it found was told.
	looking bool
	looked  chan struct{}
	// lookAgain is when further connections that end are a reason to look again, and until when
	// what is known is kept.
	lookAgain time.Time
	until     time.Time
}

// series are requests that broke at about one moment.
type series struct {
	at      time.Time
	victims []quarantine.InterruptedRequest
}

// add takes in a request if it broke with the others.
func (s *series) add(now time.Time, victim quarantine.InterruptedRequest) {
	if now.Sub(s.at) <= crashSpan && len(s.victims) < mostVictims {
		s.victims = append(s.victims, victim)
	}
}

func newCrashWatch() *crashWatch {
	return &crashWatch{looks: ring.New[*fleet.Instance](crashWatchRing), broken: map[string]*brokenInstance{}}
}

// broke notes that an instance ended the connection of a request.
func (w *crashWatch) broke(now time.Time, instance *fleet.Instance, victim quarantine.InterruptedRequest) {
	at, report := w.note(now, instance, victim)
	if report != nil {
		report(at, instance.ID, []quarantine.InterruptedRequest{victim})
	}
}

// note records a broken request. It returns when the instance ended the first connection, and the callback for this
// request if the instance is already known to have crashed or to close new connections; nil otherwise.
func (w *crashWatch) note(now time.Time, instance *fleet.Instance, victim quarantine.InterruptedRequest) (
	at time.Time, report func(at time.Time, instance string, victims []quarantine.InterruptedRequest),
) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire(now)
	known := w.broken[instance.ID]
	if known == nil {
		known = &brokenInstance{first: series{at: now}}
		w.broken[instance.ID] = known
	}
	if !known.crashed && !known.looking && !now.Before(known.lookAgain) {
		w.beginLook(now, instance, known)
	}
	if !known.crashed {
		known.first.add(now, victim)
		known.last.add(now, victim)
	}
	switch {
	case known.crashed && now.Sub(known.last.at) <= crashSpan:
		return known.last.at, w.crashed
	case known.closing && now.Sub(known.first.at) <= crashSpan:
		return known.first.at, w.unconfirmedCrash
	}
	return now, nil
}

// beginLook has somebody look at an instance.
func (w *crashWatch) beginLook(now time.Time, instance *fleet.Instance, known *brokenInstance) {
	known.last = series{at: now}
	known.looked = make(chan struct{})
	known.looking = w.looks.TryPut(instance)
	if !known.looking {
		known.lookAgain, known.until = now.Add(crashSpan), known.first.at.Add(listedSpan)
		close(known.looked)
	}
}

// served notes that an instance has run a request to its end that began at a moment: it has not crashed
// before that.
func (w *crashWatch) served(instance string, began time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.broken[instance]
	switch {
	case known == nil, known.crashed, !began.After(known.first.at):
	case known.looking:
		known.first = series{at: began}
	default:
		delete(w.broken, instance)
	}
}

// expire drops what no longer holds.
func (w *crashWatch) expire(now time.Time) {
	for id, known := range w.broken {
		if !known.looking && now.After(known.until) {
			delete(w.broken, id)
		}
	}
}

// gone takes in which instances are listed: one that ended connections a moment ago and is no longer
// listed has crashed, though its address may still answer.
func (w *crashWatch) gone(now time.Time, listed func(instance string) bool) {
	for id, known := range w.unlisted(now, listed) {
		w.log("Instance has gone.", append([]any{"instance", id}, victimFields(known.first.victims)...)...)
		w.crashed(known.first.at, id, known.first.victims)
	}
}

// unlisted returns what is known of the instances that have gone, once each.
func (w *crashWatch) unlisted(now time.Time, listed func(instance string) bool) map[string]brokenInstance {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire(now)
	var found map[string]brokenInstance
	for id, known := range w.broken {
		if known.crashed || known.looking || listed(id) {
			continue
		}
		if found == nil {
			found = map[string]brokenInstance{}
		}
		found[id] = *known
		known.crashed = true
	}
	return found
}

// settled waits until it was looked at an instance, for a while at most.
func (w *crashWatch) settled(ctx context.Context, instance string, most time.Duration) {
	looked := w.lookAt(instance)
	if looked == nil {
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-looked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lookAt returns what is closed after the first look at an instance; nil if nobody looks.
func (w *crashWatch) lookAt(instance string) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.broken[instance]; known != nil {
		return known.looked
	}
	return nil
}

// run looks at instances until ctx ends.
func (w *crashWatch) run(ctx context.Context) {
	for {
		instance, ok := w.looks.Take(ctx)
		if !ok {
			return
		}
		w.look(ctx, instance)
	}
}

// look finds out whether an instance has crashed.
func (w *crashWatch) look(ctx context.Context, instance *fleet.Instance) {
	known := w.known(instance)
	for number := range crashLooks {
		if number > 0 {
			sleep(ctx, crashLookPause)
		}
		presence := w.probe(ctx, instance.Address)
		crashed := presence == quarantine.ProbeRefused
		if presence == quarantine.ProbeClosing {
			w.foundClosing(instance, known)
		}
		if crashed || number == crashLooks-1 {
			w.found(w.now(), instance, known, crashed)
		}
		if number == 0 {
			close(known.looked)
		}
		if crashed {
			return
		}
	}
}

// known returns what is known of an instance that is being looked at.
func (w *crashWatch) known(instance *fleet.Instance) *brokenInstance {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.broken[instance.ID]
}

// foundClosing records that an instance closes new connections and reports an unconfirmed crash the first time.
// The crash is confirmed when the entry of the instance is removed.
func (w *crashWatch) foundClosing(instance *fleet.Instance, known *brokenInstance) {
	w.mutex.Lock()
	first, reported := known.first, known.closing
	known.closing = true
	w.mutex.Unlock()
	if reported {
		return
	}
	w.log("Instance closes new connections.", append([]any{"instance", instance.ID}, victimFields(first.victims)...)...)
	w.unconfirmedCrash(first.at, instance.ID, first.victims)
}

// found takes in whether an instance has crashed.
func (w *crashWatch) found(now time.Time, instance *fleet.Instance, known *brokenInstance, crashed bool) {
	w.mutex.Lock()
	broke := known.last
	known.looking, known.crashed, known.lookAgain, known.until = false, crashed, now.Add(crashSpan), known.first.at.Add(listedSpan)
	w.mutex.Unlock()
	w.log("Connections ended.", append([]any{"instance", instance.ID, "crashed", crashed}, victimFields(broke.victims)...)...)
	if crashed {
		w.crashed(broke.at, instance.ID, broke.victims)
	}
}

// victimFields are the fields of a line that tell what ran on a server.
func victimFields(victims []quarantine.InterruptedRequest) []any {
	fields := []any{"requests", len(victims), "contents", names(victims)}
	if parts := partNames(victims); parts != "" {
		fields = append(fields, "parts", parts)
	}
	return fields
}

// mostLoggedSuspects bounds the parts that a line names.
const mostLoggedSuspects = 16

// partNames lists the parts of prompts that may have caused a crash, by their IDs and digests.
func partNames(victims []quarantine.InterruptedRequest) string {
	var list []string
	for _, victim := range victims {
		for _, part := range victim.Parts {
			if name := loggedID(part.ID) + "=" + part.Digest.String(); len(list) < mostLoggedSuspects && !slices.Contains(list, name) {
				list = append(list, name)
			}
		}
	}
	return strings.Join(list, ",")
}

// names lists contents for the log.
func names(victims []quarantine.InterruptedRequest) string {
	list := make([]string, 0, len(victims))
	for _, victim := range victims {
		list = append(list, victim.Content.String())
	}
	return strings.Join(list, ",")
}
