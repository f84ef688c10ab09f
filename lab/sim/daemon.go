package sim

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/retry"
)

const (
	tickInterval = 100 * time.Millisecond
	// outgoingDelay is the longest time between a decision and its message
	// leaving the process. A pause can fall into it.
	outgoingDelay = 2 * time.Millisecond
	// frameBytes is what a frame between daemons adds: its own head and, per
	// message, one TCP/IP segment's headers.
	frameBytes = 20 + 52
	// pollRequestBytes is a poll with HTTP and TCP/IP headers, and
	// pollAnswerBytes what the headers add to its answer.
	pollRequestBytes = 130 + 52
	pollAnswerBytes  = 150 + 52
)

// Daemon is one daemon on the network.
type Daemon struct {
	world  *World
	Name   string
	Zone   string
	Region string
	Alive  bool
	Paused bool
	// Stopping says that a planned stop has begun.
	Stopping bool
	Stats    Stats

	address string
	boot    int
	held    []func()
	node    *control.Node
	plane   *requestPlane
}

// Stats are totals of one daemon's control plane.
type Stats struct {
	MessagesSent  uint64
	BytesSent     uint64
	BytesReceived uint64
	Polls         uint64
	Orders        uint64
	CPU           time.Duration
}

// AddDaemon starts a daemon and puts it on the machine list.
func (w *World) AddDaemon(name, zone, region string) *Daemon {
	d := &Daemon{world: w, Name: name, Zone: zone, Region: region, address: "peer:" + name}
	w.Daemons = append(w.Daemons, d)
	w.peers[d.address] = d
	w.Network.Place(name, zone, region)
	w.Platform.SetMachine(api.Machine{
		Name: name, Role: api.RoleEntry, Zone: zone, Region: region, State: api.MachineLive, Address: "call:" + name, PeerAddress: d.address,
	})
	d.Start()
	return d
}

// Start starts the daemon with empty memory. Its settings name three others.
func (d *Daemon) Start() {
	w := d.world
	d.boot++
	d.Alive, d.Paused, d.Stopping = true, false, false
	d.held = nil
	self := member.Member{
		Name: d.Name, Zone: d.Zone, PeerAddress: d.address, CallerAddress: "call:" + d.Name,
		Incarnation: uint64(w.Now.UnixMilli()),
	}
	random := rand.New(rand.NewPCG(w.Random.Uint64(), w.Random.Uint64()))
	d.node = control.New(self, w.Settings.Control, random)
	d.plane = newRequestPlane(d, random)
	var seeds []string
	for i := range min(3, len(w.Daemons)) {
		seeds = append(seeds, w.Daemons[i].address)
	}
	d.node.SetSeeds(seeds)
	w.After(w.Between(0, tickInterval), d.guard(d.tick))
}

// guard binds a function to this boot: it is dropped if the daemon has died
// since, and held back while the daemon is paused.
func (d *Daemon) guard(run func()) func() {
	boot := d.boot
	return func() {
		if !d.Alive || d.boot != boot {
			return
		}
		if d.Paused {
			d.held = append(d.held, run)
			return
		}
		run()
	}
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.Alive = false
	d.plane.die()
}

// Pause freezes the daemon: nothing runs until Resume, then everything that
// was due runs late.
func (d *Daemon) Pause() { d.Paused = true }

// Resume ends a pause.
func (d *Daemon) Resume() {
	d.Paused = false
	held := d.held
	d.held = nil
	for _, run := range held {
		if d.Alive {
			run()
		}
	}
}

// Node returns the control plane, for checks.
func (d *Daemon) Node() *control.Node { return d.node }

// Serving reports whether the daemon takes requests: alive, not paused, and
// caught up after its start.
func (d *Daemon) Serving() bool { return d.Alive && !d.Paused && d.node.CaughtUp(d.world.Now) }

// timed runs control code and measures it if asked to.
func (d *Daemon) timed(run func() []control.Action) {
	if !d.world.Settings.MeasureCPU {
		d.perform(run())
		return
	}
	began := time.Now()
	actions := run()
	d.Stats.CPU += time.Since(began)
	d.perform(actions)
}

func (d *Daemon) tick() {
	d.plane.observe()
	d.timed(func() []control.Action { return d.node.Tick(d.world.Now) })
	d.plane.publish()
	d.world.After(tickInterval, d.guard(d.tick))
}

// Stop begins a planned stop, as daemon.Stop does.
func (d *Daemon) Stop() {
	d.Stopping = true
	d.timed(d.node.Leave)
	d.finishStop()
}

// finishStop ends the daemon once no caller may still be sent here.
func (d *Daemon) finishStop() {
	w := d.world
	keep := d.plane.settings.AddressKeep
	quiet := w.Now.Sub(d.plane.lastCall) > keep
	safe := d.node.LeaveAcknowledgedFor(w.Now) > keep && quiet && d.plane.active == 0
	if !safe && w.Settings.Without != MechanismDrainBeforeStop {
		w.After(50*time.Millisecond, d.guard(d.finishStop))
		return
	}
	w.Oracle.CutByStop += d.plane.active
	d.Kill()
}

func (d *Daemon) perform(actions []control.Action) {
	for _, action := range actions {
		if decision, isLog := action.(control.Decision); isLog {
			d.world.Note(d.Name, "%s %v", decision.Text, decision.Fields)
			continue
		}
		delay := time.Duration(d.world.Random.Int64N(int64(outgoingDelay)))
		d.world.After(delay, d.guard(func() { d.carryOut(action) }))
	}
}

func (d *Daemon) carryOut(action control.Action) {
	w := d.world
	switch action := action.(type) {
	case control.SendPeer:
		d.sendPeer(action)
	case control.FetchChanges:
		w.Platform.Watch(d.Name, action.Since, action.Wait, func(answer control.ChangesAnswer) {
			d.guard(func() {
				d.timed(func() []control.Action { return d.node.ChangesAnswered(w.Now, d.ownCopy(answer)) })
			})()
		})
	case control.Write:
		object := withoutReservations(w, action.Object)
		w.Platform.Write(d.Name, object, action.IfVersion, func(stored api.Object, err control.CallError) {
			answer := control.WriteAnswer{Key: action.Object.Key, Object: stored, Err: err}
			d.guard(func() {
				d.timed(func() []control.Action { return d.node.WriteAnswered(w.Now, answer) })
			})()
		})
	case control.Read:
		w.Platform.Read(d.Name, action.Key, func(object api.Object, err control.CallError) {
			answer := control.ReadAnswer{Key: action.Key, Object: object, Err: err}
			d.guard(func() {
				d.timed(func() []control.Action { return d.node.ReadAnswered(w.Now, answer) })
			})()
		})
	case control.Poll:
		d.poll(action)
	case control.SendOrder:
		d.Stats.Orders++
		d.sendOrder(action)
	}
}

// ownCopy gives a measured daemon its own memory, as decoding an answer does.
func (d *Daemon) ownCopy(answer control.ChangesAnswer) control.ChangesAnswer {
	if !d.world.Settings.MeasureCPU {
		return answer
	}
	answer.Delta.Objects = slices.Clone(answer.Delta.Objects)
	for i := range answer.Delta.Objects {
		object := &answer.Delta.Objects[i]
		object.Value = bytes.Clone(object.Value)
	}
	return answer
}

func (d *Daemon) sendPeer(action control.SendPeer) {
	w := d.world
	target := w.peers[action.Address]
	if target == nil {
		return
	}
	message := withoutLeaving(w, action.Message)
	began := time.Now()
	encoded, err := msgpack.Marshal(&message)
	if err != nil {
		return
	}
	if w.Settings.MeasureCPU {
		d.Stats.CPU += time.Since(began)
	}
	d.Stats.MessagesSent++
	d.Stats.BytesSent += uint64(len(encoded) + frameBytes)
	w.Network.Send(d.Name, target.Name, func() { target.guard(func() { target.receive(message, encoded) })() })
}

// receive takes in a message. A measured daemon decodes it, so that the cost
// counts and so that daemons share no memory.
func (d *Daemon) receive(message control.Message, encoded []byte) {
	d.Stats.BytesReceived += uint64(len(encoded) + frameBytes)
	d.timed(func() []control.Action {
		if d.world.Settings.MeasureCPU {
			var decoded control.Message
			if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
				return nil
			}
			message = decoded
		}
		return d.node.Receive(d.world.Now, message)
	})
}

// poll asks an engine for its report. A poll that gets no answer fails after
// the engine client's timeout.
func (d *Daemon) poll(action control.Poll) {
	const pollTimeout = 2 * time.Second
	w := d.world
	d.Stats.Polls++
	d.Stats.BytesSent += pollRequestBytes
	answered := func(answer control.PollAnswer) {
		d.guard(func() {
			d.timed(func() []control.Action { return d.node.PollAnswered(w.Now, answer) })
		})()
	}
	e := w.engines[action.BackEnd]
	failed := control.PollAnswer{BackEnd: action.BackEnd, Err: control.CallUnknown}
	if w.Network.IsCut(d.Name, e.Name) {
		w.After(pollTimeout, func() { answered(failed) })
		return
	}
	w.After(w.Network.Delay(d.Name, e.Name), func() {
		if !e.Alive || w.Network.IsCut(e.Name, d.Name) {
			w.After(pollTimeout, func() { answered(failed) })
			return
		}
		report := e.report()
		d.Stats.BytesReceived += uint64(len(api.Encode(report)) + pollAnswerBytes)
		w.After(w.Network.Delay(e.Name, d.Name), func() {
			answered(control.PollAnswer{BackEnd: action.BackEnd, Report: report})
		})
	})
}

// sendOrder carries an order to an engine. Orders may be lost, late by far
// more than any timeout, or doubled.
func (d *Daemon) sendOrder(action control.SendOrder) {
	w := d.world
	e := w.engines[action.BackEnd]
	if w.Network.IsCut(d.Name, e.Name) {
		return
	}
	faults := &w.Settings.Request
	copies := 1
	if w.Chance(faults.OrderDoubled) {
		copies = 2
	}
	for range copies {
		if w.Chance(faults.OrderLost) {
			continue
		}
		delay := w.Network.Delay(d.Name, e.Name)
		if w.Chance(faults.OrderLate) {
			delay += w.Between(0, faults.OrderLateBy)
		}
		w.After(delay, func() { e.deliverOrder(action.Order) })
	}
}

// newRetryBudget returns the budget of one boot.
func newRetryBudget() *retry.Budget {
	return retry.NewBudget(retry.Settings{Share: 0.1, Floor: 20, Initial: 20, Window: 10 * time.Second})
}

// callID returns an identity that no other call has.
func (w *World) callID() string {
	w.nextCall++
	return fmt.Sprintf("call-%d", w.nextCall)
}
