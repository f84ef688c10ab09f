package residency_test

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/residency"
)

// crashDeployment has an instance with a model that only it holds, and an empty instance.
func crashDeployment(loadTime time.Duration) *promptDeployment {
	c := newPromptDeployment(&fakeInstance{id: "s1", models: map[string][]string{"big": nil}}, &fakeInstance{id: "s2", models: map[string][]string{}})
	c.engine = &fleet.Engine{WeightsMB: 200, LoadsPerSecond: 10, Models: []fleet.Model{{Name: "big", WeightsMB: 90, LoadTime: loadTime}}}
	for _, s := range c.instances {
		c.tracker.Report(c.now, c.now, s.id, s.report())
	}
	return c
}

func loadTargets(orders []residency.Order, model string) (targets []string) {
	for _, order := range orders {
		if order.Load && order.Model == model {
			targets = append(targets, order.Instance)
		}
	}
	return targets
}

// Guards against models that stay unreachable until the instance list reflects a crash, three
// heartbeats later.
func TestModelsOfACrashedServerAreReplacedAtOnce(t *testing.T) {
	c := crashDeployment(1200 * time.Millisecond)
	if early := loadTargets(c.plan(), "big"); len(early) > 0 {
		t.Fatalf("loaded on %v before the crash", early)
	}
	c.now = c.now.Add(10 * time.Millisecond)
	c.tracker.RecordCrash(c.now, "s1")
	if targets := loadTargets(c.plan(), "big"); len(targets) != 1 || targets[0] != "s2" {
		t.Errorf("loaded on %v, want s2", targets)
	}
}

// Guards against loads that complete only after the instance list reflects the crash anyway.
func TestSlowLoadsDoNotFollowARefusedConnection(t *testing.T) {
	c := crashDeployment(6 * time.Second)
	c.now = c.now.Add(10 * time.Millisecond)
	c.tracker.RecordCrash(c.now, "s1")
	if targets := loadTargets(c.plan(), "big"); len(targets) > 0 {
		t.Errorf("loaded on %v", targets)
	}
}

// Guards against a running instance that is excluded permanently. The crash mark ends with a report
// that was requested after the refused connection, or after four seconds without further evidence.
// An older report does not end it.
func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	cases := []struct {
		name        string
		requestedAt time.Duration
		plannedAt   time.Duration
		crashed     bool
	}{
		{"no report", -1, 3 * time.Second, true},
		{"report requested before", 0, time.Second, true},
		{"report requested after", 20 * time.Millisecond, time.Second, false},
		{"no further evidence", -1, 4100 * time.Millisecond, false},
	}
	for _, example := range cases {
		c := crashDeployment(time.Second)
		start := c.now
		c.tracker.RecordCrash(start.Add(10*time.Millisecond), "s1")
		if example.requestedAt >= 0 {
			c.tracker.Report(start.Add(example.requestedAt), start.Add(500*time.Millisecond), "s1", c.instances[0].report())
		}
		c.now = start.Add(example.plannedAt)
		if crashed := len(loadTargets(c.plan(), "big")) > 0; crashed != example.crashed {
			t.Errorf("%s: treated as crashed %v", example.name, crashed)
		}
	}
}

// Guards against orders that are sent again and again to an address at which no process listens.
func TestCrashedServerGetsNoOrderAgain(t *testing.T) {
	c := crashDeployment(time.Second)
	lost := residency.Order{Instance: "s1", Load: true, Model: "big"}
	c.tracker.RecordSending(c.now, lost)
	c.tracker.RecordAnswer(c.now, lost, residency.AnswerUnknown)
	c.now = c.now.Add(time.Second)
	if again := c.tracker.DueResends(c.now); len(again) != 1 {
		t.Fatalf("sent again before the crash: %v", again)
	}
	c.tracker.RecordCrash(c.now, "s1")
	if again := c.tracker.DueResends(c.now); len(again) > 0 {
		t.Errorf("sent again: %v", again)
	}
}
