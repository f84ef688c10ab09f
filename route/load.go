package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Load is what this daemon knows of the load of one back end: its own requests
// in progress there, and the newest report. It lives as long as the daemon,
// across tables, and changes under the tables that point to it.
type Load struct {
	// ID is a small number for the back end, for use in hints.
	ID         uint32
	inFlight   atomic.Int64
	others     atomic.Int64
	reportedAt atomic.Int64
	slots      atomic.Int64
	refusedAt  atomic.Int64
	// unreachedAt is when the last attempt got no byte of an answer, or zero.
	unreachedAt atomic.Int64
}

// troubleMemory is how long a back end that turned a request away, or could not
// be reached, is used only if nothing better is left. It bridges the time until
// the group knows that the back end is down.
const troubleMemory = 2 * time.Second

// NoteResult takes in how an attempt at the back end ended. A back end of which no
// byte came is in worse standing than one that turned the request away by its own
// word: that one may still take others.
func (l *Load) NoteResult(now time.Time, result outcome.Result) {
	switch {
	case result.Reason == outcome.ReasonRefused:
		l.Refused(now)
		l.unreachedAt.Store(0)
	case result.Reason == outcome.ReasonCallerGone:
	case result.Kind == outcome.Answered || result.Status != 0:
		l.unreachedAt.Store(0)
	case result.Reason == outcome.ReasonConnect || result.Reason == outcome.ReasonBroken:
		l.unreachedAt.Store(now.UnixNano())
	}
}

// Refused notes that the back end turned a request away.
func (l *Load) Refused(now time.Time) { l.refusedAt.Store(now.UnixNano()) }

// standing says what the last attempts of this daemon showed of a back end; a
// higher one is better.
type standing int

const (
	// unreached means that the last attempt got no byte of an answer.
	unreached standing = iota
	// refused means that a request was turned away a short while ago.
	refused
	good
)

func (l *Load) standing(now time.Time) standing {
	switch {
	case lately(now, &l.unreachedAt):
		return unreached
	case lately(now, &l.refusedAt):
		return refused
	default:
		return good
	}
}

func lately(now time.Time, at *atomic.Int64) bool {
	return now.UnixNano()-at.Load() < int64(troubleMemory)
}

// SetReport takes in a report: the requests at the back end and its batch
// slots. Requests of this daemon itself are not counted twice.
func (l *Load) SetReport(requests, slots int, at time.Time) {
	l.others.Store(max(int64(requests)-l.inFlight.Load(), 0))
	l.reportedAt.Store(at.UnixNano())
	l.slots.Store(int64(slots))
}

// Slots returns the batch slots of the back end.
func (l *Load) Slots() int {
	if slots := l.slots.Load(); slots > 0 {
		return int(slots)
	}
	return defaultSlots
}

// defaultSlots is assumed for a back end that has not reported.
const defaultSlots = 16

// Expected returns the requests expected at the back end now: own ones, and
// those of others fading by half in each half-life.
func (l *Load) Expected(now time.Time, halfLife time.Duration) float64 {
	own := float64(l.inFlight.Load())
	others := l.others.Load()
	if others == 0 {
		return own
	}
	age := now.UnixNano() - l.reportedAt.Load()
	return own + float64(others)*math.Exp2(-float64(age)/float64(halfLife))
}

// Begin counts a request that was sent to the back end.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts a request that the back end has finished.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of own requests in progress.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Loads hands out the Load of each back end.
type Loads struct {
	mutex  sync.Mutex
	byName map[string]*Load
}

// NewLoads returns an empty set.
func NewLoads() *Loads { return &Loads{byName: map[string]*Load{}} }

// Get returns the load of a back end and creates it on first use.
func (l *Loads) Get(name string) *Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.byName[name]
	if load == nil {
		load = &Load{ID: uint32(len(l.byName) + 1)}
		l.byName[name] = load
	}
	return load
}
