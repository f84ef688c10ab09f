package route

// maxExcluded is the maximum number of back ends that one request can exclude.
const maxExcluded = 8

// Request contains the properties of a request that routing depends on. It has no
// pointers to the request's body, so it remains valid after the body's buffer is
// reused.
type Request struct {
	Adapter string
	// Zone and Region are the current location of the request.
	Zone   string
	Region string
	// Prefix contains the hashes of the prompt's prefixes, shortest first.
	Prefix PrefixHashes
	// Random selects the first candidate to consider, and so decides between equal candidates.
	Random uint64

	excluded      [maxExcluded]uint32
	excludedCount int
}

// Exclude prevents a back end from being picked again for this request.
func (r *Request) Exclude(load *Load) {
	if r.excludedCount < maxExcluded {
		r.excluded[r.excludedCount] = load.ID
		r.excludedCount++
	}
}

// Excludes reports whether a back end is excluded.
func (r *Request) Excludes(load *Load) bool {
	for _, id := range r.excluded[:r.excludedCount] {
		if id == load.ID {
			return true
		}
	}
	return false
}
