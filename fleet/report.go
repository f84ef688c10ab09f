package fleet

// AdapterOf names an adapter of a model.
type AdapterOf struct {
	Model   string
	Adapter string
}

// Report is what a model server says about itself when asked. It may be some
// hundred milliseconds old.
type Report struct {
	Residents []Resident
	// Coming lists adapters that are being loaded.
	Coming []AdapterOf
	// AtHand lists models with a copy in the server's memory or on its disk.
	AtHand []string
	// Busy says that an order for a model is under way.
	Busy bool
	// Sequence counts the orders that the server took since its start.
	Sequence uint64
	// Running and Waiting count requests.
	Running int
	Waiting int
	// MemoryUsed and MemoryTotal are in tokens.
	MemoryUsed  int
	MemoryTotal int
}
