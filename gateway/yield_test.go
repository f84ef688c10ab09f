package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheatweir/wheatweir/balance"
	_ "github.com/wheatweir/wheatweir/internal/fixedseed"
)

// TestDecideYield guards against a background request that takes a place from urgent ones while it has slack, or waits
// without slack.
func TestDecideYield(t *testing.T) {
	const target, long = 4 * time.Second, time.Minute
	full, free := balance.Load{Requests: 4}, balance.Load{Requests: 3}
	cases := []struct {
		name string
		in   yieldInput
		want yieldDecision
	}{
		{"a free place", yieldInput{Priority: 2, Target: target, WaitLeft: long, Load: free, Slots: 4},
			yieldDecision{yieldSend, 3 * time.Second, 0}},
		{"a full batch", yieldInput{Priority: 2, Target: target, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldHold, 3 * time.Second, yieldPollInterval}},
		{"a full batch and a forecast", yieldInput{Priority: 2, Target: target, Forecast: time.Second, Waited: time.Second, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldHold, time.Second, yieldPollInterval}},
		{"prompts to read", yieldInput{Priority: 2, Target: target, WaitLeft: long, Load: free, Slots: 4, Crowded: true},
			yieldDecision{yieldHold, 3 * time.Second, yieldPollInterval}},
		{"the number of places is not known", yieldInput{Priority: 2, Target: target, WaitLeft: long, Load: full},
			yieldDecision{yieldSend, 3 * time.Second, 0}},
		{"an urgent request", yieldInput{Priority: 1, Target: target, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldSend, 3 * time.Second, 0}},
		{"the slack ends soon", yieldInput{Priority: 2, Target: target, Waited: 2990 * time.Millisecond, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldHold, 10 * time.Millisecond, 10 * time.Millisecond}},
		{"the slack has ended", yieldInput{Priority: 2, Target: target, Waited: 3 * time.Second, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldSend, 0, 0}},
		{"the forecast has used the slack up", yieldInput{Priority: 2, Target: target, Forecast: 3500 * time.Millisecond, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldSend, 0, 0}},
		{"it may wait no longer for another reason", yieldInput{Priority: 2, Target: target, WaitLeft: 5 * time.Millisecond, Load: full, Slots: 4},
			yieldDecision{yieldHold, 5 * time.Millisecond, 5 * time.Millisecond}},
		{"the wait for other reasons has ended", yieldInput{Priority: 2, Target: target, WaitLeft: -time.Second, Load: full, Slots: 4},
			yieldDecision{yieldSend, 0, 0}},
		{"too late from the start", yieldInput{Priority: 2, Target: target, Forecast: target + time.Millisecond, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldTooLate, 0, 0}},
		{"too late after a wait", yieldInput{Priority: 2, Target: target, Waited: time.Second, Forecast: 3001 * time.Millisecond, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldTooLate, 0, 0}},
		{"late, but begins soon", yieldInput{Priority: 2, Target: target, Waited: target, Forecast: time.Second, WaitLeft: long, Load: full, Slots: 4},
			yieldDecision{yieldSend, 0, 0}},
	}
	for _, c := range cases {
		if got := decideYield(c.in); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestNoYieldGoesOnBeyondTheSlack guards against a wait, for any load, that leaves less of the target than the forecast
// and the reserve, or after which the next decision is late.
func TestNoYieldGoesOnBeyondTheSlack(t *testing.T) {
	durationUpTo := func(maximum time.Duration) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.Int64Range(0, int64(maximum)), func(n int64) time.Duration { return time.Duration(n) })
	}
	rapid.Check(t, func(t *rapid.T) {
		in := yieldInput{
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Target: durationUpTo(time.Minute).Draw(t, "target"),
			Waited: durationUpTo(time.Minute).Draw(t, "waited"), WaitLeft: durationUpTo(time.Minute).Draw(t, "left") - time.Second,
			Forecast: durationUpTo(time.Minute).Draw(t, "forecast"), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
			Load: balance.Load{Requests: rapid.IntRange(0, 16).Draw(t, "requests")}, Crowded: rapid.Bool().Draw(t, "crowded"),
		}
		got := decideYield(in)
		if got.Slack < 0 || got.Action != yieldHold && got.Next != 0 {
			t.Fatalf("%+v", got)
		}
		if got.Action != yieldHold {
			return
		}
		if got.Next <= 0 || got.Next > min(got.Slack, yieldPollInterval) || got.Slack > in.WaitLeft {
			t.Errorf("slack %v, next decision after %v, may wait for %v", got.Slack, got.Next, in.WaitLeft)
		}
		if end := in.Waited + got.Slack + in.Forecast; end > in.Target-in.Target/4+time.Nanosecond {
			t.Errorf("begins %v after its arrival, for a target of %v", end, in.Target)
		}
	})
}
