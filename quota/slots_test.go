package quota

import (
	"testing"
	"time"
)

// TestSlotsThatAreInUse guards against slots that are lost, or granted twice, when the part of the limit changes that a
// daemon may grant.
func TestSlotsThatAreInUse(t *testing.T) {
	limit := Limit{PerSecond: 0.1, Burst: 7, Slots: true}
	cases := []struct {
		name string
		// inUse is how many slots are in use at first, and returned how many of them are then returned.
		inUse, returned int
		part            float64
		want            int
	}{
		{"none in use", 0, 0, 1, 8},
		{"all in use", 8, 0, 1, 0},
		{"some are returned", 8, 3, 1, 3},
		{"more are returned than were granted", 2, 5, 1, 8},
		{"half of the limit", 0, 0, 0.5, 4},
		{"half of the limit, two in use", 2, 0, 0.5, 2},
		{"the smallest part", 0, 0, 0.01, 1},
		{"the smallest part, one in use", 1, 0, 0.01, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &bucket{at: now, level: limit.Burst - float64(c.inUse)}
			for range c.returned {
				b.refund(now, &limit, c.part, 1)
			}
			grantedSlots := 0
			for {
				if granted, _ := b.take(now, &limit, c.part, 1, 0); !granted {
					break
				}
				grantedSlots++
			}
			if grantedSlots != c.want {
				t.Errorf("%d slots granted, want %d", grantedSlots, c.want)
			}
		})
	}
}

// TestLostSlotsComeBack guards against slots that are never granted again because the daemons that used them have
// stopped.
func TestLostSlotsComeBack(t *testing.T) {
	limit := Limit{PerSecond: 0.25, Burst: 7, Slots: true}
	now := time.Unix(1000, 0)
	b := &bucket{at: now, level: -1}
	if granted, wait := b.take(now, &limit, 1, 1, 0); granted || wait != 4*time.Second {
		t.Errorf("granted %t with a wait of %v, want a denial with a wait of 4s", granted, wait)
	}
	if granted, _ := b.take(now.Add(4*time.Second), &limit, 1, 1, 0); !granted {
		t.Error("a lost slot was not replaced after 4s")
	}
}
