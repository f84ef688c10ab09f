package quarantine

// Presence is the outcome of opening a connection to the address of a server.
type Presence uint8

const (
	// PresenceListening means that the connection is accepted and stays open, or that the outcome is inconclusive.
	PresenceListening Presence = iota
	// PresenceRefused means that the connection is refused: the server has crashed or stopped.
	PresenceRefused
	// PresenceClosing means that the connection is accepted and closed at once, by a relay whose server has crashed
	// or stopped, or by a server that has too many connections.
	PresenceClosing
)

var presenceNames = [...]string{"listening", "refused", "closing"}

// String returns the name used in logs.
func (p Presence) String() string { return presenceNames[p] }
