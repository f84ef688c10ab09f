package daemon

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/control"
)

const (
	// acceptShare bounds how long a stopping daemon takes new calls, as a part of the drain
	// limit: a call that begins later may not end within it.
	acceptShare = 2
	// stopPoll is the pause between two looks at whether a stop is safe.
	stopPoll = 50 * time.Millisecond
	// stopMargin is how long before the end of the drain limit calls get their last answer.
	// Whoever started the process may kill it at the end of the limit.
	stopMargin = 400 * time.Millisecond
	// answerMargin bounds the time for writing those answers. It leaves the process half of
	// stopMargin for its own end.
	answerMargin = 200 * time.Millisecond
)

// Stop ends the daemon: it leaves the answers about addresses, takes calls until every live
// daemon knows of that and kept answers have run out, then refuses those that no back end was
// sent, and waits until no call is in progress. Ctx and the drain limit bound the wait; calls that are left then get their
// last answer.
func (d *Daemon) Stop(ctx context.Context) {
	begun := time.Now()
	limit := d.settings.Requests.DrainLimit
	d.logger.Info("Stop begins.", "part", "daemon", "requests", d.server.Active())
	d.stopping.Store(true)
	d.events.Put(ctx, func(node *control.Node, _ time.Time) []control.Action { return node.Leave() })
	d.waitUntil(ctx, begun.Add(limit/acceptShare), d.left)
	d.server.Drain()
	d.logger.Info("Calls no longer begin.", "part", "daemon", "requests", d.server.Active())
	d.waitUntil(ctx, begun.Add(limit-stopMargin), d.idle)
	cut := d.server.Active()
	d.server.End()
	d.waitUntil(context.Background(), time.Now().Add(answerMargin), d.idle)
	d.Kill()
	d.logger.Info("Stopped.", "part", "daemon", "requests_cut", cut)
}

// waitUntil waits until a condition holds, a moment has come or ctx ends.
func (d *Daemon) waitUntil(ctx context.Context, moment time.Time, holds func(context.Context) bool) {
	ctx, cancel := context.WithDeadline(ctx, moment)
	defer cancel()
	for ctx.Err() == nil && !holds(ctx) {
		sleep(ctx, stopPoll)
	}
}

// left reports whether no caller may still be sent here. An answer about addresses that another
// daemon gave just before it learned of the stop may be kept for AddressKeep.
func (d *Daemon) left(ctx context.Context) bool {
	var knownFor time.Duration
	d.ask(ctx, func(node *control.Node) { knownFor = node.LeaveAcknowledgedFor(time.Now()) })
	return knownFor > d.settings.Requests.AddressKeep && d.server.QuietFor() > d.settings.Requests.AddressKeep
}

func (d *Daemon) idle(context.Context) bool { return d.server.Idle() }

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.server.End()
	d.server.Close()
	d.cancel()
	d.transport.Close()
	d.group.Wait()
	d.engines.Close()
	d.services.Close()
}
