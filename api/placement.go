package api

// Phase is the state of an entry of a placement record.
type Phase string

const (
	// PhaseHeld means the artifact should be in the engine's memory.
	PhaseHeld Phase = "held"
	// PhaseReleasing means the artifact should leave memory. Its bytes stay
	// reserved until the engine is observed to have let go.
	PhaseReleasing Phase = "releasing"
)

// PlacementEntry is one reservation of accelerator memory.
type PlacementEntry struct {
	Artifact Artifact `json:"a"`
	Bytes    int64    `json:"b"`
	Phase    Phase    `json:"p"`
	// Anchor marks a replica that keeps its model reachable. It is released
	// only after Moving was written first, so that two daemons that each rely
	// on the other's anchor cannot both release theirs.
	Anchor bool `json:"anchor,omitempty"`
	// Moving marks a replica that others must no longer rely on.
	Moving bool `json:"moving,omitempty"`
	// Since is when the phase was entered, in Unix milliseconds. It guides
	// minimum stay only; no safety depends on it.
	Since int64 `json:"t"`
	// Reason says why the entry was last changed.
	Reason string `json:"r,omitempty"`
}

// Placement is the record of one back end: what its memory is reserved for.
// Its object version is the fence that orders to the engine carry.
type Placement struct {
	BackEnd string `json:"back_end"`
	// Drained stops new placements on the back end and moves its models away;
	// an operator sets and clears it.
	Drained bool `json:"drained,omitempty"`
	// Leaving does the same while the machine is leaving; the acting daemon
	// sets it, and clears it if the machine comes back.
	Leaving bool             `json:"leaving,omitempty"`
	Entries []PlacementEntry `json:"entries"`
}

// Emptying reports whether the back end is to be emptied for either reason.
func (p *Placement) Emptying() bool { return p.Drained || p.Leaving }

// Reserved returns the reserved bytes over all entries, whatever their phase.
func (p *Placement) Reserved() int64 {
	var total int64
	for i := range p.Entries {
		total += p.Entries[i].Bytes
	}
	return total
}

// Find returns the entry of an artifact, or nil.
func (p *Placement) Find(artifact Artifact) *PlacementEntry {
	for i := range p.Entries {
		if p.Entries[i].Artifact == artifact {
			return &p.Entries[i]
		}
	}
	return nil
}

// Clone returns a copy that shares no memory with p.
func (p *Placement) Clone() Placement {
	copied := *p
	copied.Entries = append([]PlacementEntry(nil), p.Entries...)
	return copied
}
