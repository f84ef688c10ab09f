package gateway

import "time"

const (
	// defaultRest is how long an unused connection is kept if the instance does
	// not say how long it keeps one.
	defaultRest = 4 * time.Second
	// restShare is the part of the instance's own limit that is used, so that a
	// request does not cross the instance's close.
	restShare = 0.6
)

// RestTime is how long an unused connection to an instance may rest before its next
// request. Limit is how long the instance keeps one, if it told that.
func RestTime(limit time.Duration, told bool) time.Duration {
	if !told {
		return defaultRest
	}
	return time.Duration(restShare * float64(limit))
}
