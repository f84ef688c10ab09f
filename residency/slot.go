package residency

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// slot is what one server holds and will hold, as far as is known: every
// reservation counts until a report shows that it is gone.
type slot struct {
	server *server
	// models maps each model that takes memory to its adapters.
	models map[string]*holding
	freeMB float64
	// freeAdapters is the number of free adapter places.
	freeAdapters int
	coming       int
	// freeing is the number of adapters whose unload is not visible yet.
	freeing int
	// next is the sequence that the next order has to expect.
	next uint64
	// modelOrder says that an order for a model is under way or unsettled, and
	// blocked that no order at all may be sent.
	modelOrder bool
	blocked    bool
	// silent servers answer nothing: what they hold may be out of reach. Quiet ones have
	// just begun not to answer: what is on its way to them may not come.
	silent, quiet bool
	// limited servers take no more than a few requests.
	limited  bool
	atHand   map[string]bool
	requests int
	// reservedFor is the model that free memory is kept for, or empty.
	reservedFor string
}

// holding is one model on one server.
type holding struct {
	// ready models serve now; others are on their way in or out.
	ready     bool
	unloading bool
	adapters  map[string]bool
}

// newSlot works out what a server holds.
func newSlot(now time.Time, known *server, engine *fleet.Engine, models map[string]*fleet.Model, settings Settings) *slot {
	s := &slot{
		server: known, models: map[string]*holding{}, freeMB: engine.WeightsMB, freeAdapters: engine.AdapterSlots,
		next: known.sequence, atHand: map[string]bool{}, requests: known.report.Running + known.report.Waiting,
	}
	for i := range known.report.Residents {
		resident := &known.report.Residents[i]
		s.hold(resident.Model).ready = true
		for _, adapter := range resident.Adapters {
			s.hold(resident.Model).adapters[adapter] = true
		}
	}
	for _, coming := range known.report.Coming {
		s.hold(coming.Model).adapters[coming.Adapter] = true
		s.coming++
	}
	for _, model := range known.report.AtHand {
		s.atHand[model] = true
	}
	if now.Before(known.reservedUntil) {
		s.reservedFor = known.reservedFor
	}
	s.modelOrder = known.report.Busy
	s.silent = known.silent(now, settings.SilentAfter)
	s.quiet = known.silent(now, settings.QuietAfter)
	s.blocked = s.silent || known.reportAt.IsZero() || known.sending != nil || known.unsettled != nil || now.Before(known.busyUntil)
	for _, order := range known.pending() {
		s.reserve(order)
	}
	s.account(models)
	return s
}

func (s *slot) hold(model string) *holding {
	held := s.models[model]
	if held == nil {
		held = &holding{adapters: map[string]bool{}}
		s.models[model] = held
	}
	return held
}

// reserve takes in an order that may have been taken but is not visible yet.
func (s *slot) reserve(order Order) {
	switch {
	case order.Load && order.Adapter == "":
		s.hold(order.Model)
		s.modelOrder = true
	case order.Load:
		held := s.hold(order.Model)
		if !held.adapters[order.Adapter] {
			held.adapters[order.Adapter] = true
			s.coming++
		}
	case order.Adapter == "":
		if held := s.models[order.Model]; held != nil {
			held.unloading = true
		}
		s.modelOrder = true
	default:
		// The adapter keeps its place until a report shows that it is gone.
		s.freeing++
	}
}

// account works out the free memory and places.
func (s *slot) account(models map[string]*fleet.Model) {
	for name, held := range s.models {
		model := models[name]
		if model == nil {
			// A model that left the configuration: its size is not known, so
			// nothing more is loaded beside it until it is unloaded.
			s.freeMB = 0
			continue
		}
		s.freeMB -= model.WeightsMB + float64(len(held.adapters))*model.AdapterMB
		s.freeAdapters -= len(held.adapters)
	}
}

// serves reports whether the model serves here or will without a further order.
func (s *slot) serves(model string) bool {
	held := s.models[model]
	return held != nil && !held.unloading
}
