package gateway

import (
	"testing"
	"time"
)

func TestComingBackLaterTheLongerAShortageLasts(t *testing.T) {
	const least = 200 * time.Millisecond
	cases := []struct {
		name  string
		lasts time.Duration
		want  time.Duration
	}{
		{"just begun", 0, least},
		{"for a second", time.Second, time.Second},
		{"for a minute", time.Minute, maxRetryAfter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, begun := newShortageTracker(), time.Now()
			for at := time.Duration(0); at < c.lasts; at += 500 * time.Millisecond {
				s.recordRefusal(begun.Add(at), "m", least)
			}
			distinct := map[time.Duration]bool{}
			for range 100 {
				got := s.recordRefusal(begun.Add(c.lasts), "m", least)
				distinct[got] = true
				if got < c.want*3/4 || got > c.want*5/4 {
					t.Fatalf("retry after %v, want about %v", got, c.want)
				}
			}
			if len(distinct) < 50 {
				t.Errorf("%d different delays for 100 clients", len(distinct))
			}
		})
	}
}

func TestAShortageEndsWithoutRefusals(t *testing.T) {
	const least = 200 * time.Millisecond
	s, now := newShortageTracker(), time.Now()
	for range 10 {
		s.recordRefusal(now, "m", least)
		now = now.Add(500 * time.Millisecond)
	}
	if got := s.recordRefusal(now, "other", least); got > least*5/4 {
		t.Errorf("another model: retry after %v", got)
	}
	now = now.Add(2 * shortageTTL)
	if got := s.recordRefusal(now, "m", least); got > least*5/4 {
		t.Errorf("after the shortage: retry after %v", got)
	}
	if len(s.byModel) != 1 {
		t.Errorf("%d shortages are stored", len(s.byModel))
	}
}
