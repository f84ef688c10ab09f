package member

import (
	"slices"
	"strings"
	"time"
)

// Receive takes in a message and returns the messages to send in answer.
func (d *Detector) Receive(now time.Time, message Message) []Packet {
	stranger := d.isStranger(message.Sender)
	d.merge(now, message.Sender)
	for _, news := range message.Members {
		d.merge(now, news)
	}
	for _, news := range message.BackEnds {
		d.mergeBackEnd(news)
	}
	switch message.Kind {
	case Ping:
		return []Packet{{message.Sender.PeerAddress, d.ackFor(now, message, stranger)}}
	case PingRequest:
		d.sequence++
		d.relayed[d.sequence] = relay{message.Sender.PeerAddress, message.Sequence, now}
		return []Packet{{message.Target, d.message(Ping, d.sequence)}}
	case Ack:
		return d.acknowledged(message)
	}
	return nil
}

func (d *Detector) isStranger(sender Member) bool {
	known, found := d.members[sender.Name]
	return !found || known.Incarnation < sender.Incarnation
}

// ackFor answers a ping. A sender that just joined, or whose digest shows that
// it knows something else, gets everything, since the news that it lacks may no
// longer be going round.
func (d *Detector) ackFor(now time.Time, message Message, stranger bool) Message {
	ack := d.message(Ack, message.Sequence)
	ack.KnowsLeaving = d.members[message.Sender.Name].Leaving
	if known := d.members[message.Sender.Name]; known.State >= Suspect {
		ack.Members = append(ack.Members, known.Member)
	}
	differs := message.Digest != ack.Digest && now.Sub(d.lastExchange) >= d.settings.FullExchangeInterval
	if stranger || differs {
		d.lastExchange = now
		ack.Members = d.Members()
		ack.BackEnds = d.allBackEnds()
	}
	return ack
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
	since := now
	if found && news.State == known.State {
		since = known.since
	}
	d.members[news.Name] = &entry{Member: news, since: since}
	// Who has just been heard of for the first time matters less than what has changed
	// at a known member.
	d.memberNews.add(news.Name, news, found)
	d.changed()
}

// refute answers a false suspicion about this daemon by a higher incarnation.
func (d *Detector) refute(news Member) {
	if news.Incarnation < d.self.Incarnation || news.State < Suspect {
		return
	}
	d.self.Incarnation = news.Incarnation + 1
	d.announceSelf()
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
	if known, found := d.backEnds[news.Name]; found && !news.newer(known) {
		return false
	}
	d.backEnds[news.Name] = news
	d.backEndNews.add(news.Name, news, false)
	d.digestStale = true
	d.revision++
	return true
}
