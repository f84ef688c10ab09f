package settings

import (
	"time"

	"github.com/wheatweir/wheatweir/inifile"
)

func fieldsOf(s *Settings) []inifile.Field {
	d, r, c := &s.Daemon, &s.Requests, &s.Control
	p, m := &c.Placement, &c.Member
	return []inifile.Field{
		inifile.Word("daemon", "name", &d.Name, true),
		inifile.Word("daemon", "zone", &d.Zone, true),
		inifile.Word("daemon", "region", &d.Region, false),
		inifile.Address("daemon", "caller_address", &d.CallerAddress),
		inifile.Address("daemon", "peer_address", &d.PeerAddress),
		inifile.Address("daemon", "platform_address", &d.PlatformAddress),
		inifile.Addresses("daemon", "seeds", &d.Seeds),
		inifile.Secret("daemon", "deployment_key", &d.DeploymentKey),
		inifile.Choice("daemon", "log_level", &d.LogLevel, "debug", "info", "warn", "error"),

		inifile.Integer("daemon", "max_descriptors", &d.MaxDescriptors, 0, 1<<20),

		inifile.Duration("requests", "address_keep", &r.AddressKeep, time.Second, time.Hour),
		inifile.Duration("requests", "drain_limit", &r.DrainLimit, time.Second, 24*time.Hour),
		inifile.Duration("requests", "default_deadline", &r.DefaultDeadline, 100*time.Millisecond, time.Hour),
		inifile.Duration("requests", "idle_timeout", &r.IdleTimeout, time.Second, time.Hour),
		inifile.Duration("requests", "claim_timeout", &r.ClaimTimeout, 100*time.Millisecond, time.Minute),
		inifile.Duration("requests", "handicap", &r.Handicap, 0, time.Hour),
		inifile.Integer("requests", "max_body_bytes", &r.MaxBodyBytes, 1024, 256<<20),
		inifile.Integer("requests", "received_bytes", &r.ReceivedBytes, 64<<20, 64<<30),
		inifile.Integer("requests", "max_waiting", &r.MaxWaiting, 1, 1000000),
		inifile.Integer("requests", "max_attempts", &r.MaxAttempts, 1, 8),
		inifile.Number("requests", "slot_overcommit", &r.SlotOvercommit, 0.1, 100),
		inifile.Number("requests", "retry_share", &r.RetryShare, 0, 1),

		inifile.Secret("operators", "credential", &s.Operators.Credential),

		inifile.Duration("membership", "probe_interval", &m.ProbeInterval, 50*time.Millisecond, time.Minute),
		inifile.Duration("membership", "probe_timeout", &m.ProbeTimeout, 10*time.Millisecond, time.Minute),
		inifile.Integer("membership", "suspicion_intervals", &m.SuspicionIntervals, 1, 100),
		inifile.Integer("membership", "helpers", &m.Helpers, 0, 16),

		inifile.Duration("membership", "join_wait", &c.JoinWait, 0, time.Minute),
		inifile.Duration("membership", "pause_limit", &c.PauseLimit, 500*time.Millisecond, time.Minute),

		inifile.Number("placement", "attainment_weight", &p.Weights.Attainment, 0, 1000),
		inifile.Number("placement", "moves_weight", &p.Weights.Moves, 0, 1000),
		inifile.Number("placement", "target_utilization", &p.TargetUtilization, 0.05, 1),
		inifile.Number("placement", "headroom", &p.Headroom, 0, 100),
		inifile.Number("placement", "spare_fraction", &p.SpareFraction, 0, 0.9),
		inifile.Duration("placement", "minimum_stay", &p.MinimumStay, 0, 24*time.Hour),
		inifile.Duration("placement", "poll_interval", &c.PollInterval, 100*time.Millisecond, time.Minute),
		inifile.Number("placement", "load_change", &c.LoadChange, 0, 1),
		inifile.Duration("placement", "load_pause", &c.LoadPause, 0, time.Minute),
		inifile.Duration("placement", "lost_zone_wait", &c.LostZoneWait, 0, 24*time.Hour),
		inifile.Duration("placement", "plan_interval", &c.PlanInterval, 100*time.Millisecond, time.Minute),
		inifile.Duration("placement", "order_retry", &c.OrderRetry, 100*time.Millisecond, time.Hour),
		inifile.Integer("placement", "poll_failures", &c.PollFailures, 1, 100),
		inifile.Integer("placement", "weight_store_slots", &c.WeightStoreSlots, 1, 10000),

		inifile.Number("platform", "writes_per_second", &c.WritesPerSecond, 0.1, 10000),
		inifile.Integer("platform", "watchers_per_zone", &c.WatchersPerZone, 1, 100),
		inifile.Integer("platform", "homes_per_zone", &c.HomesPerZone, 1, 100),
		inifile.Duration("platform", "watch_wait", &c.WatchWait, time.Second, 5*time.Minute),
		inifile.Duration("platform", "watch_pause", &c.WatchPause, 0, time.Minute),
	}
}
