package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

// TickEvery is the interval at which a driver calls Node.Tick.
const TickEvery = 50 * time.Millisecond

// Settings configures a node.
type Settings struct {
	Member    member.Settings
	Lease     lease.Settings
	Residency residency.Settings
	// ShareEvery is the interval between regular load updates to other daemons. After a change the
	// minimum interval is ShareSoon while there are at most SharePeers other daemons. In a larger
	// fleet, changes go to the dispatcher, at a minimum interval of TellPause.
	ShareEvery time.Duration
	ShareSoon  time.Duration
	SharePeers int
	TellPause  time.Duration
	// DemandCost times the number of dispatchers is the minimum interval between two demand reports
	// of one dispatcher to the lease holder.
	DemandCost time.Duration
	// ReportEvery is the interval between two report requests to an idle instance. It grows to
	// ReportCost times the number of instances if that is more. ReportSoon is the delay of a report
	// request after an order.
	ReportEvery time.Duration
	ReportCost  time.Duration
	ReportSoon  time.Duration
	// SpreadEvery is the interval between two updates of the lease holder to all daemons,
	// SpreadSoon the minimum interval if there is a new fact.
	SpreadEvery time.Duration
	SpreadSoon  time.Duration
	// FanOut is the number of daemons to which each daemon forwards such an update.
	FanOut int
	// FactsPatience is how long this daemon's facts may differ from the holder's before it requests
	// them. It is longer than it takes until all daemons have received which instances are gone.
	// FactsPause is the minimum interval between two such requests.
	FactsPatience time.Duration
	FactsPause    time.Duration
	// RefreshAfter is how long another daemon may have a newer version before this one lists the
	// collection again.
	RefreshAfter time.Duration
	// WatchAfter is how long after its start a daemon does not watch the store.
	WatchAfter time.Duration
	// Watchers is the number of daemons that watch the store; the others receive changes from them.
	// WatcherSilence is how long no watching daemon may be observed before another daemon watches
	// too.
	Watchers       int
	WatcherSilence time.Duration
	// Witnesses is the number of daemons not watching the store that a watching daemon asks to read
	// it when the store does not answer.
	Witnesses int
	// RevokeWithin is how long requests with a revoked key may still be served after the store has
	// recorded the revocation; zero sets no limit. To meet it, daemons keep verifying that their
	// configuration is the newest.
	RevokeWithin time.Duration
	// FollowsEvacuations is set if the operator may evacuate zones, that is, take all their
	// instances out of use. A daemon then serves no requests before it has received the evacuated
	// zones.
	FollowsEvacuations bool
	// AskPause is the minimum interval between two requests to another daemon.
	AskPause time.Duration
	// ChecksFence is set if instances reject orders with a lower fencing token.
	ChecksFence bool
	// PlanEvery is the interval between two plans without a cause, PlanPause the minimum interval
	// between two plans. PlanServerPause times the number of instances replaces PlanPause if that
	// is more.
	PlanEvery       time.Duration
	PlanPause       time.Duration
	PlanServerPause time.Duration
	// DemandHalfLife is the half-life of past demand in the average.
	DemandHalfLife time.Duration
	// MaxPeers bounds the daemons of the own zone to which a load update goes in a large fleet, and
	// FarPeers those of other zones. They apply if the sender watches the store or has a new
	// configuration or new evacuations. Otherwise an update goes to RestPeers daemons of the own
	// zone and one of another zone.
	MaxPeers  int
	FarPeers  int
	RestPeers int
}

// DefaultSettings returns the settings for a lease term.
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
