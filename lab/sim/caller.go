package sim

import (
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Caller sends calls as the system asks of callers: it asks any daemon for the
// addresses of a model, keeps the answer for a while, and connects there.
type Caller struct {
	world *World
	Zone  string
	known map[string]keptAddresses
}

type keptAddresses struct {
	daemons []string
	until   time.Time
}

// NewCaller returns a caller in a zone.
func (w *World) NewCaller(zone string) *Caller {
	return &Caller{world: w, Zone: zone, known: map[string]keptAddresses{}}
}

// Send makes a call. Done gets what came of it.
func (c *Caller) Send(call Call, done func(Result)) {
	w := c.world
	call.ID = w.callID()
	call.Zone = c.Zone
	daemon := c.daemonFor(call.Reference.Model)
	record := w.Oracle.began(call)
	finished := func(result Result) {
		record.finished(result)
		done(result)
	}
	if daemon == nil || !daemon.Alive {
		if daemon != nil && daemon.Stopping {
			w.Oracle.CutByStop++
		}
		delete(c.known, call.Reference.Model)
		finished(Result{Result: outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}})
		return
	}
	w.After(w.Settings.Network.SameZone, daemon.guardOr(func() { daemon.plane.serve(call, finished) }, func() {
		finished(Result{Result: outcome.Result{Kind: outcome.NotRun, Reason: outcome.ReasonConnect}})
	}))
}

// guardOr is guard with a function to run if the daemon has died.
func (d *Daemon) guardOr(run, dead func()) func() {
	boot := d.boot
	guarded := d.guard(run)
	return func() {
		if !d.Alive || d.boot != boot {
			dead()
			return
		}
		guarded()
	}
}

// daemonFor returns a daemon for a model from kept or fresh addresses.
func (c *Caller) daemonFor(model string) *Daemon {
	w := c.world
	kept, found := c.known[model]
	if !found || !w.Now.Before(kept.until) {
		kept = c.ask(model)
		if len(kept.daemons) > 0 {
			c.known[model] = kept
		}
	}
	if len(kept.daemons) == 0 {
		return nil
	}
	return w.byCallerAddress(kept.daemons[w.Random.IntN(len(kept.daemons))])
}

// ask asks a daemon that answers; one in the own zone if there is one.
func (c *Caller) ask(model string) keptAddresses {
	w := c.world
	var answering, near []*Daemon
	for _, d := range w.Daemons {
		if d.Serving() && !d.Stopping {
			answering = append(answering, d)
			if d.Zone == c.Zone {
				near = append(near, d)
			}
		}
	}
	if len(near) > 0 {
		answering = near
	}
	if len(answering) == 0 {
		return keptAddresses{}
	}
	d := answering[w.Random.IntN(len(answering))]
	return keptAddresses{d.node.Addresses(model, d.Zone), w.Now.Add(w.Settings.Request.AddressKeep)}
}

func (w *World) byCallerAddress(address string) *Daemon {
	for _, d := range w.Daemons {
		if "call:"+d.Name == address {
			return d
		}
	}
	return nil
}
