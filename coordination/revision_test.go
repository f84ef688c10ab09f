package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"
)

// TestDaemonFollowsManyChangesOfMembersInSteps has a member restart in every tick. It guards
// against a daemon of a large fleet that recomputes ranks, groups and addresses from all members
// each time.
func TestDaemonFollowsManyChangesOfMembersInSteps(t *testing.T) {
	for _, c := range []struct{ members, minSteps, maxSteps int }{{30, 19, 21}, {1000, 3, 5}, {2000, 1, 3}} {
		w := newWorld(1)
		node := w.nodes["n0"]
		receiveRumor := func(number int, incarnation uint64) {
			name := fmt.Sprint("m", number)
			sender := member.Member{Name: name, Zone: "z0", PeerAddress: name, CallerAddress: name, Incarnation: incarnation}
			node.Receive(w.now, coordination.Message{From: name, Probe: &member.Message{Kind: member.Rumor, Sender: sender}})
		}
		for number := range c.members {
			receiveRumor(number, 1)
		}
		node.Tick(w.now)
		changes, before := 0, node.MembersRevision()
		for tick := range int(time.Second / coordination.TickInterval) {
			w.now = w.now.Add(coordination.TickInterval)
			receiveRumor(tick, 2)
			node.Tick(w.now)
			if revision := node.MembersRevision(); revision != before {
				changes, before = changes+1, revision
			}
		}
		if changes < c.minSteps || changes > c.maxSteps {
			t.Errorf("%d members: %d steps in a second", c.members, changes)
		}
	}
}
