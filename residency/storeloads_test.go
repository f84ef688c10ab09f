package residency

import (
	"testing"
	"time"
)

// TestSuccessorKeepsTheRate covers what a new holder of the lease may load from the weight
// store at once, after what it heard of its predecessor.
func TestSuccessorKeepsTheRate(t *testing.T) {
	const perSecond = 4.0
	settings := DefaultSettings()
	now := time.Unix(1000, 0)
	predecessor := NewBook(settings)
	for _, ago := range []time.Duration{6 * time.Second, 4 * time.Second, 4 * time.Second, 600 * time.Millisecond, 0} {
		predecessor.loads.add(now.Add(-ago))
	}
	told := predecessor.StoreLoads(now)
	whole := int(perSecond * settings.Window.Seconds())
	cases := []struct {
		name    string
		toldAt  time.Time
		told    LoadCounts
		stopped bool
		after   time.Duration
		want    int
	}{
		{"nothing is known", time.Time{}, nil, false, 0, 0},
		{"it told and stopped", now, told, true, 0, whole - 4},
		{"it told and stopped some time ago", now, told, true, 2 * time.Second, whole - 2},
		{"it was heard a moment ago", now, told, false, 0, whole - 4 - 4},
		{"it was not heard for two seconds", now, told, false, 2 * time.Second, whole - 2 - 12},
		{"it was not heard for long", now, told, false, 20 * time.Second, 0},
		{"it told of no load", now, nil, false, time.Second, whole - 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := NewBook(settings)
			at := now.Add(c.after)
			book.Inherit(at, c.toldAt, c.told, c.stopped, perSecond)
			if left := max(0, book.loads.left(at, perSecond, settings.Window)); left != c.want {
				t.Errorf("%d loads left, want %d", left, c.want)
			}
			later := at.Add(settings.Window + time.Millisecond)
			if left := book.loads.left(later, perSecond, settings.Window); left != whole {
				t.Errorf("%d loads left a window later, want %d", left, whole)
			}
			book.loads.add(at)
			book.Inherit(at, c.toldAt, c.told, c.stopped, perSecond)
			if left := max(0, book.loads.left(at, perSecond, settings.Window)); left != max(0, c.want-1) {
				t.Errorf("%d loads left after one more here, want %d", left, max(0, c.want-1))
			}
		})
	}
}
