package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

// TickInterval is the interval at which a driver calls Node.Tick.
const TickInterval = 50 * time.Millisecond

// Settings configures a node.
type Settings struct {
	Member    member.Settings
	Lease     lease.Settings
	Residency residency.Settings
	// LoadUpdateInterval is the interval between regular load updates to other daemons. After a change the
	// minimum interval is MinLoadUpdateInterval while there are at most MaxSmallFleetPeers other daemons. In a larger
	// fleet, changes go to the dispatcher, at a minimum interval of DispatcherUpdateInterval.
	LoadUpdateInterval       time.Duration
	MinLoadUpdateInterval    time.Duration
	MaxSmallFleetPeers       int
	DispatcherUpdateInterval time.Duration
	// DemandIntervalPerDispatcher times the number of dispatchers is the minimum interval between two demand reports
	// of one dispatcher to the lease holder.
	DemandIntervalPerDispatcher time.Duration
	// ReportInterval is the interval between two report requests to an idle instance. It grows to
	// ReportIntervalPerInstance times the number of instances if that is more. ReportDelay is the delay of a report
	// request after an order.
	ReportInterval            time.Duration
	ReportIntervalPerInstance time.Duration
	ReportDelay               time.Duration
	// HolderUpdateInterval is the interval between two updates of the lease holder to all daemons,
	// MinHolderUpdateInterval the minimum interval if there is a new residency report.
	HolderUpdateInterval    time.Duration
	MinHolderUpdateInterval time.Duration
	// FanOut is the number of daemons to which each daemon forwards such an update.
	FanOut int
	// ResidencyRequestDelay is how long this daemon's residency reports may differ from the holder's before it requests
	// them. It is longer than it takes until all daemons have received which instances are gone.
	// ResidencyRequestInterval is the minimum interval between two such requests.
	ResidencyRequestDelay    time.Duration
	ResidencyRequestInterval time.Duration
	// RefreshDelay is how long another daemon may have a newer version before this one lists the
	// collection again.
	RefreshDelay time.Duration
	// WatchDelay is how long after its start a daemon does not watch the store.
	WatchDelay time.Duration
	// Watchers is the number of daemons that watch the store; the others receive changes from them.
	// WatcherTimeout is how long no watching daemon may be observed before another daemon watches
	// too.
	Watchers       int
	WatcherTimeout time.Duration
	// StoreCheckPeers is the number of daemons not watching the store that a watching daemon asks to read
	// it when the store does not answer.
	StoreCheckPeers int
	// RevokeWithin is how long requests with a revoked key may still be served after the store has
	// recorded the revocation; zero sets no limit. To meet it, daemons keep verifying that their
	// configuration is the newest.
	RevokeWithin time.Duration
	// FollowsEvacuations is set if the operator may evacuate zones, that is, take all their
	// instances out of use. A daemon then serves no requests before it has received the evacuated
	// zones.
	FollowsEvacuations bool
	// RequestInterval is the minimum interval between two requests to another daemon.
	RequestInterval time.Duration
	// ChecksFence is set if instances reject orders with a lower fencing token.
	ChecksFence bool
	// PlanInterval is the interval between two plans without a cause, MinPlanInterval the minimum interval
	// between two plans. PlanIntervalPerInstance times the number of instances replaces MinPlanInterval if that
	// is more.
	PlanInterval            time.Duration
	MinPlanInterval         time.Duration
	PlanIntervalPerInstance time.Duration
	// DemandHalfLife is the half-life of past demand in the average.
	DemandHalfLife time.Duration
	// MaxZonePeers bounds the daemons of the own zone to which a load update goes in a large fleet, and
	// MaxOtherZonePeers those of other zones. They apply if the sender watches the store or has a new
	// configuration or new evacuations. Otherwise an update goes to MinZonePeers daemons of the own
	// zone and one of another zone.
	MaxZonePeers      int
	MaxOtherZonePeers int
	MinZonePeers      int
}

// DefaultSettings returns the settings for a lease term.
func DefaultSettings(term time.Duration) Settings {
	probes := member.DefaultSettings()
	probes.ProbeInterval = 500 * time.Millisecond
	probes.ProbeTimeout = 200 * time.Millisecond
	probes.ExchangeInterval = time.Second
	return Settings{
		Member:                      probes,
		Lease:                       lease.DefaultSettings(term),
		Residency:                   residency.DefaultSettings(),
		LoadUpdateInterval:          200 * time.Millisecond,
		MinLoadUpdateInterval:       10 * time.Millisecond,
		MaxSmallFleetPeers:          10,
		DispatcherUpdateInterval:    5 * time.Millisecond,
		DemandIntervalPerDispatcher: 6 * time.Millisecond,
		ReportInterval:              time.Second,
		ReportIntervalPerInstance:   time.Millisecond,
		ReportDelay:                 120 * time.Millisecond,
		HolderUpdateInterval:        400 * time.Millisecond,
		MinHolderUpdateInterval:     10 * time.Millisecond,
		FanOut:                      8,
		ResidencyRequestDelay:       time.Second,
		ResidencyRequestInterval:    2 * time.Second,
		RefreshDelay:                150 * time.Millisecond,
		WatchDelay:                  700 * time.Millisecond,
		Watchers:                    5,
		WatcherTimeout:              700 * time.Millisecond,
		StoreCheckPeers:             6,
		RequestInterval:             100 * time.Millisecond,
		ChecksFence:                 true,
		PlanInterval:                200 * time.Millisecond,
		MinPlanInterval:             25 * time.Millisecond,
		PlanIntervalPerInstance:     time.Millisecond,
		DemandHalfLife:              4 * time.Second,
		MaxZonePeers:                16,
		MaxOtherZonePeers:           2,
		MinZonePeers:                4,
	}
}
