package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/api"
)

// sentReportState is what was last sent to other daemons about one back end.
type sentReportState struct {
	// fullReport is the last full report, sent at fullReportAt.
	fullReport   api.Report
	fullReportAt time.Time
	// requests is the load last sent, at loadAt.
	requests int
	loadAt   time.Time
}

// interest is the use of one model by callers of this daemon.
type interest struct {
	until time.Time
	// subscribed means that the subscription was sent since the last renewal.
	subscribed bool
}

const (
	// interestTTL is how long after a request this daemon subscribes to the load of the
	// model's back ends.
	interestTTL = 30 * time.Second
	// subscriptionInterval is the time between two renewals of the subscriptions, and
	// subscriptionTTL is how long a subscription is valid.
	subscriptionInterval = 30 * time.Second
	subscriptionTTL      = 75 * time.Second
	// loadRefreshInterval is the time since the last load update after which a change
	// below LoadChange is sent too.
	loadRefreshInterval = 10 * time.Second
)

// distributeReport sends a report to other daemons. A full report goes to every daemon
// that may route to or plan the models on the back end, when more than the load changed
// or the last full report is old. The load alone goes to the daemons that use those
// models now.
func (n *Node) distributeReport(now time.Time, name string, state *backEndState) {
	report := &state.report
	sent := &state.sent
	changed := !sameStructure(&sent.fullReport, report)
	if changed || now.Sub(sent.fullReportAt) >= n.settings.ReportRefresh {
		sent.fullReport, sent.fullReportAt = *report, now
		sent.requests, sent.loadAt = report.Running+report.Waiting, now
		for _, daemon := range n.reportRecipients(name, report) {
			n.send(n.address(daemon), Message{Reports: []api.Report{*report}})
		}
		return
	}
	if !n.loadUpdateDue(now, sent, report) {
		return
	}
	sent.requests, sent.loadAt = report.Running+report.Waiting, now
	load := LoadReport{
		BackEnd: name, BootHash: bootHash(report.Boot), Sequence: report.Sequence,
		Running: report.Running, Waiting: report.Waiting,
	}
	for _, address := range n.loadSubscribers(now, report) {
		n.send(address, Message{Loads: []LoadReport{load}})
	}
}

// loadUpdateDue reports whether the load has changed enough, or was sent long enough
// ago, for an update.
func (n *Node) loadUpdateDue(now time.Time, sent *sentReportState, report *api.Report) bool {
	age := now.Sub(sent.loadAt)
	if age < n.settings.LoadPause {
		return false
	}
	change := float64(report.Running + report.Waiting - sent.requests)
	step := n.settings.LoadChange * float64(report.Slots)
	return change >= step || change <= -step || change != 0 && age >= loadRefreshInterval
}

func bootHash(boot string) uint32 { return uint32(xxhash.Sum64String(boot)) }

// modelsOf returns the models whose weights a report lists.
func modelsOf(report *api.Report) []string {
	var models []string
	for _, artifact := range report.Residents {
		if artifact.Adapter == "" && !slices.Contains(models, artifact.Model) {
			models = append(models, artifact.Model)
		}
	}
	return models
}

// reportRecipients returns the daemons that receive a full report: the homes, in every
// zone, of each model that the back end holds or should hold, and the daemon that plans
// the model. A restarted engine that is empty must be reported to the daemons that still
// route to it for those models.
func (n *Node) reportRecipients(name string, report *api.Report) []string {
	models := modelsOf(report)
	for _, entry := range n.catalog.placements[name].placement.Entries {
		if entry.Artifact.Adapter == "" && !slices.Contains(models, entry.Artifact.Model) {
			models = append(models, entry.Artifact.Model)
		}
	}
	var names []string
	for _, model := range models {
		key := "model/" + model
		names = append(names, n.duties.daemons.Owner(key))
		for _, zone := range n.duties.zones {
			names = append(names, n.duties.byZone[zone].Top(key, n.settings.HomesPerZone)...)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == n.detector.Self().Name })
}

// loadSubscribers returns the peer addresses that subscribed to a model on the back end.
func (n *Node) loadSubscribers(now time.Time, report *api.Report) []string {
	var addresses []string
	for _, model := range modelsOf(report) {
		for _, address := range sortedNames(n.subscribers[model]) {
			if now.After(n.subscribers[model][address]) {
				delete(n.subscribers[model], address)
				continue
			}
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// mergeLoad merges an update of load alone into the report of the back end. It is
// discarded unless it follows the last full report of the same boot.
func (n *Node) mergeLoad(now time.Time, load LoadReport) {
	state := n.backEnds[load.BackEnd]
	if state == nil || !state.known || bootHash(state.report.Boot) != load.BootHash || load.Sequence <= state.report.Sequence {
		return
	}
	state.report.Sequence = load.Sequence
	state.report.Running, state.report.Waiting = load.Running, load.Waiting
	n.recordLoad(now, state)
}

// RequestReceived records that this daemon received a request for a model.
func (n *Node) RequestReceived(now time.Time, model string) {
	known := n.interest[model]
	if known == nil {
		known = &interest{}
		n.interest[model] = known
	}
	known.until = now.Add(interestTTL)
}

// tickSubscriptions subscribes to the load of the models in use at this daemon: at once
// for a model that was not in use, and for all models together at intervals, so that one
// message to a daemon carries many.
func (n *Node) tickSubscriptions(now time.Time) {
	renew := !now.Before(n.nextRenewal)
	if renew {
		n.nextRenewal = now.Add(n.jitter(subscriptionInterval))
	}
	byDaemon := map[string][]string{}
	for _, model := range sortedNames(n.interest) {
		known := n.interest[model]
		if now.After(known.until) {
			delete(n.interest, model)
			continue
		}
		if known.subscribed && !renew {
			continue
		}
		known.subscribed = true
		for _, backEnd := range sortedNames(n.catalog.holdersOf[model]) {
			acting := n.actingDaemon(backEnd, n.catalog.machines[backEnd].Zone)
			if !slices.Contains(byDaemon[acting], model) {
				byDaemon[acting] = append(byDaemon[acting], model)
			}
		}
	}
	for _, daemon := range sortedNames(byDaemon) {
		if daemon != n.detector.Self().Name {
			n.send(n.address(daemon), Message{Subscribe: byDaemon[daemon]})
		}
	}
}

// addSubscriber records a subscription. A new subscriber is sent the full reports at
// once, since it may not be one of the daemons that receive them otherwise.
func (n *Node) addSubscriber(now time.Time, address, model string) {
	byAddress := n.subscribers[model]
	if byAddress == nil {
		byAddress = map[string]time.Time{}
		n.subscribers[model] = byAddress
	}
	_, known := byAddress[address]
	byAddress[address] = now.Add(subscriptionTTL)
	if known {
		return
	}
	for _, backEnd := range sortedNames(n.catalog.holdersOf[model]) {
		state := n.backEnds[backEnd]
		acting := n.actsForBackEnd(backEnd, n.catalog.machines[backEnd].Zone)
		if acting && state != nil && state.known {
			n.send(address, Message{Reports: []api.Report{state.report}})
		}
	}
}
