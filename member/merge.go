package member

import (
	"slices"
	"strings"
	"time"
)

// Receive takes in a message and returns the messages to send in answer.
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

// agreedEnough is how many daemons in a row that know the same members say that all do.
const minConsecutiveAgreements = 3

// noteAgreement takes in whether another daemon knows the same members. News that is not urgent, who has been heard of
// for the first time, is dropped once several in a row do: whoever lacks it hears it by an exchange.
func (d *Detector) recordAgreement(remoteDigest uint64) {
	if remoteDigest != d.digest.sum() {
		d.consecutiveAgreements = 0
		return
	}
	if d.consecutiveAgreements++; d.consecutiveAgreements >= minConsecutiveAgreements {
		d.memberUpdates.dropNormal()
	}
}

// ackFor answers a ping. A sender whose digest shows that it knows something else gets
// everything if it was not sent that since it joined, or reports that it has not received such
// an answer. Else it gets the sums of the buckets of members and all back ends, if the last such
// answer is some time ago, since the news that it lacks may no longer be going round. That
// it joined may have been heard here before its first ping came.
func (d *Detector) ackFor(now time.Time, message Message) Message {
	ack := d.message(Ack, message.Sequence)
	ack.KnowsLeaving = d.members[message.Sender.Name].Leaving
	if known := d.members[message.Sender.Name]; known.State >= Suspect || known.Incarnation > message.Sender.Incarnation {
		// The sender has to hear that, to refute it.
		ack.Members = append(ack.Members, known.Member)
	}
	ack.Complete = d.hasFullState() && message.Digest == ack.Digest
	switch {
	case message.Digest == ack.Digest:
	case d.markFullStateSent(message.Sender) || message.Uninformed:
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

// informed reports whether this daemon has received everything since it started. After
// maxUninformedIntervals it returns true regardless: if all daemons start at once, none of them
// can send a complete answer before that.
func (d *Detector) hasFullState() bool {
	return d.receivedFullState || d.intervalCount > fullStateTimeoutIntervals
}

// informs reports whether a member was not sent everything since it joined, and notes that it is.
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

// merge takes in news about one member. Higher incarnations win; at the same
// incarnation the higher state wins, and a member that is leaving stays so.
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
	// Who has just been heard of for the first time matters less than what has changed
	// at a known member.
	d.memberUpdates.add(update.Name, update, found)
	d.recordChange()
}

// refute answers news about this daemon that is not true by a higher incarnation: a suspicion, or
// what an earlier process of it said under a higher incarnation. That begins at the time of day,
// which may have gone back since; the new process would else be taken for the old one, which may
// have been leaving.
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

// ObserveBackEnd takes in an own observation of a back end. It returns whether
// it is news: another boot or state than the known one.
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

// mergeBackEnd takes in news about a back end if it is newer.
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
