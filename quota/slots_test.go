package quota

import (
	"testing"
	"time"
)

// TestSlotsThatAreInUse guards against slots that are lost, or given out twice, as the part of the limit changes that a
// daemon may give out.
func TestSlotsThatAreInUse(t *testing.T) {
	limit := Limit{PerSecond: 0.1, Burst: 7, Slots: true}
	cases := []struct {
		name string
		// inUse is how many are in use at the beginning, back how many come back then.
		inUse, back int
		part        float64
		want        int
	}{
		{"none in use", 0, 0, 1, 8},
		{"all in use", 8, 0, 1, 0},
		{"some come back", 8, 3, 1, 3},
		{"more come back than were given out", 2, 5, 1, 8},
		{"half of the limit", 0, 0, 0.5, 4},
		{"half of the limit, two in use", 2, 0, 0.5, 2},
		{"the smallest part", 0, 0, 0.01, 1},
		{"the smallest part, one in use", 1, 0, 0.01, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			known := &bucket{updatedAt: now, level: limit.Burst - float64(c.inUse)}
			for range c.back {
				known.refund(now, &limit, c.part, 1)
			}
			given := 0
			for {
				if granted, _ := known.take(now, &limit, c.part, 1, 0); !granted {
					break
				}
				given++
			}
			if given != c.want {
				t.Errorf("%d given out, want %d", given, c.want)
			}
		})
	}
}

// TestLostSlotsComeBack guards against slots that are never given out again, as the daemons that had them ended.
func TestLostSlotsComeBack(t *testing.T) {
	limit := Limit{PerSecond: 0.25, Burst: 7, Slots: true}
	now := time.Unix(1000, 0)
	known := &bucket{updatedAt: now, level: -1}
	if granted, wait := known.take(now, &limit, 1, 1, 0); granted || wait != 4*time.Second {
		t.Errorf("granted %t, wait %v", granted, wait)
	}
	if granted, _ := known.take(now.Add(4*time.Second), &limit, 1, 1, 0); !granted {
		t.Error("a lost slot did not come back")
	}
}
