package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/ring"
)

// event is something that happened, for the control duty to take in.
type event func(node *coordination.Node, now time.Time) []coordination.Action

// workRings join the control duty to the others: events come in, and calls to make go out.
type workRings struct {
	events  *ring.Ring[event]
	leases  *ring.Ring[coordination.CallLease]
	reports *ring.Ring[coordination.RequestReport]
	orders  *ring.Ring[coordination.SendOrder]
}

func newWorkRings() workRings {
	return workRings{
		events: ring.New[event](eventRingSize), leases: ring.New[coordination.CallLease](callRingSize),
		reports: ring.New[coordination.RequestReport](callRingSize), orders: ring.New[coordination.SendOrder](callRingSize),
	}
}

// controlState is the control duty's own; no other duty touches it.
type controlState struct {
	// publishedAt is the members' revision that the addresses show, published when they were
	// made.
	publishedAt uint64
	published   time.Time
	// fleetAt is when the daemons of now were last handed to those who share out limits.
	fleetAt time.Time
	// fleetRevision is the members' revision that they were handed on with.
	fleetRevision uint64
	// discovery is how this daemon has come to know the others.
	discovery *quota.Discovery
	// gossipedAt is when another daemon was last told what it may lack.
	gossipedAt  time.Time
	retryLimits retryLimits
	// forgotAt is when the tracker last forgot instances that are gone.
	forgotAt time.Time
}

// fleetState is what the control duty publishes about the other daemons.
type fleetState struct {
	// addresses are the answer about addresses, and peerAddresses where the other daemons hear
	// this one.
	addresses     atomic.Pointer[frontAddresses]
	peerAddresses atomic.Pointer[addressBook]
	live          atomic.Int64
	// mostLive is the largest value that live has had. What all daemons share by their number is divided by it: those that are
	// no longer heard of may be on the other side of a network partition.
	mostLive atomic.Int64
	// rank is this daemon's place among the live ones, in an order of all.
	rank atomic.Int64
}

// setLive takes in how many daemons are alive.
func (f *fleetState) setLive(live int64) {
	f.live.Store(live)
	f.mostLive.Store(max(live, f.mostLive.Load()))
}

// limitDivisor is the number of daemons by which a limit is divided of which each daemon has a part.
func (f *fleetState) limitDivisor() int { return int(f.mostLive.Load()) }

// followState is how the collections of the store are followed.
type followState struct {
	// refresh tells a collection that another daemon knows more.
	refresh map[coordination.Source]chan struct{}
	// probing stands for the configuration's calls while the store does not answer them; nil
	// if it does.
	probing atomic.Pointer[probe]
	// watching says that this daemon watches the store.
	watching atomic.Bool
	// othersAway says that the store does not answer some other daemon.
	othersAway atomic.Bool
}

func newFollowState() followState {
	return followState{refresh: map[coordination.Source]chan struct{}{
		coordination.SourceConfiguration: make(chan struct{}, 1), coordination.SourceInstances: make(chan struct{}, 1),
		coordination.SourceEvacuations: make(chan struct{}, 1),
	}}
}

// lifecycle is how far the daemon is between its start and its end.
type lifecycle struct {
	ready    atomic.Bool
	stopping atomic.Bool
	// lacksDuty says that a duty has failed, and failed gives its error.
	lacksDuty atomic.Bool
	failed    chan error
	ended     sync.Once
}
