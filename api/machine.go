package api

// Role says what a machine runs.
type Role string

// Roles of machines.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// MachineState is the state in the platform's machine list, which lags.
type MachineState string

// States of machines. A machine that is gone has no entry or a tombstone.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the platform's machine list.
type Machine struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// Region is the group of zones that may lose the others for minutes.
	Region string       `json:"region,omitempty"`
	State  MachineState `json:"state"`
	// Address is where the machine serves calls, as "IP:port".
	Address string `json:"address"`
	// PeerAddress is where an entry machine hears other daemons.
	PeerAddress string `json:"peer_address,omitempty"`
	// MemoryBytes is the accelerator memory of an engine.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// Accelerators is the number of accelerators of an engine.
	Accelerators int `json:"accelerators,omitempty"`
	// ChecksFence says whether the engine rejects orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty"`
}
