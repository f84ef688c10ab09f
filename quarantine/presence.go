package quarantine

// ProbeResult is the outcome of opening a connection to the address of a server.
type ProbeResult uint8

const (
	// ProbeListening means that the connection is accepted and stays open, or that the outcome is inconclusive.
	ProbeListening ProbeResult = iota
	// ProbeRefused means that the connection is refused: the server has crashed or stopped.
	ProbeRefused
	// ProbeClosing means that the connection is accepted and closed at once, by a relay whose server has crashed
	// or stopped, or by a server that has too many connections.
	ProbeClosing
)

var presenceNames = [...]string{"listening", "refused", "closing"}

// String returns the name used in logs.
func (p ProbeResult) String() string { return presenceNames[p] }
