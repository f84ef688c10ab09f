package retry

import "time"

const (
	// slackPart is the part of the slack that processes divide by the number of processes that they know. The rest covers those
	// that do not know it, each of which may save a single retry.
	slackPart = 0.5
	// minFloor is how many retries a process may save that does not know how many there are.
	minFloor = 1
	// settleTime is how long most seeds must have been alive, and no further process become known, for the number of processes
	// to be trusted.
	settleTime = 10 * time.Second
)

// FleetSize is what one process has learned of the number of processes since it started, for its part of the slack that all have
// together. The number never falls: processes that are no longer heard of may be on the other side of a network partition, and
// retry as well.
type FleetSize struct {
	known   int
	grownAt time.Time
	// inTouchSince is since when most of the seeds are alive; zero if they are not. Of the groups that a partition makes only
	// one has them, so that processes which start during a partition do not all count themselves and a few others only.
	inTouchSince time.Time
	trusted      bool
	// onlySeed is true for the process that is the only seed itself. There is one of them, whatever it knows of the others.
	onlySeed bool
}

// OnlySeed records that the process is the only seed. It need not wait until it has found the others.
func (s *FleetSize) OnlySeed() { s.onlySeed = true }

// Observe takes in the number of processes that are known, also those that are not heard of any more, and how many of the seeds
// through which processes join are alive.
func (s *FleetSize) Observe(now time.Time, known, liveSeeds, seeds int) {
	s.settle(now)
	if known > s.known {
		s.known, s.grownAt = known, now
	}
	switch {
	case 2*liveSeeds <= seeds:
		s.inTouchSince = time.Time{}
	case s.inTouchSince.IsZero():
		s.inTouchSince = now
	}
}

func (s *FleetSize) settle(now time.Time) {
	s.trusted = s.trusted || !s.inTouchSince.IsZero() && now.Sub(s.inTouchSince) >= settleTime
}

// Floor returns how many retries the process may save whatever its traffic.
func (s *FleetSize) Floor(now time.Time, slack float64) float64 {
	s.settle(now)
	if s.onlySeed {
		return max(minFloor, slackPart*slack/float64(max(1, s.known)))
	}
	if !s.trusted || now.Sub(s.grownAt) < settleTime {
		return minFloor
	}
	return max(minFloor, slackPart*slack/float64(s.known))
}
