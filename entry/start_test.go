package entry_test

import (
	"fmt"
	"testing"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestDaemonThatStartsFromAnOldListCatchesUp starts a daemon whose first lists are old: they lack
// the newest configuration and a server. It hears of both, from its peers or by its own watch,
// and asks the store for no list that is new.
func TestDaemonThatStartsFromAnOldListCatchesUp(t *testing.T) {
	for _, others := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d others", others), func(t *testing.T) {
			f := start(t, others)
			f.waitReady(t)
			f.store.HoldOld()
			putConfiguration(f.store, 2, "added")
			f.addServer(t, "web9", "web")
			seed := freeAddress(t)
			if others > 0 {
				seed = f.all[0].PeerAddress
			}
			before := f.store.OldCalls()
			f.all = append(f.all, f.daemonSettings(t, others, seed))
			f.daemons = append(f.daemons, f.startDaemon(t, f.all[others]))
			f.waitReady(t)
			eventually(t, "a route that the old list lacks is served", func() bool {
				_, status, _, err := post(f.all[others].FrontAddress, "/added/x", "")
				return err == nil && status == 200
			})
			eventually(t, "the server that the old list lacks is used", func() bool {
				_, _, _, _ = post(f.all[others].FrontAddress, "/plain/x", "")
				return len(f.server("web9").Runs()) > 0
			})
			if calls := f.store.OldCalls() - before; calls < 2 {
				t.Errorf("%d calls that may lag, want one for each collection", calls)
			}
		})
	}
}

// server returns the server with an id.
func (f *deployment) server(id string) *standin.Server {
	for _, server := range f.servers {
		if server.ID == id {
			return server
		}
	}
	return nil
}
