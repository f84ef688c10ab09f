package entry

import (
	"context"
	"time"
)

const (
	// asideAfter is how long the model servers are out of reach before another daemon is to hold the lease, and
	// backAfter how long they are in reach before this one may hold it again.
	asideAfter = 500 * time.Millisecond
	backAfter  = 2 * time.Second
	// asidePart is the part of the model servers out of reach that is too much for a holder.
	asidePart = 0.5
	// provePause is the time between two looks whose fault it is that a server is out of reach.
	provePause = 500 * time.Millisecond
)

// tickAside has another daemon hold the lease as long as this one reaches too few of the model servers that others
// reach.
func (p *paths) tickAside(now time.Time) {
	engines := p.servers().engines
	failed, ownFault, unproved := p.book.Failures(now, engines)
	wanted := failed > 0 && float64(failed) >= asidePart*float64(len(engines))
	if wanted && ownFault == 0 {
		p.prove(now, unproved)
		wanted = false
	}
	span := asideAfter
	if p.aside {
		span = backAfter
	}
	switch {
	case wanted == p.aside:
		p.asideAt = now
	case now.Sub(p.asideAt) >= span:
		p.aside, p.asideAt = wanted, now
		p.daemon.perform(p.daemon.node.Yield(now, wanted))
	}
}

// prove finds out whether others reach a server that is out of reach from here, also after that: nothing shows it while
// no request goes there.
func (p *paths) prove(now time.Time, address string) {
	if now.Sub(p.provedAt) < provePause {
		return
	}
	p.provedAt = now
	p.daemon.startDuty("paths", func() {
		ctx, cancel := context.WithTimeout(p.daemon.ctx, 2*mostRelays*relayTimeout)
		defer cancel()
		conn, err := p.throughOthers(ctx, address)
		if err != nil {
			return
		}
		_ = conn.Close()
		p.book.ReachedByOthers(p.daemon.clock.Now(), address)
		if conn, err = p.dialer.Direct(ctx, address); err == nil {
			_ = conn.Close()
		}
	})
}
