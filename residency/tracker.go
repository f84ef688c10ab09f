package residency

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// busyBackoff is the delay before the next order to an instance that refused one. It is longer than
// the lag of reports.
const busyBackoff = 250 * time.Millisecond

// Tracker tracks the state of all instances for the daemon that sends orders. It is not safe for
// concurrent use.
type Tracker struct {
	settings  Settings
	instances map[string]*instanceState
	loads     storeLoadBudget
	// demandForecast holds the demand forecast of each service.
	demandForecast map[string]*demandForecast
	// waitingTimes holds, for each service, since when requests have been waiting.
	waitingTimes map[string]waitingTimes
	// idleTrackers holds the idle times of the models of each service.
	idleTrackers map[string]*idleTracker
	// limited holds the instances that accept only a few requests.
	limited map[string]bool
}

// NewTracker returns a Tracker without instances.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, instances: map[string]*instanceState{}, demandForecast: map[string]*demandForecast{}, waitingTimes: map[string]waitingTimes{}, idleTrackers: map[string]*idleTracker{}, limited: map[string]bool{}}
}

// BackOff records that an instance accepts no orders from this daemon until the given time.
func (t *Tracker) BackOff(id string, until time.Time) {
	if state := t.instances[id]; state != nil {
		state.extendBackoff(until)
	}
}

// SetLimited records whether an instance accepts only a few requests. Requested models must not
// depend on such an instance, and it gets no further models.
func (t *Tracker) SetLimited(id string, limited bool) {
	if limited {
		t.limited[id] = true
	} else {
		delete(t.limited, id)
	}
}

// UpsertInstance adds an instance or updates a changed one.
func (t *Tracker) UpsertInstance(instance *fleet.Instance) {
	state := t.instances[instance.ID]
	if state == nil {
		state = &instanceState{}
		t.instances[instance.ID] = state
	}
	state.instance = instance
	if state.reportAt.IsZero() {
		state.report = fleet.Report{Residents: instance.Residents}
	}
}

// RemoveInstance removes an instance that no longer exists.
func (t *Tracker) RemoveInstance(id string) {
	delete(t.instances, id)
	delete(t.limited, id)
}

// Report merges a report of an instance that was requested at requestedAt and received now.
func (t *Tracker) Report(requestedAt, now time.Time, id string, report fleet.Report) {
	t.loads.recordSequence(now, id, report.Sequence)
	state := t.instances[id]
	if state == nil || requestedAt.Before(state.reportAt) || report.Sequence < state.report.Sequence {
		return
	}
	state.report = report
	state.reportAt = requestedAt
	state.unresponsiveSince = time.Time{}
	if requestedAt.After(state.crashedAt) {
		state.crashedAt = time.Time{}
	}
	state.sequence = max(state.sequence, report.Sequence)
	if unresolved := state.unanswered; unresolved != nil && report.Sequence > unresolved.Expected {
		// The sequence number has advanced, so the instance accepted the order after all.
		state.unanswered = nil
		state.accepted = append(state.accepted, acceptedOrder{Order: *unresolved, sequence: unresolved.Expected + 1, at: state.unansweredAt})
	}
	state.accepted = slices.DeleteFunc(state.accepted, func(order acceptedOrder) bool {
		return t.reflected(requestedAt, &report, order)
	})
}

// RecordUnanswered records that an instance did not answer a report request.
func (t *Tracker) RecordUnanswered(requestedAt time.Time, id string) {
	if state := t.instances[id]; state != nil && state.unresponsiveSince.IsZero() {
		state.unresponsiveSince = requestedAt
	}
}

// DiscardUnanswered discards the unanswered report requests from before this daemon began to send orders. It
// has requested no reports in between.
func (t *Tracker) DiscardUnanswered() {
	for _, state := range t.instances {
		state.unresponsiveSince = time.Time{}
	}
}

// reflected reports whether a report reflects an accepted order.
func (t *Tracker) reflected(requestedAt time.Time, report *fleet.Report, order acceptedOrder) bool {
	if report.Sequence < order.sequence {
		return false
	}
	if requestedAt.Sub(order.at) > t.settings.SettleTimeout && !report.Busy {
		return true
	}
	if order.Adapter == "" {
		return !report.Busy && reportHolds(report, order.Order) == order.Load
	}
	return reportHolds(report, order.Order) == order.Load
}

func reportHolds(report *fleet.Report, order Order) bool {
	for i := range report.Residents {
		if resident := &report.Residents[i]; resident.Model == order.Model {
			return resident.HasAdapter(order.Adapter)
		}
	}
	return false
}

// RecordSending records that an order is being sent.
func (t *Tracker) RecordSending(now time.Time, order Order) {
	t.loads.sending(now, &order)
	state := t.instances[order.Instance]
	if state == nil {
		return
	}
	state.recordSwap(now, &order)
	state.sending = &order
	if order.ReservedFor != "" {
		state.reservedFor, state.reservedUntil = order.ReservedFor, now.Add(t.settings.ReservationTTL)
	}
	if order.Load && order.Model == state.reservedFor {
		state.reservedFor = ""
	}
}

// RecordAnswer records the outcome of an order.
func (t *Tracker) RecordAnswer(now time.Time, order Order, answer Answer) {
	t.loads.recordAnswer(now, &order, answer, t.settings.MaxOrderDelay)
	state := t.instances[order.Instance]
	if state == nil {
		return
	}
	state.sending = nil
	switch answer {
	case AnswerAccepted:
		state.unanswered = nil
		state.sequence = max(state.sequence, order.Expected+1)
		state.accepted = append(state.accepted, acceptedOrder{Order: order, sequence: order.Expected + 1, at: now})
	case AnswerDone:
		state.unanswered = nil
		state.applyToReport(order)
	case AnswerUnknown:
		order.FromStore = order.FromStore || state.unanswered != nil && state.unanswered.FromStore
		state.unanswered = &order
		state.unansweredAt = now
	case AnswerBusy, AnswerRejected, AnswerFenced, AnswerNotSent:
		// An earlier copy of the order without an answer may still be executed.
		state.extendBackoff(now.Add(busyBackoff))
		if state.unanswered == nil && order.ReservedFor != "" {
			state.reservedFor = ""
		}
	}
}

// extendBackoff delays the next order until the given time at least. A shorter backoff does not end
// a longer one.
func (s *instanceState) extendBackoff(until time.Time) {
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// applyToReport applies an order that was executed at once to the latest report. Reports with a
// lower sequence number are older and are discarded.
func (s *instanceState) applyToReport(order Order) {
	s.sequence = max(s.sequence, order.Expected+1)
	if order.Adapter == "" {
		// The next report shows whether the weights were resident before.
		s.accepted = append(s.accepted, acceptedOrder{Order: order, sequence: order.Expected})
		return
	}
	s.report.Sequence = max(s.report.Sequence, s.sequence)
	residents := slices.Clone(s.report.Residents)
	for i := range residents {
		if residents[i].Model != order.Model {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(residents[i].Adapters), func(name string) bool { return name == order.Adapter })
		if order.Load {
			kept = append(kept, order.Adapter)
		}
		residents[i].Adapters = kept
	}
	s.report.Residents = residents
}

// DueResends returns the orders with an unknown outcome that are due to be sent again unchanged. It
// skips instances in backoff, and unresponsive and crashed ones.
func (t *Tracker) DueResends(now time.Time) []Order {
	var orders []Order
	for _, state := range t.instances {
		unresolved := state.unanswered
		due := unresolved != nil && state.sending == nil && now.Sub(state.unansweredAt) >= t.settings.ResendDelay
		if !due || now.Before(state.backoffUntil) || state.unresponsive(now, t.settings.UnresponsiveAfter) || state.crashed(now) {
			continue
		}
		if unresolved.FromStore && t.loads.expired(now, unresolved) {
			// The order can no longer be executed. The next plan decides whether to issue a new
			// one.
			state.unanswered = nil
			continue
		}
		again := *unresolved
		// The load is already counted.
		again.FromStore = false
		orders = append(orders, again)
	}
	return orders
}

// Residents returns the models and adapters that an instance serves according to its latest report,
// without those that it was ordered to unload.
func (t *Tracker) Residents(id string) []fleet.Resident {
	state := t.instances[id]
	if state == nil {
		return nil
	}
	unloading := state.unloading()
	residents := make([]fleet.Resident, 0, len(state.report.Residents))
	for _, resident := range state.report.Residents {
		if unloading[fleet.AdapterRef{Model: resident.Model}] {
			continue
		}
		kept := fleet.Resident{Model: resident.Model, Adapters: make([]string, 0, len(resident.Adapters))}
		for _, adapter := range resident.Adapters {
			if !unloading[fleet.AdapterRef{Model: resident.Model, Adapter: adapter}] {
				kept.Adapters = append(kept.Adapters, adapter)
			}
		}
		residents = append(residents, kept)
	}
	return residents
}

// unloading returns the models and adapters that are removed by orders that no report reflects yet.
func (s *instanceState) unloading() map[fleet.AdapterRef]bool {
	unloads := map[fleet.AdapterRef]bool{}
	for _, order := range s.pending() {
		if !order.Load {
			unloads[fleet.AdapterRef{Model: order.Model, Adapter: order.Adapter}] = true
		}
	}
	return unloads
}

// pending lists the orders that may have been accepted but that no report reflects yet.
func (s *instanceState) pending() []Order {
	orders := make([]Order, 0, len(s.accepted)+2)
	for _, order := range s.accepted {
		orders = append(orders, order.Order)
	}
	for _, order := range []*Order{s.sending, s.unanswered} {
		if order != nil {
			orders = append(orders, *order)
		}
	}
	return orders
}
