// Package entry wires one entry daemon on the users' platform: duties, each a
// goroutine, that are joined by bounded rings. The control duty owns the
// coordination.Node; the request path reads the snapshot that it publishes.
package entry

import (
	"os"
	"time"

	"github.com/wheatweir/wheatweir/inifile"
	"github.com/wheatweir/wheatweir/quarantine"
)

// Settings are the settings of an entry daemon.
type Settings struct {
	Name     string
	Zone     string
	Region   string
	LogLevel string
	// ZoneRegions tells the region of each zone of the deployment.
	ZoneRegions map[string]string

	// FrontAddress takes clients, ReadyAddress and DirectoryAddress answer
	// questions about readiness and addresses, PeerAddress hears other daemons.
	FrontAddress     string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	// AdvertisedPeerAddress is where other daemons reach this one, if that is not
	// the address that it listens on.
	AdvertisedPeerAddress string
	// MetricsAddress may be empty.
	MetricsAddress string
	// StoreAddress is the platform's store.
	StoreAddress string
	// Seeds are peer addresses to join through.
	Seeds []string
	// DeploymentKey keeps deployments apart.
	DeploymentKey string

	// AddressKeep is how long clients may keep an answer about addresses.
	AddressKeep time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// LeaseTerm is the term of the lease on orders.
	LeaseTerm time.Duration
	// ChecksFence says that model servers turn away orders with a lower token.
	ChecksFence bool
	// RetryShare is the share of the requests for a service that may be sent a second time over
	// all daemons within RetryWindow, RetrySlack how many more. A fraction is valid:
	// platforms scale it with the deployment.
	RetryShare  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// WatchWait is the time within which a change that the store has taken has to be known
	// to all daemons, also if all watches go deaf.
	WatchWait time.Duration
	// RevokeWithin is how long after the store has taken that a key is no longer valid a
	// request with it may still be served, by any daemon; zero if nothing says so.
	RevokeWithin time.Duration
	// EvacuateWithin is how long after the store has taken that a zone is evacuated its instances may still get
	// requests; zero if zones are never evacuated.
	EvacuateWithin time.Duration
	// Released are digests of contents that are not kept from servers any more, as the log names them: their
	// cause was mended.
	Released []string
	// LearnPace has the daemon measure how fast servers work, and tell others.
	LearnPace bool
	// FirstStart says that no daemon of the deployment has run before: nothing that the store lacks was ever there.
	FirstStart bool
	// MemoryLimitMB is the memory of the process.
	MemoryLimitMB float64
	// MaxDescriptors is the number of descriptors that the process may open; zero means what the kernel allows.
	MaxDescriptors int
	// CPUShare is the processor of the machine, in cores; zero if it is not known.
	CPUShare float64
}

// DefaultSettings returns the settings before a file is read.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info", AddressKeep: time.Second, Grace: 8 * time.Second, LeaseTerm: 3 * time.Second,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 20, WatchWait: 2 * time.Second, MemoryLimitMB: 256,
		LearnPace: true,
	}
}

func fieldsOf(s *Settings) []inifile.Field {
	return []inifile.Field{
		inifile.Word("daemon", "name", &s.Name, true),
		inifile.Word("daemon", "zone", &s.Zone, true),
		inifile.Word("daemon", "region", &s.Region, false),
		optional(inifile.Pairs("daemon", "zone_regions", "zone=region", &s.ZoneRegions)),
		inifile.Choice("daemon", "log_level", &s.LogLevel, "debug", "info", "warn", "error"),
		inifile.Secret("daemon", "deployment_key", &s.DeploymentKey),
		inifile.Number("daemon", "memory_limit_mb", &s.MemoryLimitMB, 16, 1<<20),
		optional(inifile.Integer("daemon", "max_descriptors", &s.MaxDescriptors, 64, 1<<20)),
		optional(inifile.Boolean("daemon", "first_start", &s.FirstStart)),
		optional(inifile.Number("daemon", "cpu_share", &s.CPUShare, 0, 4096)),

		inifile.Address("listen", "front", &s.FrontAddress),
		inifile.Address("listen", "ready", &s.ReadyAddress),
		inifile.Address("listen", "directory", &s.DirectoryAddress),
		inifile.Address("listen", "peers", &s.PeerAddress),
		optional(inifile.Address("listen", "advertised_peers", &s.AdvertisedPeerAddress)),
		optional(inifile.Address("listen", "metrics", &s.MetricsAddress)),

		inifile.Address("store", "address", &s.StoreAddress),
		inifile.Duration("store", "watch_wait", &s.WatchWait, 100*time.Millisecond, 30*time.Second),
		optional(inifile.Duration("store", "revoke_within", &s.RevokeWithin, 0, time.Hour)),
		optional(inifile.Duration("store", "evacuate_within", &s.EvacuateWithin, 0, time.Hour)),
		inifile.Addresses("peers", "seeds", &s.Seeds),

		inifile.Duration("requests", "address_keep", &s.AddressKeep, 100*time.Millisecond, time.Hour),
		inifile.Duration("requests", "grace", &s.Grace, time.Second, time.Hour),
		inifile.Number("requests", "retry_share", &s.RetryShare, 0, 1),
		optional(inifile.Duration("requests", "retry_window", &s.RetryWindow, 100*time.Millisecond, time.Hour)),
		inifile.Number("requests", "retry_slack", &s.RetrySlack, 0, 1000000),
		optional(inifile.Words("requests", "released_contents", "32 hexadecimal digits", &s.Released, isDigest)),
		optional(inifile.Boolean("requests", "learn_pace", &s.LearnPace)),
		inifile.Boolean("orders", "checks_fence", &s.ChecksFence),
		inifile.Duration("orders", "lease_term", &s.LeaseTerm, 100*time.Millisecond, time.Hour),
	}
}

// peersReachAt is the address that other daemons are told.
func (s *Settings) peersReachAt() string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return s.PeerAddress
}

func isDigest(word string) bool {
	_, err := quarantine.ParseDigest(word)
	return err == nil
}

func optional(field inifile.Field) inifile.Field {
	field.Required = false
	return field
}

// ReadSettings reads and checks a file.
func ReadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, inifile.ErrFile.Wrap(err)
	}
	return ParseSettings(path, content)
}

// ParseSettings checks the content of a file. The path is used in errors only.
func ParseSettings(path string, content []byte) (Settings, error) {
	settings := DefaultSettings()
	reader, err := inifile.Read(path, content, fieldsOf(&settings))
	if err != nil {
		return settings, err
	}
	return settings, reader.Err()
}
