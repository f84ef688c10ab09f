package entry

import (
	"time"

	"github.com/wheatweir/wheatweir/internal/connlimit"
)

// connectionsInterval is the time between two looks at the connections.
const connectionsInterval = time.Second

// observeConnections shows how many connections the listeners have, and logs that clients are turned away.
func (d *Daemon) observeConnections(now time.Time) {
	if now.Sub(d.connectionsAt) < connectionsInterval {
		return
	}
	d.connectionsAt = now
	all := d.listeners.Counts()
	for name, counts := range all {
		gauges := d.connectionGauges[name]
		if gauges == nil {
			gauges = connlimit.NewGauges(d.metrics.root.Tagged(map[string]string{"listener": string(name)}))
			d.connectionGauges[name] = gauges
		}
		gauges.Update(counts)
	}
	for _, report := range d.connectionsTold.Observe(now, all) {
		message := "Clients are turned away."
		if report.Ended {
			message = "Clients are no longer turned away."
		}
		d.log.add("connections", message, report.Fields()...)
	}
}
