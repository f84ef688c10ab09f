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

// RequestReport requests a report from an instance; ReportAnswered takes the answer.
type RequestReport struct {
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

// CrashesReceived passes the driver another daemon's update on crashed instances.
type CrashesReceived struct{ Update quarantine.Update }

// BrittleReceived passes the driver another daemon's update on which services are brittle: their
// instances fall over if they turn requests away.
type BrittleReceived struct{ Update brittle.Update }

func (BrittleReceived) action() {}

// NoticesReceived passes the driver another daemon's update on the notices that instances gave of
// themselves.
type NoticesReceived struct{ Update notice.Update }

// LogEntry is an entry for the log.
type LogEntry struct {
	Part   string
	Text   string
	Fields []any
}

func (SendPeer) action()        {}
func (Broadcast) action()       {}
func (Refresh) action()         {}
func (CallLease) action()       {}
func (RequestReport) action()   {}
func (SendOrder) action()       {}
func (CrashesReceived) action() {}
func (NoticesReceived) action() {}
func (LogEntry) action()        {}
