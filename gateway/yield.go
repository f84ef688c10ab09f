package gateway

import (
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
)

const (
	// yieldReserveShare is the share of the target latency that a yielding request keeps in reserve: the forecast may
	// be wrong, and more urgent requests may reach the instance after it.
	yieldReserveShare = 0.25
	// yieldPollInterval is the interval between two searches of a yielding request, and so the longest time that a
	// place in a batch stays free.
	yieldPollInterval = 20 * time.Millisecond
	// minLateForecastShare is the share of the target latency that a forecast must exceed before a request is
	// refused as too late. A request that has waited here for other reasons is served late if its instance
	// answers soon.
	minLateForecastShare = 0.5
)

// yieldInput holds the values that the decision on a background request depends on.
type yieldInput struct {
	// Priority is the priority of the request; zero is the most urgent.
	Priority int
	// Target is the target latency, and Waited the time since the arrival of the request.
	Target time.Duration
	Waited time.Duration
	// WaitLeft is the time for which the request may still wait for any instance.
	WaitLeft time.Duration
	// Forecast is the predicted time from sending to the first token; zero if there is no prediction.
	Forecast time.Duration
	// Load is the load of the best instance, and Slots the size of its batch; zero if they are not known.
	Load  balance.Load
	Slots int
	// Crowded is true if the instance has more unread prompt tokens than the limit for the request's priority.
	Crowded bool
}

// yieldAction is the next action for a background request.
type yieldAction uint8

const (
	// yieldSend means that the request is sent now.
	yieldSend yieldAction = iota
	// yieldHold means that it waits for more urgent requests.
	yieldHold
	// yieldTooLate means that it can no longer begin in time.
	yieldTooLate
)

// yieldDecision is the decision on a background request.
type yieldDecision struct {
	Action yieldAction
	// Slack is the time for which the request may still wait; zero if it may not wait.
	Slack time.Duration
	// Next is the delay before the next decision; zero unless the request waits.
	Next time.Duration
}

// decideYield decides whether a background request waits while its instance is busy with other requests.
func decideYield(in yieldInput) yieldDecision {
	if beginsTooLate(in.Target, in.Waited, in.Forecast) {
		return yieldDecision{Action: yieldTooLate}
	}
	slack := max(0, min(in.slack(), in.WaitLeft))
	if in.Priority < fleet.BackgroundPriority || !in.busy() || slack == 0 {
		return yieldDecision{Action: yieldSend, Slack: slack}
	}
	return yieldDecision{Action: yieldHold, Slack: slack, Next: min(slack, yieldPollInterval)}
}

// slack returns the target less the forecast, the reserve and the time waited.
func (in *yieldInput) slack() time.Duration {
	return in.Target - in.Forecast - yieldReserve(in.Target) - in.Waited
}

// yieldReserve returns the reserve of a yielding request for a target latency.
func yieldReserve(target time.Duration) time.Duration {
	return time.Duration(yieldReserveShare * float64(target))
}

// busy reports whether the request would take a place from a more urgent one, or delay running streams.
func (in *yieldInput) busy() bool {
	full := in.Slots > 0 && in.Load.Requests >= in.Slots
	return full || in.Crowded
}

// beginsTooLate reports whether the first token is predicted to be too late for the target.
func beginsTooLate(target, waited, forecast time.Duration) bool {
	least := time.Duration(minLateForecastShare * float64(target))
	return forecast > max(target-waited, least)
}
