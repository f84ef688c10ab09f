package member

import (
	"slices"
	"strings"
	"time"
)

// Receive takes in a message and returns the messages to send in answer.
func (d *Detector) Receive(now time.Time, message Message) []Packet {
	differ := d.digest.differing(message.Buckets)
	d.merge(now, message.Sender)
	for _, news := range message.Members {
		d.merge(now, news)
	}
	for _, news := range message.BackEnds {
		d.mergeBackEnd(news)
	}
	d.receivedAll = d.receivedAll || message.Complete
	d.noteAgreement(message.Digest)
	switch message.Kind {
	case Ping:
		return []Packet{{message.Sender.PeerAddress, d.ackFor(now, message)}}
	case PingRequest:
		d.sequence++
		d.relayed[d.sequence] = relay{message.Sender.PeerAddress, message.Sequence, now}
		return []Packet{{message.Target, d.message(Ping, d.sequence)}}
	case Ack:
		return append(d.acknowledged(message), d.exchange(&message)...)
	case Exchange:
		return d.exchanged(&message, differ)
	}
	return nil
}

// agreedEnough is how many daemons in a row that know the same members say that all do.
const agreedEnough = 3

// noteAgreement takes in whether another daemon knows the same members. News that is not urgent, who has been heard of
// for the first time, is dropped once several in a row do: whoever lacks it hears it by an exchange.
func (d *Detector) noteAgreement(told uint64) {
	if told != d.digest.sum() {
		d.agreed = 0
		return
	}
	if d.agreed++; d.agreed >= agreedEnough {
		d.memberNews.dropUsual()
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
	ack.Complete = d.informed() && message.Digest == ack.Digest
	switch {
	case message.Digest == ack.Digest:
	case d.informs(message.Sender) || message.Uninformed:
		d.lastExchange = now
		ack.Complete = d.informed()
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
func (d *Detector) informed() bool { return d.receivedAll || d.interval > maxUninformedIntervals }

// informs reports whether a member was not sent everything since it joined, and notes that it is.
func (d *Detector) informs(receiver Member) bool {
	known := d.members[receiver.Name]
	if known == nil || known.informed >= receiver.Incarnation {
		return false
	}
	known.informed = receiver.Incarnation
	return true
}

func (d *Detector) allBackEnds() []BackEnd {
	all := make([]BackEnd, 0, len(d.backEnds))
	for _, news := range d.backEnds {
		all = append(all, news)
	}
	slices.SortFunc(all, func(a, b BackEnd) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (d *Detector) acknowledged(message Message) []Packet {
	if message.Sequence == d.probe.sequence {
		d.probe.answered = true
		return nil
	}
	asked, found := d.relayed[message.Sequence]
	if !found {
		return nil
	}
	delete(d.relayed, message.Sequence)
	return []Packet{{asked.askedBy, d.message(Ack, asked.sequence)}}
}

// merge takes in news about one member. Higher incarnations win; at the same
// incarnation the higher state wins, and a member that is leaving stays so.
func (d *Detector) merge(now time.Time, news Member) {
	if news.Name == d.self.Name {
		d.refute(news)
		return
	}
	known, found := d.members[news.Name]
	if !found && news.State == Dead {
		return
	}
	if found {
		if news.Incarnation < known.Incarnation {
			return
		}
		if news.Incarnation == known.Incarnation {
			news.State = max(news.State, known.State)
			news.Leaving = news.Leaving || known.Leaving
			if news == known.Member {
				return
			}
		}
	}
	fresh := &entry{Member: news, since: now}
	if found {
		d.digest.replace(&known.Member, &news)
	} else {
		d.digest.replace(nil, &news)
	}
	if found {
		fresh.informed = known.informed
		if news.State == known.State {
			fresh.since = known.since
		}
	}
	d.members[news.Name] = fresh
	if found && known.State == Dead {
		d.dead--
	}
	if news.State == Dead {
		d.dead++
	}
	if news.State != Dead && (!found || known.State == Dead) {
		d.joinProbeOrder(news.Name)
	}
	// Who has just been heard of for the first time matters less than what has changed
	// at a known member.
	d.memberNews.add(news.Name, news, found)
	d.changed()
}

// refute answers news about this daemon that is not true by a higher incarnation: a suspicion, or
// what an earlier process of it said under a higher incarnation. That begins at the time of day,
// which may have gone back since; the new process would else be taken for the old one, which may
// have been leaving.
func (d *Detector) refute(news Member) {
	earlierProcess := news.Incarnation > d.self.Incarnation
	suspicion := news.Incarnation == d.self.Incarnation && news.State >= Suspect
	if !earlierProcess && !suspicion {
		return
	}
	before := d.self
	d.self.Incarnation = news.Incarnation + 1
	d.announceSelf(before)
}

// ObserveBackEnd takes in an own observation of a back end. It returns whether
// it is news: another boot or state than the known one.
func (d *Detector) ObserveBackEnd(name, boot string, state BackEndState) bool {
	known, found := d.backEnds[name]
	news := BackEnd{Name: name, Boot: boot, Change: 1, State: state}
	if found {
		if boot < known.Boot || boot == known.Boot && state == known.State {
			return false
		}
		if boot == known.Boot {
			news.Change = known.Change + 1
		}
	}
	return d.mergeBackEnd(news)
}

// mergeBackEnd takes in news about a back end if it is newer.
func (d *Detector) mergeBackEnd(news BackEnd) bool {
	known, found := d.backEnds[news.Name]
	switch {
	case found && !news.newer(known):
		return false
	case found:
		d.digest.replaceBackEnd(&known, &news)
	default:
		d.digest.replaceBackEnd(nil, &news)
	}
	d.backEnds[news.Name] = news
	d.backEndNews.add(news.Name, news, false)
	d.revision++
	return true
}
