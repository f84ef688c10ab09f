package entry

import (
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// assurance tells the request path for which moment the configuration is sure, and reads the
// store when the node wants that.
type assurance struct {
	// since is that moment; nil if there is none.
	since  atomic.Pointer[time.Time]
	wanted chan struct{}
}

func newAssurance() *assurance { return &assurance{wanted: make(chan struct{}, 1)} }

// publish hands the moment to the request path. The snapshot that it stands for must be
// published before.
func (a *assurance) publish(since time.Time) {
	if known := a.since.Load(); since.IsZero() || known != nil && known.Equal(since) {
		return
	}
	a.since.Store(&since)
}

// request makes the duty read the store.
func (a *assurance) request() {
	select {
	case a.wanted <- struct{}{}:
	default:
	}
}

// run reads the configuration from the store whenever it is wanted.
func (a *assurance) run(d *Daemon) {
	reader := d.store.ConfigurationReader()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-a.wanted:
		}
		begunAt := d.clock.Now()
		reading, err := reader.Read(d.ctx)
		if err != nil {
			d.log.add("configuration", "Not read.", "error", err)
		}
		d.work.events.Put(d.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
			if err != nil {
				return node.ConfigurationReadFailed()
			}
			return node.ConfigurationRead(now, coordination.ConfigurationReadResult{
				BegunAt: begunAt, Era: reading.Era, Version: reading.Version, Configuration: reading.Configuration,
			})
		})
	}
}

// sureMargin is the part of the time within which a key has to be out of use that is left for
// clocks that run at different speeds, and for the way of a request to its instance.
const sureMargin = 0.02

// keysSure reports whether the configuration is new enough to tell which keys are valid.
func (d *Daemon) keysSure(now time.Time) bool {
	limit := d.current().RevokeWithin
	if limit == 0 {
		return true
	}
	since := d.assurance.since.Load()
	return since != nil && now.Sub(*since) < limit-time.Duration(sureMargin*float64(limit))
}
