package entry

import (
	runtimemetrics "runtime/metrics"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/exposition"
	"github.com/wheatweir/wheatweir/internal/membudget"
	"github.com/wheatweir/wheatweir/platform"
)

// metrics counts what an entry daemon does. Names of routes, models and clients
// are no labels, so the number of series does not grow with what callers send.
type metrics struct {
	root *exposition.Root
	// steps counts decisions by step, kind of route and reason.
	mutex sync.Mutex
	steps map[stepKey]tally.Counter
	// tenants counts how requests of tenants ended, by the first mostTenants tenants that came up.
	tenants     map[tenantKey]tally.Counter
	tenantNames map[string]bool
	// unreadable counts entries of the store that could not be read.
	unreadable tally.Counter
	took       map[stepKey]tally.Histogram
	// answers counts the answers of servers by how they were framed and whether they ended well.
	answers map[answerKey]tally.Counter
	// yielded counts the requests that waited for more urgent ones, yieldedMillis for how long.
	yielded       tally.Counter
	yieldedMillis tally.Counter
	// gauges
	inProgress    tally.Gauge
	configuration tally.Gauge
	instances     tally.Gauge
	daemons       tally.Gauge
	leaseHeld     tally.Gauge
	storeEra      tally.Gauge
	linesDropped  tally.Gauge
	peersDropped  tally.Gauge
	// peersSilent counts the connections to other daemons that were given up as silent.
	peersSilent tally.Gauge
	// quarantined is the number of contents that are held, quarantinedParts that of parts of prompts.
	quarantined, quarantinedParts tally.Gauge
	// notices counts what servers said of themselves that was new, unreadableNotices what could not be
	// read of that.
	notices           tally.Counter
	unreadableNotices tally.Counter
	// leaving, limited and resting are the numbers of servers that say so.
	leaving tally.Gauge
	limited tally.Gauge
	resting tally.Gauge
	// paces is the number of servers whose pace is known, leastSlowness and mostSlowness their factors.
	paces         tally.Gauge
	leastSlowness tally.Gauge
	mostSlowness  tally.Gauge
	// brittle is the number of services whose servers fall over if they turn requests away.
	brittle tally.Gauge
	// slotsDenied counts answers that all slots of such a server are in use.
	slotsDenied tally.Counter
	// cold is the number of servers that are cold, and evacuated that of the zones that are evacuated.
	cold      tally.Gauge
	evacuated tally.Gauge
	// pathsCut says that no server is reached directly, addressesFailed how many are not. connectionsDirect and
	// connectionsRelayed count the connections made to servers, tunnelsCarried those that are open here for other daemons.
	pathsCut           tally.Gauge
	addressesFailed    tally.Gauge
	connectionsDirect  tally.Gauge
	connectionsRelayed tally.Gauge
	tunnelsCarried     tally.Gauge
	// streamsTold counts the streams that other daemons were told of, takenUps how the versions of streams that clients took
	// up were found. streamsKept is the number of streams whose version is known here, mixedServices that of the services
	// with several versions.
	// recordCalls counts the calls for the durable record of streams.
	streamsTold   tally.Counter
	recordCalls   map[recordCall]tally.Counter
	takenUps      map[string]tally.Counter
	streamsKept   tally.Gauge
	mixedServices tally.Gauge
	// parked is the number of models that are parked, at the daemon that places models.
	parked tally.Gauge
	// faulty counts answers with a part that was too large, or a malformed head.
	faulty *faultyAnswers
	// retries counts retries that a budget allowed or denied, by the first mostRetryServices services that had some.
	retries       map[retryKey]tally.Counter
	retryServices map[string]bool
	// memory holds what is reserved for data from other processes, by its kind.
	memory map[membudget.Kind]memoryGauges
	// heapBytes is the heap in use, with garbage that was not collected yet.
	heapBytes tally.Gauge
}

// memoryGauges tell of the reservations for one kind of data.
type memoryGauges struct{ used, peak, denied tally.Gauge }

// stepKey names a series. All of its parts come from fixed lists.
type stepKey struct {
	step   gateway.Step
	kind   string
	reason gateway.Reason
}

// answerKey names a series of answers of servers.
type answerKey struct {
	framing gateway.Framing
	whole   bool
}

// retryKey names a series of retries. Its step is StepRetryAllowed or StepRetryDenied.
type retryKey struct {
	service string
	step    gateway.Step
}

// mostRetryServices bounds the services that have series of their own; the others share one.
const (
	mostRetryServices  = 64
	otherRetryServices = "others"
)

// tenantKey names a series of a tenant.
type tenantKey struct {
	tenant string
	step   gateway.Step
	reason gateway.Reason
}

const (
	// mostTenants bounds the tenants that have series of their own; the others share one.
	mostTenants = 64
	// otherTenants is the label of the others. No tenant of the configuration is left without
	// a name, so an empty one stands for none.
	otherTenants = "others"
)

func newMetrics() *metrics {
	root := exposition.NewRoot("wheatweir")
	memory := map[membudget.Kind]memoryGauges{}
	for _, kind := range membudget.Kinds() {
		tagged := root.Tagged(map[string]string{"kind": string(kind)})
		memory[kind] = memoryGauges{tagged.Gauge("memory_reserved_bytes"), tagged.Gauge("memory_reserved_peak_bytes"), tagged.Gauge("memory_denied")}
	}
	return &metrics{
		root: root, steps: map[stepKey]tally.Counter{}, answers: map[answerKey]tally.Counter{}, tenants: map[tenantKey]tally.Counter{}, tenantNames: map[string]bool{},
		faulty: newFaultyAnswers(root), retries: map[retryKey]tally.Counter{}, retryServices: map[string]bool{},
		unreadable: root.Counter("entries_unreadable"), took: map[stepKey]tally.Histogram{},
		inProgress: root.Gauge("requests_in_progress"), configuration: root.Gauge("configuration_version"),
		instances: root.Gauge("instances"), daemons: root.Gauge("live_daemons"), leaseHeld: root.Gauge("lease_held"), storeEra: root.Gauge("store_era"),
		linesDropped: root.Gauge("log_lines_dropped"), peersDropped: root.Gauge("peer_messages_dropped"), peersSilent: root.Gauge("peer_connections_silent"),
		quarantined: root.Gauge("contents_quarantined"), quarantinedParts: root.Gauge("prompt_parts_quarantined"),
		yielded: root.Counter("requests_yielded"), yieldedMillis: root.Counter("requests_yielded_ms"),
		notices: root.Counter("instance_notices"), unreadableNotices: root.Counter("instance_notices_unreadable"),
		leaving: root.Gauge("instances_leaving"), limited: root.Gauge("instances_limited"), resting: root.Gauge("instances_resting"),
		paces: root.Gauge("instances_with_pace"), leastSlowness: root.Gauge("slowness_least"), mostSlowness: root.Gauge("slowness_most"),
		brittle: root.Gauge("services_brittle"), slotsDenied: root.Counter("slots_denied"),
		cold: root.Gauge("instances_cold"), evacuated: root.Gauge("zones_evacuated"),
		pathsCut: root.Gauge("paths_cut"), addressesFailed: root.Gauge("addresses_failed"),
		connectionsDirect: root.Gauge("connections_direct"), connectionsRelayed: root.Gauge("connections_relayed"),
		tunnelsCarried: root.Gauge("tunnels_carried"),
		streamsTold:    root.Counter("streams_told"), takenUps: map[string]tally.Counter{}, recordCalls: map[recordCall]tally.Counter{},
		streamsKept: root.Gauge("streams_kept"), mixedServices: root.Gauge("services_with_versions"),
		parked: root.Gauge("models_parked"),
		memory: memory, heapBytes: root.Gauge("heap_bytes"),
	}
}

// count takes in one decision.
func (m *metrics) count(event *gateway.Event, took time.Duration) {
	key := stepKey{step: event.Step, kind: "none", reason: event.Reason}
	if event.Route != nil {
		key.kind = event.Route.Kind.String()
	}
	if key.reason == "" {
		key.reason = "none"
	}
	if event.Tenant != "" && event.Step.IsFinal() {
		m.tenantSeries(event).Inc(1)
	}
	m.countYield(event)
	if event.Framing != "" {
		m.answerSeries(answerKey{event.Framing, event.Step == gateway.StepEnded}).Inc(1)
	}
	if event.Oversized != "" {
		m.faulty.countOversized(event.Instance, event.Oversized)
	}
	if event.Malformed != "" {
		m.faulty.countMalformed(event.Instance, event.Malformed)
	}
	if event.Service != "" {
		m.retrySeries(event.Service, event.Step).Inc(1)
	}
	counter, histogram := m.series(key)
	counter.Inc(1)
	if histogram != nil {
		histogram.RecordDuration(took)
	}
}

// countYield counts a request that waits for more urgent ones, and at its end for how long it did.
func (m *metrics) countYield(event *gateway.Event) {
	if event.Step == gateway.StepPaced && event.Reason == gateway.ReasonYielding {
		m.yielded.Inc(1)
	}
	if event.Step.IsFinal() && event.Yielded > 0 {
		m.yieldedMillis.Inc(event.Yielded.Milliseconds())
	}
}

// recordCall is a call for the durable record of streams.
type recordCall struct{ call, result string }

// countRecordCall counts a call for the durable record of streams.
func (m *metrics) countRecordCall(call string, err error) {
	key := recordCall{call, "done"}
	switch {
	case platform.ErrConflict.Has(err):
		key.result = "conflict"
	case err != nil:
		key.result = "failed"
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counter, found := m.recordCalls[key]
	if !found {
		counter = m.root.Tagged(map[string]string{"call": key.call, "result": key.result}).Counter("stream_record_calls")
		m.recordCalls[key] = counter
	}
	counter.Inc(1)
}

// takenUp counts the streams that clients took up whose version was found in one way.
func (m *metrics) takenUp(by string) tally.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counter, found := m.takenUps[by]
	if !found {
		counter = m.root.Tagged(map[string]string{"by": by}).Counter("streams_taken_up")
		m.takenUps[by] = counter
	}
	return counter
}

// tenantSeries is the counter of how requests of a tenant end.
func (m *metrics) tenantSeries(event *gateway.Event) tally.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name := event.Tenant
	if !m.tenantNames[name] {
		if len(m.tenantNames) < mostTenants {
			m.tenantNames[name] = true
		} else {
			name = otherTenants
		}
	}
	key := tenantKey{tenant: name, step: event.Step, reason: event.Reason}
	counter, found := m.tenants[key]
	if !found {
		tags := map[string]string{"tenant": name, "step": string(key.step), "reason": string(key.reason)}
		counter = m.root.Tagged(tags).Counter("tenant_requests")
		m.tenants[key] = counter
	}
	return counter
}

// retrySeries is the counter of the retries that the budget of a service allowed or denied.
func (m *metrics) retrySeries(service string, step gateway.Step) tally.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.retryServices[service] {
		if len(m.retryServices) < mostRetryServices {
			m.retryServices[service] = true
		} else {
			service = otherRetryServices
		}
	}
	key := retryKey{service, step}
	counter, found := m.retries[key]
	if !found {
		counter = m.root.Tagged(map[string]string{"service": service, "result": string(step)}).Counter("retries")
		m.retries[key] = counter
	}
	return counter
}

// answerSeries is the counter of answers of servers that were framed and ended alike.
func (m *metrics) answerSeries(key answerKey) tally.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counter, found := m.answers[key]
	if !found {
		end := "broken"
		if key.whole {
			end = "whole"
		}
		counter = m.root.Tagged(map[string]string{"framing": string(key.framing), "end": end}).Counter("answers_ended")
		m.answers[key] = counter
	}
	return counter
}

func (m *metrics) series(key stepKey) (tally.Counter, tally.Histogram) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counter, found := m.steps[key]
	if !found {
		tagged := m.root.Tagged(map[string]string{"step": string(key.step), "kind": key.kind, "reason": string(key.reason)})
		counter = tagged.Counter("request_decisions")
		m.steps[key] = counter
		if key.step.IsFinal() {
			m.took[key] = tagged.Histogram("request_seconds", exposition.DurationBuckets())
		}
	}
	return counter, m.took[key]
}

// Metrics implements platform.Directory.
func (d *Daemon) Metrics() string {
	var text strings.Builder
	if err := d.metrics.root.Write(&text); err != nil {
		d.log.add("metrics", "Not written.", "error", err)
	}
	return text.String()
}

// observeState sets the gauges.
func (d *Daemon) observeState(now time.Time) {
	view := d.gateway.View()
	d.metrics.inProgress.Update(float64(d.gateway.Active()))
	d.metrics.configuration.Update(float64(view.Version()))
	d.metrics.instances.Update(float64(view.InstanceCount()))
	d.metrics.daemons.Update(float64(d.fleet.live.Load()))
	held := 0.0
	if d.node.HoldsLease(now) {
		held = 1
	}
	d.metrics.leaseHeld.Update(held)
	d.metrics.storeEra.Update(float64(d.node.StoreEra()))
	d.metrics.linesDropped.Update(float64(d.log.lines.Dropped()))
	counts := d.peers.Counts()
	d.metrics.peersDropped.Update(float64(counts.Dropped))
	d.metrics.peersSilent.Update(float64(counts.UnacknowledgedClosed))
	contents, parts := d.quarantine.heldCounts(now)
	d.metrics.quarantined.Update(float64(contents))
	d.metrics.quarantinedParts.Update(float64(parts))
	d.metrics.evacuated.Update(float64(d.node.EvacuatedZones()))
	d.metrics.parked.Update(float64(d.node.ParkedModels()))
	d.observeMemory(now)
	d.observeConnections(now)
}

// heapMetric is the runtime's metric of the heap: live objects, and dead ones that are not swept yet.
const heapMetric = "/memory/classes/heap/objects:bytes"

// exhaustedLogInterval is the minimum time between two log lines that memory is exhausted.
const exhaustedLogInterval = time.Second

// memoryObserver is what the log was last told of the memory budget.
type memoryObserver struct {
	denied   map[membudget.Kind]int64
	loggedAt time.Time
}

func (d *Daemon) observeMemory(now time.Time) {
	due := now.Sub(d.memoryTold.loggedAt) >= exhaustedLogInterval
	for kind, gauges := range d.metrics.memory {
		usage := d.memory.Usage(kind)
		gauges.used.Update(float64(usage.Bytes))
		gauges.peak.Update(float64(usage.Peak))
		gauges.denied.Update(float64(usage.Denied))
		if before := d.memoryTold.denied[kind]; due && usage.Denied > before {
			d.log.add("memory", "No room for received data.", "kind", string(kind), "denied", usage.Denied-before, "bytes", usage.Bytes)
			d.memoryTold.denied[kind], d.memoryTold.loggedAt = usage.Denied, now
		}
	}
	heap := []runtimemetrics.Sample{{Name: heapMetric}}
	runtimemetrics.Read(heap)
	d.metrics.heapBytes.Update(float64(heap[0].Value.Uint64()))
}
