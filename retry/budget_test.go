package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/retry"
)

func take(budget *retry.Budget, tries int) int {
	taken := 0
	for range tries {
		if budget.Take() {
			taken++
		}
	}
	return taken
}

func TestBudget(t *testing.T) {
	budget := retry.NewBudget(0.5, 4)
	if got := take(budget, 10); got != 4 {
		t.Errorf("%d tokens taken from a full budget of 4", got)
	}
	for range 5 {
		budget.Succeeded()
	}
	if got := take(budget, 10); got != 2 {
		t.Errorf("%d tokens taken after 5 successes with a share of 0.5", got)
	}
	for range 100 {
		budget.Succeeded()
	}
	budget.SetLimit(2)
	if got := take(budget, 10); got != 2 {
		t.Errorf("%d tokens taken with the limit lowered to 2", got)
	}
	budget.SetShare(1)
	budget.Succeeded()
	if got := take(budget, 10); got != 1 {
		t.Errorf("%d tokens taken after a success with a share of 1", got)
	}
}

func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const base, limit = 10 * time.Millisecond, 50 * time.Millisecond
	for attempt := range 10 {
		for range 100 {
			delay := retry.Backoff(random, attempt, base, limit)
			if delay < 0 || delay > limit || attempt == 0 && delay > base {
				t.Fatalf("attempt %d has a delay of %v", attempt, delay)
			}
		}
	}
}
