package retry

import "time"

// countSlots is how many parts of the window are counted apart. The count leaves out the oldest part, of which only some
// lies in the window.
const countSlots = 20

// recentCount counts events of the last window.
type recentCount struct {
	slot   time.Duration
	began  time.Time
	newest int64
	slots  [countSlots]int
	total  int
}

func newRecentCount(window time.Duration) recentCount {
	return recentCount{slot: max(1, window/countSlots)}
}

// advance drops the slots that have left the window.
func (c *recentCount) advance(now time.Time) {
	if c.began.IsZero() {
		c.began = now
	}
	current := int64(now.Sub(c.began) / c.slot)
	if current-c.newest >= countSlots {
		c.slots, c.total, c.newest = [countSlots]int{}, 0, current
	}
	for ; c.newest < current; c.newest++ {
		oldest := &c.slots[(c.newest+1)%countSlots]
		c.total -= *oldest
		*oldest = 0
	}
}

func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.slots[c.newest%countSlots]++
	c.total++
}

func (c *recentCount) count(now time.Time) int {
	c.advance(now)
	return c.total
}
