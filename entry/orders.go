package entry

import (
	"errors"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/internal/messagehead"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/residency"
)

// sendOrder sends one order unless the right to send it has ended, which is
// looked at once more at the last moment: the process may have been paused, or the machine suspended.
func (d *Daemon) sendOrder(sent coordination.SendOrder) {
	answer := residency.AnswerNotSent
	var err error
	if d.clock.Now().Before(sent.Until) {
		answer, err = d.engines.Order(d.ctx, sent.Order, d.current().Name, sent.Fence)
	}
	if err != nil {
		d.log.add("orders", "Failed.", "instance", sent.Order.Instance, "model", sent.Order.Model, "error", err)
	}
	d.work.events.Put(d.ctx, func(node *coordination.Node, now time.Time) []coordination.Action {
		return node.OrderAnswered(now, sent.Order, answer)
	})
	d.noteRefused(err, sent.Order.Instance, sent.Order.Address)
	d.noteFaultyAnswer(err, sent.Order.Instance)
}

// noteFaultyAnswer counts and logs an answer to a call of this daemon's own of which a part was too large, or whose head was malformed.
func (d *Daemon) noteFaultyAnswer(err error, instance string) {
	if part := gateway.OversizedPart(err); part != "" {
		d.metrics.faulty.countOversized(instance, part)
		d.log.add("instances", "Sent a report or an answer to an order that is too large.", "instance", instance, "oversized", string(part), "error", err)
	}
	if defect := messagehead.DefectOf(err); defect != "" {
		d.metrics.faulty.countMalformed(instance, defect)
		d.log.add("instances", "Sent a report or an answer to an order with a malformed head.", "instance", instance, "malformed", string(defect), "error", err)
	}
}

// noteRefused takes a refused connection for a crash if other daemons are refused too: nobody listens there any more.
func (d *Daemon) noteRefused(err error, instance, address string) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	at := d.clock.Now()
	crashed := d.upstream.Probe(d.ctx, address) == quarantine.ProbeRefused
	d.log.add("instances", "Refused a connection.", "instance", instance, "crashed", crashed)
	if crashed {
		d.instanceCrashed(at, instance)
	}
}

// instanceCrashed tells the planner that an instance crashed at a moment.
func (d *Daemon) instanceCrashed(at time.Time, instance string) {
	d.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action {
		return node.InstanceCrashed(at, now, instance)
	})
}
