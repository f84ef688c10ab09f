package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// InstanceCold makes the driver limit the requests to a cold instance. A cold instance has just started and bears few
// requests: for the duration Remaining, all daemons together may send it at most PerSecond requests
// per second.
type InstanceCold struct {
	Instance  string
	PerSecond float64
	Remaining time.Duration
}

func (InstanceCold) action() {}

// processCold processes the remaining time for which an instance declares itself cold.
func (n *Node) processCold(instance *fleet.Instance) {
	if instance.ColdLeft > 0 {
		n.reportCold(instance, instance.ColdLeft)
	}
}

// assumeCold treats an instance as cold as one that has just started. The instances of a zone may have
// been emptied while they were out of use, and their entries report that later.
func (n *Node) assumeCold(instance *fleet.Instance) {
	if service := n.serviceOf(instance); service != nil {
		n.reportCold(instance, service.ColdSpan)
	}
}

func (n *Node) reportCold(instance *fleet.Instance, left time.Duration) {
	service := n.serviceOf(instance)
	if service == nil || service.ColdPerSecond <= 0 {
		return
	}
	n.enqueue(InstanceCold{Instance: instance.ID, PerSecond: service.ColdPerSecond, Remaining: left})
}

// processAllCold processes the cold instances again when a configuration is received, since the
// configuration says how much load they bear. Their entries may have been received earlier.
func (n *Node) processAllCold() {
	for _, item := range n.instances.Items() {
		n.processCold(item.Value)
	}
}

// serviceOf returns the service of an instance, or nil if the configuration does not contain it.
func (n *Node) serviceOf(instance *fleet.Instance) *fleet.Service {
	services := n.services()
	for i := range services {
		if services[i].Name == instance.Service {
			return &services[i]
		}
	}
	return nil
}
