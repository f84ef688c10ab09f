package resumption

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardCount is the number of shards of the durable record. The stream's ID selects its shard.
	ShardCount = 4
	// maxShardStreams bounds the streams of one shard, so that its encoded form fits into one object of the store.
	maxShardStreams = 50_000
	// expiryStep is the precision with which the durable record keeps the time at which streams expire. Times are rounded to the
	// nearest step, so that they stay the same when another daemon reads and writes them.
	expiryStep = 5 * time.Second
)

// Digest identifies a stream in the durable record. It is a hash of the stream's ID.
type Digest uint64

func digestOf(id string) Digest { return Digest(xxhash.Sum64String(id)) }

func (d Digest) shard() int { return int(uint64(d) % ShardCount) }

// Shard is one part of the durable record, which outlasts the daemons. Each shard holds the versions of all services and a
// part of the streams.
type Shard struct {
	// Complete reports whether Versions includes every version that was present within the version window.
	Complete bool
	// Window is the version window at the time of the write.
	Window time.Duration
	// Versions are the versions of each service, by the service's name.
	Versions map[string][]string
	// SharedRoutes are the services that have had a route together with another one.
	SharedRoutes []string
	Streams      []StreamGroup
}

// StreamGroup lists streams that have the same origin and expire at about the same time.
type StreamGroup struct {
	Began Began
	// Left is the remaining time in which the clients may resume the streams.
	Left    time.Duration
	Streams []Digest
}

// digestRecord is the record of a stream whose ID is known only by its digest.
type digestRecord struct {
	began Began
	// ambiguous is set if different origins were recorded for the digest.
	ambiguous bool
	until     time.Time
}

// digestIndex holds the streams of the durable record, by the digests of their IDs.
type digestIndex map[Digest]digestRecord

func (d digestIndex) add(digest Digest, began Began, until time.Time) {
	record, existed := d[digest]
	if !existed {
		d[digest] = digestRecord{began: began, until: until}
		return
	}
	differs := record.began != began
	if !differs && !until.After(record.until) {
		return
	}
	record.ambiguous = record.ambiguous || differs
	if until.After(record.until) {
		record.until = until
	}
	d[digest] = record
}

func (d digestIndex) addGroups(now time.Time, groups []StreamGroup) {
	for _, group := range groups {
		for _, digest := range group.Streams {
			d.add(digest, group.Began, now.Add(group.Left))
		}
	}
}

func (d digestIndex) find(now time.Time, id string) (began Began, known bool) {
	found, existed := d[digestOf(id)]
	if !existed || found.ambiguous || !now.Before(found.until) {
		return Began{}, false
	}
	return found.began, true
}

func (d digestIndex) prune(now time.Time) {
	for digest, found := range d {
		if !now.Before(found.until) {
			delete(d, digest)
		}
	}
}

// groups returns the unexpired, unambiguous streams by origin and time of expiry. Streams that expire first are left out if
// there are too many.
func (d digestIndex) groups(now time.Time) []StreamGroup {
	type key struct {
		began Began
		until time.Time
	}
	byKey := map[key][]Digest{}
	for digest, found := range d {
		if !now.Before(found.until) || found.ambiguous {
			continue
		}
		group := key{found.began, found.until.Round(expiryStep)}
		byKey[group] = append(byKey[group], digest)
	}
	groups := make([]StreamGroup, 0, len(byKey))
	for group, digests := range byKey {
		groups = append(groups, StreamGroup{Began: group.began, Left: group.until.Sub(now), Streams: digests})
	}
	slices.SortFunc(groups, func(a, b StreamGroup) int { return int(b.Left - a.Left) })
	room := maxShardStreams
	for i := range groups {
		groups[i].Streams = groups[i].Streams[:min(room, len(groups[i].Streams))]
		room -= len(groups[i].Streams)
	}
	return slices.DeleteFunc(groups, func(group StreamGroup) bool { return len(group.Streams) == 0 })
}
