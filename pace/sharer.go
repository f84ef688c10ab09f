package pace

import (
	"slices"
	"sync"
	"time"
)

const (
	// EstimateInterval is the minimum interval between two estimates.
	EstimateInterval = 500 * time.Millisecond
	// SendInterval is the minimum interval between two messages with samples, and between two with factors.
	SendInterval = time.Second
)

// Role is the role of a daemon in the exchange of samples and factors. Daemons are identified by the names that the
// caller of Tick sends messages to.
type Role struct {
	// AllToAll means that all daemons send their samples to all others, which are Others.
	AllToAll bool
	// Dispatcher is the dispatcher of this daemon's group in a large fleet; empty if there is none.
	Dispatcher string
	// Dispatching means that this daemon is the dispatcher. Members are the other daemons of its group, and Others the
	// dispatchers of the other groups.
	Dispatching bool
	Members     []string
	Others      []string
	// SampleInterval replaces SendInterval as the minimum interval between two messages with samples if it is longer.
	SampleInterval time.Duration
}

// Outgoing is a message and its receivers.
type Outgoing struct {
	To     []string
	Update Update
}

// Sharer exchanges samples and factors with other daemons: it decides what this daemon sends, and what it accepts from
// received messages. It is safe for concurrent use.
type Sharer struct {
	tracker *Tracker

	// ownMutex is held only briefly, so that the request path never waits for an estimate. It guards own, the samples
	// of this daemon that are not yet recorded in the tracker.
	ownMutex sync.Mutex
	own      *Batch

	mutex sync.Mutex
	// pending are samples that were not sent yet.
	pending *Batch
	place   Role
	// factorsReceived reports whether this daemon has received factors.
	factorsReceived bool
	estimatedAt     time.Time
	samplesSentAt   time.Time
	factorsSentAt   time.Time
	members         map[string]*memberState
	// successor is the daemon that has replaced this one as dispatcher, until the factors were sent to it.
	successor string
}

// memberState records the factors sent to a member of the group.
type memberState struct {
	// sequence is the number of the last message with factors to the member; zero if there was none.
	sequence uint64
	// lastInstance is the last instance in that message.
	lastInstance string
}

// NewSharer returns a Sharer of the samples and factors of a tracker.
func NewSharer(tracker *Tracker) *Sharer {
	return &Sharer{tracker: tracker, own: NewBatch(), pending: NewBatch(), members: map[string]*memberState{}}
}

// AddSample records a sample of this daemon. It doesn't wait for an estimate.
func (s *Sharer) AddSample(sample Sample) {
	entry, valid := newEntry(sample)
	if !valid {
		return
	}
	s.ownMutex.Lock()
	s.own.Add(entry)
	s.ownMutex.Unlock()
}

// SetRole changes the role of this daemon.
func (s *Sharer) SetRole(place Role) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.place.Dispatching && !place.Dispatching {
		s.successor = place.Dispatcher
	}
	s.place = place
	for member := range s.members {
		if !slices.Contains(place.Members, member) {
			delete(s.members, member)
		}
	}
	for _, member := range place.Members {
		if s.members[member] == nil {
			s.members[member] = &memberState{}
		}
	}
}

// Receive merges an update of another daemon. In a large fleet only dispatchers accept samples, and forward only those
// of the members of their group. The members receive the effect of all samples as factors, and must not count these
// samples again.
func (s *Sharer) Receive(now time.Time, from string, update *Update, directory Directory) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	place := &s.place
	if len(update.Factors) > 0 {
		s.factorsReceived = true
		s.tracker.MergeFactors(update.Factors, directory, place.Dispatching)
	}
	if !place.AllToAll && !place.Dispatching {
		return
	}
	accepted := s.tracker.Record(now, update.Entries[:min(len(update.Entries), MaxEntries)], directory)
	member := s.members[from]
	if !place.Dispatching || member == nil {
		return
	}
	for i := range accepted {
		s.pending.Add(accepted[i])
	}
	if update.FactorsMissing {
		*member = memberState{}
	}
}

// Tick records the samples of this daemon and estimates the factors, if that is due. It returns the messages that are
// due and the changes of factors to report.
func (s *Sharer) Tick(now time.Time, directory Directory) (outgoing []Outgoing, changes []Change) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordOwn(now, directory)
	if now.Sub(s.estimatedAt) >= EstimateInterval {
		s.estimatedAt = now
		changes = s.tracker.Estimate()
	}
	outgoing = s.appendSamples(now, outgoing)
	outgoing = s.appendHandover(outgoing)
	if now.Sub(s.factorsSentAt) >= SendInterval {
		outgoing = s.appendFactors(now, outgoing)
	}
	return outgoing, changes
}

// appendSamples adds a message with pending samples, if one is due. Without receivers the samples are dropped, because
// they would be outdated by the time there is a receiver.
func (s *Sharer) appendSamples(now time.Time, outgoing []Outgoing) []Outgoing {
	to := s.sampleReceivers()
	switch {
	case len(to) == 0:
		s.pending.Take(maxBatchEntries)
		return outgoing
	case s.pending.Len() == 0, now.Sub(s.samplesSentAt) < max(SendInterval, s.place.SampleInterval):
		return outgoing
	}
	s.samplesSentAt = now
	lacking := !s.factorsReceived && !s.place.AllToAll && !s.place.Dispatching
	return append(outgoing, Outgoing{To: to, Update: Update{Entries: s.pending.Take(MaxEntries), FactorsMissing: lacking}})
}

// appendHandover adds a message with factors to the daemon that has replaced this one as dispatcher. That daemon may
// have just started, without any factors.
func (s *Sharer) appendHandover(outgoing []Outgoing) []Outgoing {
	to := s.successor
	s.successor = ""
	if to == "" {
		return outgoing
	}
	factors, _ := s.tracker.Factors("")
	if len(factors) == 0 {
		return outgoing
	}
	return append(outgoing, Outgoing{To: []string{to}, Update: Update{Factors: factors}})
}

// recordOwn moves this daemon's samples since the last tick to the tracker, and those accepted to the pending ones.
func (s *Sharer) recordOwn(now time.Time, directory Directory) {
	s.ownMutex.Lock()
	own := s.own.Take(maxBatchEntries)
	s.ownMutex.Unlock()
	accepted := s.tracker.Record(now, own, directory)
	for i := range accepted {
		s.pending.Add(accepted[i])
	}
}

// sampleReceivers returns the daemons that this one sends samples to.
func (s *Sharer) sampleReceivers() []string {
	switch {
	case s.place.AllToAll, s.place.Dispatching:
		return s.place.Others
	case s.place.Dispatcher != "":
		return []string{s.place.Dispatcher}
	default:
		return nil
	}
}

// appendFactors adds a message with factors to one member of the group. Members without factors come first, then the
// one whose last message is oldest.
func (s *Sharer) appendFactors(now time.Time, outgoing []Outgoing) []Outgoing {
	member, newest := s.nextMember()
	if member == "" {
		return outgoing
	}
	state := s.members[member]
	factors, last := s.tracker.Factors(state.lastInstance)
	if len(factors) == 0 {
		return outgoing
	}
	s.factorsSentAt = now
	state.sequence, state.lastInstance = newest+1, last
	return append(outgoing, Outgoing{To: []string{member}, Update: Update{Factors: factors}})
}

// nextMember returns the member whose last message with factors is oldest or missing, and the highest sequence number
// of all members.
func (s *Sharer) nextMember() (next string, newest uint64) {
	if !s.place.Dispatching {
		return "", 0
	}
	for _, member := range s.place.Members {
		sequence := s.members[member].sequence
		newest = max(newest, sequence)
		if next == "" || sequence < s.members[next].sequence {
			next = member
		}
	}
	return next, newest
}
