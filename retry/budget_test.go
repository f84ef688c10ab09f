package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/retry"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func take(budget *retry.Budget, now time.Time, tries int) int {
	taken := 0
	for range tries {
		if budget.Take(now) {
			taken++
		}
	}
	return taken
}

func earn(budget *retry.Budget, now time.Time, requests int) {
	for range requests {
		budget.Earn(now)
	}
}

func TestBudget(t *testing.T) {
	settings := retry.Settings{Share: 0.5, SavedShare: 0.25, Window: 10 * time.Second, Floor: 1}
	budget := retry.NewBudget(settings)
	if got := take(budget, at(0), 10); got != 0 {
		t.Errorf("%d tokens in a new budget", got)
	}
	earn(budget, at(0), 5)
	if got := take(budget, at(0), 10); got != 1 {
		t.Errorf("%d tokens of 5 requests, of which 1.25 may be saved", got)
	}
	earn(budget, at(1), 35)
	if got := take(budget, at(1), 20); got != 10 {
		t.Errorf("%d tokens of 40 requests, of which 10 may be saved", got)
	}
	earn(budget, at(2), 40)
	// The requests leave the window, and with them what was saved for them.
	if got := take(budget, at(13), 20); got != 1 {
		t.Errorf("%d tokens saved after a quiet window, want the floor", got)
	}
	settings.Share = 1
	budget.Set(settings)
	earn(budget, at(14), 1)
	if got := take(budget, at(14), 10); got != 1 {
		t.Errorf("%d tokens of a request with a share of 1", got)
	}
	initial := retry.NewBudget(retry.Settings{Share: 0.5, Floor: 4, Initial: 4})
	if got := take(initial, at(0), 10); got != 4 {
		t.Errorf("%d tokens taken, 4 were given at the start", got)
	}
}

// TestReservedTokensAreSpentOnceAndNotKept guards against a token that two requests are promised, one that is lost with a request
// that is not sent, and one that is kept beyond the traffic that it was saved for.
func TestReservedTokensAreSpentOnceAndNotKept(t *testing.T) {
	budget := retry.NewBudget(retry.Settings{Share: 1, SavedShare: 0.5, Window: 10 * time.Second, Floor: 1})
	earn(budget, at(0), 4)
	for number, want := range []bool{true, true, false} {
		if decision := budget.Reserve(at(0)); decision.Allowed != want || decision.Limit != 2 {
			t.Errorf("reservation %d: %+v", number, decision)
		}
	}
	budget.Cancel()
	if !budget.Reserve(at(0)).Allowed {
		t.Error("a token that was given back is lost")
	}
	if !budget.Spend(at(0)).Allowed {
		t.Error("a reserved token cannot be spent")
	}
	budget.Refund()
	if budget.Reserve(at(0)).Allowed {
		t.Error("a token that was refunded is promised twice")
	}
	if !budget.Spend(at(20)).Allowed {
		t.Error("the floor cannot be spent")
	}
	if budget.Spend(at(20)).Allowed {
		t.Error("a token is spent that was saved for requests of a window long past")
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
