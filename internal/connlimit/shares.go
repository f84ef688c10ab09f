package connlimit

import "syscall"

// Name names a listener.
type Name string

// Listeners of daemons.
const (
	Front     Name = "front"
	Directory Name = "directory"
	Ready     Name = "ready"
	Metrics   Name = "metrics"
	Peers     Name = "peers"
	Caller    Name = "caller"
)

// ReceiveBufferBytes is what the kernel may buffer of a connection before it is read.
const ReceiveBufferBytes = 16 << 10

// connectionCost is what a connection may occupy without a head or a body: buffers, stacks, and what the kernel holds of it.
const connectionCost = 16<<10 + ReceiveBufferBytes

// fewestConnections is what each listener may have at least.
const fewestConnections = 6

// descriptorShares are the parts of a process's descriptors that each listener may take, in thousandths. What is left is for files and for
// the connections that the process opens.
var descriptorShares = map[Name]int{Front: 380, Caller: 380, Peers: 125, Directory: 50, Ready: 16, Metrics: 8}

// Machine is what the process may use.
type Machine struct {
	// Descriptors is the number of descriptors that the process may open; zero means what the kernel allows.
	Descriptors int
	// MemoryBytes is the memory for connections at the listener that takes requests; zero means no limit.
	MemoryBytes int64
}

// Connections returns how many connections a listener may have.
func (m Machine) Connections(name Name) int {
	count := m.descriptors() * descriptorShares[name] / 1000
	if m.MemoryBytes > 0 && (name == Front || name == Caller) {
		count = min(count, int(m.MemoryBytes/connectionCost))
	}
	return max(count, fewestConnections)
}

// unlimitedDescriptors stands for a kernel that sets no limit.
const unlimitedDescriptors = 1 << 16

func (m Machine) descriptors() int {
	var allowed syscall.Rlimit
	count := unlimitedDescriptors
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(count) {
		count = int(allowed.Cur)
	}
	if m.Descriptors > 0 {
		count = min(count, m.Descriptors)
	}
	return count
}
