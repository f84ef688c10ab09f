package member

import (
	"slices"
	"strings"
	"time"
)

// Receive processes a message and returns the messages to send in answer.
func (d *Detector) Receive(now time.Time, message Message) []Packet {
	differingBuckets := d.digest.differing(message.Buckets)
	d.merge(now, message.Sender)
	for _, update := range message.Members {
		d.merge(now, update)
	}
	for _, update := range message.BackEnds {
		d.mergeBackEnd(update)
	}
	d.receivedFullState = d.receivedFullState || message.Complete
	d.recordAgreement(message.Digest)
	switch message.Kind {
	case Ping:
		return []Packet{{message.Sender.PeerAddress, d.ackFor(now, message)}}
	case PingRequest:
		d.sequence++
		d.relayedProbes[d.sequence] = relayedProbe{message.Sender.PeerAddress, message.Sequence, now}
		return []Packet{{message.Target, d.message(Ping, d.sequence)}}
	case Ack:
		return append(d.handleAck(message), d.startExchange(&message)...)
	case Exchange:
		return d.handleExchange(&message, differingBuckets)
	}
	return nil
}

// minConsecutiveAgreements is how many daemons in a row must have the same digest before all are
// assumed to have it.
const minConsecutiveAgreements = 3

// recordAgreement records whether another daemon has the same digest. Once several in a row do,
// updates that are not urgent, about members seen for the first time, are dropped. A daemon that
// lacks one receives it by an exchange.
func (d *Detector) recordAgreement(remoteDigest uint64) {
	if remoteDigest != d.digest.sum() {
		d.consecutiveAgreements = 0
		return
	}
	if d.consecutiveAgreements++; d.consecutiveAgreements >= minConsecutiveAgreements {
		d.memberUpdates.dropNormal()
	}
}

// ackFor answers a ping. If the sender's digest differs, the answer takes one of two forms. The
// sender gets the full state if it was not sent that since it joined, or if it reports that it has
// not received such an answer. Otherwise it gets the sums of the buckets of members and all back
// ends, provided that ExchangeInterval has passed since the last such answer: the updates that it
// lacks may no longer be in circulation. Whether the full state was sent is recorded separately
// from the join, since this daemon may learn of a member before that member's first ping arrives.
func (d *Detector) ackFor(now time.Time, message Message) Message {
	ack := d.message(Ack, message.Sequence)
	ack.LeavingKnown = d.members[message.Sender.Name].Leaving
	if known := d.members[message.Sender.Name]; known.State >= Suspect || known.Incarnation > message.Sender.Incarnation {
		// The sender needs this entry to refute it.
		ack.Members = append(ack.Members, known.Member)
	}
	ack.Complete = d.hasFullState() && message.Digest == ack.Digest
	switch {
	case message.Digest == ack.Digest:
	case d.markFullStateSent(message.Sender) || message.LacksFullState:
		d.lastExchange = now
		ack.Complete = d.hasFullState()
		ack.Members = d.Members()
		ack.BackEnds = d.allBackEnds()
	case now.Sub(d.lastExchange) >= d.settings.ExchangeInterval:
		d.lastExchange = now
		ack.Buckets = d.digest.foldedBuckets(len(d.members) + 1)
		ack.BackEnds = d.allBackEnds()
	}
	return ack
}

// hasFullState reports whether this daemon has received the full state since it started. After
// fullStateTimeoutIntervals it returns true regardless: if all daemons start at once, none of them
// can send a complete answer before that.
func (d *Detector) hasFullState() bool {
	return d.receivedFullState || d.intervalCount > fullStateTimeoutIntervals
}

// markFullStateSent reports whether a member was not yet sent the full state since it joined, and
// records that it is sent now.
func (d *Detector) markFullStateSent(receiver Member) bool {
	known := d.members[receiver.Name]
	if known == nil || known.fullStateIncarnation >= receiver.Incarnation {
		return false
	}
	known.fullStateIncarnation = receiver.Incarnation
	return true
}

func (d *Detector) allBackEnds() []BackEnd {
	all := make([]BackEnd, 0, len(d.backEnds))
	for _, update := range d.backEnds {
		all = append(all, update)
	}
	slices.SortFunc(all, func(a, b BackEnd) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (d *Detector) handleAck(message Message) []Packet {
	if message.Sequence == d.probe.sequence {
		d.probe.acknowledged = true
		return nil
	}
	pending, found := d.relayedProbes[message.Sequence]
	if !found {
		return nil
	}
	delete(d.relayedProbes, message.Sequence)
	return []Packet{{pending.requester, d.message(Ack, pending.sequence)}}
}

// merge applies an update about one member. Higher incarnations win; at the same incarnation the
// higher state wins, and a member that is leaving stays so.
func (d *Detector) merge(now time.Time, update Member) {
	if update.Name == d.self.Name {
		d.refute(update)
		return
	}
	known, found := d.members[update.Name]
	if !found && update.State == Dead {
		return
	}
	if found {
		if update.Incarnation < known.Incarnation {
			return
		}
		if update.Incarnation == known.Incarnation {
			update.State = max(update.State, known.State)
			update.Leaving = update.Leaving || known.Leaving
			if update == known.Member {
				return
			}
		}
	}
	fresh := &entry{Member: update, since: now}
	if found {
		d.digest.replace(&known.Member, &update)
	} else {
		d.digest.replace(nil, &update)
	}
	if found {
		fresh.fullStateIncarnation = known.fullStateIncarnation
		if update.State == known.State {
			fresh.since = known.since
		}
	}
	d.members[update.Name] = fresh
	if found && known.State == Dead {
		d.dead--
	}
	if update.State == Dead {
		d.dead++
	}
	if update.State != Dead && (!found || known.State == Dead) {
		d.insertIntoProbeOrder(update.Name)
	}
	// An update about a member seen for the first time is less urgent than a change of a known
	// member.
	d.memberUpdates.add(update.Name, update, found)
	d.recordChange()
}

// refute answers a false update about this daemon with a higher incarnation. The update is a
// suspicion, or the entry of an earlier process of this daemon with a higher incarnation.
// Incarnations begin at the time of day, which may have been set back since. Without the refutation
// the new process would be taken for the old one, which may have been leaving.
func (d *Detector) refute(update Member) {
	earlierProcess := update.Incarnation > d.self.Incarnation
	suspicion := update.Incarnation == d.self.Incarnation && update.State >= Suspect
	if !earlierProcess && !suspicion {
		return
	}
	before := d.self
	d.self.Incarnation = update.Incarnation + 1
	d.announceSelf(before)
}

// ObserveBackEnd records a first-hand observation of a back end. It returns whether the boot or the
// state differs from the known one.
func (d *Detector) ObserveBackEnd(name, boot string, state BackEndState) bool {
	known, found := d.backEnds[name]
	update := BackEnd{Name: name, Boot: boot, Change: 1, State: state}
	if found {
		if boot < known.Boot || boot == known.Boot && state == known.State {
			return false
		}
		if boot == known.Boot {
			update.Change = known.Change + 1
		}
	}
	return d.mergeBackEnd(update)
}

// mergeBackEnd applies an update about a back end if it is newer, and returns whether it is.
func (d *Detector) mergeBackEnd(update BackEnd) bool {
	known, found := d.backEnds[update.Name]
	switch {
	case found && !update.newer(known):
		return false
	case found:
		d.digest.replaceBackEnd(&known, &update)
	default:
		d.digest.replaceBackEnd(nil, &update)
	}
	d.backEnds[update.Name] = update
	d.backEndUpdates.add(update.Name, update, false)
	d.revision++
	return true
}
