package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/retry"
)

// fakeQuarantine is a gateway.Quarantine for a single content.
type fakeQuarantine struct {
	suspects bool
	// heldFrom is the time from which the content is held; zero for never.
	heldFrom time.Time
	// holdAfter is the number of broken runs after which the content is held.
	holdAfter int
	broke     []quarantine.InterruptedRequest
	settled   int
	served    int
	digests   int
	// servedParts are the parts passed with the last call of RecordSuccess.
	servedParts []quarantine.Part
	// harmless are the prompts passed to RecordHarmlessPrompt.
	harmless [][]gateway.PromptPart
	// turnAt is the time from which the content gets a turn; zero for always.
	turnAt time.Time
	// clearedAt is the time from which nothing is suspected any more; zero for never.
	clearedAt time.Time
	turns     int
}

const heldFor = 10 * time.Minute

func (q *fakeQuarantine) HasSuspects() bool {
	return q.suspects && (q.clearedAt.IsZero() || time.Now().Before(q.clearedAt))
}

func (q *fakeQuarantine) Digest(content *quarantine.Content) quarantine.Digest {
	q.digests++
	return quarantine.NewHasher("secret").Sum(content)
}

func (q *fakeQuarantine) PartDigest(id string) quarantine.Digest {
	return quarantine.NewHasher("secret").Part(id)
}

func (q *fakeQuarantine) HeldUntil(request *quarantine.Attributes) (time.Time, quarantine.Digest) {
	if q.heldFrom.IsZero() || time.Now().Before(q.heldFrom) {
		return time.Time{}, quarantine.Digest{}
	}
	return q.heldFrom.Add(heldFor), request.Content
}

func (q *fakeQuarantine) AcquireSuspectTurn(context.Context, *quarantine.Attributes) gateway.Turn {
	wait := max(0, time.Until(q.turnAt))
	if wait == 0 {
		q.turns++
	}
	return gateway.Turn{Granted: wait == 0, Limited: true, Wait: wait}
}

func (q *fakeQuarantine) RecordBroken(_ *fleet.Instance, victim quarantine.InterruptedRequest) {
	q.suspects = true
	q.broke = append(q.broke, victim)
	if len(q.broke) == q.holdAfter {
		q.heldFrom = time.Now()
	}
}

func (q *fakeQuarantine) AwaitCrashCheck(context.Context, *fleet.Instance) { q.settled++ }
func (q *fakeQuarantine) RecordSuccess(request *quarantine.Attributes) {
	q.served++
	q.servedParts = request.Parts
}
func (q *fakeQuarantine) RecordHarmlessPrompt(prompt []gateway.PromptPart) {
	q.harmless = append(q.harmless, prompt)
}
func (q *fakeQuarantine) RecordAnswer(string, time.Time) {}

// serveQuarantined serves one request with the given quarantine.
func serveQuarantined(upstream gateway.Upstream, held *fakeQuarantine, sent *gateway.Request, view *fleet.View) *recordingReply {
	settings := gateway.Settings{
		RetryAfter: 200 * time.Millisecond, MaxWaitShare: 0.5, ConnectionShare: func() float64 { return 1 }, Quarantine: held,
	}
	g := gateway.New(settings, upstream, balance.NewTracker(), retry.NewBudgets(retry.Settings{Share: 0.2, Floor: 10, Initial: 10}), &recordingDemand{}, discardObserver{})
	g.SetView(view)
	reply := &recordingReply{}
	g.Serve(context.Background(), sent, reply)
	return reply
}

func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &scriptedUpstream{}
		reply := serveQuarantined(upstream, &fakeQuarantine{suspects: true, heldFrom: time.Now()}, request("safe"), view())
		if reply.status != 503 || reply.reason != gateway.ReasonQuarantined || reply.retryAfter != heldFor {
			t.Errorf("status %d, reason %q, retry after %v", reply.status, reply.reason, reply.retryAfter)
		}
		if len(upstream.sent) > 0 || !reply.at.Equal(time.Now()) {
			t.Errorf("sent %d times", len(upstream.sent))
		}
	})
}

// TestRequestThatWaitsIsRefusedOnceItIsHeld guards against a request that keeps waiting after its content was put under
// quarantine. It waits because no instance has its model.
func TestRequestThatWaitsIsRefusedOnceItIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &scriptedUpstream{}
		sent := request("stream")
		sent.Model = "nowhere"
		began := time.Now()
		reply := serveQuarantined(upstream, &fakeQuarantine{suspects: true, heldFrom: began.Add(300 * time.Millisecond)}, sent, view("m"))
		if reply.reason != gateway.ReasonQuarantined || reply.at.Sub(began) > 400*time.Millisecond {
			t.Errorf("reason %q after %v", reply.reason, reply.at.Sub(began))
		}
	})
}

// TestNoAttemptFollowsTheOneThatHoldsARequest guards against a second attempt that does not wait for the check whether
// the first instance crashed. There is no second attempt if the result of the check holds the request.
// The status is 502 then, since the first attempt may have run.
func TestNoAttemptFollowsTheOneThatHoldsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &scriptedUpstream{answers: []answer{{err: gateway.ErrUnknown.New("reset")}, {status: 200, body: "late"}}}
		held := &fakeQuarantine{holdAfter: 1}
		reply := serveQuarantined(upstream, held, request("safe"), view())
		if reply.status != 502 || len(upstream.sent) != 1 || held.settled != 1 {
			t.Errorf("status %d, sent %d times, waited for the check %d times", reply.status, len(upstream.sent), held.settled)
		}
	})
}

func TestBrokenRunsAreToldAndGoodOnesToo(t *testing.T) {
	cases := []struct {
		name    string
		route   string
		answers []answer
		broke   int
		served  int
	}{
		{"no head", "once", []answer{{err: gateway.ErrUnknown.New("reset")}}, 1, 0},
		{"nothing sent", "once", []answer{{err: gateway.ErrNotSent.New("refused")}}, 0, 0},
		{"body cut", "once", []answer{{status: 200, body: "part", cut: true}}, 1, 0},
		{"stream cut", "stream", []answer{{status: 200, body: "id: 1\n\n", cut: true}}, 1, 0},
		{"declined", "once", []answer{{status: 503, declined: true}}, 0, 0},
		{"error status", "once", []answer{{status: 500}}, 0, 0},
		{"broken, then complete", "safe", []answer{{err: gateway.ErrUnknown.New("reset")}, {status: 200, body: "whole"}}, 1, 1},
		{"deadline exceeded", "once", []answer{{hang: true}}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := &fakeQuarantine{}
				began := time.Now()
				serveQuarantined(&scriptedUpstream{answers: c.answers}, held, request(c.route), view())
				if len(held.broke) != c.broke || held.served != c.served {
					t.Errorf("%d broken and %d successful runs are reported, want %d and %d", len(held.broke), held.served, c.broke, c.served)
				}
				if c.broke > 0 && held.broke[0].Began.Before(began) {
					t.Error("the run began before the request arrived")
				}
			})
		})
	}
}

// TestNothingIsDigestedWithoutSuspicion guards against the cost of digests while no instance has crashed.
func TestNothingIsDigestedWithoutSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := &fakeQuarantine{}
		if reply := serveQuarantined(&scriptedUpstream{}, held, request("safe"), view()); reply.status != 200 || held.digests > 0 {
			t.Errorf("status %d, %d digests", reply.status, held.digests)
		}
	})
}

// TestCopyOfASuspectWaitsForItsTurn covers a request that waits while another request with its content may still crash
// an instance. It is sent once it gets a turn, or once the content is cleared. It is rejected at once, as not run, if
// that would take too long.
func TestCopyOfASuspectWaitsForItsTurn(t *testing.T) {
	cases := []struct {
		name    string
		turnIn  time.Duration
		heldIn  time.Duration
		clearIn time.Duration
		status  int
		reason  gateway.Reason
		took    time.Duration
	}{
		{"a turn at once", 0, 0, 0, 200, "", 0},
		{"a turn soon", time.Second, 0, 0, 200, "", time.Second},
		{"cleared by another request", 2 * time.Second, 0, 400 * time.Millisecond, 200, "", 400 * time.Millisecond},
		{"held in the meantime", 2 * time.Second, 600 * time.Millisecond, 0, 503, gateway.ReasonQuarantined, 600 * time.Millisecond},
		{"no turn in time", time.Minute, 0, 0, 503, gateway.ReasonSuspected, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				suspect := &fakeQuarantine{suspects: true, turnAt: began.Add(c.turnIn)}
				if c.heldIn > 0 {
					suspect.heldFrom = began.Add(c.heldIn)
				}
				if c.clearIn > 0 {
					suspect.clearedAt = began.Add(c.clearIn)
				}
				upstream := &scriptedUpstream{}
				reply := serveQuarantined(upstream, suspect, request("unsafe"), view())
				late := reply.at.Sub(began) - c.took
				if reply.status != c.status || reply.reason != c.reason || late < 0 || late > 100*time.Millisecond {
					t.Errorf("status %d as %q after %v", reply.status, reply.reason, reply.at.Sub(began))
				}
				if c.status == 503 && (len(upstream.sent) > 0 || reply.retryAfter == 0) {
					t.Errorf("sent %d times, retry after %v", len(upstream.sent), reply.retryAfter)
				}
			})
		})
	}
}

// TestEachAttemptOfASuspectNeedsATurn guards against a retry that uses the turn of the first attempt, whose connection
// broke.
func TestEachAttemptOfASuspectNeedsATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspect := &fakeQuarantine{suspects: true}
		upstream := &scriptedUpstream{answers: []answer{{err: gateway.ErrUnknown.New("reset")}, {status: 200, body: "ok"}}}
		reply := serveQuarantined(upstream, suspect, request("safe"), view())
		if reply.status != 200 || suspect.turns != 2 {
			t.Errorf("status %d after %d turns", reply.status, suspect.turns)
		}
	})
}

// TestSharedPartsOfPromptsAreJudged covers which parts of a prompt the quarantine checks: all but the last one, which
// no other request shares, and 32 at most.
func TestSharedPartsOfPromptsAreJudged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			prompt []gateway.PromptPart
			want   int
		}{
			{nil, 0},
			{[]gateway.PromptPart{{ID: "own"}}, 0},
			{[]gateway.PromptPart{{ID: "first"}, {ID: "second"}, {ID: "own"}}, 2},
			{make([]gateway.PromptPart, 100), 32},
		} {
			tracker := &fakeQuarantine{}
			sent := request("safe")
			sent.Prompt = c.prompt
			serveQuarantined(&scriptedUpstream{answers: []answer{{err: gateway.ErrUnknown.New("reset")}, {status: 200, body: "well"}}}, tracker, sent, view())
			if len(tracker.broke) != 1 || len(tracker.broke[0].Parts) != c.want || len(tracker.servedParts) != c.want {
				t.Errorf("prompt of %d parts: broke %v, served %v", len(c.prompt), tracker.broke, tracker.servedParts)
			}
			if reported := len(tracker.harmless) == 1; reported != (c.want > 0) {
				t.Errorf("prompt of %d parts: reported as harmless %v", len(c.prompt), tracker.harmless)
			}
		}
	})
}

// TestAnswerThatEndsWithItsConnectionSpeaksForNoPart guards against shared parts that are cleared by an answer without
// a length or chunks. If the instance crashes between two events of it, the answer looks complete.
func TestAnswerThatEndsWithItsConnectionSpeaksForNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &fakeQuarantine{suspects: true}
		sent := request("safe")
		sent.Prompt = []gateway.PromptPart{{ID: "first"}, {ID: "own"}}
		serveQuarantined(&scriptedUpstream{answers: []answer{{status: 200, body: "well", framing: gateway.FramedByConnection}}}, tracker, sent, view())
		if tracker.served != 1 || len(tracker.servedParts) > 0 || len(tracker.harmless) > 0 {
			t.Errorf("served %d times with parts %v, reported as harmless %v", tracker.served, tracker.servedParts, tracker.harmless)
		}
	})
}
