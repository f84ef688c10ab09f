package coordination_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"
)

// TestDaemonTellsTheSameOthersForAWhile counts the receivers of one daemon's state in the time for
// which connections are kept. It guards against a daemon that holds a connection to most of the fleet
// because it picks other receivers for each message: about 45 of its zone's 48 and 40 others in ten
// seconds.
func TestDaemonTellsTheSameOthersForAWhile(t *testing.T) {
	const daemons, maxReceivers = 240, 60
	w := newWorld(daemons)
	w.recreateAll(func(i int, self *member.Member, settings *coordination.Settings) {
		self.Zone, settings.Lease.TakeoverOrderDelay = zoneOfNode(i), 0
	})
	w.listInstances(20)
	w.run(4 * time.Second)
	clear(w.loadUpdates)
	w.run(10 * time.Second)
	receivers := map[string]int{}
	senders := map[string]int{}
	for pair := range w.loadUpdates {
		receivers[pair[0]]++
		senders[pair[1]]++
	}
	for _, name := range w.names() {
		if w.nodes[name].Watching(w.now) || w.nodes[name].Group().Dispatching {
			// These daemons send to more receivers, on behalf of all.
			continue
		}
		if receivers[name] > maxReceivers {
			t.Errorf("%s has sent its state to %d others", name, receivers[name])
		}
		if senders[name] < 5 {
			t.Errorf("%s has received the state of %d others", name, senders[name])
		}
	}
}
