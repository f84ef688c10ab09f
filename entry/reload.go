package entry

import (
	"os"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
)

// reloadEvery is the time between two looks at the settings file: it may change
// without a signal.
const reloadEvery = 2 * time.Second

// WatchSettings reads the settings file again at each signal, and when its content
// has changed. Settings that are not valid change nothing.
func (d *Daemon) WatchSettings(path string, signals <-chan os.Signal) {
	known, _ := os.ReadFile(path)
	d.startDuty("settings", func() {
		ticker := time.NewTicker(reloadEvery)
		defer ticker.Stop()
		for {
			signalled := false
			select {
			case <-d.ctx.Done():
				return
			case <-signals:
				signalled = true
			case <-ticker.C:
			}
			content, err := os.ReadFile(path)
			if err != nil {
				d.log.add("daemon", "Settings not read.", "error", err)
				continue
			}
			if string(content) != string(known) || signalled {
				known = content
				d.reload(path, content)
			}
		}
	})
}

// reload puts new settings in force. Names and addresses need a restart, so those
// of the start are kept.
func (d *Daemon) reload(path string, content []byte) {
	next, err := ParseSettings(path, content)
	if err != nil {
		d.log.add("daemon", "Settings not valid; the old ones stay.", "error", err)
		return
	}
	old := d.current()
	kept := *old
	kept.Seeds, kept.AddressKeep, kept.Grace = next.Seeds, next.AddressKeep, next.Grace
	kept.RetryShare, kept.RetryWindow, kept.RetrySlack, kept.WatchWait = next.RetryShare, next.RetryWindow, next.RetrySlack, next.WatchWait
	kept.Released = next.Released
	d.settings.Store(&kept)
	d.quarantine.release(kept.Released)
	seeds := kept.Seeds
	d.work.events.Put(d.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action {
		node.SetSeeds(seeds)
		return nil
	})
	restart := next.Name != old.Name || next.Zone != old.Zone || next.FrontAddress != old.FrontAddress ||
		next.PeerAddress != old.PeerAddress || next.StoreAddress != old.StoreAddress || next.LeaseTerm != old.LeaseTerm ||
		next.LearnPace != old.LearnPace
	d.log.add("daemon", "Settings read again.", "needs_restart", restart, "seeds", len(seeds), "grace", kept.Grace, "address_keep", kept.AddressKeep)
}

// current returns the settings in force.
func (d *Daemon) current() *Settings { return d.settings.Load() }
