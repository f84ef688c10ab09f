package coordination_test

import (
	"fmt"
	"testing"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/member"
)

// BenchmarkChangeOfAMember measures a tick in which one of many members has restarted.
func BenchmarkChangeOfAMember(b *testing.B) {
	for _, members := range []int{100, 300, 985, 2000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			w := newWorld(1)
			node := w.nodes["n0"]
			receiveRumor := func(number int, incarnation uint64) {
				name := fmt.Sprint("m", number)
				sender := member.Member{Name: name, Zone: zoneOfNode(number), PeerAddress: name, CallerAddress: name, Incarnation: incarnation}
				node.Receive(w.now, coordination.Message{From: name, Probe: &member.Message{Kind: member.Rumor, Sender: sender}})
			}
			for number := range members {
				receiveRumor(number, 1)
			}
			w.listInstances(20)
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				w.now = w.now.Add(coordination.TickInterval)
				receiveRumor(int(incarnation)%members, incarnation)
				node.UpdateOwnLoad(w.now, nil, nil, coordination.UrgencyNone)
				node.Tick(w.now)
				node.Group()
				node.Rank()
			}
		})
	}
}
