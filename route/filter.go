package route

import "slices"

// Filter decides whether a candidate is eligible for a request.
type Filter interface {
	Allows(request *Request, candidate *Candidate) bool
}

// NotExcluded rejects back ends that were excluded for the request, because they already refused it.
type NotExcluded struct{}

// Allows implements Filter.
func (NotExcluded) Allows(request *Request, candidate *Candidate) bool {
	return !request.Excludes(candidate.BackEnd.Load)
}

// HasAdapter rejects candidates without the adapter of the request.
type HasAdapter struct{}

// Allows implements Filter.
func (HasAdapter) Allows(request *Request, candidate *Candidate) bool {
	return request.Adapter == "" || slices.Contains(candidate.Adapters, request.Adapter)
}
