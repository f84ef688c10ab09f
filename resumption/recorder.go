package resumption

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

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
	// owners are the owners of the shards, as far as this daemon knows the others.
	owners [ShardCount]string
	shards [ShardCount]ownedShard
}

// ownedShard is a shard as known to this daemon.
type ownedShard struct {
	// sentTo is the owner that this daemon's streams were sent to.
	sentTo string
	// loaded is set while revision and content are those of the store, plus what has been added since.
	loaded   bool
	revision uint64
	complete bool
	versions map[string][]string
	streams  digestIndex
	// changed is set if there is something to write.
	changed bool
	// busy is set while a call is in progress, and writing if it is a write.
	busy, writing bool
	dueFrom       time.Time
}

// NewRecorder returns a Recorder for the streams and versions of a tracker.
func NewRecorder(now time.Time, self string, tracker *Tracker, firstStart bool) *Recorder {
	r := &Recorder{tracker: tracker, firstStart: firstStart, startedAt: now, self: self}
	for number := range r.shards {
		r.owners[number] = self
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
	var owners [ShardCount]string
	for number := range owners {
		owners[number] = set.Owner("stream record " + strconv.Itoa(number))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners = owners
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
	updates := make([]Update, 0, len(byOwner))
	for owner, assigned := range byOwner {
		updates = append(updates, Update{Daemon: owner, Streams: assigned})
	}
	return updates
}

// release drops the content of a shard that has a new owner. The daemons that began the streams send them to that one.
func (s *ownedShard) release() {
	s.loaded, s.changed = false, false
	s.versions, s.streams = nil, digestIndex{}
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
		shard.streams.add(digest, Began{Service: stream.Service, Software: stream.Software}, now.Add(stream.Left))
		shard.changed = true
	}
}

// Step is a call to the store that is due for a shard: a read if Write is nil, else a write.
type Step struct {
	Write *Shard
	// Revision is the expected revision of the stored shard; zero if it does not exist.
	Revision uint64
}

// NextStep returns the call that is due for a shard, if any. It is followed by Loaded, Written or Failed.
func (r *Recorder) NextStep(now time.Time, number int) (step Step, due bool) {
	versions, observedWindow := r.tracker.history(now)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	owned := r.owners[number] == r.self
	if shard.busy || now.Before(shard.dueFrom) || now.Sub(r.startedAt) < ownershipDelay || !owned && !shard.changed {
		return Step{}, false
	}
	if !shard.loaded {
		shard.busy = true
		return Step{}, true
	}
	shard.update(versions, observedWindow)
	if !shard.changed {
		return Step{}, false
	}
	shard.busy, shard.writing, shard.changed = true, true, false
	content := &Shard{Complete: shard.complete, Versions: shard.versions, Streams: shard.streams.groups(now)}
	return Step{Write: content, Revision: shard.revision}, true
}

func (s *ownedShard) interval() time.Duration {
	return recordInterval + recordIntervalPerStream*time.Duration(len(s.streams))
}

// Wait returns how long it takes until a call may be due for a shard, if nothing is added to it, but idle at most.
func (r *Recorder) Wait(now time.Time, number int, idle time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	if shard.busy || !shard.changed {
		return idle
	}
	return max(0, min(idle, shard.dueFrom.Sub(now)))
}

// update adopts the versions known to this daemon. Recorded versions are dropped only by a daemon that has observed all
// instances for the whole version window.
func (s *ownedShard) update(versions map[string][]string, observedWindow bool) {
	merged := map[string][]string{}
	for service, present := range versions {
		merged[service] = present
	}
	if !observedWindow {
		for service, recorded := range s.versions {
			merged[service] = union(merged[service], recorded)
		}
	}
	if !maps.EqualFunc(merged, s.versions, slices.Equal[[]string]) || observedWindow && !s.complete {
		s.changed = true
	}
	s.versions, s.complete = merged, s.complete || observedWindow
}

// union merges sorted lists.
func union(a, b []string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// Loaded processes the answer to a read: the stored shard, or nil if there is none or if it cannot be read.
func (r *Recorder) Loaded(now time.Time, number int, stored *Shard, revision uint64) {
	if stored != nil {
		r.tracker.mergeVersions(now, stored.Versions)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.busy, shard.loaded, shard.revision = false, true, revision
	if stored == nil {
		shard.versions = nil
		shard.complete = r.firstStart && revision == 0
		shard.changed = true
		return
	}
	shard.versions, shard.complete = stored.Versions, stored.Complete
	shard.streams.addGroups(now, stored.Streams)
}

// Written processes the success of a write.
func (r *Recorder) Written(now time.Time, number int, revision uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.busy, shard.writing, shard.revision, shard.dueFrom = false, false, revision, now.Add(shard.interval())
}

// Failed processes the failure of a call. After a conflict, or a write that may have been executed, the shard is read again.
func (r *Recorder) Failed(now time.Time, number int, conflict bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shard := &r.shards[number]
	shard.changed = shard.changed || shard.writing
	shard.busy, shard.writing, shard.loaded = false, false, false
	if !conflict {
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
