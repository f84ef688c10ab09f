package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/residency"
)

// Action is an operation that the driver has to carry out.
type Action interface{ action() }

// SendPeer sends a message to the daemon at an address.
type SendPeer struct {
	Address string
	Message Message
}

// Broadcast sends one message to the daemons at several addresses.
type Broadcast struct {
	Addresses []string
	Message   Message
}

// CallLease calls the store about the lease; LeaseAnswered takes the answer.
type CallLease struct{ Call lease.Call }

// AskReport requests a report from an instance; ReportAnswered takes the answer.
type AskReport struct {
	Instance string
	Address  string
}

// Refresh makes the driver list a collection of the store again, because another daemon has
// something newer.
type Refresh struct{ Source Source }

// SendOrder sends an order to an instance; OrderAnswered takes the answer.
type SendOrder struct {
	Order residency.Order
	Fence uint64
	// Until is when the right to send the order ends.
	Until time.Time
}

// LearnCrashes passes the driver another daemon's update on crashed instances.
type LearnCrashes struct{ Update quarantine.Update }

// LearnBrittle passes the driver another daemon's update on which services are brittle: their
// instances fall over if they turn requests away.
type LearnBrittle struct{ Update brittle.Update }

func (LearnBrittle) action() {}

// LearnNotices passes the driver another daemon's update on the notices that instances gave of
// themselves.
type LearnNotices struct{ Update notice.Update }

// Decision is an entry for the log.
type Decision struct {
	Part   string
	Text   string
	Fields []any
}

func (SendPeer) action()     {}
func (Broadcast) action()    {}
func (Refresh) action()      {}
func (CallLease) action()    {}
func (AskReport) action()    {}
func (SendOrder) action()    {}
func (LearnCrashes) action() {}
func (LearnNotices) action() {}
func (Decision) action()     {}
