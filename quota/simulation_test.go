package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// The users' sites allow a limit to be exceeded by the fraction overshoot over any window, and
	// by slack tokens more.
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 11_000.0
	// step is the resolution of virtual time.
	step = 5 * time.Millisecond
	// tickInterval is how often daemons run their periodic work.
	tickInterval = 50 * time.Millisecond
	// answerTimeout is how long a daemon waits for an answer, and unreachableBackoff how long it
	// does not query a daemon that did not answer. Both have the values of package limiter.
	answerTimeout      = 80 * time.Millisecond
	unreachableBackoff = 250 * time.Millisecond
)

// node is one simulated daemon.
type node struct {
	name   string
	member member.Member
	dead   bool
	frozen bool
	// side is the side of a network partition that the daemon is on.
	side int
	// fleet is its snapshot of the daemons; states are the states of the others, by name.
	states       map[string]member.State
	fleet        *Fleet
	buckets      *Buckets
	backoffUntil map[string]time.Time
	// undiscovered are the daemons that it has not discovered since its start.
	undiscovered map[string]bool
	// newestChange is the number of the last state change that it received of each other daemon.
	newestChange map[string]int
	discovery    *Discovery
}

// simulation is a fleet of daemons that enforce the limit of one tenant, in virtual time.
type simulation struct {
	now time.Time
	// lastTick is when daemons last ran their periodic work.
	lastTick time.Time
	random   *rand.Rand
	nodes    []*node
	limit    Limit
	strategy strategy
	// offered are the requests that clients sent, and arrived those that reached an instance.
	arrived []arrival
	offered []arrival
	// perSecond is the rate of tokens that the tenant requests.
	perSecond      float64
	cost           func() float64
	meanCost       float64
	bound          bound
	pendingUpdates []stateUpdate
	changeCount    int
	messages       int
	totalDelay     time.Duration
	// requested is the number of requests.
	requested int
}

// arrival is one request at an instance, or one that was offered to the fleet.
type arrival struct {
	at   time.Time
	cost float64
}

// stateUpdate is a state of a peer that an observer receives at a moment. Without an observer the peer restarts.
type stateUpdate struct {
	at             time.Time
	observer, peer *node
	state          member.State
	// change numbers the changes: one that is not newer than the last received one is ignored.
	change int
}

// strategy is one way to enforce the limit of a tenant.
type strategy interface {
	// take requests a grant for one request at a daemon. It returns how long that takes.
	take(s *simulation, at *node, cost float64) (granted bool, delay time.Duration)
	// buckets returns the initial buckets of one daemon.
	buckets() *Buckets
	// tick runs the periodic work.
	tick(s *simulation)
	// changed is called after a daemon's snapshot of the fleet was replaced.
	changed(s *simulation, at *node)
}

// bound is by how much a limit may be exceeded in any window.
type bound struct {
	window    time.Duration
	overshoot float64
	slack     float64
}

const tenantName = "acme"

func newSimulation(seed uint64, daemons int, limit Limit, tested strategy) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)), limit: limit, strategy: tested}
	s.cost, s.meanCost = func() float64 { return 200 + 2800*s.random.Float64() }, 1600
	s.bound = bound{window: window, overshoot: overshoot, slack: slack}
	for i := range daemons {
		weight := 192
		if i%12 == 0 {
			weight = 800
		}
		name := fmt.Sprint("d", i)
		created := &node{
			name: name, states: map[string]member.State{}, buckets: tested.buckets(), backoffUntil: map[string]time.Time{}, newestChange: map[string]int{},
			member: member.Member{Name: name, Weight: weight}, discovery: NewDiscovery(s.now.Add(-time.Minute)),
		}
		s.nodes = append(s.nodes, created)
	}
	for _, n := range s.nodes {
		s.takeSnapshot(n)
	}
	for _, n := range s.nodes {
		s.strategy.changed(s, n)
	}
	s.run(2 * time.Second)
	s.arrived, s.offered, s.messages, s.totalDelay, s.requested = nil, nil, 0, 0, 0
	return s
}

// rebuildFleet replaces a daemon's snapshot of the fleet, and notifies the strategy.
func (s *simulation) rebuildFleet(n *node) {
	s.takeSnapshot(n)
	s.strategy.changed(s, n)
}

// rebuildIfForming rebuilds the snapshot of a daemon that started recently: its fleet may be complete now.
func (s *simulation) rebuildIfForming(n *node) {
	if n.discovery.growthSteps > 1 && s.now.Sub(n.discovery.started) < discoveryWindow {
		s.rebuildFleet(n)
	}
}

func (s *simulation) takeSnapshot(n *node) {
	members := make([]member.Member, 0, len(s.nodes))
	for _, other := range s.nodes {
		if n.undiscovered[other.name] {
			continue
		}
		m := other.member
		m.State = n.states[other.name]
		members = append(members, m)
	}
	n.fleet = n.discovery.Fleet(s.now, n.name, members, 3)
}

// propagate schedules the receipt of a peer's state at the selected daemons within a second and a half.
func (s *simulation) propagate(peer *node, state member.State, by func(*node) bool) {
	s.changeCount++
	for _, n := range s.nodes {
		if n != peer && by(n) {
			delay := 500*time.Millisecond + time.Duration(s.random.Int64N(int64(time.Second)))
			s.pendingUpdates = append(s.pendingUpdates, stateUpdate{s.now.Add(delay), n, peer, state, s.changeCount})
		}
	}
}

func (s *simulation) kill(n *node, downtime time.Duration) {
	n.dead = true
	s.propagate(n, member.Suspect, func(*node) bool { return true })
	if downtime > 0 {
		s.pendingUpdates = append(s.pendingUpdates, stateUpdate{at: s.now.Add(downtime), peer: n})
	}
}

// restart starts a killed daemon again. Its only state is what it receives from the others at once.
func (s *simulation) restart(n *node) {
	n.dead, n.buckets, n.backoffUntil, n.discovery = false, s.strategy.buckets(), map[string]time.Time{}, NewDiscovery(s.now)
	n.states, n.newestChange = map[string]member.State{}, map[string]int{}
	for _, other := range s.nodes {
		n.newestChange[other.name] = s.changeCount
		if other.dead {
			n.states[other.name] = member.Suspect
		}
	}
	s.rebuildFleet(n)
	s.propagate(n, member.Alive, func(*node) bool { return true })
}

// restartAll stops all daemons at once, and starts them again together: each discovers the others
// one by one.
func (s *simulation) restartAll(delay time.Duration) {
	for _, n := range s.nodes {
		n.dead = true
	}
	s.run(delay)
	s.pendingUpdates = nil
	for _, n := range s.nodes {
		n.dead, n.buckets, n.backoffUntil, n.discovery = false, s.strategy.buckets(), map[string]time.Time{}, NewDiscovery(s.now)
		n.states, n.newestChange, n.undiscovered = map[string]member.State{}, map[string]int{}, map[string]bool{}
		for _, other := range s.nodes {
			n.undiscovered[other.name] = other != n
		}
	}
	for _, n := range s.nodes {
		s.rebuildFleet(n)
		s.changeCount++
		for _, other := range s.nodes {
			if other != n {
				discoveredAt := s.now.Add(minDiscoveryDelay + time.Duration(s.random.Int64N(int64(maxDiscoveryDelay-minDiscoveryDelay))))
				s.pendingUpdates = append(s.pendingUpdates, stateUpdate{discoveredAt, other, n, member.Alive, s.changeCount})
			}
		}
	}
}

// After all daemons of a fleet of 69 started together, each had discovered the first others within
// minDiscoveryDelay and the last ones after maxDiscoveryDelay, by the logs of a test run.
const (
	minDiscoveryDelay = 100 * time.Millisecond
	maxDiscoveryDelay = 1700 * time.Millisecond
)

// partition splits the network: the given daemons are on another side from now on.
func (s *simulation) partition(others []*node) {
	for _, n := range others {
		n.side = 1
	}
	for _, n := range s.nodes {
		side := n.side
		s.propagate(n, member.Suspect, func(other *node) bool { return other.side != side })
	}
}

func (s *simulation) heal() {
	for _, n := range s.nodes {
		n.side = 0
		s.propagate(n, member.Alive, func(*node) bool { return true })
	}
}

func (s *simulation) reaches(a, b *node) bool { return !b.dead && !b.frozen && a.side == b.side }

func (s *simulation) find(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		s.applyUpdates()
		s.strategy.tick(s)
		for expected := s.perSecond * step.Seconds() / s.meanCost; expected > 0; expected-- {
			if s.random.Float64() < expected {
				s.request()
			}
		}
	}
}

func (s *simulation) applyUpdates() {
	pendingUpdates := s.pendingUpdates
	s.pendingUpdates = nil
	for _, update := range pendingUpdates {
		switch {
		case update.at.After(s.now):
			s.pendingUpdates = append(s.pendingUpdates, update)
		case update.observer == nil:
			s.restart(update.peer)
		case !update.observer.dead && update.change > update.observer.newestChange[update.peer.name]:
			update.observer.newestChange[update.peer.name] = update.change
			update.observer.states[update.peer.name] = update.state
			delete(update.observer.undiscovered, update.peer.name)
			s.rebuildFleet(update.observer)
		}
	}
}

// request sends one request to a random daemon. It does not count if the daemon is dead or frozen.
func (s *simulation) request() {
	at := s.nodes[s.random.IntN(len(s.nodes))]
	if at.dead || at.frozen {
		return
	}
	cost := s.cost()
	s.offered = append(s.offered, arrival{s.now, cost})
	s.requested++
	granted, delay := s.strategy.take(s, at, cost)
	s.totalDelay += delay
	if granted {
		s.arrived = append(s.arrived, arrival{s.now.Add(delay), cost})
	}
}

// excess is by how many tokens the worst window exceeds the allowed amount; negative if none does.
func (s *simulation) excess() float64 {
	slices.SortFunc(s.arrived, func(a, b arrival) int { return a.at.Compare(b.at) })
	allowed := (s.limit.PerSecond*s.bound.window.Seconds()+s.limit.Burst)*(1+s.bound.overshoot) + s.bound.slack
	worst, sum, first := 0.0, 0.0, 0
	for _, one := range s.arrived {
		sum += one.cost
		for one.at.Sub(s.arrived[first].at) >= s.bound.window {
			sum -= s.arrived[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst - allowed
}

// lost is the refused fraction of what a single bucket for the whole fleet would have granted.
func (s *simulation) lost() float64 {
	central := &bucket{at: s.now.Add(-time.Hour), level: s.limit.Burst}
	if len(s.offered) > 0 {
		central.at = s.offered[0].at
	}
	ideal, got := 0.0, 0.0
	for _, one := range s.offered {
		if granted, _ := central.take(one.at, &s.limit, 1, one.cost, 0); granted {
			ideal += one.cost
		}
	}
	for _, one := range s.arrived {
		got += one.cost
	}
	if ideal == 0 {
		return 0
	}
	return max(0, 1-got/ideal)
}
