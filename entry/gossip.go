package entry

import (
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// gossipPause is the time between two messages to one daemon, drawn by chance, with what is known of servers that
// crashed and of what instances said: they bring daemons up to date that have just started or missed a bulletin.
// Each hears two a second on average, and none while there is nothing to tell.
const gossipPause = 500 * time.Millisecond

// gossip tells one daemon what it may lack.
func (d *Daemon) gossip(now time.Time) {
	if now.Sub(d.control.gossipedAt) < gossipPause {
		return
	}
	d.control.gossipedAt = now
	bulletin := &coordination.ObservationUpdate{Crashes: d.quarantine.newest(now), Notices: d.notices.newest(now), Brittle: d.notices.newestBrittle(now)}
	self := d.current().Name
	address := d.fleet.peerAddresses.Load().any(self)
	if address == "" || bulletin.Crashes.Empty() && bulletin.Notices.Empty() && bulletin.Brittle.Empty() {
		return
	}
	d.peers.Send(address, coordination.Message{From: self, ObservationUpdate: bulletin})
}
