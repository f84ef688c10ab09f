package entry

import (
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/quota"
)

// TestWaitForATurnIsOfTheWholeLimit covers what a request is told that has no turn. It guards against waits of a fleet
// that forms, which gives out a small part for a second or two: 42 s, for which requests were refused.
func TestWaitForATurnIsOfTheWholeLimit(t *testing.T) {
	limit := quota.Limit{PerSecond: 2}
	cases := []struct {
		name    string
		outcome limiter.Outcome
		want    gateway.Turn
	}{
		{"granted", limiter.Outcome{Granted: true, Wait: 300 * time.Millisecond}, gateway.Turn{Granted: true, Limited: true, Wait: 300 * time.Millisecond}},
		{"soon", limiter.Outcome{Wait: 700 * time.Millisecond}, gateway.Turn{Limited: true, Wait: 700 * time.Millisecond}},
		{"of a small part", limiter.Outcome{Wait: 42 * time.Second}, gateway.Turn{Limited: true, Wait: time.Second}},
		{"nobody can tell", limiter.Outcome{Unsure: true}, gateway.Turn{Limited: true, Wait: unsureSpent}},
	}
	for _, c := range cases {
		if got := turnOf(c.outcome, limit); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
