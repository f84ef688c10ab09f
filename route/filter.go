package route

import "slices"

// Filter says whether a candidate may serve a request at all.
type Filter interface {
	Allows(request *Request, candidate *Candidate) bool
}

// NotExcluded turns away back ends that already refused the request.
type NotExcluded struct{}

// Allows implements Filter.
func (NotExcluded) Allows(request *Request, candidate *Candidate) bool {
	return !request.Excludes(candidate.BackEnd.Load)
}

// HasAdapter turns away candidates without the adapter of the request.
type HasAdapter struct{}

// Allows implements Filter.
func (HasAdapter) Allows(request *Request, candidate *Candidate) bool {
	return request.Adapter == "" || slices.Contains(candidate.Adapters, request.Adapter)
}
