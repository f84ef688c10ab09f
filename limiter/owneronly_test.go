package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/tenant"
)

// TestStandInRedirectsToOwner has a daemon that has not reached the owner yet query a stand-in right after the owner
// granted a request. It guards against a second grant by the stand-in.
func TestStandInRedirectsToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, tenant.Limit{PerSecond: 1})
		owners := n.limiters["d0"].fleet.Load().Owners("acme")
		owner, standIn, requester := owners[0], owners[1], owners[2]
		for _, l := range n.limiters {
			l.ports.Strict, l.ports.OwnerOnly = true, true
		}
		n.run(2 * time.Second)
		members := []member.Member{{Name: owner, State: member.Suspect}, {Name: standIn}, {Name: requester}}
		n.limiters[requester].SetFleet(n.machineClock.Now(), quota.NewFleet(requester, members, 1, time.Minute))
		first := n.take(owner, 1)
		second := n.take(requester, 1)
		if !first.Granted || first.AnsweredBy != owner {
			t.Errorf("request at the owner: got %+v, want a grant by %s", first, owner)
		}
		if second.Granted || second.AnsweredBy != owner || second.Wait <= 0 {
			t.Errorf("request at the requester: got %+v, want a denial with a wait by %s", second, owner)
		}
	})
}
