package member

import "time"

// State is the state of a member in the view of this daemon. A higher state wins over a lower one
// at the same incarnation.
type State uint8

// States of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

var stateNames = [...]string{"alive", "suspect", "dead"}

// String returns the name used in logs and command output.
func (s State) String() string { return stateNames[s] }

// Member is the membership entry of one daemon.
type Member struct {
	Name string `msgpack:"n"`
	Zone string `msgpack:"z"`
	// PeerAddress accepts connections of other daemons, CallerAddress those of callers.
	PeerAddress   string `msgpack:"p"`
	CallerAddress string `msgpack:"c"`
	// Incarnation starts at the boot time in Unix milliseconds and is raised by the member itself
	// to refute a suspicion.
	Incarnation uint64 `msgpack:"i"`
	State       State  `msgpack:"s"`
	// Leaving means that a planned stop has begun: no new callers are sent there. It is kept apart
	// from State, since a member that is leaving may be suspected as well, and it never ends within
	// an incarnation.
	Leaving bool `msgpack:"l,omitempty"`
	// Weight is the CPU capacity of the member's machine in thousandths of a core; zero if it is
	// unknown. Duties that take CPU time go to heavier members first.
	Weight int `msgpack:"w,omitempty"`
}

// Before orders members for duties that some of them perform for all. Heavier members come first;
// members of equal weight have an order that depends on the duty and is the same at all daemons.
func (m *Member) Before(other *Member, duty string) bool {
	if m.Weight != other.Weight {
		return m.Weight > other.Weight
	}
	return dutyHash(m, duty) < dutyHash(other, duty)
}

// BackEndState is the health of a back end. A higher state wins over a lower one at the same boot
// and change.
type BackEndState uint8

// States of a back end.
const (
	BackEndUp BackEndState = iota
	BackEndLeaving
	BackEndDown
)

var backEndStateNames = [...]string{"up", "leaving", "down"}

// String returns the name used in logs and command output.
func (s BackEndState) String() string { return backEndStateNames[s] }

// BackEnd is the state of one back end.
type BackEnd struct {
	Name string `msgpack:"n"`
	// Boot identifies one run of the engine; a later run has a greater string.
	Boot string `msgpack:"b"`
	// Change counts the changes of state within one boot. Only a daemon that observes a state other
	// than the known one raises it.
	Change uint64       `msgpack:"c"`
	State  BackEndState `msgpack:"s"`
}

// newer reports whether b should replace the known state old.
func (b BackEnd) newer(old BackEnd) bool {
	if b.Boot != old.Boot {
		return b.Boot > old.Boot
	}
	if b.Change != old.Change {
		return b.Change > old.Change
	}
	return b.State > old.State
}

// MessageKind is the kind of a probe message.
type MessageKind uint8

// Kinds of probe messages.
const (
	Ping MessageKind = iota + 1
	Ack
	// PingRequest requests the receiver to probe Target on the sender's behalf.
	PingRequest
	// Rumor carries updates and expects no answer.
	Rumor
	// Exchange carries the members in the buckets in which the digests of sender and receiver
	// differ.
	Exchange
)

// Message is one probe message with the updates that are piggybacked on it.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	// Sequence pairs an Ack with its Ping.
	Sequence uint64 `msgpack:"q"`
	// Target is the peer address to probe, in a PingRequest.
	Target string `msgpack:"t,omitempty"`
	// Sender is the sender's own entry, so that a receiver to which it is unknown can add it.
	Sender Member `msgpack:"f"`
	// LeavingKnown reports, in an Ack, that the answering daemon has the sender of the Ping as
	// leaving.
	LeavingKnown bool `msgpack:"w,omitempty"`
	// Digest is the checksum of the members and back ends in the sender's view.
	Digest uint64 `msgpack:"d,omitempty"`
	// Buckets are the parts of that digest for the members. The receiver answers with an Exchange
	// of its members in the buckets that differ.
	Buckets  []uint32  `msgpack:"h,omitempty"`
	Members  []Member  `msgpack:"m,omitempty"`
	BackEnds []BackEnd `msgpack:"b,omitempty"`
	// LacksFullState reports, in a Ping, that the sender started recently and has not received the full
	// state yet.
	LacksFullState bool `msgpack:"u,omitempty"`
	// Complete reports, in an Ack, that the answering daemon itself has the full state and that,
	// with this Ack, the sender of the Ping has all of it too.
	Complete bool `msgpack:"c,omitempty"`
}

// Packet is a message with the peer address to send it to.
type Packet struct {
	Address string
	Message Message
}

// Settings are the intervals, timeouts and bounds of the detector.
type Settings struct {
	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for an Ack before helpers are requested to probe.
	ProbeTimeout time.Duration
	// SuspicionIntervals determines how long a suspected member has to refute: this many half probe
	// intervals, times the logarithm of the group size.
	SuspicionIntervals int
	// Helpers is how many members are requested to probe on this daemon's behalf.
	Helpers int
	// ExchangeInterval is the minimum time between two answers that begin an exchange, to senders
	// whose digest differs.
	ExchangeInterval time.Duration
	// UpdatesPerMessage bounds the updates about members, and those about back ends, in one message.
	UpdatesPerMessage int
	// RumorFanOut is how many members each daemon forwards an urgent update to as soon as it
	// receives it. RumorInterval is the minimum interval between two such rounds.
	RumorFanOut   int
	RumorInterval time.Duration
}

// DefaultSettings returns settings that detect a dead daemon in about five seconds with a few
// daemons and about ten seconds with 320.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		SuspicionIntervals: 2,
		Helpers:            3,
		UpdatesPerMessage:  6,
		// With a fan-out of four, rumors alone reach 98% of a group; probes reach the rest.
		RumorFanOut:   4,
		RumorInterval: 100 * time.Millisecond,

		ExchangeInterval: 20 * time.Second,
	}
}
