// Package coordination is what the entry daemons of a deployment decide
// together: who of them lives, who holds the lease on orders, what the model
// servers hold and should hold. A Node is a state machine without I/O: events and
// the time go in, actions come out. A driver carries the actions out.
package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/residency"
)

// Message is what entry daemons tell each other.
type Message struct {
	From string `msgpack:"f"`
	// Probe belongs to the membership protocol.
	Probe *member.Message `msgpack:"p,omitempty"`
	// Load is what the sender has in progress.
	Load *Load `msgpack:"l,omitempty"`
	// Ask asks for what the sender lacks while it can't reach the store.
	Ask *Versions `msgpack:"a,omitempty"`
	// Configuration and Instances answer that.
	Configuration *fleet.Configuration `msgpack:"c,omitempty"`
	Instances     *Listing             `msgpack:"i,omitempty"`
	// Facts are reports of model servers, told by the holder of the lease.
	Facts []Fact `msgpack:"r,omitempty"`
}

// Load is what one daemon has in progress and waits for.
type Load struct {
	Versions
	// Fence is the fencing token if the sender holds the lease, else zero.
	Fence uint64 `msgpack:"f,omitempty"`
	// Watching says that the sender watches the store.
	Watching bool `msgpack:"h,omitempty"`
	// StoreAway says that the store does not answer the sender.
	StoreAway bool `msgpack:"w,omitempty"`
	// Lease is the revision of the sender's newest renewal.
	Lease uint64 `msgpack:"l,omitempty"`
	// Requests is the load by instance.
	Requests map[string]balance.Load `msgpack:"r,omitempty"`
	// Models tells of the demand.
	Models []ModelLoad `msgpack:"m,omitempty"`
}

// Versions say how new a daemon's knowledge is.
type Versions struct {
	// Configuration is the version of the configuration, zero if none is known.
	Configuration uint64 `msgpack:"c,omitempty"`
	// Instances is the version of the newest change of the instances.
	Instances uint64 `msgpack:"i,omitempty"`
}

// Listing is the list of all instances at a revision of the store, or the changes
// since the version that was asked for.
type Listing struct {
	At uint64 `msgpack:"a"`
	// Changes says that Items are changes only.
	Changes bool             `msgpack:"c,omitempty"`
	Items   []ListedInstance `msgpack:"i"`
}

// ListedInstance is one instance with the revision of its last change. Of one that
// is gone only the ID is told.
type ListedInstance struct {
	Revision uint64         `msgpack:"r"`
	Gone     bool           `msgpack:"g,omitempty"`
	Value    fleet.Instance `msgpack:"v"`
}

// Source names a collection of the store.
type Source string

// Collections of the store that every daemon follows.
const (
	SourceConfiguration Source = "configuration"
	SourceInstances     Source = "instances"
)

// ModelLoad is the demand for one model at one daemon.
type ModelLoad struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Requests counts requests in progress or waiting.
	Requests int `msgpack:"r"`
	// Waiting counts requests that no instance can take.
	Waiting int `msgpack:"w,omitempty"`
	// Adapters counts requests that wait for an adapter.
	Adapters map[string]int `msgpack:"a,omitempty"`
}

// Fact is what a report of a model server said about what it holds.
type Fact struct {
	Instance  string           `msgpack:"i"`
	Sequence  uint64           `msgpack:"q"`
	Residents []fleet.Resident `msgpack:"r"`
	// Age is how old the report was when it was sent on.
	Age time.Duration `msgpack:"a"`
}

// Action is something that a driver has to do.
type Action interface{ action() }

// SendPeer sends a message to the daemon at an address.
type SendPeer struct {
	Address string
	Message Message
}

// CallLease makes a call to the store; LeaseAnswered takes the answer.
type CallLease struct{ Call lease.Call }

// AskReport asks a model server; ReportAnswered takes the answer.
type AskReport struct {
	Instance string
	Address  string
}

// Refresh makes the driver list a collection again, because another daemon knows
// of something newer.
type Refresh struct{ Source Source }

// SendOrder sends an order; OrderAnswered takes the answer.
type SendOrder struct {
	Order residency.Order
	Fence uint64
	// Until is when the right to send the order ends.
	Until time.Time
}

// Decision is a line for the log.
type Decision struct {
	Part   string
	Text   string
	Fields []any
}

func (SendPeer) action()  {}
func (Refresh) action()   {}
func (CallLease) action() {}
func (AskReport) action() {}
func (SendOrder) action() {}
func (Decision) action()  {}

// Settings of a node.
type Settings struct {
	Member    member.Settings
	Lease     lease.Settings
	Residency residency.Settings
	// ShareEvery is the time between two messages about load, ShareSoon the
	// least time after a change.
	ShareEvery time.Duration
	ShareSoon  time.Duration
	// ReportEvery is the time between two questions to a model server that is
	// at rest, ReportSoon after an order.
	ReportEvery time.Duration
	ReportSoon  time.Duration
	// FactsEvery is the time between two tellings of all facts.
	FactsEvery time.Duration
	// RefreshAfter is how long this daemon may know less than another one before
	// it lists again.
	RefreshAfter time.Duration
	// Watchers is how many daemons watch the store; the others hear of changes by
	// them. WatcherSilence is how long none of them may be heard before another
	// daemon watches too.
	Watchers       int
	WatcherSilence time.Duration
	// AskPause is the least time between two questions to another daemon.
	AskPause time.Duration
	// ChecksFence says that servers turn away orders with a lower fencing token.
	ChecksFence bool
	// PlanEvery is the time between two plans without a cause.
	PlanEvery time.Duration
	// DemandHalfLife is how fast past demand is forgotten.
	DemandHalfLife time.Duration
	// MaxPeers bounds the daemons that one message about load goes to.
	MaxPeers int
}

// DefaultSettings returns settings for a lease term.
func DefaultSettings(term time.Duration) Settings {
	probes := member.DefaultSettings()
	probes.ProbeInterval = 500 * time.Millisecond
	probes.ProbeTimeout = 200 * time.Millisecond
	return Settings{
		Member:         probes,
		Lease:          lease.DefaultSettings(term),
		Residency:      residency.DefaultSettings(),
		ShareEvery:     200 * time.Millisecond,
		ShareSoon:      10 * time.Millisecond,
		ReportEvery:    time.Second,
		ReportSoon:     120 * time.Millisecond,
		FactsEvery:     2 * time.Second,
		RefreshAfter:   150 * time.Millisecond,
		Watchers:       5,
		WatcherSilence: 700 * time.Millisecond,
		AskPause:       100 * time.Millisecond,
		ChecksFence:    true,
		PlanEvery:      200 * time.Millisecond,
		DemandHalfLife: 4 * time.Second,
		MaxPeers:       16,
	}
}
