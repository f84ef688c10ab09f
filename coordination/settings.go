package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

// TickEvery is how often a driver has a node do what is due.
const TickEvery = 50 * time.Millisecond

// Settings of a node.
type Settings struct {
	Member    member.Settings
	Lease     lease.Settings
	Residency residency.Settings
	// ShareEvery is the time between two messages about load, ShareSoon the least time
	// after a change while there are at most SharePeers others. With more of them the
	// dispatcher is told of a change TellPause after the last one at the soonest.
	ShareEvery time.Duration
	ShareSoon  time.Duration
	SharePeers int
	TellPause  time.Duration
	// DemandCost times the number of dispatchers is the least time between two messages of
	// one of them to the holder about the demand for models.
	DemandCost time.Duration
	// ReportEvery is the time between two questions to a model server that is
	// at rest, or ReportCost for each model server if that is more, ReportSoon after an order.
	ReportEvery time.Duration
	ReportCost  time.Duration
	ReportSoon  time.Duration
	// SpreadEvery is the time between two messages of the holder to all daemons,
	// SpreadSoon the least time after a new fact.
	SpreadEvery time.Duration
	SpreadSoon  time.Duration
	// FanOut is how many daemons each daemon passes such a message on to.
	FanOut int
	// FactsPatience is how long this daemon may know other facts than the holder
	// before it asks: longer than it takes until all know which servers are gone.
	// FactsPause is the least time between two such questions.
	FactsPatience time.Duration
	FactsPause    time.Duration
	// RefreshAfter is how long this daemon may know less than another one before
	// it lists again.
	RefreshAfter time.Duration
	// WatchAfter is how long after its start a daemon does not watch the store.
	WatchAfter time.Duration
	// Watchers is how many daemons watch the store; the others hear of changes by
	// them. WatcherSilence is how long none of them may be heard before another
	// daemon watches too.
	Watchers       int
	WatcherSilence time.Duration
	// Witnesses is how many daemons that do not watch the store are asked to look at it by
	// one that does and gets no answer.
	Witnesses int
	// RevokeWithin is how long after the store has taken that a key is no longer valid
	// requests with it may still be served; zero if nothing says so. It is why daemons keep
	// their configuration sure.
	RevokeWithin time.Duration
	// FollowsEvacuations says that the operator may evacuate zones: a daemon serves nobody before it knows which.
	FollowsEvacuations bool
	// AskPause is the least time between two questions to another daemon.
	AskPause time.Duration
	// ChecksFence says that servers turn away orders with a lower fencing token.
	ChecksFence bool
	// PlanEvery is the time between two plans without a cause, PlanPause the least
	// time between two plans, and PlanServerPause that time for each server if that is
	// more.
	PlanEvery       time.Duration
	PlanPause       time.Duration
	PlanServerPause time.Duration
	// DemandHalfLife is how fast past demand is forgotten.
	DemandHalfLife time.Duration
	// MaxPeers bounds the daemons of the own zone, and FarPeers those of others, that
	// this one tells about itself at once in a large fleet if it watches the store or has
	// a new configuration. At rest it
	// tells RestPeers of its zone, and one other.
	MaxPeers  int
	FarPeers  int
	RestPeers int
}

// DefaultSettings returns settings for a lease term.
func DefaultSettings(term time.Duration) Settings {
	probes := member.DefaultSettings()
	probes.ProbeInterval = 500 * time.Millisecond
	probes.ProbeTimeout = 200 * time.Millisecond
	probes.ExchangeInterval = time.Second
	return Settings{
		Member:          probes,
		Lease:           lease.DefaultSettings(term),
		Residency:       residency.DefaultSettings(),
		ShareEvery:      200 * time.Millisecond,
		ShareSoon:       10 * time.Millisecond,
		SharePeers:      10,
		TellPause:       5 * time.Millisecond,
		DemandCost:      6 * time.Millisecond,
		ReportEvery:     time.Second,
		ReportCost:      time.Millisecond,
		ReportSoon:      120 * time.Millisecond,
		SpreadEvery:     400 * time.Millisecond,
		SpreadSoon:      10 * time.Millisecond,
		FanOut:          8,
		FactsPatience:   time.Second,
		FactsPause:      2 * time.Second,
		RefreshAfter:    150 * time.Millisecond,
		WatchAfter:      700 * time.Millisecond,
		Watchers:        5,
		WatcherSilence:  700 * time.Millisecond,
		Witnesses:       6,
		AskPause:        100 * time.Millisecond,
		ChecksFence:     true,
		PlanEvery:       200 * time.Millisecond,
		PlanPause:       25 * time.Millisecond,
		PlanServerPause: time.Millisecond,
		DemandHalfLife:  4 * time.Second,
		MaxPeers:        16,
		FarPeers:        2,
		RestPeers:       4,
	}
}
