package soak

import (
	"math/rand/v2"
	"testing"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestReleaseEndsAVersion guards against releases after which a server of an earlier version is left, so that no version ever
// ends.
func TestReleaseEndsAVersion(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	engines := DefaultOptions().Engines
	d := &deployment{store: store, engine: engineSpec(listedLoadTime), record: newRecord(true, func(Violation) {}), output: t.Output()}
	for number := range engines {
		if err := d.addPlace(engineService, number); err != nil {
			t.Fatal(err)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	for number, place := range d.places {
		before := place.current()
		d.replace(number, "v3", random)
		if before.Ended() || !place.current().Serving() {
			t.Errorf("%s has ended: %t, %s serves: %t", before.ID, before.Ended(), place.current().ID, place.current().Serving())
		}
	}
	d.group.Wait()
	// A server that starts again later does so at the newer version.
	crashServer(d, random)()
	d.group.Wait()
	if names := store.Names("servers"); len(names) != engines {
		t.Errorf("%v are listed", names)
	}
	for _, place := range d.places {
		if servers := place.running(); len(servers) != 1 || servers[0].Software != "v3" {
			t.Errorf("%s runs %s, %d servers", servers[0].ID, servers[0].Software, len(servers))
		}
		place.currentProxy().close()
		place.current().Close()
	}
}
