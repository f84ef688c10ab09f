// Package objectstore is a stand-in for the platform: an object API with
// versions, conditional updates, watches, rate limits, outages and lost
// answers, and a machine list that lags.
//
// Core is the state without I/O or clock, for virtual time; Server serves it
// over HTTP in the wire form that package platform describes.
package objectstore

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
)

// Settings of a store.
type Settings struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MachineLag is how late the machine list shows a change.
	MachineLag time.Duration
	// MaxValueBytes bounds a value.
	MaxValueBytes int
}

// DefaultSettings are the rates of the brief.
func DefaultSettings() Settings {
	return Settings{WritesPerSecond: 100, ReadsPerSecond: 2000, MachineLag: 2 * time.Second, MaxValueBytes: 1 << 20}
}

// Status is the result of a call.
type Status int

// Results of calls.
const (
	OK Status = iota
	Conflict
	Limited
	Down
	TooLarge
)

// Counts are totals of calls.
type Counts struct {
	Reads, Writes, Refused uint64
}

// Core is the state. It is not safe for concurrent use.
type Core struct {
	settings Settings
	version  uint64
	objects  map[api.Key]api.Object
	order    []api.Key
	reads    bucket
	writes   bucket
	down     bool
	pending  []pendingMachine
	Counts   Counts
}

type pendingMachine struct {
	at     time.Time
	object api.Object
}

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time, rate float64) bool {
	if b.at.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewCore returns an empty store.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, objects: map[api.Key]api.Object{}}
}

// SetDown begins or ends an outage.
func (c *Core) SetDown(down bool) { c.down = down }

// IsDown reports whether there is an outage.
func (c *Core) IsDown() bool { return c.down }

func (c *Core) admit(now time.Time, b *bucket, rate float64) Status {
	if c.down {
		c.Counts.Refused++
		return Down
	}
	if !b.take(now, rate) {
		c.Counts.Refused++
		return Limited
	}
	return OK
}

// Get returns an object; version zero if it was never written.
func (c *Core) Get(now time.Time, key api.Key) (api.Object, Status) {
	c.advance(now)
	if status := c.admit(now, &c.reads, c.settings.ReadsPerSecond); status != OK {
		return api.Object{}, status
	}
	c.Counts.Reads++
	object := c.objects[key]
	object.Key = key
	return object, OK
}

// Put updates an object if its version is ifVersion.
func (c *Core) Put(now time.Time, object api.Object, ifVersion uint64) (api.Object, Status) {
	c.advance(now)
	if len(object.Value) > c.settings.MaxValueBytes {
		return api.Object{}, TooLarge
	}
	if status := c.admit(now, &c.writes, c.settings.WritesPerSecond); status != OK {
		return api.Object{}, status
	}
	c.Counts.Writes++
	current := c.objects[object.Key]
	if current.Version != ifVersion {
		current.Key = object.Key
		return current, Conflict
	}
	return c.store(object), OK
}

func (c *Core) store(object api.Object) api.Object {
	c.version++
	object.Version = c.version
	if c.objects[object.Key].Version != 0 {
		index := slices.Index(c.order, object.Key)
		c.order = slices.Delete(c.order, index, index+1)
	}
	c.order = append(c.order, object.Key)
	c.objects[object.Key] = object
	return object
}

// SetMachine changes the machine list, which shows it after the lag.
func (c *Core) SetMachine(now time.Time, machine api.Machine) {
	c.schedule(now, api.Object{
		Key: api.Key{Kind: api.KindMachine, Name: machine.Name}, Writer: "platform", Value: api.Encode(machine),
	})
}

// RemoveMachine takes a machine off the list after the lag.
func (c *Core) RemoveMachine(now time.Time, name string) {
	c.schedule(now, api.Object{Key: api.Key{Kind: api.KindMachine, Name: name}, Writer: "platform", Deleted: true})
}

func (c *Core) schedule(now time.Time, object api.Object) {
	c.pending = append(c.pending, pendingMachine{now.Add(c.settings.MachineLag), object})
}

// advance shows the changes of the machine list that are due.
func (c *Core) advance(now time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(now) {
		c.store(c.pending[0].object)
		c.pending = c.pending[1:]
	}
}

// Admit counts a watch as a call and returns whether it may wait.
func (c *Core) Admit(now time.Time) Status {
	c.advance(now)
	status := c.admit(now, &c.reads, c.settings.ReadsPerSecond)
	if status == OK {
		c.Counts.Reads++
	}
	return status
}

// Changes returns the objects of some kinds with versions after one, oldest
// first, and the version that the answer is complete through: that of the
// newest object of these kinds.
func (c *Core) Changes(now time.Time, since uint64, kinds []api.Kind) ([]api.Object, uint64) {
	c.advance(now)
	through := since
	var changed []api.Object
	for _, key := range c.order {
		object := c.objects[key]
		if object.Version > since && slices.Contains(kinds, object.Kind) {
			changed = append(changed, object)
			through = max(through, object.Version)
		}
	}
	return changed, through
}

// Version returns the newest version.
func (c *Core) Version() uint64 { return c.version }

// Peek returns an object without counting a call, for checks.
func (c *Core) Peek(key api.Key) api.Object { return c.objects[key] }
