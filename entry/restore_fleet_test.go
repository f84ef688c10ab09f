//go:build !race

package entry

import (
	"fmt"
	"testing"
	"time"
)

// TestChangesAfterARestoreGoDeafToNobody has the store be silent for a moment and come back without
// its last changes, twice: what is written again, and each change after that, is known to all daemons
// within the time in which a server that leaves has to be known, 2, 3 and 4 s at the users' sites of
// these sizes.
func TestChangesAfterARestoreGoDeafToNobody(t *testing.T) {
	const lost = 40
	for _, c := range []struct {
		daemons int
		limit   time.Duration
	}{{9, 2 * time.Second}, {69, 3 * time.Second}, {295, 4 * time.Second}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			inDeafFleet(t, c.daemons, c.limit, func(f *deafFleet) {
				var written uint64
				for range lost {
					written = f.store.change()
				}
				time.Sleep(c.limit)
				all := map[string]bool{}
				for name := range f.daemons {
					all[name] = true
				}
				for round := range 2 {
					f.store.ignore(all)
					time.Sleep(600 * time.Millisecond)
					f.store.restore(lost / 2)
					f.store.ignore(nil)
					time.Sleep(time.Duration(round) * 700 * time.Millisecond)
					calls := f.store.calls.Load()
					f.store.write(written)
					for change := range 4 {
						took := f.took(c.limit)
						written++
						t.Logf("round %d, change %d: known to all after %v, %d calls since the store was back", round, change, took, f.store.calls.Load()-calls)
						if took > c.limit {
							t.Errorf("round %d, change %d: known to all after %v, %v allowed", round, change, took, c.limit)
						}
					}
				}
			})
		})
	}
}
