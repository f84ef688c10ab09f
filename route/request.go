package route

// maxExcluded is how many back ends one request can have been turned away by.
const maxExcluded = 8

// Request is what a choice depends on. It holds no pointers to the request's
// body, so it can be kept after the body's buffer is used again.
type Request struct {
	Adapter string
	// Zone and Region are where the request is now.
	Zone   string
	Region string
	// Prefix holds the hashes of the prompt's prefixes, shortest first.
	Prefix PrefixHashes
	// Random decides between equal candidates.
	Random uint64

	excluded      [maxExcluded]uint32
	excludedCount int
}

// Exclude keeps a back end from being picked again for this request.
func (r *Request) Exclude(load *Load) {
	if r.excludedCount < maxExcluded {
		r.excluded[r.excludedCount] = load.ID
		r.excludedCount++
	}
}

// Excludes reports whether a back end was excluded.
func (r *Request) Excludes(load *Load) bool {
	for _, id := range r.excluded[:r.excludedCount] {
		if id == load.ID {
			return true
		}
	}
	return false
}
