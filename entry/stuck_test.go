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

// startAlone starts a daemon without servers and other daemons.
func startAlone(t *testing.T, grace, keep time.Duration) (*Daemon, Settings) {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	settings := DefaultSettings()
	settings.Name, settings.Zone, settings.DeploymentKey, settings.StoreAddress = "d", "z", "a key for these tests", store.Address()
	settings.Grace, settings.AddressKeep = grace, keep
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
	return daemon, settings
}

// TestDaemonThatLacksADutyTakesNoRequestsDuringItsStop has a duty fail: the daemon does not wait
// for clients that may still be sent to it, since it may decide by what has long changed.
func TestDaemonThatLacksADutyTakesNoRequestsDuringItsStop(t *testing.T) {
	const keep = 20 * time.Second
	daemon, _ := startAlone(t, 4*keep, keep)
	daemon.startDuty("failing", func() { panic("on purpose") })
	<-daemon.Failed()
	begun := time.Now()
	daemon.Stop(context.Background())
	if took := time.Since(begun); took > keep {
		t.Errorf("the stop took %v although nothing was in progress", took)
	}
}

// TestStopDoesNotWaitForTheControlDuty stops a daemon whose control duty takes nothing in any
// more: the stop still ends, so that requests get their answers within the grace.
func TestStopDoesNotWaitForTheControlDuty(t *testing.T) {
	daemon, settings := startAlone(t, time.Second, 200*time.Millisecond)
	stuck, goOn := make(chan struct{}), make(chan struct{})
	nothing := func(*coordination.Node, time.Time) []coordination.Action { return nil }
	daemon.work.events.Put(t.Context(), func(*coordination.Node, time.Time) []coordination.Action {
		close(stuck)
		<-goOn
		return nil
	})
	<-stuck
	for daemon.work.events.TryPut(nothing) {
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
