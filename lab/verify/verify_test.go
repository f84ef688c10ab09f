package verify_test

import (
	"testing"

	"github.com/wheatweir/wheatweir/lab/verify"
)

func TestPromisesHoldUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		outcome := verify.Run(verify.Options{Seed: seed})
		t.Logf("seed %d: calls %d answered %d leaving %s in-force %d faults %v", seed, outcome.Calls, outcome.Answered, outcome.LatestLeaving, outcome.InForceChecks, outcome.Faults)
		for promise, violations := range outcome.Violations {
			for _, violation := range violations {
				t.Errorf("seed %d: %s: %s", seed, promise, violation)
			}
		}
	}
}
