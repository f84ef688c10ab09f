package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/member"
)

const (
	// window and overshoot are by how much and over which time the users' sites let limits be
	// passed, slack by how many tokens more.
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 11_000.0
	// step is the resolution of virtual time.
	step = 5 * time.Millisecond
	// tickPause is how often daemons do what is due.
	tickPause = 50 * time.Millisecond
	// answerLimit is how long an answer is waited for, and restSpan how long a daemon that gave
	// none is not asked: as in the daemon.
	answerLimit = 80 * time.Millisecond
	restSpan    = 250 * time.Millisecond
)

// node is one daemon in virtual time.
type node struct {
	name   string
	member member.Member
	dead   bool
	frozen bool
	// side is the part of the network that the daemon is in.
	side int
	// fleet is what it believes of the others; states are by name.
	states  map[string]member.State
	fleet   *Fleet
	keeper  *Keeper
	resting map[string]time.Time
	// unknown are the daemons that it has not heard of since its start.
	unknown map[string]bool
	// heard is the number of the newest change that it knows of each other one.
	heard map[string]int
	seen  *Discovery
}

// world is a fleet of daemons that hold one tenant to its limit.
type world struct {
	now time.Time
	// ticked is when daemons last did what is due.
	ticked  time.Time
	random  *rand.Rand
	nodes   []*node
	limit   Limit
	way     way
	arrived []arrival
	offered []arrival
	// perSecond is what the tenant asks, in tokens.
	perSecond float64
	cost      func() float64
	meanCost  float64
	bound     bound
	pending   []belief
	changes   int
	messages  int
	delayed   time.Duration
	asked     int
}

// arrival is one request at an instance, or one that was offered to the fleet.
type arrival struct {
	at   time.Time
	cost float64
}

// belief is what a daemon comes to think of another one at a moment.
type belief struct {
	at        time.Time
	of, about *node
	state     member.State
	// change numbers the changes: an older one is no news.
	change int
}

// way is one manner to hold a tenant to its limit.
type way interface {
	// take asks for one request at a daemon. It returns how long that takes.
	take(w *world, at *node, cost float64) (granted bool, delay time.Duration)
	// keeper returns that of one daemon.
	keeper() *Keeper
	// tick does what is due.
	tick(w *world)
	// changed tells that a daemon's belief of the fleet is another one.
	changed(w *world, at *node)
}

// bound is by how much a limit may be passed in any window.
type bound struct {
	window    time.Duration
	overshoot float64
	slack     float64
}

const tenantName = "acme"

func newWorld(seed uint64, daemons int, limit Limit, used way) *world {
	w := &world{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)), limit: limit, way: used}
	w.cost, w.meanCost = func() float64 { return 200 + 2800*w.random.Float64() }, 1600
	w.bound = bound{window: window, overshoot: overshoot, slack: slack}
	for i := range daemons {
		weight := 192
		if i%12 == 0 {
			weight = 800
		}
		name := fmt.Sprint("d", i)
		made := &node{
			name: name, states: map[string]member.State{}, keeper: used.keeper(), resting: map[string]time.Time{}, heard: map[string]int{},
			member: member.Member{Name: name, Weight: weight}, seen: NewDiscovery(w.now.Add(-time.Minute)),
		}
		w.nodes = append(w.nodes, made)
	}
	for _, n := range w.nodes {
		w.draw(n)
	}
	for _, n := range w.nodes {
		w.way.changed(w, n)
	}
	w.run(2 * time.Second)
	w.arrived, w.offered, w.messages, w.delayed, w.asked = nil, nil, 0, 0, 0
	return w
}

// look makes a daemon's picture of the fleet anew, and has it act on it.
func (w *world) look(n *node) {
	w.draw(n)
	w.way.changed(w, n)
}

// refresh has a daemon that has started not long ago look again: its fleet may have formed.
func (w *world) refresh(n *node) {
	if n.seen.growthSteps > 1 && w.now.Sub(n.seen.started) < discoveryWindow {
		w.look(n)
	}
}

func (w *world) draw(n *node) {
	members := make([]member.Member, 0, len(w.nodes))
	for _, other := range w.nodes {
		if n.unknown[other.name] {
			continue
		}
		known := other.member
		known.State = n.states[other.name]
		members = append(members, known)
	}
	n.fleet = n.seen.Fleet(w.now, n.name, members, 3)
}

// learn makes the daemons that reach each other hear of a state within a second and a half.
func (w *world) learn(about *node, state member.State, by func(*node) bool) {
	w.changes++
	for _, n := range w.nodes {
		if n != about && by(n) {
			after := 500*time.Millisecond + time.Duration(w.random.Int64N(int64(time.Second)))
			w.pending = append(w.pending, belief{w.now.Add(after), n, about, state, w.changes})
		}
	}
}

func (w *world) kill(n *node, span time.Duration) {
	n.dead = true
	w.learn(n, member.Suspect, func(*node) bool { return true })
	if span > 0 {
		w.pending = append(w.pending, belief{at: w.now.Add(span), about: n})
	}
}

// revive starts a killed daemon again, with nothing but what it hears at once.
func (w *world) revive(n *node) {
	n.dead, n.keeper, n.resting, n.seen = false, w.way.keeper(), map[string]time.Time{}, NewDiscovery(w.now)
	n.states, n.heard = map[string]member.State{}, map[string]int{}
	for _, other := range w.nodes {
		n.heard[other.name] = w.changes
		if other.dead {
			n.states[other.name] = member.Suspect
		}
	}
	w.look(n)
	w.learn(n, member.Alive, func(*node) bool { return true })
}

// restartAll ends all daemons at once, and starts them again together: each comes to know the others
// one by one.
func (w *world) restartAll(after time.Duration) {
	for _, n := range w.nodes {
		n.dead = true
	}
	w.run(after)
	w.pending = nil
	for _, n := range w.nodes {
		n.dead, n.keeper, n.resting, n.seen = false, w.way.keeper(), map[string]time.Time{}, NewDiscovery(w.now)
		n.states, n.heard, n.unknown = map[string]member.State{}, map[string]int{}, map[string]bool{}
		for _, other := range w.nodes {
			n.unknown[other.name] = other != n
		}
	}
	for _, n := range w.nodes {
		w.look(n)
		w.changes++
		for _, other := range w.nodes {
			if other != n {
				heardAt := w.now.Add(firstHeard + time.Duration(w.random.Int64N(int64(lastHeard-firstHeard))))
				w.pending = append(w.pending, belief{heardAt, other, n, member.Alive, w.changes})
			}
		}
	}
}

// After all daemons of a fleet of 69 started together, each had heard of the first others within
// firstHeard and of the last ones after lastHeard (seen in the logs of one play).
const (
	firstHeard = 100 * time.Millisecond
	lastHeard  = 1700 * time.Millisecond
)

// cut parts the network: the given daemons are on another side from now on.
func (w *world) cut(others []*node) {
	for _, n := range others {
		n.side = 1
	}
	for _, n := range w.nodes {
		side := n.side
		w.learn(n, member.Suspect, func(other *node) bool { return other.side != side })
	}
}

func (w *world) heal() {
	for _, n := range w.nodes {
		n.side = 0
		w.learn(n, member.Alive, func(*node) bool { return true })
	}
}

func (w *world) reaches(a, b *node) bool { return !b.dead && !b.frozen && a.side == b.side }

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(step) {
		w.believe()
		w.way.tick(w)
		for expected := w.perSecond * step.Seconds() / w.meanCost; expected > 0; expected-- {
			if w.random.Float64() < expected {
				w.request()
			}
		}
	}
}

func (w *world) believe() {
	pending := w.pending
	w.pending = nil
	for _, b := range pending {
		switch {
		case b.at.After(w.now):
			w.pending = append(w.pending, b)
		case b.of == nil:
			w.revive(b.about)
		case !b.of.dead && b.change > b.of.heard[b.about.name]:
			b.of.heard[b.about.name] = b.change
			b.of.states[b.about.name] = b.state
			delete(b.of.unknown, b.about.name)
			w.look(b.of)
		}
	}
}

// request has one request arrive at a daemon that lives.
func (w *world) request() {
	at := w.nodes[w.random.IntN(len(w.nodes))]
	if at.dead || at.frozen {
		return
	}
	cost := w.cost()
	w.offered = append(w.offered, arrival{w.now, cost})
	w.asked++
	granted, delay := w.way.take(w, at, cost)
	w.delayed += delay
	if granted {
		w.arrived = append(w.arrived, arrival{w.now.Add(delay), cost})
	}
}

// excess is by how many tokens the worst window passes what is allowed; negative if none does.
func (w *world) excess() float64 {
	slices.SortFunc(w.arrived, func(a, b arrival) int { return a.at.Compare(b.at) })
	allowed := (w.limit.PerSecond*w.bound.window.Seconds()+w.limit.Burst)*(1+w.bound.overshoot) + w.bound.slack
	worst, sum, first := 0.0, 0.0, 0
	for _, one := range w.arrived {
		sum += one.cost
		for one.at.Sub(w.arrived[first].at) >= w.bound.window {
			sum -= w.arrived[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst - allowed
}

// lost is the part of what one bucket for the whole fleet would have let through that was refused.
func (w *world) lost() float64 {
	central := &bucket{updatedAt: w.now.Add(-time.Hour), level: w.limit.Burst}
	if len(w.offered) > 0 {
		central.updatedAt = w.offered[0].at
	}
	ideal, got := 0.0, 0.0
	for _, one := range w.offered {
		if granted, _ := central.take(one.at, &w.limit, 1, one.cost, 0); granted {
			ideal += one.cost
		}
	}
	for _, one := range w.arrived {
		got += one.cost
	}
	if ideal == 0 {
		return 0
	}
	return max(0, 1-got/ideal)
}
