package control

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/replica"
)

// Message is what daemons send to each other. Only the fields in use are set.
type Message struct {
	// From is the peer address of the sender.
	From string `msgpack:"f"`
	// Through is the version up to which the sender's store is complete.
	Through uint64          `msgpack:"t"`
	Probe   *member.Message `msgpack:"p,omitempty"`
	// Pull requests the changes after the sender's Through.
	Pull    bool           `msgpack:"l,omitempty"`
	Delta   *replica.Delta `msgpack:"d,omitempty"`
	Reports []api.Report   `msgpack:"r,omitempty"`
	Loads   []LoadReport   `msgpack:"o,omitempty"`
	// Subscribe lists models for which the sender wants load updates of the back ends
	// until the subscription expires. It is sent to the daemons that act for those back
	// ends.
	Subscribe []string      `msgpack:"s,omitempty"`
	Demand    []ModelDemand `msgpack:"m,omitempty"`
	// PollRequests lists back ends that the receiver polls on behalf of the sender. The sender
	// acts for them and its own poll failed.
	PollRequests []string `msgpack:"a,omitempty"`
	// Limit carries a message of the tenants' rate limiter; Sender then names the
	// sending daemon.
	Limit  *limiter.Message `msgpack:"i,omitempty"`
	Sender string           `msgpack:"n,omitempty"`
}

// LoadReport is the part of a report that changes often. It updates the last full report
// of the same boot.
type LoadReport struct {
	BackEnd  string `msgpack:"n"`
	BootHash uint32 `msgpack:"b"`
	Sequence uint64 `msgpack:"s"`
	Running  int    `msgpack:"u"`
	Waiting  int    `msgpack:"w"`
}

// ModelDemand is the demand for one model at one daemon.
type ModelDemand struct {
	Daemon string `msgpack:"d"`
	Model  string `msgpack:"m"`
	// Requests is the average number of requests in progress and waiting.
	Requests float64 `msgpack:"r"`
}

// CallError classifies the failure of a call to the platform or an engine.
type CallError int

// Results of a call.
const (
	CallOK CallError = iota
	// CallNotDone means that the call certainly had no effect.
	CallNotDone
	// CallConflict means that a conditional update found another version.
	CallConflict
	// CallUnknown means that the call may have had its effect.
	CallUnknown
)

// ChangesAnswer answers FetchChanges.
type ChangesAnswer struct {
	Delta replica.Delta
	Err   CallError
}

// WriteAnswer answers Write. Object is the new object, or after a conflict the object
// that is stored instead.
type WriteAnswer struct {
	Key    api.Key
	Object api.Object
	Err    CallError
}

// ReadAnswer answers Read.
type ReadAnswer struct {
	Key    api.Key
	Object api.Object
	Err    CallError
}

// PollAnswer answers Poll.
type PollAnswer struct {
	BackEnd string
	Report  api.Report
	Err     CallError
}

// Action is an operation that a Node requests from its driver.
type Action interface{ action() }

// SendPeer sends a message to another daemon. Delivery is not guaranteed.
type SendPeer struct {
	Address string
	Message Message
}

// FetchChanges requests the changes after a version from the platform, which delays its
// answer by up to Wait if there are none.
type FetchChanges struct {
	Since uint64
	Wait  time.Duration
}

// Write is a conditional update of an object; IfVersion zero creates it.
type Write struct {
	Object    api.Object
	IfVersion uint64
}

// Read fetches one object.
type Read struct{ Key api.Key }

// Poll requests a report from an engine.
type Poll struct {
	BackEnd string
	Address string
}

// SendOrder sends an order to an engine. The engine's answer is not needed, because the
// effect shows in a later report.
type SendOrder struct {
	BackEnd string
	Address string
	Order   api.Order
}

// Decision is a log entry about a decision.
type Decision struct {
	// Part is the part of the daemon that decided.
	Part string
	// Text is a short sentence.
	Text string
	// Fields holds alternating names and values.
	Fields []any
}

func (SendPeer) action()     {}
func (FetchChanges) action() {}
func (Write) action()        {}
func (Read) action()         {}
func (Poll) action()         {}
func (SendOrder) action()    {}
func (Decision) action()     {}
