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

// MessageForm names the format of Message and all types in it. It is part of the key that daemons
// prove to each other, so that daemons of different formats do not communicate during an upgrade.
// Unknown fields are skipped when decoding, and a list of instances without their IDs would leave
// no instance. Meanwhile daemons of both formats read the store.
const MessageForm = "14"

// Message is what one daemon sends to another.
type Message struct {
	From string `msgpack:"f"`
	// Probe belongs to the membership protocol.
	Probe *member.Message `msgpack:"p,omitempty"`
	// Load is the sender's load update.
	Load *Load `msgpack:"l,omitempty"`
	// Request requests what the sender lacks. A receiver with nothing newer reads the store
	// and answers if it finds something new.
	Request *Versions `msgpack:"a,omitempty"`
	// Configuration, Instances and Evacuations are the responses to Request.
	Configuration *fleet.Configuration `msgpack:"c,omitempty"`
	Instances     *Listing             `msgpack:"i,omitempty"`
	Evacuations   *EvacuationListing   `msgpack:"z,omitempty"`
	// ResidencyReports are the state of instances by their reports, sent by the lease holder to one daemon
	// that lacks them.
	ResidencyReports []ResidencyReport `msgpack:"r,omitempty"`
	// RequestResidencyReports requests all residency reports from the lease holder.
	RequestResidencyReports bool `msgpack:"q,omitempty"`
	// HolderUpdate is an update of the lease holder to all daemons, forwarded along a multicast tree.
	HolderUpdate *HolderUpdate `msgpack:"s,omitempty"`
	// Choose requests an instance from the dispatcher of a group; Chosen is the response.
	Choose *ChoiceRequest `msgpack:"h,omitempty"`
	Chosen *Choice        `msgpack:"k,omitempty"`
	// Group is the load of a whole group, sent by its dispatcher to the other dispatchers.
	Group *GroupLoad `msgpack:"g,omitempty"`
	// FreshnessRequest requests the moment for which the receiver's configuration is known to be the
	// newest; FreshnessResponse is the response.
	FreshnessRequest  *FreshnessRequest  `msgpack:"n,omitempty"`
	FreshnessResponse *FreshnessResponse `msgpack:"u,omitempty"`
	// StoreReader reports that the sender has read the configuration from the store, which other daemons
	// may be unable to reach.
	StoreReader bool `msgpack:"d,omitempty"`
	// ObservationUpdate broadcasts one daemon's observations to all daemons.
	ObservationUpdate *ObservationUpdate `msgpack:"x,omitempty"`
	// TenantLimit is about the limits of tenants, InstanceLimit about limits that instances set
	// for themselves. InstanceSlot is about the slots of brittle instances, which fall over if they
	// turn requests away.
	TenantLimit   *limiter.Message `msgpack:"t,omitempty"`
	InstanceLimit *limiter.Message `msgpack:"v,omitempty"`
	InstanceSlot  *limiter.Message `msgpack:"j,omitempty"`
	// Pace is about how fast instances work.
	Pace *pace.Update `msgpack:"w,omitempty"`
	// SuspectTurn is about which daemon next runs a request content under which an instance has
	// crashed.
	SuspectTurn *limiter.Message `msgpack:"e,omitempty"`
	// Resumption is about the software versions of the instances on which streams began.
	Resumption *resumption.Message `msgpack:"o,omitempty"`
}

// GroupLoad is the load of a group by instance. If Changes is set, it contains only what has
// changed.
type GroupLoad struct {
	Loads   map[string]balance.Load `msgpack:"r,omitempty"`
	Changes bool                    `msgpack:"d,omitempty"`
}

// ChoiceRequest requests an instance for one request.
type ChoiceRequest struct {
	// ID matches the response with the request.
	ID      uint64          `msgpack:"i"`
	Service string          `msgpack:"s"`
	Request balance.Request `msgpack:"r"`
}

// Choice is the response to a ChoiceRequest.
type Choice struct {
	ID uint64 `msgpack:"i"`
	// Instance is empty if the dispatcher has no suitable instance.
	Instance       string       `msgpack:"n,omitempty"`
	Load           balance.Load `msgpack:"l"`
	CandidateCount int          `msgpack:"o,omitempty"`
	// Crowded is set if the request should be held back for a moment instead.
	Crowded bool `msgpack:"c,omitempty"`
	// Slowness is the ratio of this instance's processing time to that of the typical instance;
	// zero counts as one.
	Slowness float64 `msgpack:"s,omitempty"`
}

// HolderUpdate is an update of the lease holder to all daemons.
type HolderUpdate struct {
	// Root is the lease holder, Boot identifies its process, and Sequence numbers the updates of
	// that process. A daemon processes and forwards only updates that are newer than the last one.
	Root     string `msgpack:"o"`
	Boot     uint64 `msgpack:"b"`
	Sequence uint64 `msgpack:"n"`
	// Fence is the fencing token, Lease the place of the latest renewal in the store's history.
	Fence uint64        `msgpack:"f"`
	Lease history.Place `msgpack:"l"`
	// Released is set if the holder has released the lease; Lease is then the place of that write.
	Released bool `msgpack:"e,omitempty"`
	// ResidencyReports contains only new residency reports; Digest covers all those of the holder.
	ResidencyReports []ResidencyReport `msgpack:"r,omitempty"`
	Digest           uint64            `msgpack:"d"`
}

// Load is a daemon's update on its requests in progress and waiting.
type Load struct {
	Versions
	// Fence is the fencing token if the sender holds the lease, otherwise zero.
	Fence uint64 `msgpack:"f,omitempty"`
	// Watching is set if the sender watches the store.
	Watching bool `msgpack:"h,omitempty"`
	// WatcherAge is how long ago the sender itself last received a message from a daemon that watches
	// the store. It is zero if that is too long ago, or if the sender watches the store itself.
	WatcherAge time.Duration `msgpack:"e,omitempty"`
	// StoreUnavailable is set if the store does not answer the sender.
	StoreUnavailable bool `msgpack:"w,omitempty"`
	// Lease is the place of the latest renewal; nil if the sender does not hold the lease.
	Lease *history.Place `msgpack:"l,omitempty"`
	// Requests is the load by instance. If Changes is set, it contains only what has changed, see
	// balance.LoadDeltas.
	Requests map[string]balance.Load `msgpack:"r,omitempty"`
	Changes  bool                    `msgpack:"d,omitempty"`
	// Models is the demand for models. In a large fleet only the lease holder receives it. NoModels
	// is set if it is left out.
	Models   []ModelLoad `msgpack:"m,omitempty"`
	NoModels bool        `msgpack:"n,omitempty"`
}

// Versions are the versions of the collections that a daemon has.
type Versions struct {
	// Configuration is the version of the configuration, zero if there is none.
	Configuration uint64 `msgpack:"c,omitempty"`
	// Routes is the number of routes of that configuration, as a measure of its size.
	Routes int `msgpack:"o,omitempty"`
	// Instances is the place of the latest change of the instances.
	Instances history.Place `msgpack:"i"`
	// Evacuations is the place of the latest change of the evacuated zones.
	Evacuations history.Place `msgpack:"z,omitempty"`
	// InstancesFrom and EvacuationsFrom are the places of the first lists that a daemon watching
	// the store has read; other daemons leave them zero. The sender has no record of removals
	// before them.
	InstancesFrom   history.Place `msgpack:"b,omitempty"`
	EvacuationsFrom history.Place `msgpack:"y,omitempty"`
}

// Listing is the list of all instances at a place in the store's history, or the changes since an
// earlier place.
type Listing struct {
	At    history.Place `msgpack:"a"`
	Since history.Place `msgpack:"s"`
	// ListedUntil is the place up to which removals may be missing, since they happened while the list
	// was read.
	ListedUntil history.Place `msgpack:"u"`
	// Changes is set if Items contains changes only. HasGaps is set if some instances that came
	// and went in between are missing.
	Changes bool             `msgpack:"c,omitempty"`
	HasGaps bool             `msgpack:"g,omitempty"`
	Items   []ListedInstance `msgpack:"i"`
}

// ListedInstance is one instance with the place of its last change. Of a removed instance only the
// ID is sent.
type ListedInstance struct {
	Place history.Place  `msgpack:"r"`
	Gone  bool           `msgpack:"g,omitempty"`
	Value fleet.Instance `msgpack:"v"`
}

// Source names a collection of the store.
type Source string

// Collections of the store that daemons follow.
const (
	SourceConfiguration Source = "configuration"
	SourceInstances     Source = "instances"
	// SourceEvacuations is followed only where the operator may evacuate zones.
	SourceEvacuations Source = "evacuations"
)

// ModelLoad is one daemon's demand for one model.
type ModelLoad struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Requests counts requests in progress or waiting.
	Requests int `msgpack:"r"`
	// PerSecond is the number of requests that begin each second, averaged over the last seconds.
	PerSecond float32 `msgpack:"b,omitempty"`
	// Refused is the number of requests refused each second for lack of capacity, averaged
	// likewise.
	Refused float32 `msgpack:"x,omitempty"`
	// Waiting counts requests that no instance can take.
	Waiting int `msgpack:"w,omitempty"`
	// Adapters counts the requests that wait for each adapter.
	Adapters map[string]int `msgpack:"a,omitempty"`
	// Software counts, by software version, the streams that wait for an instance of the version on
	// which they began.
	Software map[string]int `msgpack:"v,omitempty"`
	// SoftwareAdapters counts those of them that wait for an adapter, by software version and adapter.
	SoftwareAdapters map[string]map[string]int `msgpack:"va,omitempty"`
}

// ResidencyReport is what an instance holds according to its report.
type ResidencyReport struct {
	Instance  string           `msgpack:"i"`
	Sequence  uint64           `msgpack:"q"`
	Residents []fleet.Resident `msgpack:"r"`
	// Age is the age of the instance's report when the residency report was sent.
	Age time.Duration `msgpack:"a"`
}
