package fleet

// Evacuation is an operator's command to send no new requests to the instances of a zone. It is in force until the
// operator revokes it.
type Evacuation struct {
	Zone string
}
