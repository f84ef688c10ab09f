// Package replica holds an in-memory copy of the platform's objects whose
// versions never decrease, and exchanges changes with other copies.
//
// A Store is complete through a version: it holds every object whose newest
// version is at or before that version. An object that was written again later
// may be missing until the later version arrives. A Delta carries the changes
// from one such version to a later one. Applying a delta never replaces an
// object by an older version, whatever its source, so a stale watch, list or
// peer cannot restore an old value. Deletions are tombstones with a version and
// propagate like any other change.
//
// The package does no I/O.
package replica

import (
	"slices"
	"sort"

	"github.com/wheatweir/wheatweir/api"
)

// Delta is the difference between two states of the object API.
type Delta struct {
	// From is the version that the receiver must be complete through.
	From uint64 `msgpack:"f"`
	// Through is the version that the receiver is complete through once it
	// has applied the delta.
	Through uint64       `msgpack:"t"`
	Objects []api.Object `msgpack:"o,omitempty"`
}

// Store is one copy of the objects. It is not safe for concurrent use.
type Store struct {
	objects map[api.Key]api.Object
	byKind  map[api.Kind]map[string]api.Key
	// log lists (version, key) pairs by ascending version. Entries whose
	// object has a newer version are skipped and are removed by compaction.
	log     []logEntry
	through uint64
}

type logEntry struct {
	version uint64
	key     api.Key
}

// compactionFactor bounds the log to about this many entries per object.
const compactionFactor = 2

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[api.Key]api.Object{},
		byKind:  map[api.Kind]map[string]api.Key{},
	}
}

// Through returns the version that the store is complete through.
func (s *Store) Through() uint64 { return s.through }

// Len returns the number of objects, tombstones included.
func (s *Store) Len() int { return len(s.objects) }

// Get returns the newest known object, and whether it exists and is not
// deleted.
func (s *Store) Get(key api.Key) (api.Object, bool) {
	object, found := s.objects[key]
	return object, found && !object.Deleted
}

// Version returns the newest known version of an object, tombstones included.
func (s *Store) Version(key api.Key) uint64 { return s.objects[key].Version }

// Names returns the sorted names of the live objects of a kind.
func (s *Store) Names(kind api.Kind) []string {
	names := make([]string, 0, len(s.byKind[kind]))
	for name := range s.byKind[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Merge applies one object from any source, such as the response to a write by
// this daemon. It does not change the version that the store is complete
// through. It returns whether the object was newer than the stored one.
func (s *Store) Merge(object api.Object) bool {
	if object.Version <= s.objects[object.Key].Version {
		return false
	}
	s.objects[object.Key] = object
	s.index(object)
	s.append(logEntry{object.Version, object.Key})
	return true
}

func (s *Store) index(object api.Object) {
	names := s.byKind[object.Kind]
	if names == nil {
		names = map[string]api.Key{}
		s.byKind[object.Kind] = names
	}
	if object.Deleted {
		delete(names, object.Name)
		return
	}
	names[object.Name] = object.Key
}

func (s *Store) append(entry logEntry) {
	last := len(s.log) - 1
	if last < 0 || s.log[last].version <= entry.version {
		s.log = append(s.log, entry)
	} else {
		at := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > entry.version })
		s.log = slices.Insert(s.log, at, entry)
	}
	if len(s.log) > compactionFactor*len(s.objects)+16 {
		s.log = slices.DeleteFunc(s.log, s.superseded)
	}
}

func (s *Store) superseded(entry logEntry) bool {
	return s.objects[entry.key].Version != entry.version
}

// Apply merges a delta and returns the keys of the objects that changed. It
// always merges the objects. It advances the complete-through version only if
// the delta starts at or before that version, since otherwise changes between
// the two may be missing.
func (s *Store) Apply(delta Delta) []api.Key {
	var changed []api.Key
	for _, object := range delta.Objects {
		if s.Merge(object) {
			changed = append(changed, object.Key)
		}
	}
	if delta.From <= s.through && delta.Through > s.through {
		s.through = delta.Through
	}
	return changed
}

// objectOverheadBytes is the estimated size of an object's fields on the wire
// without its value.
const objectOverheadBytes = 80

// Since returns the changes after a version, up to about maxBytes. A delta that
// reaches this limit is complete only through its last object, and the receiver
// requests the rest from there. Objects merged ahead of the complete-through
// version are included, because they may supersede older versions that are not
// kept.
func (s *Store) Since(from uint64, maxBytes int) Delta {
	delta := Delta{From: from, Through: max(from, s.through)}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > from })
	size := 0
	for _, entry := range s.log[start:] {
		if s.superseded(entry) {
			continue
		}
		object := s.objects[entry.key]
		size += objectOverheadBytes + len(object.Value)
		if size > maxBytes && len(delta.Objects) > 0 {
			last := delta.Objects[len(delta.Objects)-1].Version
			delta.Through = min(last, delta.Through)
			return delta
		}
		delta.Objects = append(delta.Objects, object)
	}
	return delta
}
