package resumption

import (
	"maps"
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
	// recorded holds the streams read from the durable record, and unrecorded the own streams that it lacks.
	recorded   digestIndex
	unrecorded []Stream
	// services holds the versions of each service. A version counts for versionWindow after it was last seen.
	services      map[string]versions
	versionWindow time.Duration
	// shorterWindow replaces versionWindow at shortenAt, if that is not zero.
	shorterWindow time.Duration
	shortenAt     time.Time
	// shared holds when a service was last seen beside another one on the same route.
	shared map[string]time.Time
	// distributed holds the services whose streams are sent to other daemons: not all have the same origin, or the store cannot
	// show that they have. recorded services are those whose streams go into the durable record, as they have several origins.
	distributed      map[string]bool
	recordedServices map[string]bool
	others           rendezvous.Set
	zones            map[string]string
	// freshUntil is the time until which this daemon counts as receiving updates about new instances. It has done so
	// without interruption since observedSince.
	freshUntil    time.Time
	observedSince time.Time
	// storeAwayUntil is the time until which the store counts as not answering this daemon.
	storeAwayUntil time.Time
	// recordReadAt is when the durable record was last read while it was complete; zero if it was not.
	recordReadAt time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		streams: streamIndex{}, recorded: digestIndex{}, services: map[string]versions{}, shared: map[string]time.Time{},
		distributed: map[string]bool{}, recordedServices: map[string]bool{}, zones: map[string]string{},
	}
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

// SetVersionWindow sets how long after a version was last seen its streams may still be resumed. A shorter window takes
// effect once the streams that began within the longer one have expired.
func (t *Tracker) SetVersionWindow(now time.Time, versionWindow time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case versionWindow >= t.versionWindow:
		t.versionWindow, t.shortenAt = versionWindow, time.Time{}
	case t.shortenAt.IsZero() || versionWindow > t.shorterWindow:
		t.shorterWindow, t.shortenAt = versionWindow, now.Add(t.versionWindow)
	case !now.Before(t.shortenAt):
		t.versionWindow, t.shortenAt = t.shorterWindow, time.Time{}
	}
}

// Observe records the versions of a service that are present now, and whether it shares a route with another service. When
// its streams first have different origins, it returns the updates to send to other daemons.
func (t *Tracker) Observe(now time.Time, service string, present []string, sharesRoute bool) []Update {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sharesRoute {
		t.shared[service] = now
	}
	return t.observe(now, service, present)
}

// isMixed reports whether streams of routes to a service may have different origins.
func (t *Tracker) isMixed(now time.Time, service string) bool {
	sharedAt, shared := t.shared[service]
	return len(t.services[service]) > 1 || shared && now.Sub(sharedAt) < t.versionWindow
}

func (t *Tracker) observe(now time.Time, service string, present []string) []Update {
	t.markSeen(now, service, present)
	mixed := t.isMixed(now, service)
	records := mixed && !t.recordedServices[service]
	distributes := t.isDistributed(now, service) && !t.distributed[service]
	t.recordedServices[service], t.distributed[service] = mixed, t.isDistributed(now, service)
	if !records && !distributes {
		return nil
	}
	streams := t.streams.ownStreams(now, service)
	if records {
		t.unrecorded = append(t.unrecorded, streams...)
	}
	if !distributes {
		return nil
	}
	return t.groupByDaemon(streams)
}

// isDistributed reports whether other daemons record the streams of a service. While the store is away nothing confirms that the
// service has one version only, so that a stream is resumed only where its origin is known.
func (t *Tracker) isDistributed(now time.Time, service string) bool {
	return t.isMixed(now, service) || now.Before(t.storeAwayUntil)
}

// MarkStoreAway records that the store does not answer this daemon, or that this daemon hears of instances neither from the store
// nor from others. Like MarkSynced it must be called repeatedly.
func (t *Tracker) MarkStoreAway(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.storeAwayUntil = now.Add(freshWindow)
}

func (t *Tracker) markSeen(now time.Time, service string, present []string) {
	seen := t.services[service]
	if seen == nil {
		seen = versions{}
		t.services[service] = seen
	}
	seen.prune(now.Add(-t.versionWindow))
	for _, software := range present {
		seen.markSeen(now, software)
	}
}

// RecordStream records a stream that this daemon begins or resumes. It returns the updates to send to other daemons.
func (t *Tracker) RecordStream(now time.Time, stream Stream) []Update {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.streams.merge(now, &stream, true)
	recorded, distributed := t.recordedServices[stream.Service], t.distributed[stream.Service]
	updates := t.observe(now, stream.Service, []string{stream.Software})
	if recorded && t.isMixed(now, stream.Service) {
		t.unrecorded = append(t.unrecorded, stream)
	}
	if distributed && t.isDistributed(now, stream.Service) {
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
		t.markSeen(now, streams[i].Service, []string{streams[i].Software})
	}
}

// Find returns what began a stream, if this daemon has a record of it.
func (t *Tracker) Find(now time.Time, id string) (began Began, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.find(now, id)
}

func (t *Tracker) find(now time.Time, id string) (began Began, known bool) {
	if t.streams[id] != nil {
		return t.streams.find(now, id)
	}
	return t.recorded.find(now, id)
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
	began, known := t.find(now, question.Stream)
	return &Answer{
		ID: question.ID, Known: known, Began: began, Versions: t.services[question.Service].list(),
		Fresh: now.Before(t.freshUntil), Complete: t.historyComplete(now),
	}
}

// historyComplete reports whether this daemon knows every version that has been present within the version window. It does
// if it has observed the instances for that long, or since it read a complete durable record.
func (t *Tracker) historyComplete(now time.Time) bool {
	return t.observedWindow(now) || t.versionWindow > 0 && now.Before(t.freshUntil) && !t.recordReadAt.Before(t.observedSince)
}

// HistoryComplete reports whether this daemon knows every version that has been present within the version window.
func (t *Tracker) HistoryComplete(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.historyComplete(now)
}

// NeedsRecord reports whether the durable record may show the origin of a stream of a service that no daemon has a record of.
func (t *Tracker) NeedsRecord(now time.Time, service string, answers []*Answer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isMixed(now, service) || !completeAt(t.historyComplete(now), answers) {
		return true
	}
	for _, answer := range answers {
		if len(answer.Versions) > 1 {
			return true
		}
	}
	return false
}

// completeAt reports whether this daemon, or one that answered, knows the complete history and is up to date.
func completeAt(self bool, answers []*Answer) bool {
	return self || slices.ContainsFunc(answers, func(answer *Answer) bool { return answer.Fresh && answer.Complete })
}

// Decide returns the version at which to resume a stream that no daemon has a record of, given the answers of the
// queried daemons. It returns false if the version cannot be determined. It can be determined only if this daemon and
// the answers show a single version of the service, if its routes lead to no other service, and if one of these daemons
// knows every version that has been present for as long as a client may wait and currently receives updates about new
// instances. That nobody has told of another version shows nothing at a daemon that is cut off, alone or together with others: so
// the store has to have confirmed, since the request arrived, that there was none.
func (t *Tracker) Decide(now time.Time, service string, answers []*Answer, confirmed bool) (software string, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	software, only := t.onlyVersion(now, service, answers)
	return software, only && confirmed && completeAt(t.historyComplete(now), answers)
}

// HasOnlyVersion reports whether this daemon and the answers show a single version of a service whose routes lead to no other one.
func (t *Tracker) HasOnlyVersion(now time.Time, service string, answers []*Answer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, only := t.onlyVersion(now, service, answers)
	return only
}

func (t *Tracker) onlyVersion(now time.Time, service string, answers []*Answer) (software string, only bool) {
	seen := t.services[service]
	seen.prune(now.Add(-t.versionWindow))
	if len(seen) != 1 || t.isMixed(now, service) {
		return "", false
	}
	software = seen.list()[0]
	for _, answer := range answers {
		for _, other := range answer.Versions {
			if other != software {
				return "", false
			}
		}
	}
	return software, true
}

// MergeRecord adds the shards of the durable record, which were read from readAt on. Missing shards are complete if no daemon
// of the deployment has run before (firstStart).
func (t *Tracker) MergeRecord(now, readAt time.Time, shards []Shard, firstStart bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	complete := firstStart && len(shards) == 0
	for i := range shards {
		complete = complete || shards[i].Complete
		t.recorded.addGroups(now, shards[i].Streams)
		t.adoptHistory(now, &shards[i])
	}
	if complete {
		t.recordReadAt = readAt
	}
}

// StoreRestored records that the store has come back from an earlier copy, which may lack the latest changes of the durable
// record.
func (t *Tracker) StoreRestored() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.recordReadAt = time.Time{}
}

// NoteVersion records a version that the store, or another daemon, has shown.
func (t *Tracker) NoteVersion(now time.Time, service, software string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.markSeen(now, service, []string{software})
}

// Prune removes expired streams and versions.
func (t *Tracker) Prune(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.streams.prune(now)
	t.recorded.prune(now)
	maps.DeleteFunc(t.shared, func(_ string, sharedAt time.Time) bool { return now.Sub(sharedAt) >= t.versionWindow })
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
