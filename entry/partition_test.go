package entry_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// afterContact is how long after a cut begins daemons have to serve again.
	afterContact = 3 * time.Second
	// tryPause is the time between two requests of a client to one daemon.
	tryPause = 100 * time.Millisecond
	// triesAfterContact is how many requests are judged at each daemon.
	triesAfterContact = 60
)

// tries counts the requests at one daemon.
type tries struct{ served, failed atomic.Int64 }

// tryAt sends requests for a plain service and for a model to a daemon.
func (f *deployment) tryAt(daemon, count int) *tries {
	counted := &tries{}
	var group sync.WaitGroup
	for number := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			path, model := "/plain/x", ""
			if number%2 == 0 {
				path, model = "/stream/x", "m"
			}
			if _, status, _, err := post(f.all[daemon].FrontAddress, path, model); err == nil && status == 200 {
				counted.served.Add(1)
			} else {
				counted.failed.Add(1)
			}
		}()
		time.Sleep(tryPause)
	}
	group.Wait()
	return counted
}

// TestDaemonsWithoutPathsToServersServe guards against daemons that lose their paths to all servers, which other
// daemons still reach, and fail the requests of their callers until the paths are back.
func TestDaemonsWithoutPathsToServersServe(t *testing.T) {
	kinds := map[string]standin.Cut{"silent": standin.CutSilent, "reset": standin.CutReset, "new connections refused": standin.CutNew}
	for name, kind := range kinds {
		for _, cut := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d of 4", name, cut), func(t *testing.T) {
				t.Parallel()
				f := start(t, 4)
				f.waitReady(t)
				for i := range f.all {
					eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == len(f.all) })
					f.tryAt(i, 4)
				}
				for i := range cut {
					f.network(f.all[i].Name).SetCut(kind)
				}
				time.Sleep(afterContact)
				var group sync.WaitGroup
				for i := range cut {
					group.Add(1)
					go func() {
						defer group.Done()
						if counted := f.tryAt(i, triesAfterContact); counted.failed.Load() > triesAfterContact/50 {
							t.Errorf("d%d: %d served, %d failed", i, counted.served.Load(), counted.failed.Load())
						}
					}()
				}
				group.Wait()
			})
		}
	}
}
