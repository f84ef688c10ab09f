package admit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
	"github.com/wheatweir/wheatweir/outcome"
)

func TestArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name     string
		limit    int
		earlier  int
		max      int
		deadline time.Duration
		admitted bool
		queued   bool
		reason   outcome.Reason
	}{
		{"free slot", 1, 0, 10, 0, true, false, outcome.ReasonNone},
		{"no free slot", 1, 1, 10, 0, false, true, outcome.ReasonNone},
		{"full queue", 1, 3, 2, 0, false, false, outcome.ReasonQueueFull},
		{"deadline cannot be met", 1, 1, 10, time.Millisecond, false, false, outcome.ReasonDeadline},
		{"deadline can be met", 1, 1, 10, time.Minute, false, true, outcome.ReasonNone},
		{"limit of zero", 0, 0, 10, 0, false, true, outcome.ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := admit.NewQueue(admit.Settings{MaxWaiting: c.max, Handicap: time.Second}, c.limit)
			for range c.earlier {
				queue.Arrive(now, &admit.Ticket{})
			}
			ticket := &admit.Ticket{}
			if c.deadline > 0 {
				ticket.Deadline = now.Add(c.deadline)
			}
			verdict := queue.Arrive(now, ticket)
			if verdict.Admitted != c.admitted || verdict.Queued != c.queued || verdict.Refusal.Reason != c.reason {
				t.Fatalf("verdict %+v", verdict)
			}
			if c.reason != outcome.ReasonNone && (verdict.Refusal.Kind != outcome.NotRun || verdict.Refusal.RetryAfter <= 0) {
				t.Fatalf("refusal %+v, want kind NotRun and a positive RetryAfter", verdict.Refusal)
			}
		})
	}
}

// TestFreeWaitsOnlySoLong checks that a free request starts after critical ones
// that arrive within twice the handicap, and before those that arrive later.
func TestFreeWaitsOnlySoLong(t *testing.T) {
	now := time.Unix(1000, 0)
	queue := admit.NewQueue(admit.Settings{MaxWaiting: 100, Handicap: 5 * time.Second}, 1)
	queue.Arrive(now, &admit.Ticket{})
	free := &admit.Ticket{Priority: api.PriorityFree}
	queue.Arrive(now, free)
	early := &admit.Ticket{Priority: api.PriorityCritical}
	queue.Arrive(now.Add(9*time.Second), early)
	late := &admit.Ticket{Priority: api.PriorityCritical}
	queue.Arrive(now.Add(11*time.Second), late)
	for i, want := range []*admit.Ticket{early, free, late} {
		started, _ := queue.Finish(now.Add(12*time.Second), time.Second)
		if len(started) != 1 || started[0] != want {
			t.Fatalf("free slot %d was given to another request", i)
		}
	}
}

// TestQueueKeepsItsLimit compares the counts of a queue with a simple model under
// random arrivals, ends, cancellations and limits.
func TestQueueKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		queue := admit.NewQueue(admit.Settings{MaxWaiting: 5, Handicap: time.Second}, limit)
		running := 0
		waiting := map[*admit.Ticket]bool{}
		record := func(started, expired []*admit.Ticket) {
			for _, ticket := range append(started, expired...) {
				if !waiting[ticket] {
					t.Fatalf("a ticket that was not waiting was started or expired")
				}
				delete(waiting, ticket)
			}
			running += len(started)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				ticket := &admit.Ticket{Priority: api.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))}
				if rapid.Bool().Draw(t, "has deadline") {
					ticket.Deadline = now.Add(2 * time.Second)
				}
				verdict := queue.Arrive(now, ticket)
				if verdict.Admitted {
					running++
				}
				if verdict.Queued {
					waiting[ticket] = true
				}
			case 2:
				if running > 0 {
					running--
					record(queue.Finish(now, time.Second))
				}
			case 3:
				for ticket := range waiting {
					if !queue.Leave(ticket) {
						t.Fatalf("a waiting ticket could not be removed")
					}
					delete(waiting, ticket)
					break
				}
			case 4:
				limit = rapid.IntRange(0, 4).Draw(t, "new limit")
				record(queue.SetLimit(now, limit))
			}
			if queue.Running() != running || queue.Waiting() != len(waiting) {
				t.Fatalf("%d running and %d waiting, want %d and %d", queue.Running(), queue.Waiting(), running, len(waiting))
			}
			if running < limit && len(waiting) > 0 {
				t.Fatalf("%d of %d running while %d wait", running, limit, len(waiting))
			}
		}
	})
}

func TestGateEndsEveryWait(t *testing.T) {
	cases := []struct {
		name        string
		deadline    time.Duration
		cancelAfter time.Duration
		exitAfter   time.Duration
		want        outcome.Reason
		admitted    bool
	}{
		{"a slot becomes free", time.Minute, 0, time.Second, outcome.ReasonNone, true},
		{"the deadline passes", 2 * time.Second, 0, 0, outcome.ReasonDeadline, false},
		{"the caller disconnects", time.Minute, time.Second, 0, outcome.ReasonCallerGone, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := admit.NewGate(admit.DefaultSettings(), 1)
				gate.Acquire(context.Background(), &admit.Ticket{})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.cancelAfter > 0 {
					time.AfterFunc(c.cancelAfter, cancel)
				}
				if c.exitAfter > 0 {
					time.AfterFunc(c.exitAfter, func() { gate.Release(time.Second) })
				}
				refusal, admitted := gate.Acquire(ctx, &admit.Ticket{Deadline: time.Now().Add(c.deadline)})
				if admitted != c.admitted || refusal.Reason != c.want {
					t.Fatalf("admitted %v, refusal %+v", admitted, refusal)
				}
			})
		})
	}
}
