package member

import (
	"math/bits"
	"slices"
	"time"
)

// deadProbeIntervals is how many probe intervals pass between two probes of a dead member. These
// probes let the two halves of a healed partition find each other.
const deadProbeIntervals = 5

// deadRetentionIntervals is how many probe intervals a dead member is kept.
const deadRetentionIntervals = 3600

// fullStateTimeoutIntervals bounds how many probe intervals after its start a daemon requests the
// full state.
const fullStateTimeoutIntervals = 10

// probe is the direct probe in progress.
type probe struct {
	name             string
	sequence         uint64
	sentAt           time.Time
	helpersRequested bool
	acknowledged     bool
}

// relayedProbe is a probe that is made on behalf of another member.
type relayedProbe struct {
	requester string
	sequence  uint64
	startedAt time.Time
}

// Tick advances the detector and returns the messages to send. It should be called a few times in
// each probe timeout.
func (d *Detector) Tick(now time.Time) []Packet {
	var packets []Packet
	packets = d.sendPingRequests(now, packets)
	packets = d.sendRumors(now, packets)
	if now.Before(d.nextProbe) {
		return packets
	}
	d.suspectUnacknowledged(now)
	d.expireSuspects(now)
	d.expireRelayedProbes(now)
	d.nextProbe = now.Add(d.settings.ProbeInterval)
	d.intervalCount++
	packets = d.startProbe(now, packets)
	if d.intervalCount%deadProbeIntervals == 0 {
		packets = d.probeDead(packets)
	}
	return d.probeSeed(packets)
}

func (d *Detector) sendPingRequests(now time.Time, packets []Packet) []Packet {
	current := &d.probe
	if current.name == "" || current.acknowledged || current.helpersRequested {
		return packets
	}
	if now.Sub(current.sentAt) < d.settings.ProbeTimeout {
		return packets
	}
	current.helpersRequested = true
	target, found := d.members[current.name]
	if !found {
		return packets
	}
	live := d.Live()
	if len(live) <= 2 {
		return packets
	}
	chosen := map[string]bool{current.name: true, d.self.Name: true}
	for range 2 * d.settings.Helpers {
		helper := live[d.random.IntN(len(live))]
		if chosen[helper] || len(chosen) >= d.settings.Helpers+2 {
			continue
		}
		chosen[helper] = true
		message := d.message(PingRequest, current.sequence)
		message.Target = target.PeerAddress
		packets = append(packets, Packet{d.members[helper].PeerAddress, message})
	}
	return packets
}

// sendRumors forwards urgent updates at once. Updates that are only piggybacked on probes take
// seconds to reach a large group, while every daemon that lacks them sends clients to a daemon that
// is gone.
func (d *Detector) sendRumors(now time.Time, packets []Packet) []Packet {
	if now.Sub(d.lastRumorAt) < d.settings.RumorInterval || !d.memberUpdates.urgentPending(d.settings.RumorFanOut) {
		return packets
	}
	d.lastRumorAt = now
	for _, name := range d.rumorTargets() {
		packets = append(packets, Packet{d.members[name].PeerAddress, d.message(Rumor, 0)})
	}
	return packets
}

// rumorTargets draws the members that receive a rumor: one of another zone, and the others of the
// own zone as far as it has enough. Each zone thus receives a change from many daemons of other
// zones, while most messages do not cross between zones.
func (d *Detector) rumorTargets() []string {
	var sameZone, otherZones []string
	for _, name := range d.Live() {
		switch {
		case name == d.self.Name:
		case d.members[name].Zone == d.self.Zone:
			sameZone = append(sameZone, name)
		default:
			otherZones = append(otherZones, name)
		}
	}
	d.random.Shuffle(len(sameZone), func(i, j int) { sameZone[i], sameZone[j] = sameZone[j], sameZone[i] })
	d.random.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	first := min(1, len(otherZones))
	return slices.Concat(otherZones[:first], sameZone, otherZones[first:])[:min(d.settings.RumorFanOut, len(sameZone)+len(otherZones))]
}

func (d *Detector) suspectUnacknowledged(now time.Time) {
	if d.probe.name == "" || d.probe.acknowledged {
		return
	}
	known, found := d.members[d.probe.name]
	if !found || known.State >= Suspect {
		return
	}
	suspected := known.Member
	suspected.State = Suspect
	d.merge(now, suspected)
}

func (d *Detector) suspicionTimeout() time.Duration {
	scale := bits.Len(uint(len(d.members) + 1))
	return time.Duration(d.settings.SuspicionIntervals*scale) * d.settings.ProbeInterval / 2
}

func (d *Detector) expireSuspects(now time.Time) {
	timeout := d.suspicionTimeout()
	retention := deadRetentionIntervals * d.settings.ProbeInterval
	for _, name := range d.sortedSuspectOrDead() {
		known := d.members[name]
		age := now.Sub(known.since)
		switch {
		case known.State == Suspect && age >= timeout:
			dead := known.Member
			dead.State = Dead
			d.merge(now, dead)
		case known.State == Dead && age >= retention:
			d.digest.replace(&known.Member, nil)
			delete(d.members, name)
			d.dead--
			d.recordChange()
		}
	}
}

func (d *Detector) sortedSuspectOrDead() []string {
	names := make([]string, 0, len(d.members))
	for name, known := range d.members {
		if known.State >= Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *Detector) expireRelayedProbes(now time.Time) {
	for sequence, pending := range d.relayedProbes {
		if now.Sub(pending.startedAt) > 2*d.settings.ProbeInterval {
			delete(d.relayedProbes, sequence)
		}
	}
}

func (d *Detector) startProbe(now time.Time, packets []Packet) []Packet {
	d.probe = probe{}
	name := d.target()
	if name == "" {
		return packets
	}
	d.sequence++
	d.probe = probe{name: name, sequence: d.sequence, sentAt: now}
	return append(packets, Packet{d.members[name].PeerAddress, d.message(Ping, d.sequence)})
}

// target returns the member to probe in this interval.
func (d *Detector) target() string {
	if d.intervalCount%successorProbeIntervals == 1 {
		return d.successor()
	}
	return d.nextTarget()
}

// successorProbeIntervals is how many probe intervals pass between two probes of the member that
// follows this daemon in the order of names.
const successorProbeIntervals = 2

// successor returns the alive member that follows this daemon in the order of names, which is the
// same at all daemons. Each member is thus probed by its predecessor at a fixed rate. Random probes
// of many daemons miss one member in e in each interval, and may miss it several times in a row.
func (d *Detector) successor() string {
	live := d.Live()
	index, _ := slices.BinarySearch(live, d.self.Name)
	for offset := 1; offset <= len(live); offset++ {
		name := live[(index+offset)%len(live)]
		if name != d.self.Name && d.members[name].State == Alive {
			return name
		}
	}
	return ""
}

// nextTarget walks over all live members in a random order and reshuffles after each round, so that
// each member is probed once a round.
func (d *Detector) nextTarget() string {
	for range 2 {
		for len(d.probeOrder) > 0 {
			name := d.probeOrder[len(d.probeOrder)-1]
			d.probeOrder = d.probeOrder[:len(d.probeOrder)-1]
			if known, found := d.members[name]; found && known.State != Dead {
				return name
			}
		}
		for _, name := range d.Live() {
			if name != d.self.Name {
				d.probeOrder = append(d.probeOrder, name)
			}
		}
		d.random.Shuffle(len(d.probeOrder), func(i, j int) {
			d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i]
		})
	}
	return ""
}

// insertIntoProbeOrder inserts a member that has come up at a random position of the round in
// progress. A round takes as many intervals as there are members, and this daemon would not probe
// the new member for that long. After a simultaneous start, when most members come up during the
// rounds of a few, hardly any daemon would probe it.
func (d *Detector) insertIntoProbeOrder(name string) {
	if name == d.self.Name || slices.Contains(d.probeOrder, name) {
		return
	}
	d.probeOrder = slices.Insert(d.probeOrder, d.random.IntN(len(d.probeOrder)+1), name)
}

func (d *Detector) probeDead(packets []Packet) []Packet {
	var dead []string
	for _, name := range d.sortedSuspectOrDead() {
		if d.members[name].State == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return packets
	}
	chosen := d.members[dead[d.random.IntN(len(dead))]]
	d.sequence++
	message := d.message(Ping, d.sequence)
	// The member must receive its own entry with the state dead, or it cannot refute it.
	message.Members = append(message.Members, chosen.Member)
	return append(packets, Packet{chosen.PeerAddress, message})
}

// probeSeed probes a randomly chosen seed address unless a member has it.
func (d *Detector) probeSeed(packets []Packet) []Packet {
	if len(d.seeds) == 0 {
		return packets
	}
	address := d.seeds[d.random.IntN(len(d.seeds))]
	if address == d.self.PeerAddress || d.hasAddress(address) {
		return packets
	}
	d.sequence++
	return append(packets, Packet{address, d.message(Ping, d.sequence)})
}

func (d *Detector) hasAddress(address string) bool {
	for _, known := range d.members {
		if known.PeerAddress == address {
			return true
		}
	}
	return false
}

func (d *Detector) message(kind MessageKind, sequence uint64) Message {
	size := len(d.members) + 1
	return Message{
		Kind:           kind,
		Sequence:       sequence,
		Sender:         d.self,
		Digest:         d.digest.sum(),
		Members:        d.memberUpdates.take(d.settings.UpdatesPerMessage, size),
		BackEnds:       d.backEndUpdates.take(d.settings.UpdatesPerMessage, size),
		LacksFullState: kind == Ping && !d.hasFullState(),
	}
}

// PingFor returns a direct probe of one member, which carries this daemon's own state. Its
// acknowledgement is handled like any other.
func (d *Detector) PingFor(name string) Packet {
	d.sequence++
	return Packet{d.members[name].PeerAddress, d.message(Ping, d.sequence)}
}
