package balance

import "github.com/wheatweir/wheatweir/fleet"

// NotLeaving turns away instances that are leaving.
type NotLeaving struct{}

// Allows implements Filter.
func (NotLeaving) Allows(_ *Request, instance *fleet.Instance) bool { return !instance.Leaving }

// NotExcluded turns away instances that this request was sent to or must not reach.
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

// SameSoftware turns away instances of another software version than the one that began the stream.
type SameSoftware struct{}

// Allows implements Filter.
func (SameSoftware) Allows(request *Request, instance *fleet.Instance) bool {
	return !request.Pinned || instance.Software == request.Software
}

// HasModel turns away instances without the model or adapter.
type HasModel struct{}

// Allows implements Filter.
func (HasModel) Allows(request *Request, instance *fleet.Instance) bool {
	if request.Model == "" {
		return true
	}
	resident := instance.Resident(request.Model)
	return resident != nil && resident.HasAdapter(request.Adapter)
}
