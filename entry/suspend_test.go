package entry_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
	"github.com/wheatweir/wheatweir/tenant"
)

// startHolder starts one daemon, which holds the lease on orders, before servers that check tokens or do not.
func startHolder(t *testing.T, checks bool, output io.Writer) *deployment {
	t.Helper()
	f := startWithLogs(t, 1, output)
	f.daemons[0].Kill()
	f.all[0].ChecksFence = checks
	f.daemons[0] = f.startDaemon(t, f.all[0])
	f.waitReady(t)
	eventually(t, "the daemon gives orders", func() bool {
		_, status, _, err := post(f.all[0].FrontAddress, "/stream/x", "m/a1")
		return err == nil && status == 200
	})
	return f
}

// TestSuspendedDaemonTrustsNothingOld suspends the machine of a daemon while the store answers nobody. What it
// knew when it fell asleep is too old when it wakes, though its steady clock says otherwise. It is asked at
// once, before any duty of it may have had its turn.
func TestSuspendedDaemonTrustsNothingOld(t *testing.T) {
	t.Run("keys", func(t *testing.T) {
		f, _ := startTenants(t, 1, tenant.Limit{})
		f.store.SetFault(func(string, string) standin.Fault { return standin.FaultBusy })
		f.machine("d0").Sleep(5 * time.Second)
		if answer := f.ask(0, "acme-key"); answer.Status != 503 {
			t.Errorf("status %d 5 s after the configuration was last known to be the newest, 2 s are allowed", answer.Status)
		}
	})
	t.Run("the lease on orders", func(t *testing.T) {
		// Where servers check the token of an order, a holder may go on while the store is away for all.
		f := startHolder(t, false, io.Discard)
		f.store.SetFault(func(string, string) standin.Fault { return standin.FaultBusy })
		f.machine("d0").Sleep(5 * time.Second)
		if _, status, _, _ := post(f.all[0].FrontAddress, "/stream/x", "n"); status == 200 {
			t.Error("a model was loaded by order of a holder whose lease had ended in its sleep")
		}
	})
}

// TestHolderStopsWhereNoServerChecksTokens covers a store that is away for longer than the lease: where servers
// do not turn away an order with an old token, a holder that others may have replaced gives none.
// Seen as a side effect of a machine that was suspended: the setting that says whether servers check
// tokens had never reached the decision.
func TestHolderStopsWhereNoServerChecksTokens(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("tokens are checked: ", checks), func(t *testing.T) {
			logged := &lockedText{}
			f := startHolder(t, checks, logged)
			f.store.SetFault(func(string, string) standin.Fault { return standin.FaultBusy })
			time.Sleep(f.all[0].LeaseTerm + 500*time.Millisecond)
			lines := strings.Split(logged.String(), "lease: Changed.")
			if goesOn := strings.Contains(lines[len(lines)-1], "may_order=true"); goesOn != checks {
				t.Errorf("the holder goes on after the end of its lease: %v", goesOn)
			}
		})
	}
}
