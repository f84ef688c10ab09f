package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// projection is the expected content of one instance: its latest report plus the pending orders.
// Memory and slots count as used until a report shows that they are free.
type projection struct {
	instanceState *instanceState
	// models maps each model that uses memory to its replica here.
	models map[string]*modelReplica
	freeMB float64
	// freeAdapterSlots is the number of free adapter slots.
	freeAdapterSlots int
	// loading is the number of adapters that are being loaded.
	loading int
	// unloadingAdapters is the number of adapters whose unload no report reflects yet.
	unloadingAdapters int
	// nextSequence is the sequence number that the next order has to expect.
	nextSequence uint64
	// modelOrderPending is set while an order for a model is in progress or its outcome is unknown.
	// blocked is set if no order at all may be sent.
	modelOrderPending bool
	blocked           bool
	// unresponsive instances leave report requests unanswered, so the models that they hold may be
	// unreachable. suspect instances have only begun to do so; orders that are in progress there
	// may not complete.
	unresponsive, suspect bool
	// limited instances accept only a few requests.
	limited   bool
	localCopy map[string]bool
	requests  int
	// reservedFor is the model for which free memory is reserved, or empty.
	reservedFor string
}

// modelReplica is one model on one instance.
type modelReplica struct {
	// ready replicas serve requests now. Others are being loaded or unloaded.
	ready     bool
	unloading bool
	adapters  map[string]bool
}

// newProjection computes the expected content of an instance.
func newProjection(now time.Time, state *instanceState, engine *fleet.Engine, models map[string]*fleet.Model, settings Settings) *projection {
	s := &projection{
		instanceState: state, models: map[string]*modelReplica{}, freeMB: engine.WeightsMB, freeAdapterSlots: engine.AdapterSlots,
		nextSequence: state.sequence, localCopy: map[string]bool{}, requests: state.report.Running + state.report.Waiting,
	}
	for i := range state.report.Residents {
		resident := &state.report.Residents[i]
		s.ensureReplica(resident.Model).ready = true
		for _, adapter := range resident.Adapters {
			s.ensureReplica(resident.Model).adapters[adapter] = true
		}
	}
	for _, loading := range state.report.Coming {
		s.ensureReplica(loading.Model).adapters[loading.Adapter] = true
		s.loading++
	}
	for _, model := range state.report.AtHand {
		s.localCopy[model] = true
	}
	if now.Before(state.reservedUntil) {
		s.reservedFor = state.reservedFor
	}
	s.modelOrderPending = state.report.Busy
	s.unresponsive = state.unresponsive(now, settings.UnresponsiveAfter)
	s.suspect = state.unresponsive(now, settings.SuspectAfter)
	s.blocked = s.unresponsive || state.reportAt.IsZero() || state.sending != nil || state.unanswered != nil || now.Before(state.backoffUntil)
	for _, order := range state.pending() {
		s.reserve(order)
	}
	s.computeFree(models)
	return s
}

func (s *projection) ensureReplica(model string) *modelReplica {
	replica := s.models[model]
	if replica == nil {
		replica = &modelReplica{adapters: map[string]bool{}}
		s.models[model] = replica
	}
	return replica
}

// reserve applies an order that may have been accepted but that no report reflects yet.
func (s *projection) reserve(order Order) {
	switch {
	case order.Load && order.Adapter == "":
		s.ensureReplica(order.Model)
		s.modelOrderPending = true
	case order.Load:
		replica := s.ensureReplica(order.Model)
		if !replica.adapters[order.Adapter] {
			replica.adapters[order.Adapter] = true
			s.loading++
		}
	case order.Adapter == "":
		if replica := s.models[order.Model]; replica != nil {
			replica.unloading = true
		}
		s.modelOrderPending = true
	default:
		// The adapter keeps its slot until a report shows that it is unloaded.
		s.unloadingAdapters++
	}
}

// computeFree computes the free memory and adapter slots.
func (s *projection) computeFree(models map[string]*fleet.Model) {
	for name, replica := range s.models {
		model := models[name]
		if model == nil {
			// The model was removed from the configuration and its size is unknown. Nothing more is
			// loaded beside it until it is unloaded.
			s.freeMB = 0
			continue
		}
		s.freeMB -= model.WeightsMB + float64(len(replica.adapters))*model.AdapterMB
		s.freeAdapterSlots -= len(replica.adapters)
	}
}

// serves reports whether the model serves here or will do so without a further order.
func (s *projection) serves(model string) bool {
	replica := s.models[model]
	return replica != nil && !replica.unloading
}
