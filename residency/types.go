// Package residency decides which models and adapters are resident on which model server instances,
// and which load and unload orders are due. It does no I/O and reads no clock.
//
// A Book tracks the state of each instance: its latest report, the accepted orders that no report
// reflects yet, and an order whose outcome is unknown. Memory counts as used until a report shows
// that it is free. An order with an unknown outcome is resolved by a resend with the same expected
// sequence number. The instance accepts at most one order for each sequence number, so it refuses a
// late duplicate.
package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Order asks one instance to load or unload a model or an adapter.
type Order struct {
	Instance string
	Address  string
	Load     bool
	Model    string
	// Adapter is empty if the order is for the weights of the model.
	Adapter string
	// Expected is the number of orders that the instance must have accepted before this one.
	Expected uint64
	// FromStore means that the load counts against the rate limit of the weight store.
	FromStore bool
	// RoomFor is the model for which an unload frees memory, or empty.
	RoomFor string
	// Reason explains the decision in the log.
	Reason string
}

// Answer is the outcome of an order.
type Answer uint8

// Outcomes of an order.
const (
	// AnswerTaken means that the instance accepted the order and executes it.
	AnswerTaken Answer = iota
	// AnswerDone means that the instance is already in the ordered state.
	AnswerDone
	// AnswerBusy means that another order is in progress or that the expected sequence number does
	// not match.
	AnswerBusy
	// AnswerFenced means that the instance has seen a higher fencing token.
	AnswerFenced
	// AnswerRejected means that the order is invalid or reached another instance.
	AnswerRejected
	// AnswerNotSent means that the order certainly did not reach the instance.
	AnswerNotSent
	// AnswerUnknown means that the instance may execute the order now or later.
	AnswerUnknown
)

// String returns the name of the outcome in logs.
func (a Answer) String() string {
	return [...]string{"taken", "done", "busy", "fenced", "rejected", "not_sent", "unknown"}[a]
}

// Demand is the load on one model as the entry daemons measure it.
type Demand struct {
	// Concurrent is the smoothed number of requests that are in progress or waiting.
	Concurrent float64
	// PerSecond is the smoothed number of requests that begin each second.
	PerSecond float64
	// RefusedPerSecond is the smoothed number of requests that are refused each second for lack of
	// capacity. It is included in PerSecond.
	RefusedPerSecond float64
	// Waiting is the number of requests for which no instance is available.
	Waiting int
	// Adapters counts the waiting requests by adapter.
	Adapters map[string]int
	// Software counts the streams that wait for an instance of the software version that began
	// them.
	Software map[string]int
}

// Service is a service whose instances are planned for.
type Service struct {
	Name   string
	Engine *fleet.Engine
	// Patience is the shortest client timeout for the first event on the stream routes of the
	// service. It is zero if the service has no such route.
	Patience time.Duration
}

// Settings configures the planner.
type Settings struct {
	// Window is the time window in which loads from the weight store are counted.
	Window time.Duration
	// MaxComing bounds the number of adapters that load on one instance at the same time.
	MaxComing int
	// Reserve is how long memory that was freed for a model stays reserved for it.
	Reserve time.Duration
	// Settle is how long reports may take to reflect an accepted order.
	Settle time.Duration
	// ResendAfter is the delay before an order without an answer is sent again.
	ResendAfter time.Duration
	// Lateness is how long after it was sent an order without an answer may still be executed.
	// Instances on the users' platform execute orders up to 12 s late.
	Lateness time.Duration
	// LoadCost is the cost of a load from a local copy, in requests that the load must relieve. A
	// load from the weight store costs twice as much. LoadSecondCost is the additional cost of each
	// second of a load that replaces another model.
	LoadCost       float64
	LoadSecondCost float64
	// ReplicaLoad is the number of requests in progress on a replica at which one more replica is
	// worth one request for each of them.
	ReplicaLoad float64
	// NextShare is the share of the requests for a model that is forecast for each of the NextReach
	// models after it in the operator's list.
	NextShare float64
	NextReach int
	// PriorPerReplica is the demand that each replica beyond the first represents at startup.
	// PriorHalfLife is the half-life of that prior demand. NextPrior is the multiple of it that is
	// forecast for the models that follow: models with many initial replicas may run much faster
	// than those.
	PriorPerReplica float64
	PriorHalfLife   time.Duration
	NextPrior       float64
	// UnloadFactor is the minimum ratio of the gain of an eviction to the loss of the evicted
	// model.
	UnloadFactor float64
	// ReachWorth is the value of a first reachable replica for a model without requests, in delayed
	// requests. Each request that waits for the model adds as much again, and more with each second
	// of its wait.
	ReachWorth float64
	// PressingGain is the minimum gain at which a further replica of a requested model takes
	// precedence over a first replica of a model without requests.
	PressingGain float64
	// SilentAfter is how long an instance may leave report requests unanswered before its models
	// get a replica elsewhere, if no other instance holds them.
	SilentAfter time.Duration
	// QuietAfter is the same limit for models that are not ready yet. It is shorter than the
	// interval between two report requests, since such a model serves no requests and waiting for
	// it gains less.
	QuietAfter time.Duration
}

// DefaultSettings returns the settings that apply unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		Window:         5 * time.Second,
		MaxComing:      4,
		Reserve:        6 * time.Second,
		Settle:         3 * time.Second,
		ResendAfter:    300 * time.Millisecond,
		Lateness:       12 * time.Second,
		LoadCost:       0.15,
		LoadSecondCost: 0.3,
		ReplicaLoad:    8,
		NextShare:      0.8,
		NextReach:      2,

		PriorPerReplica: 2,
		PriorHalfLife:   10 * time.Second,
		NextPrior:       3,
		UnloadFactor:    8,
		ReachWorth:      40,
		PressingGain:    8,
		SilentAfter:     2500 * time.Millisecond,
		QuietAfter:      800 * time.Millisecond,
	}
}

// instanceState is the tracked state of one instance.
type instanceState struct {
	instance *fleet.Instance
	report   fleet.Report
	// reportAt is when the latest report was requested. It is zero until there is a report.
	reportAt time.Time
	// sequence is the highest known number of accepted orders.
	sequence uint64
	// sending is the order whose answer is pending.
	sending *Order
	// unanswered is an order whose outcome is unknown.
	unanswered   *Order
	unansweredAt time.Time
	// accepted holds the orders that the latest report does not reflect yet.
	accepted []acceptedOrder
	// reservedFor is the model for which memory is reserved until reservedUntil.
	reservedFor   string
	reservedUntil time.Time
	swap          swap
	// unresponsiveSince is the time of the first unanswered report request since the latest report.
	// It is zero if the instance answered all of them.
	unresponsiveSince time.Time
	// crashedAt is when the address last refused a connection. It is zero if a report was received
	// since.
	crashedAt time.Time
	// backoffUntil is the earliest time of the next order after the instance answered that it is
	// busy or requested a pause.
	backoffUntil time.Time
}

// unresponsive reports whether the instance has not answered report requests for at least the given
// duration. Models should not depend on such an instance.
func (s *instanceState) unresponsive(now time.Time, after time.Duration) bool {
	return !s.unresponsiveSince.IsZero() && now.Sub(s.unresponsiveSince) >= after
}

type acceptedOrder struct {
	Order
	sequence uint64
	at       time.Time
}
