package gateway

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

func TestLate(t *testing.T) {
	now := time.Now()
	stream := &fleet.Route{Kind: fleet.KindStream, TargetLatency: 400 * time.Millisecond, TargetGap: 250 * time.Millisecond}
	plain := &fleet.Route{Kind: fleet.KindSafe, TargetLatency: 150 * time.Millisecond}
	ended := func(route *fleet.Route, took, first, pause time.Duration) Event {
		return Event{
			Step: StepEnded, Reason: ReasonAnswered, Route: route, Request: &Request{Arrived: now.Add(-took)}, FirstEvent: first, LongestPause: pause,
		}
	}
	refused := ended(plain, time.Second, 0, 0)
	refused.Step, refused.Reason = StepRefused, ReasonOverloaded
	cases := []struct {
		name  string
		event Event
		want  Lateness
	}{
		{"a stream in time", ended(stream, 5*time.Second, 400*time.Millisecond, 250*time.Millisecond), OnTime},
		{"its first event", ended(stream, 5*time.Second, 401*time.Millisecond, time.Second), LateFirst},
		{"a pause", ended(stream, 5*time.Second, 100*time.Millisecond, 251*time.Millisecond), LatePause},
		{"an answer in time", ended(plain, 150*time.Millisecond, 0, 0), OnTime},
		{"a late answer", ended(plain, 151*time.Millisecond, 0, 0), LateAnswer},
		{"a refusal", refused, OnTime},
		{"no route", ended(nil, time.Second, 0, 0), OnTime},
	}
	for _, c := range cases {
		if got := c.event.Late(now); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
