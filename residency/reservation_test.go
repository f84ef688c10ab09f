package residency_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// TestRefusedUnloadReservesNothing guards against a model that gets no replica for seconds because its memory counts as
// about to be freed, although the instance refused the unload. An unload that may still be executed keeps the memory reserved.
func TestRefusedUnloadReservesNothing(t *testing.T) {
	cases := []struct {
		name    string
		answers []residency.Answer
		again   bool
	}{
		{"busy", []residency.Answer{residency.AnswerBusy}, true},
		{"not sent", []residency.Answer{residency.AnswerNotSent}, true},
		{"accepted", []residency.Answer{residency.AnswerAccepted}, false},
		{"unanswered, then busy", []residency.Answer{residency.AnswerUnknown, residency.AnswerBusy}, false},
	}
	for _, c := range cases {
		deployment := newPromptDeployment(
			&fakeInstance{id: "s0", models: map[string][]string{"hot": nil}}, &fakeInstance{id: "s1", models: map[string][]string{"hot": nil}},
		)
		deployment.engine = &fleet.Engine{Slots: 32, WeightsMB: 100, LoadsPerSecond: 10, Models: []fleet.Model{{Name: "hot", WeightsMB: 100}, {Name: "rare", WeightsMB: 100}}}
		demand := map[string]residency.Demand{"hot": {Concurrent: 0.1, PerSecond: 0.1}, "rare": {Concurrent: 1, PerSecond: 0.1, Waiting: 1}}
		unloads := func() (found []residency.Order) {
			for _, s := range deployment.instances {
				deployment.tracker.Report(deployment.now, deployment.now, s.id, s.report())
			}
			for _, order := range deployment.tracker.Plan(deployment.now, serviceFor(deployment.engine), demand) {
				if !order.Load && order.ReservedFor == "rare" {
					found = append(found, order)
				}
			}
			return found
		}
		first := unloads()
		if len(first) != 1 {
			t.Fatalf("%s: ordered %v", c.name, first)
		}
		for _, answer := range c.answers {
			deployment.tracker.RecordSending(deployment.now, first[0])
			deployment.tracker.RecordAnswer(deployment.now, first[0], answer)
			deployment.now = deployment.now.Add(300 * time.Millisecond)
		}
		if again := unloads(); (len(again) == 1) != c.again {
			t.Errorf("%s: ordered again %v", c.name, again)
		}
	}
}
