package daemon

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/replica"
	"github.com/wheatweir/wheatweir/retry"
	"github.com/wheatweir/wheatweir/route"
	"github.com/wheatweir/wheatweir/tenant"
)

// TestTableIsNewBeforeRequestsAreLetIn covers a daemon that has just started: the
// moment that it counts as caught up, its routing table holds what it learned.
func TestTableIsNewBeforeRequestsAreLetIn(t *testing.T) {
	now := time.Unix(1000, 0)
	self := member.Member{Name: "d", Zone: "z", PeerAddress: "peer", Incarnation: 1}
	d := &Daemon{node: control.New(self, control.DefaultSettings(), rand.New(rand.NewPCG(1, 1))), gates: map[string]*admit.Gate{}, discovery: quota.NewDiscovery(now), budgets: retry.NewBudgets(retry.Settings{})}
	d.table.Store(&route.Table{})
	d.tenants.Store(tenant.NewTable(nil))
	d.limiter = d.newLimiter()
	model := api.Model{Name: "m", Serving: "v1", Versions: []api.Version{{Name: "v1", Bytes: 10}}, MinReplicas: 1}
	d.node.ChangesAnswered(now, control.ChangesAnswer{Delta: replica.Delta{Through: 2, Objects: []api.Object{
		{Key: api.Key{Kind: api.KindModel, Name: "m"}, Version: 2, Value: api.Encode(model)},
	}}})
	for end := now.Add(time.Minute); !d.caughtUp.Load(); now = now.Add(tickInterval) {
		if now.After(end) {
			t.Fatal("never caught up")
		}
		d.node.Tick(now)
		made := d.noteCaughtUp(now)
		if made != d.caughtUp.Load() {
			t.Fatalf("table made %v, caught up %v", made, d.caughtUp.Load())
		}
	}
	if d.table.Load().Models["m"] == nil {
		t.Fatal("requests are let in with a table that lacks the model")
	}
	if d.noteCaughtUp(now) {
		t.Error("a table is made again without need")
	}
}
