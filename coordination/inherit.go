package coordination

import "time"

// inheritState is what is known of the loads from the weight store that holders of the
// lease ordered. A new holder must not exceed the store's rate together with the one
// before it, and should not wait for longer than that needs.
type inheritState struct {
	// heard is what the newest holder told, at heardAt.
	heard   HeardLoads
	heardAt time.Time
	// heldAt is when this daemon last became the holder; taken is what it then knew of the
	// one before it, told at takenAt.
	heldAt  time.Time
	taken   HeardLoads
	takenAt time.Time
}

// hearLoads takes in what a holder told. A new one is told of the holder before it: it may
// have restarted, and know nothing.
func (n *Node) hearLoads(now time.Time, told *Spread) {
	state := &n.inheriting
	if told.Fence < state.heard.Fence {
		return
	}
	if before := state.heard; told.Fence > before.Fence && told.Root != n.self && n.mayTellLoads(now) {
		before.Age = now.Sub(state.heardAt)
		n.sendAll([]string{told.Root}, Message{From: n.self, Predecessor: &before})
	}
	state.heard = HeardLoads{Fence: told.Fence, Counts: told.StoreLoads, Released: told.Released}
	state.heardAt = now
}

// loadTellers is how many daemons tell a new holder of the one before it.
const loadTellers = 5

func (n *Node) mayTellLoads(now time.Time) bool {
	recent := !n.inheriting.heardAt.IsZero() && now.Sub(n.inheriting.heardAt) <= n.settings.Residency.Window
	return recent && n.Rank() <= loadTellers
}

// inherit begins with what this daemon, which has become the holder, has heard itself.
func (n *Node) inherit(now time.Time) {
	state := &n.inheriting
	state.heldAt = now
	state.taken, state.takenAt = state.heard, state.heardAt
	n.book.Inherit(now, state.takenAt, state.taken.Counts, state.taken.Released, n.loadsPerSecond())
}

// takePredecessor takes in what another daemon heard of the holder before this one, if that
// is newer.
func (n *Node) takePredecessor(now time.Time, told *HeardLoads) {
	state := &n.inheriting
	fence, ordering := n.lease.Retained()
	at := now.Add(-told.Age)
	if !ordering || !n.held || told.Fence >= fence || told.Fence < state.taken.Fence || !at.After(state.takenAt) {
		return
	}
	state.taken, state.takenAt = *told, at
	n.book.Inherit(state.heldAt, at, told.Counts, told.Released, n.loadsPerSecond())
	n.decide("lease", "Loads of the holder before heard.", "fence", told.Fence, "age_ms", told.Age.Milliseconds())
}
