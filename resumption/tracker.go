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
	// maxQueried is how many top-ranked daemons are queried about a stream. It exceeds holdersPerStream because the holders
	// may have lost their rank: daemons may have stopped and restarted since.
	maxQueried = 8
	// freshWindow is how long after a confirmation a daemon counts as receiving updates about new instances.
	freshWindow = 300 * time.Millisecond
)

// Daemon identifies another daemon and its zone.
type Daemon struct {
	Name string
	Zone string
}

// Keeper tracks, for one daemon, which versions began streams and which versions each service has.
type Keeper struct {
	mutex   sync.Mutex
	streams streamIndex
	// services holds the versions of each service. A version counts for versionWindow after it was last seen.
	services      map[string]versions
	versionWindow time.Duration
	others        rendezvous.Set
	zones         map[string]string
	// freshUntil is the time until which this daemon counts as receiving updates about new instances.
	freshUntil time.Time
}

// NewKeeper returns an empty Keeper.
func NewKeeper() *Keeper {
	return &Keeper{streams: streamIndex{}, services: map[string]versions{}, zones: map[string]string{}}
}

// SetDaemons replaces the set of other live daemons.
func (k *Keeper) SetDaemons(others []Daemon) {
	names, zones := make([]string, 0, len(others)), make(map[string]string, len(others))
	for _, other := range others {
		names = append(names, other.Name)
		zones[other.Name] = other.Zone
	}
	set := rendezvous.NewSet(names)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.others, k.zones = set, zones
}

// SetFresh records that this daemon currently receives updates about new instances. It must be called repeatedly, so that
// a daemon whose process was frozen does not count as up to date.
func (k *Keeper) SetFresh(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.freshUntil = now.Add(freshWindow)
}

// SetSpan sets how long after a version was last seen its streams may still be resumed.
func (k *Keeper) SetSpan(versionWindow time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.versionWindow = versionWindow
}

// Observe records the versions of a service that are present now. When the service first has several versions, it returns
// the updates to send to other daemons.
func (k *Keeper) Observe(now time.Time, service string, present []string) []Tell {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.observe(now, service, present)
}

func (k *Keeper) observe(now time.Time, service string, present []string) []Tell {
	seen := k.services[service]
	if seen == nil {
		seen = versions{}
		k.services[service] = seen
	}
	seen.prune(now.Add(-k.versionWindow))
	before := len(seen)
	for _, software := range present {
		seen.markSeen(now, software)
	}
	if before > 1 || len(seen) < 2 {
		return nil
	}
	return k.groupByDaemon(k.streams.ownStreams(now, service))
}

// Began records a stream that this daemon begins or resumes. It returns the updates to send to other daemons.
func (k *Keeper) Began(now time.Time, stream Stream) []Tell {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.streams.merge(now, &stream, true)
	updates := k.observe(now, stream.Service, []string{stream.Software})
	if updates == nil && len(k.services[stream.Service]) > 1 {
		updates = k.groupByDaemon([]Stream{stream})
	}
	return updates
}

// groupByDaemon groups streams by the daemons that are to record them.
func (k *Keeper) groupByDaemon(streams []Stream) []Tell {
	byDaemon := map[string][]Stream{}
	for _, stream := range streams {
		for _, name := range k.holdersOf(stream.ID) {
			byDaemon[name] = append(byDaemon[name], stream)
		}
	}
	updates := make([]Tell, 0, len(byDaemon))
	for name, assigned := range byDaemon {
		updates = append(updates, Tell{Daemon: name, Streams: assigned})
	}
	return updates
}

// holdersOf returns the daemons that are to record a stream.
func (k *Keeper) holdersOf(id string) []string {
	ranked := k.others.Top(id, k.others.Len())
	if len(ranked) <= holdersPerStream {
		return ranked
	}
	second := ranked[1]
	for _, name := range ranked[1:] {
		if k.zones[name] != k.zones[ranked[0]] {
			second = name
			break
		}
	}
	return []string{ranked[0], second}
}

// Take merges streams reported by another daemon.
func (k *Keeper) Take(now time.Time, streams []Stream) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for i := range streams {
		k.streams.merge(now, &streams[i], false)
	}
}

// Find returns what began a stream, if this daemon has a record of it.
func (k *Keeper) Find(now time.Time, id string) (began Began, known bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.streams.find(now, id)
}

// Asked returns the daemons to query about a stream, or none if no daemon records streams with such an ID.
func (k *Keeper) Asked(id string) []string {
	if id == "" || len(id) > maxIDBytes {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	names := k.others.Top(id, maxQueried)
	for _, name := range k.holdersOf(id) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Answer returns the response to another daemon's question.
func (k *Keeper) Answer(now time.Time, question *Question) *Answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	began, known := k.streams.find(now, question.Stream)
	return &Answer{
		ID: question.ID, Known: known, Began: began, Versions: k.services[question.Service].list(), Fresh: now.Before(k.freshUntil),
	}
}

// Decide returns the version at which to resume a stream that no daemon has a record of, given the answers of the queried
// daemons. It returns false if the version cannot be determined. It can be determined only if this daemon and the answers
// show a single version of the service for as long as a client may wait. It also requires that one of these daemons
// currently receives updates about new instances. If the client does not name the stream (named is false), this
// requirement does not apply: the decision then rests on the versions that this daemon has seen.
func (k *Keeper) Decide(now time.Time, service string, named bool, answers []*Answer) (software string, known bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	seen := k.services[service]
	seen.prune(now.Add(-k.versionWindow))
	if len(seen) != 1 {
		return "", false
	}
	software = seen.list()[0]
	fresh := now.Before(k.freshUntil) || !named
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

// Forget removes expired streams and versions.
func (k *Keeper) Forget(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.streams.prune(now)
	for _, seen := range k.services {
		seen.prune(now.Add(-k.versionWindow))
	}
}

// Counts are the sizes of a Keeper's state.
type Counts struct {
	// Streams is the number of recorded streams, Mixed the number of services with several versions.
	Streams int
	Mixed   int
}

// Counts returns the current sizes of the state.
func (k *Keeper) Counts() Counts {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	counts := Counts{Streams: len(k.streams)}
	for _, seen := range k.services {
		if len(seen) > 1 {
			counts.Mixed++
		}
	}
	return counts
}
