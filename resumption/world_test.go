package resumption

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	worldZones = 3
	// delay is how long a message between daemons takes, answerLimit how long answers are waited for.
	delay       = 2 * time.Millisecond
	answerLimit = 200 * time.Millisecond
	// contact is how long a daemon must have been sound to count as in touch.
	contact = 3 * time.Second
	// downTime is how long a killed daemon is away, deadAfter how long the others take to notice.
	downTime  = time.Second
	deadAfter = 2 * time.Second
	worldSpan = 60 * time.Second
)

// worldDaemon is one daemon with what it believes.
type worldDaemon struct {
	name    string
	zone    string
	keeper  *Keeper
	life    int
	up      bool
	cut     bool
	struck  time.Time
	backAt  time.Time
	downAt  time.Time
	present []string
}

// event is something that happens at a moment.
type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].number < e[b].number
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a fleet in virtual time: streams begin, break off and are taken up, while daemons are killed and cut off and the
// software of the servers is replaced.
type world struct {
	now     time.Time
	queue   events
	number  int
	random  *rand.Rand
	daemons []*worldDaemon
	// versions are the servers' now.
	versions []string

	streams, takeUps, mixes, wentOn, messages int
}

func newWorld(count int, seed uint64) *world {
	w := &world{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), versions: []string{"v1"}}
	for number := range count {
		d := &worldDaemon{name: fmt.Sprint("d", number), zone: fmt.Sprint("z", number%worldZones)}
		w.daemons = append(w.daemons, d)
		w.revive(d)
	}
	for _, d := range w.daemons {
		w.tick(d, d.life)
	}
	return w
}

func (w *world) after(span time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, event{w.now.Add(span), w.number, run})
}

func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); len(w.queue) > 0 && w.queue[0].at.Before(end); {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
}

// revive starts a daemon, which knows nothing.
func (w *world) revive(d *worldDaemon) {
	d.keeper, d.up, d.struck, d.backAt = NewKeeper(), true, w.now, w.now
	d.keeper.SetSpan(worldSpan)
	d.present = w.versions
	d.life++
}

// tick has a daemon look around each 100 ms. It hears of new versions a little later than others, if it is not cut off.
func (w *world) tick(d *worldDaemon, life int) {
	if d.life != life {
		return
	}
	var others []Daemon
	for _, other := range w.daemons {
		alive := other.up || w.now.Sub(other.downAt) < deadAfter
		if other != d && alive && (!d.cut && !other.cut || w.now.Sub(d.struck) < deadAfter) {
			others = append(others, Daemon{other.name, other.zone})
		}
	}
	d.keeper.SetDaemons(others)
	if !d.cut {
		d.keeper.SetFresh(w.now)
		versions := w.versions
		w.after(time.Duration(w.random.IntN(300))*time.Millisecond, func() {
			if d.life == life && !d.cut {
				d.present = versions
			}
		})
	}
	w.tell(d, d.keeper.Observe(w.now, "svc", d.present))
	w.after(100*time.Millisecond, func() { w.tick(d, life) })
}

// send hands a message on, unless its receiver cannot be reached then.
func (w *world) send(from *worldDaemon, to string, take func(*worldDaemon)) {
	w.messages++
	w.after(delay, func() {
		for _, d := range w.daemons {
			if d.name == to && d.up && !d.cut && !from.cut {
				take(d)
			}
		}
	})
}

func (w *world) tell(from *worldDaemon, tells []Tell) {
	for _, told := range tells {
		w.send(from, told.Daemon, func(d *worldDaemon) { d.keeper.Take(w.now, told.Streams) })
	}
}

// begin starts a stream at a daemon, which may break off.
func (w *world) begin() {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	if !d.up || len(d.present) == 0 {
		return
	}
	w.streams++
	id, software, life := fmt.Sprint("s", w.streams), d.present[w.random.IntN(len(d.present))], d.life
	w.tell(d, d.keeper.Began(w.now, Stream{ID: id, Service: "svc", Software: software, Left: worldSpan / 2}))
	span := time.Duration(200+w.random.IntN(3000)) * time.Millisecond
	breaks := w.random.IntN(10) == 0
	w.after(span, func() {
		if breaks || d.life != life || !d.up {
			w.after(time.Duration(10+w.random.IntN(200))*time.Millisecond, func() { w.takeUp(id, software) })
		}
	})
}

// takeUp has a client take a stream up at any daemon that runs.
func (w *world) takeUp(id, began string) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	if !d.up {
		w.after(10*time.Millisecond, func() { w.takeUp(id, began) })
		return
	}
	if found, known := d.keeper.Find(w.now, id); known {
		w.goOn(d, id, began, found.Software)
		return
	}
	var answers []*Answer
	names := d.keeper.Asked(id)
	for _, name := range names {
		w.send(d, name, func(other *worldDaemon) {
			answer := other.keeper.Answer(w.now, &Question{Stream: id, Service: "svc"})
			w.send(other, d.name, func(*worldDaemon) { answers = append(answers, answer) })
		})
	}
	life := d.life
	w.after(answerLimit, func() {
		if d.life != life || !d.up {
			return
		}
		for _, answer := range answers {
			if answer.Known {
				w.goOn(d, id, began, answer.Began.Software)
				return
			}
		}
		if software, known := d.keeper.Decide(w.now, "svc", true, answers); known {
			w.goOn(d, id, began, software)
			return
		}
		w.count(d, began, false)
	})
}

func (w *world) goOn(d *worldDaemon, id, began, software string) {
	if software != began {
		w.mixes++
	}
	w.tell(d, d.keeper.Began(w.now, Stream{ID: id, Service: "svc", Software: software, Left: worldSpan / 2}))
	w.count(d, began, true)
}

// count counts the streams that are taken up at daemons in touch while their version serves.
func (w *world) count(d *worldDaemon, began string, wentOn bool) {
	serves := false
	for _, version := range w.versions {
		serves = serves || version == began
	}
	if !serves || d.cut || w.now.Sub(d.struck) < contact {
		return
	}
	w.takeUps++
	if wentOn {
		w.wentOn++
	}
}

// strike kills daemons, which come back, or cuts them off from all others for a while; clients still reach those.
func (w *world) strike(count int, cut bool, span time.Duration) {
	for _, place := range w.random.Perm(len(w.daemons))[:count] {
		d := w.daemons[place]
		switch {
		case !d.up:
		case cut:
			d.cut, d.struck = true, w.now
			w.after(span, func() { d.cut, d.struck = false, w.now })
		default:
			d.up, d.downAt = false, w.now
			w.after(downTime, func() {
				w.revive(d)
				w.tick(d, d.life)
			})
		}
	}
}

// play begins streams for a while and has troubles come meanwhile.
func (w *world) play(span, each time.Duration) {
	var next func()
	next = func() {
		w.begin()
		w.after(each, next)
	}
	w.after(0, next)
	count := len(w.daemons)
	half, third := count/2, count/3
	w.after(4*time.Second, func() { w.versions = []string{"v1", "v2"} })
	w.after(4300*time.Millisecond, func() { w.strike(third, false, 0) })
	w.after(8*time.Second, func() { w.strike(half, false, 0) })
	w.after(12*time.Second, func() { w.strike(third, true, 4*time.Second) })
	w.after(13*time.Second, func() { w.versions = []string{"v1", "v2", "v3"} })
	w.after(14*time.Second, func() { w.strike(third, false, 0) })
	w.after(20*time.Second, func() { w.versions = []string{"v2", "v3"} })
	w.after(21*time.Second, func() { w.strike(half, true, 3*time.Second) })
	w.after(26*time.Second, func() { w.versions = []string{"v3"} })
	w.after(27*time.Second, func() { w.strike(half, false, 0) })
	w.run(span)
}

// TestStreamsKeepToTheirVersionAtSize guards against streams of two software versions while servers are replaced and daemons
// are killed, come back or are cut off, and against take-ups that are refused although their version serves.
func TestStreamsKeepToTheirVersionAtSize(t *testing.T) {
	for count, seeds := range map[int]uint64{9: 4, 71: 2, 295: 1} {
		for seed := range seeds {
			w := newWorld(count, seed)
			w.play(32*time.Second, 200*time.Millisecond/time.Duration(count))
			t.Logf("%d daemons, seed %d: %d streams, %d of %d went on, %d mixes, %.2f messages a stream",
				count, seed, w.streams, w.wentOn, w.takeUps, w.mixes, float64(w.messages)/float64(w.streams))
			if w.mixes > 0 || w.takeUps < 12 || 2*w.wentOn < w.takeUps {
				t.Errorf("%d daemons, seed %d: %d of %d take-ups went on, %d mixes", count, seed, w.wentOn, w.takeUps, w.mixes)
			}
		}
	}
}

// TestOneVersionCostsNoMessages guards against messages about streams while nobody needs them.
func TestOneVersionCostsNoMessages(t *testing.T) {
	w := newWorld(9, 1)
	for range 1000 {
		w.begin()
	}
	if w.messages > 0 || w.streams < 1000 {
		t.Errorf("%d messages for %d streams", w.messages, w.streams)
	}
}
