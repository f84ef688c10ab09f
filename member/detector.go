package member

import (
	"math/rand/v2"
	"time"
)

// Detector holds the membership view of one daemon. It is not safe for
// concurrent use.
type Detector struct {
	settings Settings
	random   *rand.Rand
	self     Member
	members  map[string]*entry
	backEnds map[string]BackEnd

	memberUpdates  updateQueue[Member]
	backEndUpdates updateQueue[BackEnd]

	lastRumorAt   time.Time
	probeOrder    []string
	nextProbe     time.Time
	intervalCount int
	sequence      uint64
	probe         probe
	relayedProbes map[uint64]relayedProbe
	seeds         []string

	// live caches the sorted names of members that are not dead.
	live      []string
	liveStale bool
	// dead is the number of members that are dead.
	dead     int
	revision uint64

	digest       digest
	lastExchange time.Time
	// consecutiveAgreements counts the last daemons in a row whose digest equalled the own one.
	consecutiveAgreements int
	// receivedFullState is set once a complete answer has arrived since this daemon started.
	receivedFullState bool
}

type entry struct {
	Member
	since time.Time
	// fullStateIncarnation is the incarnation of the member to which the full state was last sent.
	fullStateIncarnation uint64
}

// NewDetector returns a detector whose only member is this daemon.
func NewDetector(self Member, settings Settings, random *rand.Rand) *Detector {
	detector := &Detector{
		settings:      settings,
		random:        random,
		self:          self,
		members:       map[string]*entry{},
		backEnds:      map[string]BackEnd{},
		relayedProbes: map[uint64]relayedProbe{},
		liveStale:     true,
	}
	detector.digest.replace(nil, &self)
	detector.memberUpdates.add(self.Name, self, false)
	return detector
}

// Self returns this daemon's own member entry.
func (d *Detector) Self() Member { return d.self }

// Revision changes whenever a member or back end changes.
func (d *Detector) Revision() uint64 { return d.revision }

// SetSeeds sets peer addresses that are probed while no member has them, such as those of the
// platform's machine list.
func (d *Detector) SetSeeds(addresses []string) { d.seeds = addresses }

// Leave announces a planned stop of this daemon.
func (d *Detector) Leave() {
	before := d.self
	d.self.Leaving = true
	d.announceSelf(before)
}

// announceSelf queues an update about this daemon, whose entry was before until now.
func (d *Detector) announceSelf(before Member) {
	d.digest.replace(&before, &d.self)
	d.memberUpdates.add(d.self.Name, d.self, true)
	d.recordChange()
}

func (d *Detector) recordChange() {
	d.liveStale = true
	d.consecutiveAgreements = 0
	d.revision++
}
