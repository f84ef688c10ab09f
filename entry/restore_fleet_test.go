//go:build !race

package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/member"
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

// forgetful is a source whose history is gone whenever changes are asked for.
type forgetful struct {
	feed.Source[*fleet.Instance]
	lists int
}

func (s *forgetful) ListPage(context.Context, string, feed.Freshness) (feed.Page[*fleet.Instance], error) {
	s.lists++
	return feed.Page[*fleet.Instance]{Batch: feed.Batch[*fleet.Instance]{At: history.At(1, 5)}}, nil
}

func (s *forgetful) Watch(context.Context, history.Place, time.Duration, time.Duration) (feed.Batch[*fleet.Instance], error) {
	return feed.Batch[*fleet.Instance]{}, feed.ErrHistoryGone.New("gone")
}

// TestLostHistoryGoDeafAsksLessAndLess covers lists that are each followed by a history that is gone: 18 a
// second were seen at each daemon.
func TestLostHistoryGoDeafAsksLessAndLess(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		settings := DefaultSettings()
		d := &Daemon{ctx: ctx, log: newLogBook("error", "n0", io.Discard), work: newWorkRings(), following: newFollowState()}
		d.settings.Store(&settings)
		d.following.watching.Store(true)
		d.node = coordination.New(time.Now(), member.Member{Name: "n0"}, coordination.DefaultSettings(settings.LeaseTerm), nil, rand.New(rand.NewPCG(1, 7)))
		source := &forgetful{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			follow[*fleet.Instance](d, coordination.SourceInstances, source, 0, (*coordination.Node).InstancesListed, (*coordination.Node).InstancesChanged)
		}()
		time.Sleep(10 * time.Second)
		cancel()
		<-ended
		if source.lists > 30 {
			t.Errorf("%d lists in ten seconds", source.lists)
		}
	})
}
