package settings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// field describes one setting: where it is, how it is read, and its valid form.
type field struct {
	section  string
	name     string
	required bool
	// form describes valid values in messages and in the generated help.
	form string
	// parse stores a value and returns whether it is valid.
	parse func(text string) bool
	// show returns the present value.
	show func() string
	// secret values are never shown.
	secret bool
}

func fieldsOf(s *Settings) []field {
	d, r, c := &s.Daemon, &s.Requests, &s.Control
	p, m := &c.Placement, &c.Member
	return []field{
		word("daemon", "name", &d.Name, true),
		word("daemon", "zone", &d.Zone, true),
		word("daemon", "region", &d.Region, false),
		address("daemon", "caller_address", &d.CallerAddress),
		address("daemon", "peer_address", &d.PeerAddress),
		address("daemon", "platform_address", &d.PlatformAddress),
		addresses("daemon", "seeds", &d.Seeds),
		secret("daemon", "deployment_key", &d.DeploymentKey),
		choice("daemon", "log_level", &d.LogLevel, "debug", "info", "warn", "error"),

		duration("requests", "address_keep", &r.AddressKeep, time.Second, time.Hour),
		duration("requests", "drain_limit", &r.DrainLimit, time.Second, 24*time.Hour),
		duration("requests", "default_deadline", &r.DefaultDeadline, 100*time.Millisecond, time.Hour),
		duration("requests", "idle_timeout", &r.IdleTimeout, time.Second, time.Hour),
		duration("requests", "claim_timeout", &r.ClaimTimeout, 100*time.Millisecond, time.Minute),
		duration("requests", "handicap", &r.Handicap, 0, time.Hour),
		integer("requests", "max_body_bytes", &r.MaxBodyBytes, 1024, 256<<20),
		integer("requests", "max_waiting", &r.MaxWaiting, 1, 1000000),
		integer("requests", "max_attempts", &r.MaxAttempts, 1, 8),
		number("requests", "slot_overcommit", &r.SlotOvercommit, 0.1, 100),
		number("requests", "retry_share", &r.RetryShare, 0, 1),

		secret("operators", "credential", &s.Operators.Credential),

		duration("membership", "probe_interval", &m.ProbeInterval, 50*time.Millisecond, time.Minute),
		duration("membership", "probe_timeout", &m.ProbeTimeout, 10*time.Millisecond, time.Minute),
		integer("membership", "suspicion_intervals", &m.SuspicionIntervals, 1, 100),
		integer("membership", "helpers", &m.Helpers, 0, 16),

		duration("membership", "join_wait", &c.JoinWait, 0, time.Minute),
		duration("membership", "pause_limit", &c.PauseLimit, 500*time.Millisecond, time.Minute),

		number("placement", "attainment_weight", &p.Weights.Attainment, 0, 1000),
		number("placement", "moves_weight", &p.Weights.Moves, 0, 1000),
		number("placement", "target_utilization", &p.TargetUtilization, 0.05, 1),
		number("placement", "spare_fraction", &p.SpareFraction, 0, 0.9),
		duration("placement", "minimum_stay", &p.MinimumStay, 0, 24*time.Hour),
		duration("placement", "poll_interval", &c.PollInterval, 100*time.Millisecond, time.Minute),
		duration("placement", "lost_zone_wait", &c.LostZoneWait, 0, 24*time.Hour),
		duration("placement", "plan_interval", &c.PlanInterval, 100*time.Millisecond, time.Minute),
		duration("placement", "order_retry", &c.OrderRetry, 100*time.Millisecond, time.Hour),
		integer("placement", "poll_failures", &c.PollFailures, 1, 100),
		integer("placement", "weight_store_slots", &c.WeightStoreSlots, 1, 10000),

		number("platform", "writes_per_second", &c.WritesPerSecond, 0.1, 10000),
		integer("platform", "watchers_per_zone", &c.WatchersPerZone, 1, 100),
		integer("platform", "homes_per_zone", &c.HomesPerZone, 1, 100),
		duration("platform", "watch_wait", &c.WatchWait, time.Second, 5*time.Minute),
		duration("platform", "watch_pause", &c.WatchPause, 0, time.Minute),
	}
}

func word(section, name string, target *string, required bool) field {
	return field{
		section: section, name: name, required: required, form: "a word of letters, digits, '-', '_' and '.'",
		parse: func(text string) bool {
			*target = text
			return text != "" && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
		},
		show: func() string { return *target },
	}
}

// minimumSecretBytes keeps keys from being guessed.
const minimumSecretBytes = 16

func secret(section, name string, target *string) field {
	return field{
		section: section, name: name, required: true, form: "at least 16 characters", secret: true,
		parse: func(text string) bool {
			*target = text
			return len(text) >= minimumSecretBytes
		},
		show: func() string { return "(not shown)" },
	}
}

func address(section, name string, target *string) field {
	return field{
		section: section, name: name, required: true, form: "IP:port, for example 10.0.0.1:7070",
		parse: func(text string) bool {
			*target = text
			_, err := netip.ParseAddrPort(text)
			return err == nil
		},
		show: func() string { return *target },
	}
}

func addresses(section, name string, target *[]string) field {
	return field{
		section: section, name: name, form: "IP:port, ... separated by commas",
		parse: func(text string) bool {
			*target = nil
			for _, part := range strings.Split(text, ",") {
				part = strings.TrimSpace(part)
				if _, err := netip.ParseAddrPort(part); err != nil {
					return false
				}
				*target = append(*target, part)
			}
			return true
		},
		show: func() string { return strings.Join(*target, ", ") },
	}
}

func choice(section, name string, target *string, choices ...string) field {
	return field{
		section: section, name: name, form: "one of " + strings.Join(choices, ", "),
		parse: func(text string) bool {
			for _, known := range choices {
				if text == known {
					*target = text
					return true
				}
			}
			return false
		},
		show: func() string { return *target },
	}
}

func duration(section, name string, target *time.Duration, least, most time.Duration) field {
	return field{
		section: section, name: name, form: "a time from " + least.String() + " to " + most.String() + ", for example 1.5s",
		parse: func(text string) bool {
			value, err := time.ParseDuration(text)
			*target = value
			return err == nil && value >= least && value <= most
		},
		show: func() string { return target.String() },
	}
}

func integer(section, name string, target *int, least, most int) field {
	return field{
		section: section, name: name, form: "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most),
		parse: func(text string) bool {
			value, err := strconv.Atoi(text)
			*target = value
			return err == nil && value >= least && value <= most
		},
		show: func() string { return strconv.Itoa(*target) },
	}
}

func number(section, name string, target *float64, least, most float64) field {
	format := func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
	return field{
		section: section, name: name, form: "a number from " + format(least) + " to " + format(most),
		parse: func(text string) bool {
			value, err := strconv.ParseFloat(text, 64)
			*target = value
			return err == nil && value >= least && value <= most
		},
		show: func() string { return format(*target) },
	}
}
