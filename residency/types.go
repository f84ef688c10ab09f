// Package residency decides which models and adapters are resident on which
// model servers, and which order to send next. It does no I/O and reads no clock.
//
// A Book keeps what is known of each server: its last report, the orders that
// were accepted but are not visible in a report yet, and the order whose answer
// was lost. Memory counts as taken until a report shows that it is free. An
// unanswered order is settled by sending the same order again with the same
// expected sequence: as soon as any order was taken under that sequence, a late
// one is refused by the server.
package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// Order asks one server to load or unload a model or adapter.
type Order struct {
	Instance string
	Address  string
	Load     bool
	Model    string
	// Adapter is empty for the model's weights.
	Adapter string
	// Expected is the number of orders that the server must have taken before.
	Expected uint64
	// FromStore says that the load counts against the weight store's rate.
	FromStore bool
	// RoomFor is the model that an unload makes room for, or empty.
	RoomFor string
	// Reason says why, for the log.
	Reason string
}

// Answer is how an order ended.
type Answer uint8

// Answers to an order.
const (
	// AnswerTaken means that the order is under way.
	AnswerTaken Answer = iota
	// AnswerDone means that what was ordered holds already.
	AnswerDone
	// AnswerBusy means that another order is under way or the expected sequence
	// does not match.
	AnswerBusy
	// AnswerFenced means that the server knows a higher fencing token.
	AnswerFenced
	// AnswerRejected means that the order is wrong or met another instance.
	AnswerRejected
	// AnswerNotSent means that the order certainly did not reach the server.
	AnswerNotSent
	// AnswerUnknown means that the order may be taken now or later.
	AnswerUnknown
)

// String returns the name used in logs.
func (a Answer) String() string {
	return [...]string{"taken", "done", "busy", "fenced", "rejected", "not_sent", "unknown"}[a]
}

// Demand is what entry daemons see of one model.
type Demand struct {
	// Concurrent is the smoothed number of requests in progress and waiting.
	Concurrent float64
	// PerSecond is the smoothed number of requests that begin each second.
	PerSecond float64
	// RefusedPerSecond is the smoothed number of requests that are refused each second for lack of capacity. It is
	// a part of PerSecond.
	RefusedPerSecond float64
	// Waiting is the number of requests that have no server to go to.
	Waiting int
	// Adapters counts requests that wait for an adapter.
	Adapters map[string]int
	// Software counts streams that wait for a server of the software version that began them.
	Software map[string]int
}

// Service is a service whose model servers are planned for.
type Service struct {
	Name   string
	Engine *fleet.Engine
	// Patience is the shortest time that clients of the service's stream routes wait for a first event; zero if
	// there is no such route.
	Patience time.Duration
}

// Settings of the planner.
type Settings struct {
	// Window is the span over which loads from the weight store are counted.
	Window time.Duration
	// MaxComing bounds the adapters that load on one server at once.
	MaxComing int
	// Reserve is how long room that was made is kept for its model.
	Reserve time.Duration
	// Settle is how long an accepted order may stay invisible in reports.
	Settle time.Duration
	// ResendAfter is how long an unanswered order waits before it is sent again.
	ResendAfter time.Duration
	// Lateness is how long after it was sent an order without an answer may still be
	// carried out: servers of the users' platform are up to 12 s late.
	Lateness time.Duration
	// LoadCost is what a load from a copy at hand is worth, in requests that it has to
	// relieve; one from the weight store is worth twice as much. LoadSecondCost is what
	// each second of a load is worth on top in the place of another model.
	LoadCost       float64
	LoadSecondCost float64
	// ReplicaLoad is the number of requests that a replica has in progress when one more
	// replica is worth one request for each.
	ReplicaLoad float64
	// NextShare is the part of a model's requests that is expected at each of the
	// NextReach models that follow it in the operator's list.
	NextShare float64
	NextReach int
	// PriorPerReplica is the demand that each replica beyond the first stands for
	// at the start, and PriorHalfLife how fast that fades.
	// NextPrior is how many times that it stands for at the models that follow: models
	// that were placed often may run much faster than those.
	PriorPerReplica float64
	PriorHalfLife   time.Duration
	NextPrior       float64
	// UnloadFactor is how much more than the loss at the victim an eviction has
	// to gain.
	UnloadFactor float64
	// ReachWorth is what it is worth that a model that nobody asks for can be reached, in
	// requests that are held up; each request that waits for it is worth as much again, and
	// more with each second.
	ReachWorth float64
	// PressingGain is the gain from which on a replica for a model that is asked for goes
	// before one that makes a model reachable that nobody asks for.
	PressingGain float64
	// SilentAfter is how long a server may leave questions unanswered before its
	// models get a replica elsewhere if no other server has them.
	SilentAfter time.Duration
	// QuietAfter is the same for models that are not ready there yet: nobody is served by
	// them, so waiting is worth less. It is shorter than the pause between two questions.
	QuietAfter time.Duration
}

// DefaultSettings returns the settings used unless an operator changes them.
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

// server is what the Book knows of one instance.
type server struct {
	instance *fleet.Instance
	report   fleet.Report
	// reportAt is when the report was asked for; zero until there is one.
	reportAt time.Time
	// sequence is the highest known number of orders taken.
	sequence uint64
	// sending is the order whose answer is awaited.
	sending *Order
	// unsettled is an order that was not answered.
	unsettled   *Order
	unsettledAt time.Time
	// accepted orders are not visible in a report yet.
	accepted []acceptedOrder
	// reservedFor is the model that room was made for, until reservedUntil.
	reservedFor   string
	reservedUntil time.Time
	swap          swap
	// silentSince is when the server first left a question unanswered, of those
	// since its last report; zero if it has answered.
	silentSince time.Time
	// crashedAt is when its address last refused a connection; zero if it has been heard of since.
	crashedAt time.Time
	// busyUntil keeps orders away after the server said that it is busy or wants rest.
	busyUntil time.Time
}

// silent reports whether the server has answered nothing for so long that models
// should not depend on it.
func (s *server) silent(now time.Time, after time.Duration) bool {
	return !s.silentSince.IsZero() && now.Sub(s.silentSince) >= after
}

type acceptedOrder struct {
	Order
	sequence uint64
	at       time.Time
}
