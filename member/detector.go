package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// deadProbeEvery is how many probe intervals pass between two probes of a dead
// member, which is how two halves of a healed partition find each other.
const deadProbeEvery = 5

// deadForgetIntervals is how many probe intervals a dead member is remembered.
const deadForgetIntervals = 3600

// Detector holds the membership view of one daemon. It is not safe for
// concurrent use.
type Detector struct {
	settings Settings
	random   *rand.Rand
	self     Member
	members  map[string]*entry
	backEnds map[string]BackEnd

	memberNews  newsQueue[Member]
	backEndNews newsQueue[BackEnd]

	probeOrder []string
	nextProbe  time.Time
	interval   int
	sequence   uint64
	probe      probe
	relayed    map[uint64]relay
	seeds      []string

	// live caches the sorted names of members that are not dead.
	live      []string
	liveStale bool
	revision  uint64

	digest       uint64
	digestStale  bool
	lastExchange time.Time
}

type entry struct {
	Member
	since time.Time
}

// probe is the direct probe under way.
type probe struct {
	name     string
	sequence uint64
	sentAt   time.Time
	helped   bool
	answered bool
}

// relay is a probe made for another member.
type relay struct {
	askedBy  string
	sequence uint64
	at       time.Time
}

// NewDetector returns a detector that knows only itself.
func NewDetector(self Member, settings Settings, random *rand.Rand) *Detector {
	detector := &Detector{
		settings:  settings,
		random:    random,
		self:      self,
		members:   map[string]*entry{},
		backEnds:  map[string]BackEnd{},
		relayed:   map[uint64]relay{},
		liveStale: true,
	}
	detector.memberNews.add(self.Name, self)
	return detector
}

// Self returns this daemon's own member entry.
func (d *Detector) Self() Member { return d.self }

// Revision changes whenever a member or back end changes.
func (d *Detector) Revision() uint64 { return d.revision }

// SetSeeds gives peer addresses to probe while they are not members, such as
// those of the platform's machine list.
func (d *Detector) SetSeeds(addresses []string) { d.seeds = addresses }

// Leave announces a planned stop of this daemon.
func (d *Detector) Leave() {
	d.self.Leaving = true
	d.announceSelf()
}

func (d *Detector) announceSelf() {
	d.memberNews.add(d.self.Name, d.self)
	d.changed()
}

func (d *Detector) changed() {
	d.liveStale = true
	d.digestStale = true
	d.revision++
}

// Live returns the sorted names of this daemon and all members that are not
// dead. Suspected members count as live. The slice must not be changed.
func (d *Detector) Live() []string {
	if d.liveStale {
		d.live = append(d.live[:0:0], d.self.Name)
		for name, known := range d.members {
			if known.State != Dead {
				d.live = append(d.live, name)
			}
		}
		slices.Sort(d.live)
		d.liveStale = false
	}
	return d.live
}

// Lookup returns what is known of a member, this daemon included.
func (d *Detector) Lookup(name string) (Member, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	known, found := d.members[name]
	if !found {
		return Member{}, false
	}
	return known.Member, true
}

// Members returns all known members, this daemon included, sorted by name.
func (d *Detector) Members() []Member {
	all := make([]Member, 0, len(d.members)+1)
	all = append(all, d.self)
	for _, known := range d.members {
		all = append(all, known.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// BackEnd returns the newest news about a back end.
func (d *Detector) BackEnd(name string) (BackEnd, bool) {
	news, found := d.backEnds[name]
	return news, found
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
	d.backEndNews.add(news.Name, news)
	d.digestStale = true
	d.revision++
	return true
}

// Tick advances the detector and returns the messages to send. It should be
// called a few times in each probe timeout.
func (d *Detector) Tick(now time.Time) []Packet {
	var packets []Packet
	packets = d.askHelpers(now, packets)
	if now.Before(d.nextProbe) {
		return packets
	}
	d.suspectUnanswered(now)
	d.expireSuspects(now)
	d.expireRelays(now)
	d.nextProbe = now.Add(d.settings.ProbeInterval)
	d.interval++
	packets = d.startProbe(now, packets)
	if d.interval%deadProbeEvery == 0 {
		packets = d.probeDead(packets)
	}
	return d.probeSeed(packets)
}

func (d *Detector) askHelpers(now time.Time, packets []Packet) []Packet {
	current := &d.probe
	if current.name == "" || current.answered || current.helped {
		return packets
	}
	if now.Sub(current.sentAt) < d.settings.ProbeTimeout {
		return packets
	}
	current.helped = true
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

func (d *Detector) suspectUnanswered(now time.Time) {
	if d.probe.name == "" || d.probe.answered {
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

func (d *Detector) suspicionTime() time.Duration {
	scale := bits.Len(uint(len(d.members) + 1))
	return time.Duration(d.settings.SuspicionIntervals*scale) * d.settings.ProbeInterval / 2
}

func (d *Detector) expireSuspects(now time.Time) {
	limit := d.suspicionTime()
	forget := deadForgetIntervals * d.settings.ProbeInterval
	for _, name := range d.sortedMembers() {
		known := d.members[name]
		age := now.Sub(known.since)
		switch {
		case known.State == Suspect && age >= limit:
			dead := known.Member
			dead.State = Dead
			d.merge(now, dead)
		case known.State == Dead && age >= forget:
			delete(d.members, name)
			d.changed()
		}
	}
}

func (d *Detector) sortedMembers() []string {
	names := make([]string, 0, len(d.members))
	for name, known := range d.members {
		if known.State >= Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *Detector) expireRelays(now time.Time) {
	for sequence, asked := range d.relayed {
		if now.Sub(asked.at) > 2*d.settings.ProbeInterval {
			delete(d.relayed, sequence)
		}
	}
}

func (d *Detector) startProbe(now time.Time, packets []Packet) []Packet {
	d.probe = probe{}
	name := d.nextTarget()
	if name == "" {
		return packets
	}
	d.sequence++
	d.probe = probe{name: name, sequence: d.sequence, sentAt: now}
	return append(packets, Packet{d.members[name].PeerAddress, d.message(Ping, d.sequence)})
}

// nextTarget walks over all live members in a random order, and shuffles anew
// after each round, so that each member is probed once a round.
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

func (d *Detector) probeDead(packets []Packet) []Packet {
	var dead []string
	for _, name := range d.sortedMembers() {
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
	// The member must hear that it is held for dead, or it cannot refute.
	message.Members = append(message.Members, chosen.Member)
	return append(packets, Packet{chosen.PeerAddress, message})
}

// probeSeed probes one seed address that no member has.
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
		Kind:     kind,
		Sequence: sequence,
		Sender:   d.self,
		Digest:   d.currentDigest(),
		Members:  d.memberNews.take(d.settings.NewsPerMessage, size),
		BackEnds: d.backEndNews.take(d.settings.NewsPerMessage, size),
	}
}

// Tell returns a direct probe of one member, which tells it of this daemon's
// own state. Its acknowledgement comes like any other.
func (d *Detector) Tell(name string) Packet {
	d.sequence++
	return Packet{d.members[name].PeerAddress, d.message(Ping, d.sequence)}
}

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
	d.memberNews.add(news.Name, news)
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
