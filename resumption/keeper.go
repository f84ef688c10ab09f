package resumption

import (
	"slices"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/rendezvous"
)

const (
	// keepers is how many other daemons are told of a stream, of two zones if there are two.
	keepers = 2
	// asked is how many daemons are asked about a stream: those that were told may not be the first ones any more, as
	// daemons have ended and come back since.
	asked = 8
	// freshSpan is how long the word counts that a daemon hears of new servers.
	freshSpan = 300 * time.Millisecond
)

// Daemon is another daemon.
type Daemon struct {
	Name string
	Zone string
}

// Keeper is what one daemon knows of streams and versions.
type Keeper struct {
	mutex   sync.Mutex
	streams book
	// services are the versions of each service that streams are kept of, span is for how long they count.
	services map[string]versions
	span     time.Duration
	others   rendezvous.Set
	zones    map[string]string
	// freshUntil is until when this daemon counts as one that hears of new servers.
	freshUntil time.Time
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper() *Keeper {
	return &Keeper{streams: book{}, services: map[string]versions{}, zones: map[string]string{}}
}

// SetDaemons takes in the other daemons that live.
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

// SetFresh takes in that this daemon hears of new servers now. It has to be said again and again: a daemon that was frozen
// must not count as one.
func (k *Keeper) SetFresh(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.freshUntil = now.Add(freshSpan)
}

// SetSpan takes in how long after it was last seen a version may have a stream that is taken up.
func (k *Keeper) SetSpan(span time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.span = span
}

// Observe takes in the versions of a service that are there now. It returns what to tell others if there are several for
// the first time.
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
	seen.forget(now.Add(-k.span))
	before := len(seen)
	for _, software := range present {
		seen.note(now, software)
	}
	if before > 1 || len(seen) < 2 {
		return nil
	}
	return k.tell(k.streams.ownOf(now, service))
}

// Began takes in a stream whose first event goes out here. It returns what to tell others.
func (k *Keeper) Began(now time.Time, stream Stream) []Tell {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.streams.keep(now, &stream, true)
	tells := k.observe(now, stream.Service, []string{stream.Software})
	if tells == nil && len(k.services[stream.Service]) > 1 {
		tells = k.tell([]Stream{stream})
	}
	return tells
}

// tell sorts streams by the daemons that are told of them.
func (k *Keeper) tell(streams []Stream) []Tell {
	byDaemon := map[string][]Stream{}
	for _, stream := range streams {
		for _, name := range k.keepersOf(stream.ID) {
			byDaemon[name] = append(byDaemon[name], stream)
		}
	}
	tells := make([]Tell, 0, len(byDaemon))
	for name, told := range byDaemon {
		tells = append(tells, Tell{Daemon: name, Streams: told})
	}
	return tells
}

// keepersOf returns the daemons that are told of a stream.
func (k *Keeper) keepersOf(id string) []string {
	ranked := k.others.Top(id, k.others.Len())
	if len(ranked) <= keepers {
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

// Take takes in streams that another daemon has told.
func (k *Keeper) Take(now time.Time, streams []Stream) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for i := range streams {
		k.streams.keep(now, &streams[i], false)
	}
}

// Find returns what began a stream, if this daemon knows.
func (k *Keeper) Find(now time.Time, id string) (began Began, known bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.streams.find(now, id)
}

// Asked returns the daemons to ask about a stream; none if its ID can be nobody's.
func (k *Keeper) Asked(id string) []string {
	if id == "" || len(id) > longestID {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	names := k.others.Top(id, asked)
	for _, name := range k.keepersOf(id) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Answer answers another daemon.
func (k *Keeper) Answer(now time.Time, question *Question) *Answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	began, known := k.streams.find(now, question.Stream)
	return &Answer{
		ID: question.ID, Known: known, Began: began, Versions: k.services[question.Service].list(), Fresh: now.Before(k.freshUntil),
	}
}

// Decide returns the version at which a stream goes on that no daemon knows, by the answers of those that were asked; false
// if it cannot be known. That holds unless the service has had one version only, as far as anybody knows, for as long as
// a client may wait. A client that does not name the stream has to rely on what this daemon knows.
func (k *Keeper) Decide(now time.Time, service string, named bool, answers []*Answer) (software string, known bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	seen := k.services[service]
	seen.forget(now.Add(-k.span))
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

// Forget drops what no longer counts.
func (k *Keeper) Forget(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.streams.forget(now)
	for _, seen := range k.services {
		seen.forget(now.Add(-k.span))
	}
}

// Counts are what a keeper holds.
type Counts struct {
	// Streams is the number of streams that are kept, Mixed that of the services with several versions.
	Streams int
	Mixed   int
}

// Counts returns them.
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
