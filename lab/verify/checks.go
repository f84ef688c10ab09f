package verify

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/sim"
)

// maxKept bounds the violations that are kept for each promise.
const maxKept = 5

func (r *run) violate(promise, format string, arguments ...any) {
	r.world.Note("violation", promise+": "+format, arguments...)
	if len(r.outcome.Violations[promise]) < maxKept {
		text := fmt.Sprintf("at %s: ", r.world.Elapsed()) + fmt.Sprintf(format, arguments...)
		r.outcome.Violations[promise] = append(r.outcome.Violations[promise], text)
	}
}

// written notes a configuration that the platform accepted.
func (r *run) written(object api.Object) {
	if object.Kind != api.KindModel {
		return
	}
	r.accepted = append(r.accepted, acceptedChange{object: object, at: r.world.Now})
	if object.Deleted {
		delete(r.models, object.Name)
		r.order = slices.DeleteFunc(r.order, func(name string) bool { return name == object.Name })
		return
	}
	if r.models[object.Name] == nil {
		r.models[object.Name] = &modelState{createdAt: r.world.Now}
		r.order = append(r.order, object.Name)
	}
}

// check runs at an interval through the whole run.
func (r *run) check() bool {
	r.checkReservations()
	r.checkReachable()
	r.checkConfiguration()
	r.checkInForce()
	return true
}

// checkReservations checks that everything that an engine holds is reserved in
// its record. Memory that is held without a reservation may be given away.
func (r *run) checkReservations() {
	for _, e := range r.world.Engines {
		if !e.Alive {
			continue
		}
		report := e.Core.Report(r.world.Now)
		held := append(report.Residents, report.Loading...)
		if len(held) == 0 {
			continue
		}
		object := r.world.Platform.Core.Peek(api.Key{Kind: api.KindPlacement, Name: e.Name})
		record, err := api.Decode[api.Placement](object)
		if err != nil {
			r.violate("memory", "%s holds %d artifacts without a record", e.Name, len(held))
			continue
		}
		for _, artifact := range held {
			if record.Find(artifact) == nil {
				r.violate("memory", "%s holds %s without a reservation", e.Name, artifact)
			}
		}
	}
}

// leftoverTime is how long after its creation a model does not count as reached
// yet: what serves it may be left over from a model of the same name that was
// just deleted, and is on its way out.
const leftoverTime = 10 * time.Second

func (r *run) checkReachable() {
	missing := r.world.Unreachable(r.order)
	for _, name := range r.order {
		state := r.models[name]
		gone := slices.Contains(missing, name)
		switch {
		case !gone:
			state.reached = state.reached || r.world.Now.Sub(state.createdAt) > leftoverTime
		case state.reached && !state.missing:
			r.violate("reachable", "%s is on no live engine", name)
		case !state.reached && r.world.Now.Sub(state.createdAt) > FirstReachBound && r.active == 0 && r.world.Now.Sub(r.quietSince) > FirstReachBound:
			r.violate("reachable", "%s was never loaded", name)
		}
		state.missing = gone
	}
}

// checkConfiguration checks that no daemon that takes requests has an older
// version of a configuration object than it had before, also across restarts.
func (r *run) checkConfiguration() {
	for _, d := range r.world.Daemons {
		serving := d.Serving()
		if r.world.Settings.Without == sim.MechanismCatchUp {
			serving = d.Alive && !d.Paused
		}
		if !serving {
			continue
		}
		seen := r.versions[d.Name]
		if seen == nil {
			seen = map[api.Key]uint64{}
			r.versions[d.Name] = seen
		}
		for index := range modelCount {
			key := api.Key{Kind: api.KindModel, Name: modelName(index)}
			version := d.Node().Store().Version(key)
			if version < seen[key] {
				r.violate("configuration", "%s has %s at version %d after %d", d.Name, key, version, seen[key])
			}
			if object, live := d.Node().Store().Get(key); live {
				r.checkContent(d, object)
			}
			seen[key] = version
		}
	}
}

// checkContent checks that a daemon holds under a version what the platform
// accepted under it.
func (r *run) checkContent(d *sim.Daemon, object api.Object) {
	for i := range r.accepted {
		change := &r.accepted[i]
		if change.object.Key == object.Key && change.object.Version == object.Version {
			if string(change.object.Value) != string(object.Value) {
				r.violate("configuration", "%s holds another value of %s under version %d", d.Name, object.Key, object.Version)
			}
			return
		}
	}
	if r.world.Settings.Without == sim.MechanismVersionOrder && object.Version > r.newestAccepted(object.Key) {
		r.violate("configuration", "%s took an old value of %s for new", d.Name, object.Key)
	}
}

func (r *run) newestAccepted(key api.Key) uint64 {
	newest := uint64(0)
	for i := range r.accepted {
		if r.accepted[i].object.Key == key {
			newest = max(newest, r.accepted[i].object.Version)
		}
	}
	return newest
}

// checkInForce checks each accepted change once its bound has passed, unless a
// fault was under way in between.
func (r *run) checkInForce() {
	if r.active > 0 {
		return
	}
	for i := range r.accepted {
		change := &r.accepted[i]
		if change.checked || r.world.Now.Sub(change.at) < InForceBound {
			continue
		}
		change.checked = true
		if change.at.Before(r.quietSince) {
			continue
		}
		r.outcome.InForceChecks++
		for _, d := range r.world.Daemons {
			if d.Serving() && d.Node().Store().Version(change.object.Key) < change.object.Version {
				r.violate("configuration", "%s lacks %s version %d after %s", d.Name, change.object.Key, change.object.Version, InForceBound)
			}
		}
	}
}

func (r *run) finalChecks() {
	w := r.world
	for promise, found := range map[string][]string{
		"memory": w.CheckMemory(), "not-run": w.CheckNotRun(), "at-most-once": w.CheckAtMostOnce(), "answers": w.CheckAnswers(),
	} {
		for _, violation := range found {
			r.violate(promise, "%s", violation)
		}
	}
	if w.Oracle.CutByStop > 0 {
		r.violate("planned-stop", "%d calls were cut off or turned away", w.Oracle.CutByStop)
	}
	if late := w.Oracle.LatestWorkAtLeaving; late > LeavingBound {
		r.violate("leaving", "work arrived %s after an engine began to leave", late.Round(time.Millisecond))
	}
	r.outcome.LatestLeaving = w.Oracle.LatestWorkAtLeaving
	r.outcome.Calls, r.outcome.Answered = w.Oracle.Count()
	r.outcome.Faults = r.faults
}
