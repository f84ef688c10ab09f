package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/outcome"
)

// Load tracks the load of one back end: the requests of this daemon in progress
// there, and the latest report. Tables share it by pointer; it is updated in place
// and persists until the daemon stops.
type Load struct {
	// ID is a small number for the back end, for use in a PrefixIndex.
	ID       uint32
	inFlight atomic.Int64
	// remoteInFlight is the number of requests of other daemons, from the latest report.
	remoteInFlight atomic.Int64
	reportedAt     atomic.Int64
	slots          atomic.Int64
	refusedAt      atomic.Int64
	// unreachableAt is the time of the last attempt if it got no head of an answer; otherwise zero.
	unreachableAt atomic.Int64
}

// failureTTL is how long a back end that refused a request, or was unreachable,
// is used only as a last resort. It covers the time until the group of daemons
// detects that the back end is down.
const failureTTL = 2 * time.Second

// RecordResult records the result of an attempt at the back end. A back end that sent
// no head of an answer ranks below one that refused the request: the latter responds
// and may accept other requests.
func (l *Load) RecordResult(now time.Time, result outcome.Result) {
	switch {
	case result.Reason == outcome.ReasonRefused:
		l.RecordRefusal(now)
		l.unreachableAt.Store(0)
	case result.Reason == outcome.ReasonCallerGone:
	case result.Kind == outcome.Answered || result.Status != 0:
		l.unreachableAt.Store(0)
	case result.Reason == outcome.ReasonConnect || result.Reason == outcome.ReasonBroken || result.Reason == outcome.ReasonMalformed:
		l.unreachableAt.Store(now.UnixNano())
	}
}

// RecordRefusal records that the back end refused a request.
func (l *Load) RecordRefusal(now time.Time) { l.refusedAt.Store(now.UnixNano()) }

// attemptStatus is the status of a back end according to this daemon's recent
// attempts; a higher value is better.
type attemptStatus int

const (
	// unreachable means that the last attempt, within failureTTL, got no head of an answer.
	unreachable attemptStatus = iota
	// refused means that the back end refused a request within failureTTL.
	refused
	healthy
)

func (l *Load) attemptStatus(now time.Time) attemptStatus {
	switch {
	case isRecent(now, &l.unreachableAt):
		return unreachable
	case isRecent(now, &l.refusedAt):
		return refused
	default:
		return healthy
	}
}

func isRecent(now time.Time, at *atomic.Int64) bool {
	return now.UnixNano()-at.Load() < int64(failureTTL)
}

// SetReport records a load report: the requests at the back end and its batch
// slots. The requests of this daemon are subtracted, so that they are not counted
// twice.
func (l *Load) SetReport(requests, slots int, at time.Time) {
	l.remoteInFlight.Store(max(int64(requests)-l.inFlight.Load(), 0))
	l.reportedAt.Store(at.UnixNano())
	l.slots.Store(int64(slots))
}

// Slots returns the number of batch slots of the back end.
func (l *Load) Slots() int {
	if slots := l.slots.Load(); slots > 0 {
		return int(slots)
	}
	return defaultSlots
}

// defaultSlots is assumed for a back end that has not reported.
const defaultSlots = 16

// ExpectedRequests returns the expected number of requests at the back end: those of this
// daemon, plus those of other daemons with exponential decay by the half-life.
func (l *Load) ExpectedRequests(now time.Time, halfLife time.Duration) float64 {
	own := float64(l.inFlight.Load())
	remoteInFlight := l.remoteInFlight.Load()
	if remoteInFlight == 0 {
		return own
	}
	age := now.UnixNano() - l.reportedAt.Load()
	return own + float64(remoteInFlight)*math.Exp2(-float64(age)/float64(halfLife))
}

// Begin counts a request that was sent to the back end.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts a request that the back end has finished.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of this daemon's requests in progress.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// Loads is a registry of the Load of each back end.
type Loads struct {
	mutex  sync.Mutex
	byName map[string]*Load
}

// NewLoads returns an empty registry.
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
