package resumption

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/history"
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
	name     string
	zone     string
	tracker  *Tracker
	recorder *Recorder
	// recordAskedAt is when the daemon last read the durable record on demand.
	recordAskedAt time.Time
	readRevisions [ShardCount]uint64
	others        []Daemon
	// keepAt is when the daemon looks for due calls of the durable record.
	keepAt      time.Time
	incarnation int
	up          bool
	isolated    bool
	// side is the part of a partitioned fleet that the daemon is in. Only those of side 0 reach the store and hear of new versions.
	side int
	// cutAt is when the daemon last lost the store. It does not notice for up to noticeDelay.
	cutAt     time.Time
	lastFault time.Time
	startedAt time.Time
	stoppedAt time.Time
	present   []string
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
	store    simulatedStore

	streams, resumeAttempts, mixedVersions, resumed, messages int
	// killedAll is set from a kill of all or most daemons on. From then on outlasting holds the streams that clients
	// resume while their version serves, and whether they were resumed.
	killedAll     bool
	outlasting    map[string]bool
	clientRetries int
	// attempts counts all tries to resume a stream while its version serves, also at daemons that are not in contact.
	attempts, allWent int
}

// simulatedStore holds the durable record. While it is away, calls fail.
type simulatedStore struct {
	shards    map[int]Shard
	revisions map[int]uint64
	revision  uint64
	away      bool
	calls     int
	bytes     int
}

const (
	storeDelay       = 4 * time.Millisecond
	clientRetryDelay = 500 * time.Millisecond
	// digestBytes is the encoded size of a stream in the durable record.
	digestBytes = 11
)

// write replaces a shard unless its revision is another one.
func (s *simulatedStore) write(number int, shard *Shard, expected uint64) (revision uint64, conflict bool) {
	if s.revisions[number] != expected {
		return 0, true
	}
	s.revision++
	s.shards[number], s.revisions[number] = *shard, s.revision
	for _, group := range shard.Streams {
		s.bytes += digestBytes * len(group.Streams)
	}
	return s.revision, false
}

func newSimulation(count int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), versions: []string{"v1"}}
	s.outlasting = map[string]bool{}
	s.store = simulatedStore{shards: map[int]Shard{}, revisions: map[int]uint64{}}
	for number := range count {
		d := &simulatedDaemon{name: fmt.Sprint("d", number), zone: fmt.Sprint("z", number%zoneCount)}
		s.daemons = append(s.daemons, d)
		s.start(d, true)
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

// start starts a daemon with empty state. It reads the durable record.
func (s *simulation) start(d *simulatedDaemon, first bool) {
	d.tracker, d.up, d.lastFault, d.startedAt = NewTracker(), true, s.now, s.now
	d.tracker.SetVersionWindow(s.now, versionWindow)
	d.others, d.readRevisions = nil, [ShardCount]uint64{}
	d.recorder = NewRecorder(s.now, d.name, d.tracker, first)
	d.present = s.versions
	d.incarnation++
	d.tracker.MarkSynced(s.now)
	if first {
		d.tracker.MergeRecord(s.now, s.now, nil, true)
		return
	}
	s.readRecord(d, func() {})
}

// readRecord has a daemon read the durable record.
func (s *simulation) readRecord(d *simulatedDaemon, done func()) {
	incarnation, readAt := d.incarnation, s.now
	d.recordAskedAt = s.now
	s.callStore(d, func() {
		var shards []Shard
		for number, shard := range s.store.shards {
			if d.readRevisions[number] == s.store.revisions[number] {
				shard.Streams = nil
			}
			d.readRevisions[number] = s.store.revisions[number]
			shards = append(shards, shard)
		}
		d.tracker.MergeRecord(s.now, readAt, shards, false)
		done()
	}, func() {
		s.after(time.Second, func() {
			if d.incarnation == incarnation && !d.tracker.historyComplete(s.now) {
				s.readRecord(d, func() {})
			}
		})
		done()
	})
}

// callStore makes a call of a daemon to the store, which fails while the store is away.
func (s *simulation) callStore(d *simulatedDaemon, answered, failed func()) {
	incarnation := d.incarnation
	s.store.calls++
	s.after(storeDelay, func() {
		switch {
		case d.incarnation != incarnation || !d.up:
		case s.store.away || d.isolated || d.side != 0:
			failed()
		default:
			answered()
		}
	})
}

// keepRecord sends the new streams of a daemon to the owners of their shards.
func (s *simulation) keepRecord(d *simulatedDaemon) {
	for _, update := range d.recorder.Outgoing(s.now) {
		s.send(d, update.Daemon, func(other *simulatedDaemon) {
			other.recorder.Accept(s.now, update.Streams)
			s.keepShards(other)
		})
	}
	s.keepShards(d)
}

// keepShards makes the calls for the durable record that are due at a daemon, as long as there are any.
func (s *simulation) keepShards(d *simulatedDaemon) {
	for number := range ShardCount {
		step, due := d.recorder.NextStep(s.now, number)
		if !due {
			s.keepShardsLater(d, number)
			continue
		}
		s.callStore(d, func() {
			if step.Write == nil {
				var stored *Shard
				if shard, found := s.store.shards[number]; found {
					stored = &shard
				}
				d.recorder.Loaded(s.now, number, stored, history.At(1, s.store.revisions[number]))
			} else if revision, conflict := s.store.write(number, step.Write, step.Place.Revision); conflict {
				d.recorder.Failed(s.now, number, true)
			} else {
				d.recorder.Written(s.now, number, history.At(1, revision))
			}
			s.keepShards(d)
		}, func() { d.recorder.Failed(s.now, number, false) })
	}
}

// keepShardsLater has a daemon look again when a call may be due for a shard.
func (s *simulation) keepShardsLater(d *simulatedDaemon, number int) {
	wait := d.recorder.Wait(s.now, number, 100*time.Millisecond)
	if wait == 100*time.Millisecond || s.now.Add(wait).Before(d.keepAt) {
		return
	}
	incarnation := d.incarnation
	d.keepAt = s.now.Add(wait + time.Millisecond)
	s.after(wait+time.Millisecond, func() {
		if d.incarnation == incarnation {
			s.keepShards(d)
		}
	})
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
		if other != d && alive && (s.connected(d, other) || s.now.Sub(d.lastFault) < failureDetectionDelay) {
			others = append(others, Daemon{other.name, other.zone})
		}
	}
	if !slices.Equal(others, d.others) {
		d.others = others
		d.tracker.SetDaemons(others)
		d.recorder.SetDaemons(others)
	}
	if d.reachesStore() {
		versions := s.versions
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, func() {
			if d.incarnation == incarnation && d.reachesStore() {
				d.present = versions
			}
		})
	}
	s.markReceiving(d)
	s.sendUpdates(d, d.tracker.Observe(s.now, "svc", d.present, false))
	s.keepRecord(d)
	s.after(100*time.Millisecond, func() { s.refresh(d, incarnation) })
}

// send delivers a message, unless the receiver is down or either side is isolated at delivery time.
func (s *simulation) send(from *simulatedDaemon, to string, deliver func(*simulatedDaemon)) {
	s.messages++
	s.after(messageDelay, func() {
		for _, d := range s.daemons {
			if d.name == to && d.up && s.connected(d, from) {
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
	s.keepRecord(d)
	duration := time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	interrupted := s.random.IntN(10) == 0
	s.after(duration, func() {
		if interrupted || d.incarnation != incarnation || !d.up {
			s.after(time.Duration(10+s.random.IntN(200))*time.Millisecond, func() { s.resume(id, software, s.clientRetries) })
		}
	})
}

// beginStreams starts streams at a fixed interval until most daemons are killed.
func (s *simulation) beginStreams(interval time.Duration) {
	if s.killedAll {
		return
	}
	s.beginStream()
	s.after(interval, func() { s.beginStreams(interval) })
}

// resume makes a client resume a stream at a random running daemon, and try again as often as retries says.
func (s *simulation) resume(id, wantSoftware string, retries int) {
	if s.killedAll && slices.Contains(s.versions, wantSoftware) && !s.outlasting[id] {
		s.outlasting[id] = false
	}
	d := s.daemons[s.random.IntN(len(s.daemons))]
	if !d.up {
		s.after(10*time.Millisecond, func() { s.resume(id, wantSoftware, retries) })
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
		confirmed := false
		decide := func() {
			if found, known := d.tracker.Find(s.now, id); known {
				s.continueStream(d, id, wantSoftware, found.Software)
				return
			}
			if software, known := d.tracker.Decide(s.now, "svc", answers, confirmed); known {
				s.continueStream(d, id, wantSoftware, software)
				return
			}
			s.countAttempt(d, wantSoftware, false)
			if retries > 0 {
				s.after(clientRetryDelay, func() { s.resume(id, wantSoftware, retries-1) })
			}
		}
		s.confirmVersions(d, func(answered bool) {
			confirmed = answered
			if d.tracker.NeedsRecord(s.now, "svc", answers) && s.now.Sub(d.recordAskedAt) >= time.Second {
				s.readRecord(d, decide)
				return
			}
			decide()
		})
	})
}

func (s *simulation) continueStream(d *simulatedDaemon, id, wantSoftware, software string) {
	if software != wantSoftware {
		s.mixedVersions++
	}
	if _, counts := s.outlasting[id]; counts {
		s.outlasting[id] = true
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
	if !serves {
		return
	}
	s.attempts++
	if resumed {
		s.allWent++
	}
	if d.isolated || d.side != 0 || s.now.Sub(d.lastFault) < contactWindow {
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
			d.isolated, d.lastFault, d.cutAt = true, s.now, s.now
			s.after(duration, func() { d.isolated, d.lastFault = false, s.now })
		default:
			d.up, d.stoppedAt = false, s.now
			s.after(restartDelay, func() {
				s.start(d, false)
				s.refresh(d, d.incarnation)
			})
		}
	}
}

// runScenario begins streams at a fixed interval and injects faults and software changes meanwhile.
func (s *simulation) runScenario(duration, interval time.Duration) {
	s.beginStreams(interval)
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

// killAll kills all daemons but some, after which no more streams begin.
func (s *simulation) killAll(survivors int) {
	s.killedAll = true
	s.injectFaults(len(s.daemons)-survivors, false, 0)
}

// massKill is a kill of all or most daemons while a service has two versions, or just after one of them has left.
type massKill struct {
	name string
	// after are the versions that are present after v1 and v2, from a moment before the kill on.
	after     []string
	survivors int
	// awayFor is for how long after the kill the store is away.
	awayFor time.Duration
}

func massKills() []massKill {
	return []massKill{
		{"both versions serve", []string{"v1", "v2"}, 0, 0},
		{"the first version has left", []string{"v2"}, 0, 0},
		{"one daemon survives", []string{"v1", "v2"}, 1, 0},
		{"one daemon survives, and the first version has left", []string{"v2"}, 1, 0},
		{"the store is away, and the first version has left", []string{"v2"}, 0, 3 * time.Second},
		{"the store is away, and one daemon survives", []string{"v2"}, 1, 3 * time.Second},
	}
}

// checkMassKill checks that no stream mixes two versions, and that half of the streams whose version serves are resumed.
func checkMassKill(t *testing.T, kill massKill, count int) {
	t.Helper()
	const killAt = 12 * time.Second
	s := newSimulation(count, 1)
	s.clientRetries = 12
	s.beginStreams(200 * time.Millisecond / time.Duration(count))
	s.after(3*time.Second, func() { s.versions = []string{"v1", "v2"} })
	s.after(killAt-400*time.Millisecond, func() { s.versions = kill.after })
	s.after(killAt-100*time.Millisecond, func() { s.store.away = kill.awayFor > 0 })
	s.after(killAt, func() { s.killAll(kill.survivors) })
	s.after(killAt+kill.awayFor, func() { s.store.away = false })
	s.run(2 * killAt)
	resumed := 0
	for _, wentOn := range s.outlasting {
		if wentOn {
			resumed++
		}
	}
	t.Logf("%s: %d daemons: %d of %d streams resumed, %d with mixed versions; store: %d calls, %d bytes of streams written",
		kill.name, count, resumed, len(s.outlasting), s.mixedVersions, s.store.calls, s.store.bytes)
	if s.mixedVersions > 0 || len(s.outlasting) < 12 || 2*resumed < len(s.outlasting) {
		t.Errorf("%s: %d daemons: %d of %d streams resumed, %d with mixed versions", kill.name, count, resumed, len(s.outlasting), s.mixedVersions)
	}
}

// TestStreamsOutlastTheirDaemons guards against streams that mix two software versions after all or most daemons were
// killed at once, and against refusing to resume streams whose version still serves.
func TestStreamsOutlastTheirDaemons(t *testing.T) {
	for _, kill := range massKills() {
		checkMassKill(t, kill, 9)
		checkMassKill(t, kill, 71)
	}
}

// TestStreamsOutlastALargeFleet guards against the same in a large fleet.
func TestStreamsOutlastALargeFleet(t *testing.T) {
	if !largeFleets {
		t.Skip("takes minutes with the race detector")
	}
	for _, kill := range massKills() {
		checkMassKill(t, kill, 295)
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
