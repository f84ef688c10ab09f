package resumption

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	zoneCount = 3
	// messageDelay is the transit time of a message between daemons, answerTimeout the wait for answers.
	messageDelay  = 2 * time.Millisecond
	answerTimeout = 200 * time.Millisecond
	// contactWindow is how long a daemon must have had no fault for the test to count attempts at it.
	contactWindow = 3 * time.Second
	// restartDelay is how long a killed daemon is down, failureDetectionDelay how long the others take to detect it.
	restartDelay          = time.Second
	failureDetectionDelay = 2 * time.Second
	versionWindow         = 60 * time.Second
)

// simulatedDaemon is one daemon with its local state.
type simulatedDaemon struct {
	name        string
	zone        string
	tracker     *Tracker
	incarnation int
	up          bool
	isolated    bool
	lastFault   time.Time
	startedAt   time.Time
	stoppedAt   time.Time
	present     []string
}

// event is a scheduled action; events at the same time run in the order of their sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].sequence < e[b].sequence
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs a fleet in virtual time. Streams begin, are interrupted and resumed while daemons are killed and
// isolated and the software of the instances is replaced.
type simulation struct {
	now      time.Time
	queue    events
	sequence int
	random   *rand.Rand
	daemons  []*simulatedDaemon
	// versions are the current versions of the instances.
	versions []string

	streams, resumeAttempts, mixedVersions, resumed, messages int
}

func newSimulation(count int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), versions: []string{"v1"}}
	for number := range count {
		d := &simulatedDaemon{name: fmt.Sprint("d", number), zone: fmt.Sprint("z", number%zoneCount)}
		s.daemons = append(s.daemons, d)
		s.start(d)
	}
	for _, d := range s.daemons {
		s.refresh(d, d.incarnation)
	}
	return s
}

func (s *simulation) after(duration time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now.Add(duration), s.sequence, run})
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); len(s.queue) > 0 && s.queue[0].at.Before(end); {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
}

// start starts a daemon with empty state.
func (s *simulation) start(d *simulatedDaemon) {
	d.tracker, d.up, d.lastFault, d.startedAt = NewTracker(), true, s.now, s.now
	d.tracker.SetVersionWindow(versionWindow)
	d.present = s.versions
	d.incarnation++
}

// refresh updates a daemon's state every 100 ms. A daemon that is not isolated receives new versions after a random
// delay.
func (s *simulation) refresh(d *simulatedDaemon, incarnation int) {
	if d.incarnation != incarnation {
		return
	}
	var others []Daemon
	for _, other := range s.daemons {
		alive := other.up || s.now.Sub(other.stoppedAt) < failureDetectionDelay
		if other != d && alive && (!d.isolated && !other.isolated || s.now.Sub(d.lastFault) < failureDetectionDelay) {
			others = append(others, Daemon{other.name, other.zone})
		}
	}
	d.tracker.SetDaemons(others)
	if !d.isolated {
		d.tracker.MarkSynced(s.now)
		versions := s.versions
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, func() {
			if d.incarnation == incarnation && !d.isolated {
				d.present = versions
			}
		})
	}
	s.sendUpdates(d, d.tracker.Observe(s.now, "svc", d.present))
	s.after(100*time.Millisecond, func() { s.refresh(d, incarnation) })
}

// send delivers a message, unless the receiver is down or either side is isolated at delivery time.
func (s *simulation) send(from *simulatedDaemon, to string, deliver func(*simulatedDaemon)) {
	s.messages++
	s.after(messageDelay, func() {
		for _, d := range s.daemons {
			if d.name == to && d.up && !d.isolated && !from.isolated {
				deliver(d)
			}
		}
	})
}

func (s *simulation) sendUpdates(from *simulatedDaemon, updates []Update) {
	for _, update := range updates {
		s.send(from, update.Daemon, func(d *simulatedDaemon) { d.tracker.Merge(s.now, update.Streams) })
	}
}

// beginStream starts a stream at a random daemon; the stream may be interrupted.
func (s *simulation) beginStream() {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	if !d.up || len(d.present) == 0 {
		return
	}
	s.streams++
	id, software, incarnation := fmt.Sprint("s", s.streams), d.present[s.random.IntN(len(d.present))], d.incarnation
	s.sendUpdates(d, d.tracker.RecordStream(s.now, Stream{ID: id, Service: "svc", Software: software, Left: versionWindow / 2}))
	duration := time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	interrupted := s.random.IntN(10) == 0
	s.after(duration, func() {
		if interrupted || d.incarnation != incarnation || !d.up {
			s.after(time.Duration(10+s.random.IntN(200))*time.Millisecond, func() { s.resume(id, software) })
		}
	})
}

// resume makes a client resume a stream at a random running daemon.
func (s *simulation) resume(id, wantSoftware string) {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	if !d.up {
		s.after(10*time.Millisecond, func() { s.resume(id, wantSoftware) })
		return
	}
	if found, known := d.tracker.Find(s.now, id); known {
		s.continueStream(d, id, wantSoftware, found.Software)
		return
	}
	var answers []*Answer
	names := d.tracker.QueryTargets(id)
	for _, name := range names {
		s.send(d, name, func(other *simulatedDaemon) {
			answer := other.tracker.Answer(s.now, &Question{Stream: id, Service: "svc"})
			s.send(other, d.name, func(*simulatedDaemon) { answers = append(answers, answer) })
		})
	}
	incarnation := d.incarnation
	s.after(answerTimeout, func() {
		if d.incarnation != incarnation || !d.up {
			return
		}
		for _, answer := range answers {
			if answer.Known {
				s.continueStream(d, id, wantSoftware, answer.Began.Software)
				return
			}
		}
		if software, known := d.tracker.Decide(s.now, "svc", true, answers); known {
			s.continueStream(d, id, wantSoftware, software)
			return
		}
		s.countAttempt(d, wantSoftware, false)
	})
}

func (s *simulation) continueStream(d *simulatedDaemon, id, wantSoftware, software string) {
	if software != wantSoftware {
		s.mixedVersions++
	}
	s.sendUpdates(d, d.tracker.RecordStream(s.now, Stream{ID: id, Service: "svc", Software: software, Left: versionWindow / 2}))
	s.countAttempt(d, wantSoftware, true)
}

// countAttempt counts an attempt to resume a stream, if the daemon is in contact and the stream's version still serves.
func (s *simulation) countAttempt(d *simulatedDaemon, wantSoftware string, resumed bool) {
	serves := false
	for _, version := range s.versions {
		serves = serves || version == wantSoftware
	}
	if !serves || d.isolated || s.now.Sub(d.lastFault) < contactWindow {
		return
	}
	s.resumeAttempts++
	if resumed {
		s.resumed++
	}
}

// injectFaults kills daemons, which restart, or isolates them from all others for a while. Clients still reach isolated
// daemons.
func (s *simulation) injectFaults(count int, isolated bool, duration time.Duration) {
	for _, index := range s.random.Perm(len(s.daemons))[:count] {
		d := s.daemons[index]
		switch {
		case !d.up:
		case isolated:
			d.isolated, d.lastFault = true, s.now
			s.after(duration, func() { d.isolated, d.lastFault = false, s.now })
		default:
			d.up, d.stoppedAt = false, s.now
			s.after(restartDelay, func() {
				s.start(d)
				s.refresh(d, d.incarnation)
			})
		}
	}
}

// runScenario begins streams at a fixed interval and injects faults and software changes meanwhile.
func (s *simulation) runScenario(duration, interval time.Duration) {
	var next func()
	next = func() {
		s.beginStream()
		s.after(interval, next)
	}
	s.after(0, next)
	count := len(s.daemons)
	half, third := count/2, count/3
	s.after(4*time.Second, func() { s.versions = []string{"v1", "v2"} })
	s.after(4300*time.Millisecond, func() { s.injectFaults(third, false, 0) })
	s.after(8*time.Second, func() { s.injectFaults(half, false, 0) })
	s.after(12*time.Second, func() { s.injectFaults(third, true, 4*time.Second) })
	s.after(13*time.Second, func() { s.versions = []string{"v1", "v2", "v3"} })
	s.after(14*time.Second, func() { s.injectFaults(third, false, 0) })
	s.after(20*time.Second, func() { s.versions = []string{"v2", "v3"} })
	s.after(21*time.Second, func() { s.injectFaults(half, true, 3*time.Second) })
	s.after(26*time.Second, func() { s.versions = []string{"v3"} })
	s.after(27*time.Second, func() { s.injectFaults(half, false, 0) })
	s.run(duration)
}

// TestStreamsKeepToTheirVersionAtSize guards against streams that mix two software versions while instances are
// replaced and daemons are killed, restarted or isolated. It also guards against refusing to resume streams whose
// version still serves.
func TestStreamsKeepToTheirVersionAtSize(t *testing.T) {
	for count, seeds := range map[int]uint64{9: 4, 71: 2, 295: 1} {
		for seed := range seeds {
			s := newSimulation(count, seed)
			s.runScenario(32*time.Second, 200*time.Millisecond/time.Duration(count))
			t.Logf("%d daemons, seed %d: %d streams, %d of %d attempts resumed, %d with mixed versions, %.2f messages per stream",
				count, seed, s.streams, s.resumed, s.resumeAttempts, s.mixedVersions, float64(s.messages)/float64(s.streams))
			if s.mixedVersions > 0 || s.resumeAttempts < 12 || 2*s.resumed < s.resumeAttempts {
				t.Errorf("%d daemons, seed %d: %d of %d attempts resumed, %d with mixed versions", count, seed, s.resumed, s.resumeAttempts, s.mixedVersions)
			}
		}
	}
}

// TestOneVersionCostsNoMessages guards against messages about streams while the service has a single version.
func TestOneVersionCostsNoMessages(t *testing.T) {
	s := newSimulation(9, 1)
	for range 1000 {
		s.beginStream()
	}
	if s.messages > 0 || s.streams < 1000 {
		t.Errorf("%d messages for %d streams", s.messages, s.streams)
	}
}
