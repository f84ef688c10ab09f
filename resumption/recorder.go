package resumption

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/rendezvous"
)

const (
	// recordInterval is the minimum time between two writes of a shard, and recordIntervalPerStream what each of its streams
	// adds to it. Streams of the last moment before a kill of all daemons are lost.
	recordInterval          = 100 * time.Millisecond
	recordIntervalPerStream = 20 * time.Microsecond
	// recordRetryDelay is the delay before a read or a write of a shard is tried again.
	recordRetryDelay = time.Second
	// ownershipDelay is how long a daemon that has just started leaves all shards to the others, which it does not know yet.
	ownershipDelay = time.Second
)

// Recorder keeps the durable record of streams up to date. Each shard has one owner among the daemons, which the others send
// their streams to. Two daemons that both count as the owner for a while write in turns: a write that finds another
// revision is preceded by a read. A Recorder does no I/O and reads no clock. It is safe for concurrent use.
type Recorder struct {
	tracker *Tracker
	// firstStart is set if no daemon of the deployment has run before. A missing shard then means that there was no stream.
	firstStart bool
	startedAt  time.Time

	mutex sync.Mutex
	self  string
	// owners are the owners of the shards, as far as this daemon knows the others, and standIns those who would be next.
	owners   [ShardCount]string
	standIns [ShardCount]string
	shards   [ShardCount]ownedShard
}

// ownedShard is a shard as known to this daemon.
type ownedShard struct {
	// sentTo is the owner that this daemon's streams were sent to.
	sentTo string
	// loaded is set while place and content are those of the store, plus what has been added since.
	loaded   bool
	place    history.Place
	complete bool
	versions map[string][]string
	shared   []string
	streams  digestIndex
	// changed is set if there is something to write.
	changed bool
	// busy is set while a call is in progress, and writing if it is a write.
	busy, writing bool
	dueFrom       time.Time
	// failing is set while the store does not take the calls of this daemon. Streams that arrive meanwhile are also forwarded to
	// the stand-in.
	failing bool
	forward []Stream
}

// NewRecorder returns a Recorder for the streams and versions of a tracker.
func NewRecorder(now time.Time, self string, tracker *Tracker, firstStart bool) *Recorder {
	r := &Recorder{tracker: tracker, firstStart: firstStart, startedAt: now, self: self}
	for number := range r.shards {
		r.owners[number], r.standIns[number] = self, self
		r.shards[number].streams = digestIndex{}
	}
	return r
}

// SetDaemons replaces the set of other live daemons.
func (r *Recorder) SetDaemons(others []Daemon) {
	names := []string{r.self}
	for _, other := range others {
		names = append(names, other.Name)
	}
	set := rendezvous.NewSet(names)
	var owners, standIns [ShardCount]string
	for number := range owners {
		ranked := set.Top("stream record "+strconv.Itoa(number), 2)
		owners[number] = ranked[0]
		standIns[number] = ranked[len(ranked)-1]
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners, r.standIns = owners, standIns
}

// Outgoing returns the streams that the owners of their shards are to record. Streams of this daemon's own shards are
// recorded right away. A new owner of a shard is sent all of this daemon's streams.
func (r *Recorder) Outgoing(now time.Time) []Update {
	streams := r.tracker.takeUnrecorded()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []Stream
	byOwner := map[string][]Stream{}
	for number := range r.shards {
		shard, owner := &r.shards[number], r.owners[number]
		sent := streams
		if shard.sentTo != "" && shard.sentTo != owner {
			if all == nil {
				all = r.tracker.ownStreamsOfMixedServices(now)
			}
			sent = all
		}
		if shard.sentTo == r.self && owner != r.self {
			shard.release()
		}
		shard.sentTo = owner
		for _, stream := range sent {
			if digestOf(stream.ID).shard() == number {
				byOwner[owner] = append(byOwner[owner], stream)
			}
		}
	}
	r.accept(now, byOwner[r.self])
	delete(byOwner, r.self)
	for number := range r.shards {
		if shard := &r.shards[number]; len(shard.forward) > 0 && r.standIns[number] != r.self {
			byOwner[r.standIns[number]] = append(byOwner[r.standIns[number]], shard.forward...)
		}
		r.shards[number].forward = nil
	}
	updates := make([]Update, 0, len(byOwner))
	for owner, assigned := range byOwner {
		updates = append(updates, Update{Daemon: owner, Streams: assigned})
	}
	return updates
}

// release drops the content of a shard that has a new owner. The daemons that began the streams send them to that one.
func (s *ownedShard) release() {
	s.loaded, s.changed = false, false
	s.versions, s.shared, s.streams = nil, nil, digestIndex{}
}

// Accept adds streams that another daemon sends to this one as the owner of their shards.
func (r *Recorder) Accept(now time.Time, streams []Stream) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accept(now, streams)
}

func (r *Recorder) accept(now time.Time, streams []Stream) {
	for _, stream := range streams {
		if stream.ID == "" || len(stream.ID) > maxIDBytes || stream.Left <= 0 {
			continue
		}
		digest := digestOf(stream.ID)
		shard := &r.shards[digest.shard()]
		shard.streams.add(digest, Began{Service: stream.Service, Software: stream.Software}, now.Add(stream.Left+expiryStep))
		r.tracker.NoteVersion(now, stream.Service, stream.Software)
		shard.changed = true
		if shard.failing && r.owners[digest.shard()] == r.self {
			shard.forward = append(shard.forward, stream)
		}
	}
}

// Step is a call to the store that is due for a shard: a read if Write is nil, else a write.
type Step struct {
	Write *Shard
	// Place is the expected place of the stored shard, without a revision if it does not exist.
	Place history.Place
}

// NextStep returns the call that is due for a shard, if any. It is followed by Loaded, Written or Failed.
func (r *Recorder) NextStep(now time.Time, number int) (step Step, due bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	owned := r.owners[number] == r.self
	if shard.busy || now.Before(r.dueFrom(shard)) || !owned && !shard.changed {
		return Step{}, false
	}
	if !shard.loaded {
		shard.busy = true
		return Step{}, true
	}
	known := r.tracker.history(now)
	shard.update(known)
	if !shard.changed {
		return Step{}, false
	}
	shard.busy, shard.writing, shard.changed = true, true, false
	content := &Shard{
		Complete: shard.complete, Window: known.window, Versions: shard.versions, SharedRoutes: shard.shared,
		Streams: shard.streams.groups(now),
	}
	return Step{Write: content, Place: shard.place}, true
}

// dueFrom is when the next call for a shard may be made.
func (r *Recorder) dueFrom(shard *ownedShard) time.Time {
	if owning := r.startedAt.Add(ownershipDelay); owning.After(shard.dueFrom) {
		return owning
	}
	return shard.dueFrom
}

func (s *ownedShard) interval() time.Duration {
	return recordInterval + recordIntervalPerStream*time.Duration(len(s.streams))
}

// HasChanges reports whether a shard has changes that are to be written.
func (r *Recorder) HasChanges(number int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.shards[number].changed
}

// Wait returns how long it takes until a call may be due for a shard, if nothing is added to it, but idle at most.
func (r *Recorder) Wait(now time.Time, number int, idle time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	if shard.busy || !shard.changed {
		return idle
	}
	return max(0, min(idle, r.dueFrom(shard).Sub(now)))
}

// update adopts the history known to this daemon. Recorded versions are dropped only by a daemon that has observed all
// instances for the whole version window.
func (s *ownedShard) update(known knownHistory) {
	versions, shared := known.versions, known.sharedRoutes
	if !known.observedWindow {
		versions = maps.Clone(versions)
		for service, recorded := range s.versions {
			versions[service] = union(versions[service], recorded)
		}
		shared = union(shared, s.shared)
	}
	same := maps.EqualFunc(versions, s.versions, slices.Equal[[]string]) && slices.Equal(shared, s.shared)
	if !same || known.observedWindow && !s.complete {
		s.changed = true
	}
	s.versions, s.shared, s.complete = versions, shared, s.complete || known.observedWindow
}

// union merges sorted lists.
func union(a, b []string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// Loaded processes the answer to a read: the stored shard and its place, or nil if there is none or if it cannot be read.
func (r *Recorder) Loaded(now time.Time, number int, stored *Shard, place history.Place) {
	if stored != nil {
		r.tracker.mergeHistory(now, stored)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.busy, shard.failing, shard.loaded, shard.place = false, false, true, place
	if stored == nil {
		shard.versions, shard.shared = nil, nil
		shard.complete = r.firstStart && place.Revision == 0
		shard.changed = true
		return
	}
	shard.versions, shard.shared, shard.complete = stored.Versions, stored.SharedRoutes, stored.Complete
	shard.streams.addGroups(now, stored.Streams)
}

// Written processes the success of a write.
func (r *Recorder) Written(now time.Time, number int, place history.Place) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.busy, shard.writing, shard.failing = false, false, false
	shard.place, shard.dueFrom = place, now.Add(shard.interval())
}

// Failed processes the failure of a call. After a conflict, or a write that may have been executed, the shard is read again.
func (r *Recorder) Failed(now time.Time, number int, conflict bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.changed = shard.changed || shard.writing
	shard.busy, shard.writing, shard.loaded = false, false, false
	if !conflict {
		shard.failing = true
		shard.dueFrom = now.Add(recordRetryDelay)
	}
}

// StoreRestored makes the shards be read and written again after the store has come back from an earlier copy.
func (r *Recorder) StoreRestored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for number := range r.shards {
		if r.shards[number].loaded {
			r.shards[number].loaded, r.shards[number].changed = false, true
		}
	}
}

// Prune removes expired streams.
func (r *Recorder) Prune(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for number := range r.shards {
		r.shards[number].streams.prune(now)
	}
}
