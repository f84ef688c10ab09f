// Package residency decides which models and adapters are resident on which model server instances,
// and which load and unload orders are due. It does no I/O and reads no clock.
//
// A Tracker tracks the state of each instance: its latest report, the accepted orders that no report
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
	// ReservedFor is the model for which an unload frees memory, or empty.
	ReservedFor string
	// Reason explains the decision in the log.
	Reason string
}

// Answer is the outcome of an order.
type Answer uint8

// Outcomes of an order.
const (
	// AnswerAccepted means that the instance accepted the order and executes it.
	AnswerAccepted Answer = iota
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
	// SoftwareAdapters counts those of them that need an adapter, by software version and adapter.
	SoftwareAdapters map[string]map[string]int
}

// Service is a service whose instances are planned for.
type Service struct {
	Name   string
	Engine *fleet.Engine
	// ClientTimeout is the shortest client timeout for the first event on the stream routes of the
	// service. It is zero if the service has no such route.
	ClientTimeout time.Duration
}

// Settings configures the planner.
type Settings struct {
	// Window is the time window in which loads from the weight store are counted.
	Window time.Duration
	// MaxLoadingAdapters bounds the number of adapters that load on one instance at the same time.
	MaxLoadingAdapters int
	// ReservationTTL is how long memory that was freed for a model stays reserved for it.
	ReservationTTL time.Duration
	// SettleTimeout is how long reports may take to reflect an accepted order.
	SettleTimeout time.Duration
	// ResendDelay is the delay before an order without an answer is sent again.
	ResendDelay time.Duration
	// MaxOrderDelay is how long after it was sent an order without an answer may still be executed.
	// Instances on the users' platform execute orders up to 12 s late.
	MaxOrderDelay time.Duration
	// LoadCost is the cost of a load from a local copy, in requests that the load must relieve. A
	// load from the weight store costs twice as much. SwapCostPerSecond is the additional cost of each
	// second of a load that replaces another model.
	LoadCost          float64
	SwapCostPerSecond float64
	// ReplicaLoad is the number of requests in progress on a replica at which one more replica is
	// worth one request for each of them.
	ReplicaLoad float64
	// SuccessorShare is the share of the requests for a model that is forecast for each of the SuccessorCount
	// models after it in the operator's list.
	SuccessorShare float64
	SuccessorCount int
	// PriorDemandPerReplica is the demand that each replica beyond the first represents at startup.
	// PriorHalfLife is the half-life of that prior demand. SuccessorPriorFactor is the multiple of it that is
	// forecast for the models that follow: models with many initial replicas may run much faster
	// than those.
	PriorDemandPerReplica float64
	PriorHalfLife         time.Duration
	SuccessorPriorFactor  float64
	// UnloadFactor is the minimum ratio of the gain of an eviction to the loss of the evicted
	// model.
	UnloadFactor float64
	// ReachValue is the value of a first reachable replica for a model without requests, in delayed
	// requests. Each request that waits for the model adds as much again, and more with each second
	// of its wait.
	ReachValue float64
	// MinPrecedenceGain is the minimum gain at which a further replica of a requested model takes
	// precedence over a first replica of a model without requests.
	MinPrecedenceGain float64
	// UnresponsiveAfter is how long an instance may leave report requests unanswered before its models
	// get a replica elsewhere, if no other instance holds them.
	UnresponsiveAfter time.Duration
	// SuspectAfter is the same limit for models that are not ready yet. It is shorter than the
	// interval between two report requests, since such a model serves no requests and waiting for
	// it gains less.
	SuspectAfter time.Duration
}

// DefaultSettings returns the settings that apply unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		Window:             5 * time.Second,
		MaxLoadingAdapters: 4,
		ReservationTTL:     6 * time.Second,
		SettleTimeout:      3 * time.Second,
		ResendDelay:        300 * time.Millisecond,
		MaxOrderDelay:      12 * time.Second,
		LoadCost:           0.15,
		SwapCostPerSecond:  0.3,
		ReplicaLoad:        8,
		SuccessorShare:     0.8,
		SuccessorCount:     2,

		PriorDemandPerReplica: 2,
		PriorHalfLife:         10 * time.Second,
		SuccessorPriorFactor:  3,
		UnloadFactor:          8,
		ReachValue:            40,
		MinPrecedenceGain:     8,
		UnresponsiveAfter:     2500 * time.Millisecond,
		SuspectAfter:          800 * time.Millisecond,
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
