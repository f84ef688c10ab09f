package soak

import (
	"context"
	"testing"
	"time"
)

// TestInterruptIsNoMissedRecovery ends the check of recovery early, as an interrupt of a soak does:
// what was not served by then has not missed its time. Once the time is over it has.
func TestInterruptIsNoMissedRecovery(t *testing.T) {
	interrupted, interrupt := context.WithCancel(context.Background())
	interrupt()
	overdue, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	for _, c := range []struct {
		name       string
		ctx        context.Context
		violations int
	}{{"interrupted", interrupted, 0}, {"overdue", overdue, 1}} {
		t.Run(c.name, func(t *testing.T) {
			d := &deployment{record: newRecord(false, func(Violation) {})}
			if d.recovered(c.ctx, 0, &daemon{name: "entry-0", front: "127.0.0.1:1"}) {
				t.Error("served by a daemon that does not run")
			}
			if len(d.record.violations) != c.violations {
				t.Errorf("violations %v", d.record.violations)
			}
		})
	}
}
