package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
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
}

// refusalMemory is how long a back end that turned a request away, or could not
// be reached, is used only if nothing else is left. It bridges the time until
// the group knows that the back end is down.
const refusalMemory = 2 * time.Second

// Refused notes that the back end turned a request away or was not reached.
func (l *Load) Refused(now time.Time) { l.refusedAt.Store(now.UnixNano()) }

// RefusedLately reports whether that was a short while ago.
func (l *Load) RefusedLately(now time.Time) bool {
	return now.UnixNano()-l.refusedAt.Load() < int64(refusalMemory)
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
