package balance

import "github.com/wheatweir/wheatweir/fleet"

// NotLeaving rejects instances that are leaving.
type NotLeaving struct{}

// Allows implements Filter.
func (NotLeaving) Allows(_ *Request, instance *fleet.Instance) bool { return !instance.Leaving }

// NotExcluded rejects instances that the request excludes: it was sent to them before, or must not
// reach them.
type NotExcluded struct{}

// Allows implements Filter.
func (NotExcluded) Allows(request *Request, instance *fleet.Instance) bool {
	for _, id := range request.Excluded {
		if id == instance.ID {
			return false
		}
	}
	return true
}

// SameSoftware rejects instances of another software version than the one that began the stream of
// a pinned request.
type SameSoftware struct{}

// Allows implements Filter.
func (SameSoftware) Allows(request *Request, instance *fleet.Instance) bool {
	return !request.Pinned || instance.Software == request.Software
}

// HasModel rejects instances without the model or adapter of the request.
type HasModel struct{}

// Allows implements Filter.
func (HasModel) Allows(request *Request, instance *fleet.Instance) bool {
	if request.Model == "" {
		return true
	}
	resident := instance.Resident(request.Model)
	return resident != nil && resident.HasAdapter(request.Adapter)
}
