package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
)

// TestNoRequestGoesToACrashedInstance guards against requests that are sent to the only instance of their model after it has
// crashed, over and over, and do not report that their model is missing. The instance is listed until 3 s after its crash.
func TestNoRequestGoesToACrashedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &scriptedUpstream{}
		demand := &recordingDemand{}
		tracker := balance.NewTracker()
		g := trackedGateway(upstream, demand, tracker)
		tracker.RecordCrash(time.Now(), "i1", 0)
		show(g, []listing{{with: []string{"i1"}, without: []string{"i2"}}, {after: time.Second, with: []string{"i1", "i2"}}, {after: 3 * time.Second, with: []string{"i2"}}})
		sent := request("resume")
		sent.Model = "m"
		reply := &recordingReply{}
		began := time.Now()
		g.Serve(context.Background(), sent, reply)
		if took := time.Since(began); reply.status != 200 || took < time.Second || len(upstream.sent) != 1 || upstream.sent[0].Instance.ID != "i2" {
			t.Errorf("status %d as %q after %v, sent %d times", reply.status, reply.reason, took, len(upstream.sent))
		}
		if len(demand.wanted) != 1 {
			t.Errorf("missing models that were reported: %v", demand.wanted)
		}
	})
}
