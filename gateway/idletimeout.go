package gateway

import "time"

const (
	// defaultIdleTimeout is how long an idle connection is kept if the instance does
	// not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the instance's idle timeout that is used, so that a
	// request is not sent while the instance closes the connection.
	idleTimeoutShare = 0.6
)

// MaxIdleTime returns how long a connection to an instance may be idle before its next request.
// Limit is the idle timeout of the instance, if it announced one.
func MaxIdleTime(limit time.Duration, announced bool) time.Duration {
	if !announced {
		return defaultIdleTimeout
	}
	return time.Duration(idleTimeoutShare * float64(limit))
}
