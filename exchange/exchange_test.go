package exchange_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/exchange"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/outcome"
)

type budget struct{ tokens int }

func (b *budget) Earn(time.Time) {}

func (b *budget) Take(time.Time) bool {
	b.tokens--
	return b.tokens >= 0
}

func result(kind outcome.Kind) outcome.Result {
	return outcome.Result{Kind: kind, Reason: outcome.ReasonBroken}
}

func TestAttemptEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name       string
		repeatable bool
		tokens     int
		late       bool
		relayed    bool
		ended      outcome.Kind
		want       exchange.Step
	}{
		{"answered", true, 9, false, true, outcome.Answered, exchange.StepFinish},
		{"not run is tried elsewhere", true, 9, false, false, outcome.NotRun, exchange.StepAttempt},
		{"not run is tried elsewhere even if not repeatable", false, 9, false, false, outcome.NotRun, exchange.StepAttempt},
		{"unknown is repeated if allowed", true, 9, false, false, outcome.Unknown, exchange.StepAttempt},
		{"unknown is not repeated otherwise", false, 9, false, false, outcome.Unknown, exchange.StepFinish},
		{"failed is not repeated otherwise", false, 9, false, false, outcome.Failed, exchange.StepFinish},
		{"nothing is repeated once relayed", true, 9, false, true, outcome.Failed, exchange.StepFinish},
		{"nothing is repeated after the deadline", true, 9, true, false, outcome.NotRun, exchange.StepFinish},
		{"nothing is repeated without budget", true, 0, false, false, outcome.NotRun, exchange.StepFinish},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := exchange.Request{Repeatable: c.repeatable, Deadline: now.Add(time.Second)}
			machine := exchange.New(exchange.DefaultSettings(), &budget{c.tokens}, request)
			machine.Start()
			at := now
			if c.late {
				at = now.Add(2 * time.Second)
			}
			if got := machine.AttemptEnded(at, result(c.ended), c.relayed); got != c.want {
				t.Fatalf("step %d, want %d", got, c.want)
			}
		})
	}
}

func TestClaimAnswered(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name  string
		claim exchange.Claim
		want  exchange.Step
		kind  outcome.Kind
	}{
		{"granted", exchange.ClaimGranted, exchange.StepAttempt, outcome.Answered},
		{"used", exchange.ClaimUsed, exchange.StepFinish, outcome.Unknown},
		{"unavailable", exchange.ClaimUnavailable, exchange.StepFinish, outcome.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			machine := exchange.New(exchange.DefaultSettings(), &budget{9}, exchange.Request{HasKey: true})
			if machine.Start() != exchange.StepClaim {
				t.Fatal("a key was not claimed first")
			}
			if got := machine.ClaimAnswered(now, c.claim); got != c.want || machine.Result.Kind != c.kind {
				t.Fatalf("step %d result %s, want %d %s", got, machine.Result.Kind, c.want, c.kind)
			}
		})
	}
}

// TestOracle drives requests through random endings. The oracle counts the
// attempts that may have run: a request that is not repeatable has at most one,
// and "not run" is said only if there was none.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		request := exchange.Request{Repeatable: rapid.Bool().Draw(t, "repeatable"), HasKey: rapid.Bool().Draw(t, "key")}
		machine := exchange.New(exchange.DefaultSettings(), &budget{rapid.IntRange(0, 5).Draw(t, "budget")}, request)
		mayHaveRun := 0
		step := machine.Start()
		for step != exchange.StepFinish {
			if step == exchange.StepClaim {
				step = machine.ClaimAnswered(now, exchange.Claim(rapid.IntRange(0, 2).Draw(t, "claim")))
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "any back end") == 0 {
				step = machine.NoBackEnd(outcome.ReasonNoReplica, time.Second)
				continue
			}
			kind := outcome.Kind(rapid.IntRange(0, 3).Draw(t, "ended"))
			if kind != outcome.NotRun {
				mayHaveRun++
			}
			step = machine.AttemptEnded(now, result(kind), rapid.Bool().Draw(t, "relayed"))
		}
		if !request.Repeatable && mayHaveRun > 1 {
			t.Fatalf("%d attempts may have run", mayHaveRun)
		}
		if machine.Result.Kind == outcome.NotRun && mayHaveRun > 0 {
			t.Fatalf("said not run after %d attempts that may have run", mayHaveRun)
		}
	})
}
