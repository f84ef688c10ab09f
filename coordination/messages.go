package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/pace"
	"github.com/wheatweir/wheatweir/resumption"
)

// MessageForm names the form of Message and all that it holds. It goes into the key that
// daemons prove to each other, so that during an upgrade those of the old and the new form
// do not talk: fields that are not understood are passed over, and a list of instances
// without their IDs would leave no instance. Both get along by the store meanwhile.
const MessageForm = "12"

// Message is what entry daemons tell each other.
type Message struct {
	From string `msgpack:"f"`
	// Probe belongs to the membership protocol.
	Probe *member.Message `msgpack:"p,omitempty"`
	// Load is what the sender has in progress.
	Load *Load `msgpack:"l,omitempty"`
	// Ask asks for what the sender lacks. A receiver that knows no more looks at the store
	// and answers if it finds something new.
	Ask *Versions `msgpack:"a,omitempty"`
	// Configuration and Instances answer that.
	Configuration *fleet.Configuration `msgpack:"c,omitempty"`
	Instances     *Listing             `msgpack:"i,omitempty"`
	Evacuations   *EvacuationListing   `msgpack:"z,omitempty"`
	// Facts are reports of model servers, told by the holder of the lease to one
	// daemon that lacks them.
	Facts []Fact `msgpack:"r,omitempty"`
	// AskFacts asks the holder for all of them.
	AskFacts bool `msgpack:"q,omitempty"`
	// Spread is what the holder of the lease tells all daemons, passed on along a
	// tree.
	Spread *Spread `msgpack:"s,omitempty"`
	// Choose asks the dispatcher of a group for an instance, and Chosen answers.
	Choose *ChoiceRequest `msgpack:"h,omitempty"`
	Chosen *Choice        `msgpack:"k,omitempty"`
	// Group is the load of a whole group, told by its dispatcher to the others.
	Group *GroupLoad `msgpack:"g,omitempty"`
	// AskAssurance asks how new the sender's configuration surely is, and Assurance answers.
	AskAssurance *AskAssurance `msgpack:"n,omitempty"`
	Assurance    *Assurance    `msgpack:"u,omitempty"`
	// Reads says that the sender has read the configuration from the store, which others may
	// not reach.
	Reads bool `msgpack:"d,omitempty"`
	// Bulletin tells all daemons what one of them has found out.
	Bulletin *Bulletin `msgpack:"x,omitempty"`
	// TenantLimit is about the limits of tenants, InstanceLimit about those that instances name, and InstanceSlot about
	// the slots of instances that fall over if they turn requests away.
	TenantLimit   *limiter.Message `msgpack:"t,omitempty"`
	InstanceLimit *limiter.Message `msgpack:"v,omitempty"`
	InstanceSlot  *limiter.Message `msgpack:"j,omitempty"`
	// Pace is about how fast instances work.
	Pace *pace.Update `msgpack:"w,omitempty"`
	// SuspectTurn is about who runs a content next under which a server has crashed.
	SuspectTurn *limiter.Message `msgpack:"e,omitempty"`
	// Resumption is about the software versions that began streams.
	Resumption *resumption.Message `msgpack:"o,omitempty"`
}

// GroupLoad is the load of a group by instance, or with Changes what has changed of it.
type GroupLoad struct {
	Loads   map[string]balance.Load `msgpack:"r,omitempty"`
	Changes bool                    `msgpack:"d,omitempty"`
}

// ChoiceRequest asks for an instance for one request.
type ChoiceRequest struct {
	// ID pairs the answer with the question.
	ID      uint64          `msgpack:"i"`
	Service string          `msgpack:"s"`
	Request balance.Request `msgpack:"r"`
}

// Choice is the instance for one request.
type Choice struct {
	ID uint64 `msgpack:"i"`
	// Instance is empty if the dispatcher knows of none.
	Instance string       `msgpack:"n,omitempty"`
	Load     balance.Load `msgpack:"l"`
	Of       int          `msgpack:"o,omitempty"`
	// Crowded says that the request should wait a little instead.
	Crowded bool `msgpack:"c,omitempty"`
	// Slowness is how long the instance's work takes relative to the typical instance; zero
	// counts as one.
	Slowness float64 `msgpack:"s,omitempty"`
}

// Spread is one message of the holder of the lease to all daemons.
type Spread struct {
	// Root is the holder, Boot its life, and Sequence the number of the message in
	// that life: each daemon takes and passes on only what is newer.
	Root     string `msgpack:"o"`
	Boot     uint64 `msgpack:"b"`
	Sequence uint64 `msgpack:"n"`
	// Fence is the fencing token, Lease the place of the newest renewal.
	Fence uint64        `msgpack:"f"`
	Lease history.Place `msgpack:"l"`
	// Released says that the holder has handed the lease back: Lease is the place of
	// that write.
	Released bool `msgpack:"e,omitempty"`
	// Facts are new ones only; Digest is over all that the holder knows.
	Facts  []Fact `msgpack:"r,omitempty"`
	Digest uint64 `msgpack:"d"`
}

// Load is what one daemon has in progress and waits for.
type Load struct {
	Versions
	// Fence is the fencing token if the sender holds the lease, else zero.
	Fence uint64 `msgpack:"f,omitempty"`
	// Watching says that the sender watches the store.
	Watching bool `msgpack:"h,omitempty"`
	// Watched is how long ago the sender itself heard from a daemon that watches the
	// store; zero if that is too long ago, or if it watches.
	Watched time.Duration `msgpack:"e,omitempty"`
	// StoreAway says that the store does not answer the sender.
	StoreAway bool `msgpack:"w,omitempty"`
	// Lease is the place of the newest renewal, nil if the sender does not hold the lease.
	Lease *history.Place `msgpack:"l,omitempty"`
	// Requests is the load by instance, or with Changes what has changed of it, see
	// balance.LoadDeltas.
	Requests map[string]balance.Load `msgpack:"r,omitempty"`
	Changes  bool                    `msgpack:"d,omitempty"`
	// Models tells of the demand. In a large fleet only the holder of the lease is
	// told; for others it is left out, which NoModels says.
	Models   []ModelLoad `msgpack:"m,omitempty"`
	NoModels bool        `msgpack:"n,omitempty"`
}

// Versions say how new a daemon's knowledge is.
type Versions struct {
	// Configuration is the version of the configuration, zero if none is known.
	Configuration uint64 `msgpack:"c,omitempty"`
	// Routes is the number of routes of that configuration, which tells how large
	// it is.
	Routes int `msgpack:"o,omitempty"`
	// Instances is the version of the newest change of the instances.
	Instances history.Place `msgpack:"i"`
	// Evacuations is the version of the newest change of the evacuated zones.
	Evacuations history.Place `msgpack:"z,omitempty"`
	// InstancesFrom and EvacuationsFrom are told by daemons that watch the store: the places of their first lists. They
	// know nothing of what was removed before.
	InstancesFrom   history.Place `msgpack:"b,omitempty"`
	EvacuationsFrom history.Place `msgpack:"y,omitempty"`
}

// Listing is the list of all instances at a place in the store's history, or the changes
// since an earlier one.
type Listing struct {
	At    history.Place `msgpack:"a"`
	Since history.Place `msgpack:"s"`
	// Until is the place up to which the list may lack what was removed while it was read.
	Until history.Place `msgpack:"u"`
	// Changes says that Items are changes only, PassedOver that they lack some of what came and went in between.
	Changes    bool             `msgpack:"c,omitempty"`
	PassedOver bool             `msgpack:"g,omitempty"`
	Items      []ListedInstance `msgpack:"i"`
}

// ListedInstance is one instance with the place of its last change. Of one that
// is gone only the ID is told.
type ListedInstance struct {
	Place history.Place  `msgpack:"r"`
	Gone  bool           `msgpack:"g,omitempty"`
	Value fleet.Instance `msgpack:"v"`
}

// Source names a collection of the store.
type Source string

// Collections of the store that every daemon follows.
const (
	SourceConfiguration Source = "configuration"
	SourceInstances     Source = "instances"
	// SourceEvacuations is followed where the operator may evacuate zones.
	SourceEvacuations Source = "evacuations"
)

// ModelLoad is the demand for one model at one daemon.
type ModelLoad struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Requests counts requests in progress or waiting.
	Requests int `msgpack:"r"`
	// PerSecond is the number of requests that begin each second, averaged over the
	// last seconds.
	PerSecond float32 `msgpack:"b,omitempty"`
	// Refused is the number of those that are refused each second for lack of capacity, averaged likewise.
	Refused float32 `msgpack:"x,omitempty"`
	// Waiting counts requests that no instance can take.
	Waiting int `msgpack:"w,omitempty"`
	// Adapters counts requests that wait for an adapter.
	Adapters map[string]int `msgpack:"a,omitempty"`
	// Software counts streams that wait for an instance of the software version that began them.
	Software map[string]int `msgpack:"v,omitempty"`
}

// Fact is what a report of a model server said about what it holds.
type Fact struct {
	Instance  string           `msgpack:"i"`
	Sequence  uint64           `msgpack:"q"`
	Residents []fleet.Resident `msgpack:"r"`
	// Age is how old the report was when it was sent on.
	Age time.Duration `msgpack:"a"`
}
