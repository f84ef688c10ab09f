package soak

import (
	"math/rand/v2"
	"testing"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestOverlappingCrashesStartOneServer crashes the same server twice before either fault ends: with
// two servers behind one address, requests for one reach the other.
func TestOverlappingCrashesStartOneServer(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	d := &deployment{store: store, engine: engineSpec(listedLoadTime), record: newRecord(true, func(Violation) {}), output: t.Output()}
	if err := d.addPlace(engineService, 0); err != nil {
		t.Fatal(err)
	}
	place := d.places[0]
	defer place.proxy.close()
	random := rand.New(rand.NewPCG(1, 1))
	first, second := crashServer(d, random), crashServer(d, random)
	first()
	started := place.current()
	second()
	if place.current() != started {
		t.Errorf("%s and %s share an address", started.ID, place.current().ID)
	}
	place.current().Close()
	d.group.Wait()
}
