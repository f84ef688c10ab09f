package verify

import (
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/sim"
)

// fault brings about one kind of fault. It returns false if the fault is not
// possible now.
type fault struct {
	name   string
	inject func(r *run) bool
}

var faults = []fault{
	{"daemon killed", (*run).killDaemon},
	{"daemon paused", (*run).pauseDaemon},
	{"daemon stopped as planned", (*run).stopDaemon},
	{"engine killed", (*run).killEngine},
	{"engine leaving", (*run).leaveEngine},
	{"platform down", (*run).platformDown},
	{"platform slow", (*run).platformSlow},
	{"platform answers lost", (*run).platformLostAnswers},
	{"platform reads stale", (*run).platformStale},
	{"daemons cut one way", (*run).cutDaemons},
	{"zones cut", (*run).cutZones},
	{"daemon cut from platform", (*run).cutPlatform},
	{"daemon cut from engine", (*run).cutEngine},
	{"version replaced", (*run).replaceVersion},
	{"operators race", (*run).operatorsRace},
	{"back end drained", (*run).drainBackEnd},
	{"model deleted and created", (*run).deleteModel},
}

const (
	shortestPause = 500 * time.Millisecond
	longestPause  = 12 * time.Second
	// quietPause now and then lets everything settle, so that bounds that
	// hold only without faults are checked too.
	quietPause = 15 * time.Second
)

// scheduleFault brings about a random fault after a random pause, and so on.
func (r *run) scheduleFault() {
	pause := r.world.Between(shortestPause, longestPause)
	if r.world.Random.IntN(4) == 0 {
		pause += quietPause
	}
	r.world.After(pause, func() {
		if !r.faulting {
			return
		}
		chosen := faults[r.world.Random.IntN(len(faults))]
		if chosen.inject(r) {
			r.faults[chosen.name]++
			r.world.Note("fault", "%s", chosen.name)
		}
		r.scheduleFault()
	})
}

// during marks a fault as under way until its end.
func (r *run) during(span time.Duration, end func()) bool {
	r.active++
	r.world.After(span, func() {
		end()
		r.active--
		r.quietSince = r.world.Now
	})
	return true
}

func (r *run) randomDaemon() *sim.Daemon {
	d := r.world.Daemons[r.world.Random.IntN(len(r.world.Daemons))]
	if !d.Alive || d.Paused || d.Stopping {
		return nil
	}
	return d
}

func (r *run) killDaemon() bool {
	d := r.randomDaemon()
	if d == nil {
		return false
	}
	d.Kill()
	return r.during(r.world.Between(2*time.Second, 20*time.Second), d.Start)
}

func (r *run) pauseDaemon() bool {
	d := r.randomDaemon()
	if d == nil {
		return false
	}
	d.Pause()
	return r.during(r.world.Between(time.Second, 25*time.Second), d.Resume)
}

func (r *run) stopDaemon() bool {
	d := r.randomDaemon()
	if d == nil {
		return false
	}
	d.Stop()
	r.startWhenStopped(d)
	return true
}

// startWhenStopped starts a daemon anew some time after its planned stop.
func (r *run) startWhenStopped(d *sim.Daemon) {
	r.world.After(r.world.Between(time.Second, 5*time.Second), func() {
		if d.Alive {
			r.startWhenStopped(d)
			return
		}
		d.Start()
	})
}

// mayLose reports whether the loss of this engine alone leaves every model on
// another. The promise is about the loss of any one engine.
func (r *run) mayLose(lost *sim.Engine) bool {
	for _, name := range r.order {
		others := 0
		for _, e := range r.world.Engines {
			if e == lost || !e.Alive || !e.LeavingSince.IsZero() {
				continue
			}
			report := e.Core.Report(r.world.Now)
			for _, artifact := range report.Residents {
				if artifact.Model == name && artifact.Adapter == "" {
					others++
					break
				}
			}
		}
		if r.models[name].reached && others == 0 {
			return r.world.Settings.Without == sim.MechanismSecondReplica
		}
	}
	return true
}

func (r *run) randomEngine() *sim.Engine {
	e := r.world.Engines[r.world.Random.IntN(len(r.world.Engines))]
	if !e.Alive || !e.LeavingSince.IsZero() || !r.mayLose(e) {
		return nil
	}
	return e
}

func (r *run) killEngine() bool {
	e := r.randomEngine()
	if e == nil {
		return false
	}
	r.world.Note("fault", "%s killed", e.Name)
	e.Kill()
	return r.during(r.world.Between(3*time.Second, 40*time.Second), e.Start)
}

// leaveEngine lets an engine leave, stops it after a while, and brings it back
// empty.
func (r *run) leaveEngine() bool {
	e := r.randomEngine()
	if e == nil {
		return false
	}
	r.world.Note("fault", "%s leaves", e.Name)
	e.Leave()
	r.world.After(20*time.Second, func() {
		if r.mayLose(e) {
			r.world.Note("fault", "%s stops", e.Name)
			e.Kill()
		}
	})
	return r.during(r.world.Between(30*time.Second, 45*time.Second), e.Return)
}

func (r *run) platformDown() bool {
	if r.world.Platform.Core.IsDown() {
		return false
	}
	r.world.Platform.SetDown(true)
	return r.during(r.world.Between(3*time.Second, 45*time.Second), func() { r.world.Platform.SetDown(false) })
}

func (r *run) platformSlow() bool {
	r.world.Platform.Slow = r.world.Between(200*time.Millisecond, 4*time.Second)
	return r.during(r.world.Between(5*time.Second, 20*time.Second), func() { r.world.Platform.Slow = 0 })
}

func (r *run) platformLostAnswers() bool {
	r.world.Platform.LostAnswers = 0.4
	return r.during(r.world.Between(5*time.Second, 25*time.Second), func() { r.world.Platform.LostAnswers = 0 })
}

func (r *run) platformStale() bool {
	r.world.Platform.StaleReads = 0.5
	return r.during(r.world.Between(5*time.Second, 30*time.Second), func() { r.world.Platform.StaleReads = 0 })
}

// cut cuts a link, in one or both directions, for a while.
func (r *run) cut(from, to string, bothWays bool) bool {
	network := r.world.Network
	network.Cut(from, to)
	if bothWays {
		network.Cut(to, from)
	}
	return r.during(r.world.Between(2*time.Second, 30*time.Second), func() {
		network.Heal(from, to)
		if bothWays {
			network.Heal(to, from)
		}
	})
}

func (r *run) cutDaemons() bool {
	from, to := r.randomDaemon(), r.randomDaemon()
	if from == nil || to == nil || from == to {
		return false
	}
	return r.cut(from.Name, to.Name, false)
}

func (r *run) cutZones() bool {
	from := r.world.Random.IntN(zoneCount)
	return r.cut(zoneName(from), zoneName(from+1), r.world.Chance(0.7))
}

func (r *run) cutPlatform() bool {
	d := r.randomDaemon()
	if d == nil {
		return false
	}
	if r.world.Chance(0.5) {
		return r.cut(d.Name, "platform", true)
	}
	return r.cut("platform", d.Name, false)
}

func (r *run) cutEngine() bool {
	d := r.randomDaemon()
	e := r.world.Engines[r.world.Random.IntN(len(r.world.Engines))]
	if d == nil {
		return false
	}
	if r.world.Chance(0.5) {
		return r.cut(d.Name, e.Name, true)
	}
	return r.cut(e.Name, d.Name, false)
}

func (r *run) randomModel() int { return r.world.Random.IntN(modelCount) }

func (r *run) randomVersion() string {
	if r.world.Chance(0.5) {
		return "v1"
	}
	return "v2"
}

func (r *run) replaceVersion() bool {
	index := r.randomModel()
	if r.models[modelName(index)] == nil {
		return false
	}
	r.writeModel(index, r.randomVersion())
	return true
}

// operatorsRace lets two operators write the same model from the same state.
func (r *run) operatorsRace() bool {
	index := r.randomModel()
	if r.models[modelName(index)] == nil {
		return false
	}
	r.writeModel(index, "v1")
	r.writeModel(index, "v2")
	return true
}

func (r *run) drainBackEnd() bool {
	e := r.world.Engines[r.world.Random.IntN(len(r.world.Engines))]
	if !r.setDrained(e.Name, true) {
		return false
	}
	r.world.After(r.world.Between(10*time.Second, 40*time.Second), func() { r.undrain(e.Name) })
	return true
}

// undrain ends a drain, and tries again while the platform does not take it.
func (r *run) undrain(name string) {
	if r.setDrained(name, false) {
		r.world.After(8*time.Second, func() { r.undrain(name) })
	}
}

func (r *run) setDrained(name string, drained bool) bool {
	current := r.world.Platform.Core.Peek(api.Key{Kind: api.KindPlacement, Name: name})
	if current.Version == 0 || current.Deleted {
		return false
	}
	record, err := api.Decode[api.Placement](current)
	if err != nil || record.Drained == drained {
		return false
	}
	record.Drained = drained
	r.writeObject(api.Object{Key: current.Key, Writer: "operator", Value: api.Encode(record)})
	return true
}

// deleteModel deletes a model and creates it again later.
func (r *run) deleteModel() bool {
	index := r.randomModel()
	name := modelName(index)
	if r.models[name] == nil {
		return false
	}
	r.writeObject(api.Object{Key: api.Key{Kind: api.KindModel, Name: name}, Writer: "operator", Deleted: true})
	r.world.After(r.world.Between(time.Second, 20*time.Second), func() { r.writeModel(index, r.randomVersion()) })
	return true
}
