package replica_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/api"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/replica"
)

// history is the test oracle: all objects ever written, by version.
type history struct{ writes []api.Object }

func (h *history) write(key api.Key, deleted bool) {
	version := uint64(len(h.writes) + 1)
	h.writes = append(h.writes, api.Object{Key: key, Version: version, Deleted: deleted, Value: fmt.Appendf(nil, "%d", version)})
}

// at returns the newest version of each key up to a version.
func (h *history) at(version uint64) map[api.Key]uint64 {
	newest := map[api.Key]uint64{}
	for _, object := range h.writes[:version] {
		newest[object.Key] = object.Version
	}
	return newest
}

// changes returns the object API's response to a watch, which may be stale.
func (h *history) changes(since, through uint64) replica.Delta {
	newest := h.at(through)
	delta := replica.Delta{From: since, Through: through}
	for _, object := range h.writes[:through] {
		if object.Version > since && newest[object.Key] == object.Version {
			delta.Objects = append(delta.Objects, object)
		}
	}
	return delta
}

// TestStoresOnlyMoveForward guards against objects that revert to an older
// version and against stores that miss an object they should have. Writes reach
// the stores through stale watches, partial deltas, lost and duplicated
// messages, and own writes that are merged early.
func TestStoresOnlyMoveForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var written history
		stores := []*replica.Store{replica.NewStore(), replica.NewStore(), replica.NewStore()}
		seen := make([]map[api.Key]uint64, len(stores))
		for i := range seen {
			seen[i] = map[api.Key]uint64{}
		}
		keys := []api.Key{{Kind: api.KindModel, Name: "a"}, {Kind: api.KindModel, Name: "b"}, {Kind: api.KindPlacement, Name: "a"}}
		var earlier []replica.Delta
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			target := rapid.IntRange(0, len(stores)-1).Draw(t, "store")
			store := stores[target]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				written.write(rapid.SampledFrom(keys).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 1:
				through := rapid.Uint64Range(0, uint64(len(written.writes))).Draw(t, "watch at")
				if through >= store.Through() {
					store.Apply(written.changes(store.Through(), through))
				}
			case 2:
				other := stores[rapid.IntRange(0, len(stores)-1).Draw(t, "peer")]
				delta := other.Since(store.Through(), rapid.IntRange(1, 400).Draw(t, "bytes"))
				earlier = append(earlier, delta)
				store.Apply(delta)
			case 3:
				if len(earlier) > 0 {
					store.Apply(rapid.SampledFrom(earlier).Draw(t, "late delta"))
				}
			case 4:
				if len(written.writes) > 0 {
					store.Merge(rapid.SampledFrom(written.writes).Draw(t, "own write"))
				}
			}
			checkStore(t, &written, store, seen[target])
		}
		checkConvergence(t, &written, stores)
	})
}

// checkStore checks that no version decreased, and that the store has every
// object up to the version that it reports as complete, unless the
// object was written again after that version.
func checkStore(t *rapid.T, written *history, store *replica.Store, seen map[api.Key]uint64) {
	complete := written.at(store.Through())
	for key, newest := range written.at(uint64(len(written.writes))) {
		version := store.Version(key)
		if version < seen[key] {
			t.Fatalf("version of %s decreased from %d to %d", key, seen[key], version)
		}
		if version < complete[key] && newest <= store.Through() {
			t.Fatalf("%s is at version %d although the store is complete through %d", key, version, store.Through())
		}
		seen[key] = version
	}
}

// checkConvergence checks that stores that exchange all changes become equal.
func checkConvergence(t *rapid.T, written *history, stores []*replica.Store) {
	end := uint64(len(written.writes))
	stores[0].Apply(written.changes(stores[0].Through(), end))
	for i := 1; i < len(stores); i++ {
		for range 100 {
			if stores[i].Through() == end {
				break
			}
			stores[i].Apply(stores[0].Since(stores[i].Through(), 200))
		}
		for key, version := range written.at(end) {
			if got := stores[i].Version(key); got != version {
				t.Fatalf("store %d has %s at version %d, want %d", i, key, got, version)
			}
		}
	}
}
