package entry

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/pace"
)

const (
	// paceTick is the time between two looks at what is due about the pace of instances.
	paceTick = 250 * time.Millisecond
	// mostPacesLogged bounds the instances in one line of the log.
	mostPacesLogged = 64
)

// paceKeeper measures how fast instances work and shares that with the other daemons. It is safe for concurrent use.
type paceKeeper struct {
	daemon *Daemon
	// enabled is the setting learn_pace. Without it nothing is measured, told or taken in, and the book stays empty.
	enabled bool
	book    *pace.Tracker
	sharer  *pace.Sharer
	models  atomic.Pointer[servedModels]
}

// servedModels are the models of the services of a configuration.
type servedModels struct {
	configuration *fleet.Configuration
	served        map[servedModel]bool
}

type servedModel struct{ service, model string }

func newPaceKeeper(d *Daemon) *paceKeeper {
	book := pace.NewTracker()
	k := &paceKeeper{daemon: d, enabled: d.current().LearnPace, book: book, sharer: pace.NewSharer(book)}
	k.models.Store(&servedModels{})
	return k
}

// samples returns what hears the samples of the request path, or nil.
func (k *paceKeeper) samples() gateway.PaceObserver {
	if !k.enabled {
		return nil
	}
	return k.sharer
}

// run does what is due.
func (k *paceKeeper) run() {
	ticker := time.NewTicker(paceTick)
	defer ticker.Stop()
	for {
		select {
		case <-k.daemon.ctx.Done():
			return
		case <-ticker.C:
			k.tick(k.daemon.clock.Now())
		}
	}
}

func (k *paceKeeper) tick(now time.Time) {
	outgoing, changes := k.sharer.Tick(now, k.directory())
	from := k.daemon.current().Name
	for i := range outgoing {
		k.daemon.peers.SendAll(outgoing[i].To, coordination.Message{From: from, Pace: &outgoing[i].Update})
	}
	k.report(changes)
}

// report logs the factors that count for the first time, and those that have changed notably.
func (k *paceKeeper) report(changes []pace.Change) {
	var first, changed []string
	for _, change := range changes {
		if change.Before > 0 {
			changed = append(changed, fmt.Sprintf("%s:%.2f>%.2f", change.Instance, change.Before, change.Factor))
		} else {
			first = append(first, fmt.Sprintf("%s:%.2f", change.Instance, change.Factor))
		}
	}
	k.reportAll("Counts.", first)
	k.reportAll("Changed.", changed)
}

func (k *paceKeeper) reportAll(text string, factors []string) {
	if len(factors) == 0 {
		return
	}
	listed := strings.Join(factors[:min(len(factors), mostPacesLogged)], ",")
	k.daemon.log.add("pace", text, "count", len(factors), "factors", listed)
}

// receive takes in what another daemon tells.
func (k *paceKeeper) receive(from string, update *pace.Update) {
	address, known := k.daemon.fleet.peerAddresses.Load().of(from)
	if !k.enabled || !known {
		return
	}
	k.sharer.Receive(k.daemon.clock.Now(), address, update, k.directory())
}

// setPlace takes in this daemon's place in the fleet. Daemons are named by their peer addresses.
func (k *paceKeeper) setPlace(group *coordination.Group, tellsAll bool, members []member.Member) {
	place := pace.Role{
		AllToAll: tellsAll, Dispatcher: group.Address, Dispatching: group.Dispatching, Others: group.Others,
		SampleInterval: groupPause(len(group.Others)),
	}
	self := k.daemon.current().Name
	for _, other := range members {
		switch {
		case tellsAll && other.Name != self && other.State != member.Dead:
			place.Others = append(place.Others, other.PeerAddress)
		case group.HasMember(other.Name):
			place.Members = append(place.Members, other.PeerAddress)
		}
	}
	k.sharer.SetRole(place)
}

// forget drops instances that are gone and sets the gauges.
func (k *paceKeeper) forget(view *fleet.View) {
	k.book.Prune(func(id string) bool { return view.Instance(id) != nil })
	summary := k.book.Summary()
	k.daemon.metrics.paces.Update(float64(summary.Count))
	k.daemon.metrics.leastSlowness.Update(summary.Min)
	k.daemon.metrics.mostSlowness.Update(summary.Max)
}

// directory tells what the snapshot in force says of instances and models.
func (k *paceKeeper) directory() paceDirectory {
	view := k.daemon.gateway.View()
	models := k.models.Load()
	if models.configuration != view.Configuration() {
		models = newServedModels(view)
		k.models.Store(models)
	}
	return paceDirectory{view: view, models: models}
}

func newServedModels(view *fleet.View) *servedModels {
	models := &servedModels{configuration: view.Configuration(), served: map[servedModel]bool{}}
	for _, service := range view.Services() {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			models.served[servedModel{service.Name, service.Engine.Models[i].Name}] = true
		}
	}
	return models
}

// paceDirectory implements pace.Directory.
type paceDirectory struct {
	view   *fleet.View
	models *servedModels
}

// Service implements pace.Directory.
func (d paceDirectory) Service(id string) (string, bool) {
	instance := d.view.Instance(id)
	if instance == nil {
		return "", false
	}
	return instance.Service, true
}

// Serves implements pace.Directory.
func (d paceDirectory) Serves(service, model string) bool {
	return d.models.served[servedModel{service, model}]
}
