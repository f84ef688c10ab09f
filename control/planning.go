package control

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// average is an exponentially weighted average of a sampled value.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(now time.Time, sample float64, timeConstant time.Duration) {
	if a.at.IsZero() {
		a.value, a.at = sample, now
		return
	}
	keep := math.Exp(-now.Sub(a.at).Seconds() / timeConstant.Seconds())
	a.value = a.value*keep + sample*(1-keep)
	a.at = now
}

const (
	fastTimeConstant = 4 * time.Second
	slowTimeConstant = 2 * time.Minute
	// remoteDemandTTL is how long a demand that another daemon reported is counted.
	remoteDemandTTL = 25 * time.Second
	// demandRefreshInterval is the interval at which an unchanged demand is sent again.
	demandRefreshInterval = 10 * time.Second
	// minDemandChangeShare is the change that is reported at once, as a share of the
	// last reported demand. minDemandChange is the minimum of that change, in requests.
	minDemandChangeShare = 0.25
	minDemandChange      = 1.0
	// minReportedDemand is the demand below which zero is reported and the model is
	// dropped.
	minReportedDemand = 0.01
)

// demandState holds the local demand and, for models that this daemon plans, the demand
// reported by all daemons.
type demandState struct {
	local  map[string]*localDemand
	remote map[string]map[string]remoteDemand
	totals map[string]*modelAverages
	next   time.Time
}

// localDemand is the local demand for one model, and the value that was last reported.
type localDemand struct {
	average
	sent   float64
	sentAt time.Time
}

// due reports whether the demand is to be sent now.
func (d *localDemand) due(now time.Time) bool {
	if now.Sub(d.sentAt) >= demandRefreshInterval || d.value < minReportedDemand {
		return true
	}
	change := math.Abs(d.value - d.sent)
	return change >= minDemandChange && change >= minDemandChangeShare*d.sent
}

type remoteDemand struct {
	requests float64
	at       time.Time
}

type modelAverages struct {
	fast average
	slow average
}

// ObserveDemand records the number of requests in progress and waiting for a model.
func (n *Node) ObserveDemand(now time.Time, model string, requests float64) {
	known := n.demand.local[model]
	if known == nil {
		known = &localDemand{}
		n.demand.local[model] = known
	}
	known.add(now, requests, time.Second)
}

func (n *Node) tickDemand(now time.Time) {
	if now.Before(n.demand.next) {
		return
	}
	n.demand.next = now.Add(n.jitter(n.settings.DemandInterval))
	byOwner := map[string][]ModelDemand{}
	self := n.detector.Self().Name
	for _, model := range sortedNames(n.demand.local) {
		known := n.demand.local[model]
		if !known.due(now) {
			continue
		}
		known.sent, known.sentAt = known.value, now
		owner := n.modelOwner(model)
		demand := ModelDemand{Daemon: self, Model: model, Requests: known.value}
		if known.value < minReportedDemand {
			demand.Requests = 0
			delete(n.demand.local, model)
		}
		byOwner[owner] = append(byOwner[owner], demand)
	}
	for _, owner := range n.detector.Live() {
		demands := byOwner[owner]
		if len(demands) == 0 {
			continue
		}
		if owner != self {
			n.send(n.address(owner), Message{Demand: demands})
			continue
		}
		for _, demand := range demands {
			n.mergeDemand(now, demand)
		}
	}
}

func (n *Node) mergeDemand(now time.Time, demand ModelDemand) {
	byDaemon := n.demand.remote[demand.Model]
	if byDaemon == nil {
		byDaemon = map[string]remoteDemand{}
		n.demand.remote[demand.Model] = byDaemon
	}
	byDaemon[demand.Daemon] = remoteDemand{demand.Requests, now}
}

// modelDemand sums the demand of a model over all daemons.
func (n *Node) modelDemand(now time.Time, model string) placement.Demand {
	total := 0.0
	for _, daemon := range sortedNames(n.demand.remote[model]) {
		demand := n.demand.remote[model][daemon]
		if now.Sub(demand.at) > remoteDemandTTL {
			delete(n.demand.remote[model], daemon)
			continue
		}
		total += demand.requests
	}
	averages := n.demand.totals[model]
	if averages == nil {
		averages = &modelAverages{}
		n.demand.totals[model] = averages
	}
	averages.fast.add(now, total, fastTimeConstant)
	averages.slow.add(now, total, slowTimeConstant)
	return placement.Demand{Fast: averages.fast.value, Slow: averages.slow.value}
}

// plan runs the planner for the models that this daemon plans.
func (n *Node) plan(now time.Time) {
	models := n.planningFor()
	if len(models) == 0 || n.writes.tokens < 1 || now.Before(n.writes.backoffUntil) {
		return
	}
	snapshot := placement.Snapshot{Now: now, Settings: n.settings.Placement}
	for _, name := range models {
		entry := n.catalog.models[name]
		snapshot.Models = append(snapshot.Models, placement.Model{
			Model: entry.model, Deleted: entry.deleted, Demand: n.modelDemand(now, name),
		})
	}
	n.updateLostZones(now)
	snapshot.BackEnds = n.plannedBackEnds(now)
	n.execute(now, placement.Plan(snapshot))
}

// plannedBackEnds returns the input of the planner for each engine. An engine without a
// known state counts as down, so that no record is created for a machine that never
// started.
func (n *Node) plannedBackEnds(now time.Time) []placement.BackEnd {
	names := n.catalog.engineNames()
	backEnds := make([]placement.BackEnd, 0, len(names))
	for _, name := range names {
		machine := n.catalog.machines[name]
		known := n.catalog.placements[name]
		backEnd := placement.BackEnd{
			Name: name, Zone: machine.Zone, Region: machine.Region, MemoryBytes: machine.MemoryBytes, ChecksFence: machine.ChecksFence,
			Health: n.plannedHealth(now, name, machine.Zone), Placement: known.placement, Version: known.version,
		}
		backEnd.Report = n.currentReport(name)
		backEnds = append(backEnds, backEnd)
	}
	return backEnds
}

// currentReport returns the newest report of a back end if it is from the present boot,
// otherwise nil. Artifacts that an earlier boot reported are no longer loaded.
func (n *Node) currentReport(name string) *api.Report {
	state := n.backEnds[name]
	entry, observed := n.detector.BackEnd(name)
	if state == nil || !state.known || !observed || state.report.Boot != entry.Boot {
		return nil
	}
	return &state.report
}

// health combines the state of a back end that the members share with the machine list
// and the last report.
func (n *Node) health(name string) placement.Health {
	entry, observed := n.detector.BackEnd(name)
	if !observed || entry.State == member.BackEndDown {
		return placement.Down
	}
	machine, found := n.catalog.machines[name]
	report := n.currentReport(name)
	reported := report != nil && report.Leaving
	switch {
	case !found:
		return placement.Down
	case entry.State == member.BackEndLeaving || machine.State == api.MachineLeaving || reported:
		return placement.Leaving
	default:
		return placement.Up
	}
}

// updateLostZones records since when each zone with engines has had no live daemon.
func (n *Node) updateLostZones(now time.Time) {
	for _, name := range n.catalog.engineNames() {
		zone := n.catalog.machines[name].Zone
		_, live := n.duties.byZone[zone]
		_, recorded := n.lostZones[zone]
		switch {
		case live:
			delete(n.lostZones, zone)
		case !recorded:
			n.lostZones[zone] = now
		}
	}
}

// plannedHealth is the health of a back end for planning. A back end that is down
// together with all daemons of its zone counts as suspended for LostZoneWait.
func (n *Node) plannedHealth(now time.Time, name, zone string) placement.Health {
	health := n.health(name)
	lostSince, lost := n.lostZones[zone]
	if health == placement.Down && lost && now.Sub(lostSince) < n.settings.LostZoneWait {
		return placement.Suspended
	}
	return health
}

// execute groups operations by placement record and starts their writes.
func (n *Node) execute(now time.Time, operations []placement.Operation) {
	var order []string
	byBackEnd := map[string][]placement.Operation{}
	for _, operation := range operations {
		if operation.Kind == placement.OperationRelease && operation.ReliesOn != "" {
			n.startRelease(now, operation)
			continue
		}
		if byBackEnd[operation.BackEnd] == nil {
			order = append(order, operation.BackEnd)
		}
		byBackEnd[operation.BackEnd] = append(byBackEnd[operation.BackEnd], operation)
	}
	for _, backEnd := range order {
		n.applyOperations(now, backEnd, byBackEnd[backEnd])
	}
	n.tickWrites(now)
}
