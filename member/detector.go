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

	memberNews  newsQueue[Member]
	backEndNews newsQueue[BackEnd]

	rumorAt    time.Time
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
	// dead is the number of members that are dead.
	dead     int
	revision uint64

	digest       digest
	lastExchange time.Time
	// agreed counts the daemons in a row that were heard to know the same members.
	agreed int
	// receivedAll is set once a full answer has arrived since this daemon started.
	receivedAll bool
}

type entry struct {
	Member
	since time.Time
	// informed is the incarnation that was last sent everything that is known here.
	informed uint64
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
	detector.digest.replace(nil, &self)
	detector.memberNews.add(self.Name, self, false)
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
	before := d.self
	d.self.Leaving = true
	d.announceSelf(before)
}

// announceSelf tells the others of this daemon, which was known as before.
func (d *Detector) announceSelf(before Member) {
	d.digest.replace(&before, &d.self)
	d.memberNews.add(d.self.Name, d.self, true)
	d.changed()
}

func (d *Detector) changed() {
	d.liveStale = true
	d.agreed = 0
	d.revision++
}
