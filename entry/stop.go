package entry

import (
	"context"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

const (
	// keptFactor is how much longer than allowed some clients keep an answer
	// about addresses, as the platform's pages tell.
	keptFactor = 3
	// graceShare bounds how long a stopping daemon takes new requests: a stream
	// that begins later may not end within the grace.
	graceShare = 2
	// acceptMargin is how much sooner than clients' answers expire the daemon
	// stops taking requests, so that none is on its way at that moment.
	acceptMargin = 100 * time.Millisecond
	// stopPoll is the pause between two looks at whether a stop is safe.
	stopPoll = 50 * time.Millisecond
	// stopMargin is how long before the end of the grace requests get their last
	// answer. The platform kills the process at the end of the grace.
	stopMargin = 400 * time.Millisecond
	// answerMargin bounds the time for writing those answers, and readMargin that for the
	// answers to requests whose body has not arrived. They leave the process half of
	// stopMargin for its own end.
	answerMargin = 150 * time.Millisecond
	readMargin   = 50 * time.Millisecond
)

// Stop ends the daemon: it is no longer ready and leaves the answers about
// addresses at once, goes on serving what can be whole within the grace for as long as clients may keep an answer unless a duty
// has failed, then lets no request begin, and waits for those that have begun, within the grace
// and until ctx ends. What is left then gets its final answer.
func (d *Daemon) Stop(ctx context.Context) {
	begun := d.clock.Now()
	d.log.add("daemon", "Stop begins.", "requests", d.gateway.Active())
	d.life.stopping.Store(true)
	d.startDuty("leave", d.leave)
	d.peers.DrainTunnels()
	grace := d.current().Grace
	end := begun.Add(grace - stopMargin)
	d.gateway.EndsAt(end)
	kept := min(keptFactor*d.current().AddressKeep, grace/graceShare) - acceptMargin
	// Without one of its duties a daemon may decide by what has long changed.
	d.waitUntil(ctx, begun.Add(kept), d.life.lacksDuty.Load)
	d.gateway.Drain()
	d.log.add("daemon", "Requests no longer begin.", "requests", d.gateway.Active())
	d.waitUntil(ctx, end, d.idle)
	d.log.add("daemon", "Requests end.", "requests_cut", d.gateway.Active())
	d.gateway.End()
	d.waitUntil(context.Background(), d.clock.Now().Add(answerMargin), d.answered)
	if d.answered() {
		d.front.EndReads()
	}
	d.waitUntil(context.Background(), d.clock.Now().Add(readMargin), d.idle)
	d.log.add("daemon", "Stopped.", "connections_busy", d.front.Busy())
	d.Kill()
}

// leave has the others told that this daemon leaves. It waits for the control duty, which
// must not hold up the stop.
func (d *Daemon) leave() {
	d.work.events.Put(d.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action { return node.Leave() })
}

// answered reports whether no request is being served.
func (d *Daemon) answered() bool { return d.gateway.Active() == 0 }

// idle reports whether no request is being read, served or answered, and no connection carried for another daemon.
func (d *Daemon) idle() bool {
	return d.front.Busy() == 0 && d.answered() && d.peers.TunnelCount() == 0
}

// waitUntil waits until a condition holds, a moment has come or ctx ends.
func (d *Daemon) waitUntil(ctx context.Context, moment time.Time, holds func() bool) {
	for ctx.Err() == nil && d.clock.Now().Before(moment) && !holds() {
		time.Sleep(min(stopPoll, max(0, d.clock.Until(moment))))
	}
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.life.ended.Do(func() {
		d.gateway.End()
		shutdown, cancel := context.WithTimeout(context.Background(), stopPoll)
		defer cancel()
		d.front.Shutdown(shutdown)
		d.front.Close()
		for _, server := range d.servers {
			_ = server.Close()
		}
		d.cancel()
		d.peers.Close()
		d.group.Wait()
		d.upstream.Close()
		d.metrics.root.Close()
	})
}
