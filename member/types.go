package member

import "time"

// State is the state of a member as far as this daemon knows. A higher state
// wins over a lower one at the same incarnation.
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

// Member is what is known of one daemon.
type Member struct {
	Name string `msgpack:"n"`
	Zone string `msgpack:"z"`
	// PeerAddress hears other daemons, CallerAddress hears callers.
	PeerAddress   string `msgpack:"p"`
	CallerAddress string `msgpack:"c"`
	// Incarnation starts at the boot time in Unix milliseconds and is raised
	// by the member itself to refute a suspicion.
	Incarnation uint64 `msgpack:"i"`
	State       State  `msgpack:"s"`
	// Leaving means that a planned stop has begun: no new callers are sent
	// there. It is kept apart from State, since a member that is leaving may
	// be suspected as well, and it never ends within an incarnation.
	Leaving bool `msgpack:"l,omitempty"`
	// Weight is the processor of its machine, in thousandths of a core; zero if it is
	// not known. Duties that weigh go to heavier members first.
	Weight int `msgpack:"w,omitempty"`
}

// Before orders members for duties that some of them have for all: heavier ones first,
// and in a common order that depends on the duty among equals.
func (m *Member) Before(other *Member, duty string) bool {
	if m.Weight != other.Weight {
		return m.Weight > other.Weight
	}
	return dutyHash(m, duty) < dutyHash(other, duty)
}

// BackEndState is the health of a back end. A higher state wins over a lower
// one at the same boot and change.
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

// BackEnd is news about one back end.
type BackEnd struct {
	Name string `msgpack:"n"`
	// Boot identifies one run of the engine; a later one has a greater text.
	Boot string `msgpack:"b"`
	// Change counts the changes of state within one boot. Only a daemon that
	// observes another state than the one it knows raises it.
	Change uint64       `msgpack:"c"`
	State  BackEndState `msgpack:"s"`
}

// newer reports whether b should replace the known news old.
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
	// PingRequest asks the receiver to probe Target for the sender.
	PingRequest
	// Rumor tells news without a question.
	Rumor
	// Exchange tells the members in the buckets in which the receiver knows something else.
	Exchange
)

// Message is one probe message with the news that rides on it.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	// Sequence pairs an Ack with its Ping.
	Sequence uint64 `msgpack:"q"`
	// Target is the peer address to probe, in a PingRequest.
	Target string `msgpack:"t,omitempty"`
	// Sender lets a receiver that does not know the sender learn of it.
	Sender Member `msgpack:"f"`
	// KnowsLeaving says, in an Ack, that the answering daemon knows that the
	// one that asked is leaving.
	KnowsLeaving bool `msgpack:"w,omitempty"`
	// Digest sums up what the sender knows of members and back ends.
	Digest uint64 `msgpack:"d,omitempty"`
	// Buckets are the parts of that digest for the members. The receiver answers by an Exchange with what it knows of
	// those that differ.
	Buckets  []uint32  `msgpack:"h,omitempty"`
	Members  []Member  `msgpack:"m,omitempty"`
	BackEnds []BackEnd `msgpack:"b,omitempty"`
	// Uninformed says, in a Ping, that the sender started recently and has not received everything yet.
	Uninformed bool `msgpack:"u,omitempty"`
	// Complete says, in an Ack, that the answering daemon is itself informed and that, with this Ack, the
	// sender of the Ping knows everything that it knows.
	Complete bool `msgpack:"c,omitempty"`
}

// Packet is a message with the peer address that it goes to.
type Packet struct {
	Address string
	Message Message
}

// Settings are the times and counts of the detector.
type Settings struct {
	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long an Ack may take before helpers are asked.
	ProbeTimeout time.Duration
	// SuspicionIntervals is how many probe intervals, times the logarithm of
	// the group size, a suspected member has to refute.
	SuspicionIntervals int
	// Helpers is how many members are asked to probe on our behalf.
	Helpers int
	// ExchangeInterval is the least time between two answers that begin an exchange,
	// to senders that know something else.
	ExchangeInterval time.Duration
	// NewsPerMessage bounds the news of each sort on one message.
	NewsPerMessage int
	// RumorFanOut is how many members each daemon tells of urgent news as soon as it
	// hears it, and RumorPause the least time between two such rounds.
	RumorFanOut int
	RumorPause  time.Duration
}

// DefaultSettings returns settings that detect a dead daemon in about five
// seconds with a few daemons and about ten seconds with 320.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		SuspicionIntervals: 2,
		Helpers:            3,
		NewsPerMessage:     6,
		// With a fan-out of four a rumor reaches 98% of a group by itself; probes
		// tell the rest.
		RumorFanOut: 4,
		RumorPause:  100 * time.Millisecond,

		ExchangeInterval: 20 * time.Second,
	}
}
