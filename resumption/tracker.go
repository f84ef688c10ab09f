package resumption

import (
	"slices"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/rendezvous"
)

const (
	// holdersPerStream is how many other daemons record a stream, in two different zones if possible.
	holdersPerStream = 2
	// maxQueried is how many top-ranked daemons are queried about a stream. It exceeds holdersPerStream because the
	// holders may have lost their rank: daemons may have stopped and restarted since.
	maxQueried = 8
	// freshWindow is how long after a confirmation a daemon counts as receiving updates about new instances.
	freshWindow = 300 * time.Millisecond
)

// Daemon identifies another daemon and its zone.
type Daemon struct {
	Name string
	Zone string
}

// Tracker tracks, for one daemon, which versions began streams and which versions each service has.
type Tracker struct {
	mutex   sync.Mutex
	streams streamIndex
	// services holds the versions of each service. A version counts for versionWindow after it was last seen.
	services      map[string]versions
	versionWindow time.Duration
	others        rendezvous.Set
	zones         map[string]string
	// freshUntil is the time until which this daemon counts as receiving updates about new instances. It has done so
	// without interruption since observedSince.
	freshUntil    time.Time
	observedSince time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{streams: streamIndex{}, services: map[string]versions{}, zones: map[string]string{}}
}

// SetDaemons replaces the set of other live daemons.
func (t *Tracker) SetDaemons(others []Daemon) {
	names, zones := make([]string, 0, len(others)), make(map[string]string, len(others))
	for _, other := range others {
		names = append(names, other.Name)
		zones[other.Name] = other.Zone
	}
	set := rendezvous.NewSet(names)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.others, t.zones = set, zones
}

// MarkSynced records that this daemon currently receives updates about new instances. It must be called repeatedly, so
// that a daemon whose process was frozen does not count as up to date.
func (t *Tracker) MarkSynced(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !now.Before(t.freshUntil) {
		t.observedSince = now
	}
	t.freshUntil = now.Add(freshWindow)
}

// ObservedFor returns for how long this daemon has received updates about new instances without interruption.
func (t *Tracker) ObservedFor(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.observedFor(now)
}

func (t *Tracker) observedFor(now time.Time) time.Duration {
	if !now.Before(t.freshUntil) {
		return 0
	}
	return now.Sub(t.observedSince)
}

// SetVersionWindow sets how long after a version was last seen its streams may still be resumed.
func (t *Tracker) SetVersionWindow(versionWindow time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.versionWindow = versionWindow
}

// Observe records the versions of a service that are present now. When the service first has several versions, it
// returns the updates to send to other daemons.
func (t *Tracker) Observe(now time.Time, service string, present []string) []Update {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.observe(now, service, present)
}

func (t *Tracker) observe(now time.Time, service string, present []string) []Update {
	seen := t.services[service]
	if seen == nil {
		seen = versions{}
		t.services[service] = seen
	}
	seen.prune(now.Add(-t.versionWindow))
	before := len(seen)
	for _, software := range present {
		seen.markSeen(now, software)
	}
	if before > 1 || len(seen) < 2 {
		return nil
	}
	return t.groupByDaemon(t.streams.ownStreams(now, service))
}

// RecordStream records a stream that this daemon begins or resumes. It returns the updates to send to other daemons.
func (t *Tracker) RecordStream(now time.Time, stream Stream) []Update {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.streams.merge(now, &stream, true)
	updates := t.observe(now, stream.Service, []string{stream.Software})
	if updates == nil && len(t.services[stream.Service]) > 1 {
		updates = t.groupByDaemon([]Stream{stream})
	}
	return updates
}

// groupByDaemon groups streams by the daemons that are to record them.
func (t *Tracker) groupByDaemon(streams []Stream) []Update {
	byDaemon := map[string][]Stream{}
	for _, stream := range streams {
		for _, name := range t.holdersOf(stream.ID) {
			byDaemon[name] = append(byDaemon[name], stream)
		}
	}
	updates := make([]Update, 0, len(byDaemon))
	for name, assigned := range byDaemon {
		updates = append(updates, Update{Daemon: name, Streams: assigned})
	}
	return updates
}

// holdersOf returns the daemons that are to record a stream.
func (t *Tracker) holdersOf(id string) []string {
	ranked := t.others.Top(id, t.others.Len())
	if len(ranked) <= holdersPerStream {
		return ranked
	}
	second := ranked[1]
	for _, name := range ranked[1:] {
		if t.zones[name] != t.zones[ranked[0]] {
			second = name
			break
		}
	}
	return []string{ranked[0], second}
}

// Merge adds streams reported by another daemon.
func (t *Tracker) Merge(now time.Time, streams []Stream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range streams {
		t.streams.merge(now, &streams[i], false)
	}
}

// Find returns what began a stream, if this daemon has a record of it.
func (t *Tracker) Find(now time.Time, id string) (began Began, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.streams.find(now, id)
}

// QueryTargets returns the daemons to query about a stream, or none if no daemon records streams with such an ID.
func (t *Tracker) QueryTargets(id string) []string {
	if id == "" || len(id) > maxIDBytes {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	names := t.others.Top(id, maxQueried)
	for _, name := range t.holdersOf(id) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Answer returns the response to another daemon's question.
func (t *Tracker) Answer(now time.Time, question *Question) *Answer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	began, known := t.streams.find(now, question.Stream)
	return &Answer{
		ID: question.ID, Known: known, Began: began, Versions: t.services[question.Service].list(), Fresh: now.Before(t.freshUntil),
	}
}

// Decide returns the version at which to resume a stream that no daemon has a record of, given the answers of the
// queried daemons. It returns false if the version cannot be determined. It can be determined only if this daemon and
// the answers show a single version of the service for as long as a client may wait. It also requires that one of these
// daemons currently receives updates about new instances. If the client does not name the stream (named is false), this
// requirement does not apply: the decision then rests on the versions that this daemon has seen.
func (t *Tracker) Decide(now time.Time, service string, named bool, answers []*Answer) (software string, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := t.services[service]
	seen.prune(now.Add(-t.versionWindow))
	if len(seen) != 1 {
		return "", false
	}
	software = seen.list()[0]
	fresh := now.Before(t.freshUntil) || !named
	for _, answer := range answers {
		fresh = fresh || answer.Fresh
		for _, other := range answer.Versions {
			if other != software {
				return "", false
			}
		}
	}
	return software, fresh
}

// Prune removes expired streams and versions.
func (t *Tracker) Prune(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.streams.prune(now)
	for _, seen := range t.services {
		seen.prune(now.Add(-t.versionWindow))
	}
}

// Counts are the sizes of a Tracker's state.
type Counts struct {
	// Streams is the number of recorded streams, MixedServices the number of services with several versions.
	Streams       int
	MixedServices int
}

// Counts returns the current sizes of the state.
func (t *Tracker) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := Counts{Streams: len(t.streams)}
	for _, seen := range t.services {
		if len(seen) > 1 {
			counts.MixedServices++
		}
	}
	return counts
}
