package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/residency"
)

// Action is something that a driver has to do.
type Action interface{ action() }

// SendPeer sends a message to the daemon at an address.
type SendPeer struct {
	Address string
	Message Message
}

// Broadcast sends the same message to the daemons at several addresses.
type Broadcast struct {
	Addresses []string
	Message   Message
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

// LearnCrashes hands on what another daemon told of servers that crashed.
type LearnCrashes struct{ Update quarantine.Update }

// LearnBrittle tells the driver what services said of being brittle to other daemons.
type LearnBrittle struct{ Update brittle.Update }

func (LearnBrittle) action() {}

// LearnNotices hands on what another daemon told of what instances said of themselves.
type LearnNotices struct{ Update notice.Update }

// Decision is a line for the log.
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
