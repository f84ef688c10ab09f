package api

// Report is what an engine says about itself when it is polled.
type Report struct {
	BackEnd string `json:"back_end" msgpack:"n"`
	// Boot identifies one run of the engine process; a restart changes it.
	Boot string `json:"boot" msgpack:"b"`
	// Sequence grows with each report of one boot.
	Sequence uint64 `json:"sequence" msgpack:"s"`
	// Fence is the highest fence of an order that the engine accepted.
	Fence uint64 `json:"fence" msgpack:"f"`
	// Leaving says that the engine takes no new work soon.
	Leaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
	// MemoryBytes is the accelerator memory in all.
	MemoryBytes int64 `json:"memory_bytes" msgpack:"m"`
	// Residents lists artifacts that can serve now.
	Residents []Artifact `json:"residents,omitempty" msgpack:"r,omitempty"`
	// Loading lists artifacts whose load is under way; they occupy memory.
	Loading []Artifact `json:"loading,omitempty" msgpack:"o,omitempty"`
	// Running and Waiting count requests in the batch and in the queue.
	Running int `json:"running" msgpack:"u"`
	Waiting int `json:"waiting" msgpack:"w"`
	// Slots is the largest batch that the engine runs.
	Slots int `json:"slots" msgpack:"t"`
}

// Holds reports whether the artifact is resident or loading.
func (r *Report) Holds(artifact Artifact) bool {
	for _, held := range r.Loading {
		if held == artifact {
			return true
		}
	}
	return r.Serves(artifact)
}

// Serves reports whether the artifact can serve requests now.
func (r *Report) Serves(artifact Artifact) bool {
	for _, held := range r.Residents {
		if held == artifact {
			return true
		}
	}
	return false
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order asks an engine to change what it holds.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Artifact Artifact  `json:"artifact"`
	Bytes    int64     `json:"bytes"`
	// Fence is the version of the placement record that the order follows.
	Fence uint64 `json:"fence"`
	// Boot is the boot identity that the order is meant for.
	Boot string `json:"boot"`
}
