//go:build !race

package gateway_test

import (
	"flag"
	"testing"
)

// TestRetriesOfASimulatedFleetKeepTheBound guards against retries of all daemons together that exceed the bound of a service, in a
// cut, at a start, after restarts and with freezes; and against callers who lose much of what retries are for.
func TestRetriesOfASimulatedFleetKeepTheBound(t *testing.T) {
	for daemons := range fleetSlacks {
		for _, trouble := range retryTroubles {
			for _, failShare := range failShares {
				served := map[string]float64{}
				for _, way := range []retryWay{ownRequests, slackByLive} {
					if way.name == slackByLive.name && trouble.name != calm {
						continue
					}
					outcome := simulateRetries(t, daemons, way, failShare, trouble)
					served[way.name] = outcome.served
					if way.name == ownRequests.name && outcome.worst.Use() > 1 {
						t.Errorf("%d daemons, %s: %d repeats within %v, %.1f allowed", daemons, trouble.name, outcome.worst.Repeats, fleetRetryWindow, outcome.worst.Allowed)
					}
				}
				if with, without := served[ownRequests.name], served[slackByLive.name]; with < without-0.02 {
					t.Errorf("%d daemons, %v fail: %.3f served, %.3f with the slack divided by the daemons alive", daemons, failShare, with, without)
				}
			}
		}
	}
}

var compareRetryWays = flag.Bool("retry_ways", false, "compare the ways to bound retries")

// TestRetryWays plays all ways to bound retries for the figures in docs/design/limits.md. It checks nothing, and takes minutes.
func TestRetryWays(t *testing.T) {
	if !*compareRetryWays {
		t.Skip("runs with -retry_ways")
	}
	for daemons := range fleetSlacks {
		for _, trouble := range retryTroubles {
			for _, failShare := range failShares {
				for _, way := range retryWays {
					simulateRetries(t, daemons, way, failShare, trouble)
				}
			}
		}
	}
}

// failShares are the shares of the requests that servers fail.
var failShares = []float64{0.5, 0.95}
