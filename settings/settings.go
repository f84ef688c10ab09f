// Package settings reads the INI settings of a daemon and checks all of them
// before anything starts. Each error names the file, the line and a valid form.
package settings

import (
	"time"

	"github.com/wheatweir/wheatweir/control"
)

// Settings are all settings of a daemon.
type Settings struct {
	Daemon    Daemon
	Requests  Requests
	Operators Operators
	Control   control.Settings
}

// Daemon is the [daemon] section.
type Daemon struct {
	Name            string
	Zone            string
	Region          string
	CallerAddress   string
	PeerAddress     string
	PlatformAddress string
	// Seeds are peer addresses to join through besides the machine list.
	Seeds []string
	// DeploymentKey is shared by all daemons of a deployment.
	DeploymentKey string
	LogLevel      string
	// MaxDescriptors is the number of descriptors that the process may open; zero means what the kernel allows.
	MaxDescriptors int
}

// Requests is the [requests] section.
type Requests struct {
	// AddressKeep is how long callers may keep an answer about addresses.
	AddressKeep time.Duration
	// DrainLimit bounds how long a planned stop waits for requests.
	DrainLimit time.Duration
	// DefaultDeadline is when an answer must have begun unless a request says.
	DefaultDeadline time.Duration
	// IdleTimeout bounds the time between two bytes of a back end's answer.
	IdleTimeout time.Duration
	// ClaimTimeout bounds the wait for a request key's claim.
	ClaimTimeout time.Duration
	MaxBodyBytes int
	// ReceivedBytes is what answers of back ends and of the platform, and frames of other daemons, may occupy together
	// while they are read.
	ReceivedBytes int
	MaxWaiting    int
	MaxAttempts   int
	// Handicap is the wait that one step of priority is worth.
	Handicap time.Duration
	// SlotOvercommit is how many requests this daemon sends to the back ends
	// of a model for each of their batch slots.
	SlotOvercommit float64
	RetryShare     float64
}

// Operators is the [operators] section.
type Operators struct {
	// Credential is needed for commands that change something.
	Credential string
}

// Default returns the settings before a file is read.
func Default() Settings {
	return Settings{
		Daemon: Daemon{LogLevel: "info"},
		Requests: Requests{
			AddressKeep:     10 * time.Second,
			DrainLimit:      10 * time.Minute,
			DefaultDeadline: 60 * time.Second,
			IdleTimeout:     60 * time.Second,
			ClaimTimeout:    3 * time.Second,
			MaxBodyBytes:    4 << 20,
			ReceivedBytes:   256 << 20,
			MaxWaiting:      1000,
			MaxAttempts:     4,
			Handicap:        5 * time.Second,
			SlotOvercommit:  2,
			RetryShare:      0.1,
		},
		Control: control.DefaultSettings(),
	}
}
