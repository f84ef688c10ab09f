package route

import (
	"sync"
	"sync/atomic"
)

// Load counts this daemon's own requests in progress at one back end. It lives
// as long as the daemon, across tables.
type Load struct {
	// ID is a small number for the back end, for use in hints.
	ID       uint32
	inFlight atomic.Int64
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
