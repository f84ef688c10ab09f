package entry

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestStopDoesNotWaitForTheControlDuty stops a daemon whose control duty takes nothing in any
// more: the stop still ends, so that requests get their answers within the grace.
func TestStopDoesNotWaitForTheControlDuty(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	settings := DefaultSettings()
	settings.Name, settings.Zone, settings.DeploymentKey, settings.StoreAddress = "d", "z", "a key for these tests", store.Address()
	settings.Grace, settings.AddressKeep = time.Second, 200*time.Millisecond
	for _, address := range []*string{&settings.FrontAddress, &settings.ReadyAddress, &settings.DirectoryAddress, &settings.PeerAddress} {
		if *address, err = loopback.Address(); err != nil {
			t.Fatal(err)
		}
	}
	settings.Seeds = []string{settings.PeerAddress}
	daemon, err := Start(settings, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	stuck, goOn := make(chan struct{}), make(chan struct{})
	nothing := func(*coordination.Node, time.Time) []coordination.Action { return nil }
	daemon.events.Put(t.Context(), func(*coordination.Node, time.Time) []coordination.Action {
		close(stuck)
		<-goOn
		return nil
	})
	<-stuck
	for daemon.events.Offer(nothing) {
	}
	stopped := make(chan struct{})
	go func() {
		daemon.Stop(context.Background())
		close(stopped)
	}()
	closed := false
	for deadline := time.Now().Add(20 * time.Second); !closed && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", settings.FrontAddress)
		closed = err != nil
		if conn != nil {
			_ = conn.Close()
		}
	}
	close(goOn)
	<-stopped
	if !closed {
		t.Error("the daemon still takes connections long after the grace")
	}
}
