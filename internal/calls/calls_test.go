package calls_test

import (
	"context"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/calls"
)

// TestAnswerToAnEarlierProcessIsDropped guards against a process that has just started and takes the answer to a question of
// the process before it for the answer to its own first one.
func TestAnswerToAnEarlierProcessIsDropped(t *testing.T) {
	var asked []uint64
	before := calls.New[string]()
	for range 20 {
		before.Ask(context.Background(), 0, func(id uint64) { asked = append(asked, id) })
	}
	after := calls.New[string]()
	for range 20 {
		answer, answered := after.Ask(context.Background(), time.Millisecond, func(uint64) {
			for _, id := range asked {
				after.Answered(id, "an answer to the process before")
			}
		})
		if answered {
			t.Fatalf("took %q", answer)
		}
	}
}
