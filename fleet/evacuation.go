package fleet

// Evacuation is the operator's order that the instances of a zone get no new requests, until it is taken back.
type Evacuation struct {
	Zone string
}
