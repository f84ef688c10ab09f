package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/fleet"
)

// LearnCold tells the driver that an instance is cold: for the span Left, all daemons together may send it no more
// than PerSecond requests a second.
type LearnCold struct {
	Instance  string
	PerSecond float64
	Left      time.Duration
}

func (LearnCold) action() {}

// noteCold takes in how much longer an instance says that it stays cold.
func (n *Node) noteCold(instance *fleet.Instance) {
	if instance.ColdLeft > 0 {
		n.learnCold(instance, instance.ColdLeft)
	}
}

// assumeCold takes an instance for as cold as one that has just started: servers of a zone may have been emptied while
// they were out of use, and their entries tell so later.
func (n *Node) assumeCold(instance *fleet.Instance) {
	if service := n.serviceOf(instance); service != nil {
		n.learnCold(instance, service.ColdSpan)
	}
}

func (n *Node) learnCold(instance *fleet.Instance, left time.Duration) {
	service := n.serviceOf(instance)
	if service == nil || service.ColdPerSecond <= 0 {
		return
	}
	n.do(LearnCold{Instance: instance.ID, PerSecond: service.ColdPerSecond, Left: left})
}

// noteAllCold takes in which instances are cold when a configuration has come to be known, since it tells how much they
// bear: their entries may have been known before.
func (n *Node) noteAllCold() {
	for _, item := range n.instances.Items() {
		n.noteCold(item.Value)
	}
}

// serviceOf returns the service of an instance, or nil if the configuration does not name it.
func (n *Node) serviceOf(instance *fleet.Instance) *fleet.Service {
	services := n.services()
	for i := range services {
		if services[i].Name == instance.Service {
			return &services[i]
		}
	}
	return nil
}
