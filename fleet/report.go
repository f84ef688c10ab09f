package fleet

// AdapterRef identifies an adapter of a model.
type AdapterRef struct {
	Model   string
	Adapter string
}

// Report is the state of a model server, obtained by polling. It may be a few
// hundred milliseconds old.
type Report struct {
	Residents []Resident
	// Coming lists the adapters that are being loaded.
	Coming []AdapterRef
	// AtHand lists the models cached in the server's main memory or on its disk.
	AtHand []string
	// Busy means that the server is executing a load or unload order.
	Busy bool
	// Sequence is the number of orders that the server accepted since its start.
	Sequence uint64
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// MemoryUsed and MemoryTotal are in tokens.
	MemoryUsed  int
	MemoryTotal int
}
