package control

import (
	"time"

	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// Settings of a Node.
type Settings struct {
	Member    member.Settings
	Placement placement.Settings
	// JoinWait is how long a daemon that has just started receives messages from others
	// before it serves.
	JoinWait time.Duration
	// PauseLimit is the time without a tick after which this daemon assumes that its
	// process was paused and joins again.
	PauseLimit time.Duration
	// PollInterval is the time between two polls of a back end.
	PollInterval time.Duration
	// NewsAge is the maximum age of the last report of a back end that this daemon sends
	// requests to. While a daemon is suspected, this daemon polls back ends whose report
	// is older. No new work reaches a back end later than five seconds after it began to
	// leave. The age leaves time for a poll that gets no answer (two seconds) and
	// another one.
	NewsAge time.Duration
	// PollFailures is how many polls in a row must fail before a back end is marked
	// down.
	PollFailures int
	// LostZoneWait is how long replicas in a zone without a live daemon are kept in the
	// plan before they are replaced. Network partitions between regions last minutes,
	// and replacing half of all models each time would cost more than it gains, since
	// each has a replica elsewhere.
	LostZoneWait time.Duration
	// PlanInterval is the time between two planning rounds.
	PlanInterval time.Duration
	// DemandInterval is the minimum time between two reports of demand.
	DemandInterval time.Duration
	// ReportRefresh is the interval at which an unchanged report is sent again.
	ReportRefresh time.Duration
	// LoadChange is the change of a back end's load, as a share of its batch slots, at
	// which an update is sent to the daemons that use it. LoadPause is the minimum time
	// between two updates. Fresh load matters: with reports twice as old, attainment in
	// a burst was lower by one to two in a hundred.
	LoadChange float64
	LoadPause  time.Duration
	// WatchWait is how long the platform may delay its answer to a watch.
	WatchWait time.Duration
	// WatchPause is the minimum time between two watches, so that a series of changes
	// causes one answer to a watcher.
	WatchPause time.Duration
	// WatchersPerZone is how many daemons of a zone watch the platform.
	WatchersPerZone int
	// HomesPerZone is how many daemons of a zone receive the reports of a model's back
	// ends and are returned to callers as addresses for the model.
	HomesPerZone int
	// WritesPerSecond is the platform's write budget for all daemons. When the platform
	// refuses writes, each daemon keeps at least half of an equal share.
	WritesPerSecond float64
	// WeightStoreSlots is how many loads may run at once over all back ends. Each daemon
	// gets a share in proportion to the back ends it acts for.
	WeightStoreSlots int
	// OrderRetry is the time after which an unanswered order is sent again.
	OrderRetry time.Duration
	// DeltaBytes bounds the size of one message of changes.
	DeltaBytes int
}

// DefaultSettings returns the settings used unless an operator changes them.
func DefaultSettings() Settings {
	return Settings{
		Member:           member.DefaultSettings(),
		Placement:        placement.DefaultSettings(),
		JoinWait:         2 * time.Second,
		PauseLimit:       2 * time.Second,
		PollInterval:     500 * time.Millisecond,
		NewsAge:          2 * time.Second,
		PollFailures:     3,
		LostZoneWait:     3 * time.Minute,
		PlanInterval:     time.Second,
		DemandInterval:   time.Second,
		ReportRefresh:    time.Minute,
		LoadChange:       0.1,
		LoadPause:        400 * time.Millisecond,
		WatchWait:        10 * time.Second,
		WatchPause:       250 * time.Millisecond,
		WatchersPerZone:  2,
		HomesPerZone:     2,
		WritesPerSecond:  50,
		WeightStoreSlots: 10,
		OrderRetry:       3 * time.Second,
		DeltaBytes:       32 << 10,
	}
}
