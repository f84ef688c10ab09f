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
	// JoinWait is how long a daemon that has just started listens to others
	// before it serves.
	JoinWait time.Duration
	// PauseLimit is the time without a tick after which this daemon takes
	// itself for paused and joins anew.
	PauseLimit time.Duration
	// PollInterval is the time between two polls of a back end.
	PollInterval time.Duration
	// NewsAge is how old the news of a back end that this daemon sends to may be,
	// while a daemon is suspected, before it asks the back end itself. No new work reaches a back end later
	// than five seconds after it began to leave; that leaves time for a poll that
	// gets no answer (two seconds) and another one.
	NewsAge time.Duration
	// PollFailures is how many polls in a row must fail before a back end is
	// held for down.
	PollFailures int
	// LostZoneWait is how long replicas in a zone without a live daemon are
	// expected back before they are replaced. Regions lose each other for
	// minutes, and replacing half of all models each time would cost more
	// than it gives, since each has a replica elsewhere.
	LostZoneWait time.Duration
	// PlanInterval is the time between two planning rounds.
	PlanInterval time.Duration
	// DemandInterval is the least time between two reports of demand.
	DemandInterval time.Duration
	// ReportRefresh is how long an unchanged report is not sent again.
	ReportRefresh time.Duration
	// LoadChange is the change of a back end's load, as a share of its batch
	// slots, that is worth a message to the daemons that use it, and LoadPause
	// the least time between two. Fresh load matters: with reports twice as
	// old, attainment in a burst was lower by one to two in a hundred.
	LoadChange float64
	LoadPause  time.Duration
	// WatchWait is how long a watch may wait at the platform.
	WatchWait time.Duration
	// WatchPause is the least time between two watches, so that a run of
	// changes wakes a watcher once.
	WatchPause time.Duration
	// WatchersPerZone is how many daemons of a zone watch the platform.
	WatchersPerZone int
	// HomesPerZone is how many daemons of a zone are told about a model's
	// back ends and are named to callers of the model.
	HomesPerZone int
	// WritesPerSecond is the platform's write budget for all daemons. Each
	// keeps at least half of an equal share when the platform refuses writes.
	WritesPerSecond float64
	// WeightStoreSlots is how many loads may run at once over all back ends;
	// each daemon takes a share by the back ends it acts for.
	WeightStoreSlots int
	// OrderRetry is how long an unanswered order waits before it is repeated.
	OrderRetry time.Duration
	// DeltaBytes bounds one message of changes.
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
