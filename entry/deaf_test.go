//go:build !race

// Fleets of daemons in one synctest bubble crash the race detector itself (a failed check or a
// segmentation fault within its runtime), so these tests are built without it; CI runs them apart.
// Daemons that follow a store run with the detector in the tests of whole daemons.

package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/balance"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
	"github.com/wheatweir/wheatweir/lease"
	"github.com/wheatweir/wheatweir/member"
)

const (
	// answerTime is what the store takes for an answer, and messageTime what a message
	// between daemons takes.
	answerTime  = 10 * time.Millisecond
	messageTime = 2 * time.Millisecond
	// listLimit is the limit of a list at the store's client.
	listLimit = 700 * time.Millisecond
)

// deafStore holds one configuration and one instance that change together. Calls that are
// under way when it strikes are never answered, nor are any of the callers that it ignores.
type deafStore struct {
	mutex sync.Mutex
	at    history.Place
	// content rises with each change that is written, and goes back only when the store comes back from
	// a copy.
	content uint64
	ignored map[string]bool
	changed chan struct{}
	struck  chan struct{}
	calls   atomic.Int64
}

func newDeafStore() *deafStore {
	return &deafStore{at: history.At(1, 1), content: 1, changed: make(chan struct{}), struck: make(chan struct{})}
}

// change writes the next content, and returns it.
func (s *deafStore) change() uint64 {
	s.mutex.Lock()
	next := s.content + 1
	s.mutex.Unlock()
	return s.write(next)
}

// write writes a content and returns it.
func (s *deafStore) write(content uint64) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at.Revision++
	s.content = content
	close(s.changed)
	s.changed = make(chan struct{})
	return content
}

// restore makes the store lose its last changes.
func (s *deafStore) restore(changes uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = history.At(s.at.Era+1, s.at.Revision-changes)
	s.content -= changes
}

// strike makes all connections that calls are waiting on silent for good.
func (s *deafStore) strike() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.struck)
	s.struck = make(chan struct{})
}

// ignore makes the store silent to some callers, whose calls under way are lost too.
func (s *deafStore) ignore(names map[string]bool) {
	s.mutex.Lock()
	s.ignored = names
	s.mutex.Unlock()
	s.strike()
}

func (s *deafStore) ignores(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ignored[name]
}

// deafAnswer is what the store says.
type deafAnswer struct {
	at      history.Place
	content uint64
}

func (s *deafStore) look() (seen deafAnswer, changed, struck chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return deafAnswer{s.at, s.content}, s.changed, s.struck
}

// wait returns what the store says once its revision is above a number or the time is up.
func (s *deafStore) wait(ctx context.Context, caller string, since uint64, wait time.Duration) (deafAnswer, error) {
	s.calls.Add(1)
	if s.ignores(caller) {
		<-ctx.Done()
		return deafAnswer{}, feed.ErrUnavailable.New("ignored")
	}
	_, _, struck := s.look()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		seen, changed, _ := s.look()
		switch {
		case seen.at.Revision > since:
			return s.answer(ctx, struck)
		case seen.at.Revision < since:
			return deafAnswer{}, feed.ErrHistoryGone.New("the store does not have this revision")
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.answer(ctx, struck)
		case <-struck:
			<-ctx.Done()
			return deafAnswer{}, feed.ErrUnavailable.New("silent")
		case <-ctx.Done():
			return deafAnswer{}, feed.ErrUnavailable.Wrap(ctx.Err())
		}
	}
}

func (s *deafStore) answer(ctx context.Context, struck chan struct{}) (deafAnswer, error) {
	seen, _, _ := s.look()
	select {
	case <-time.After(answerTime):
		return seen, nil
	case <-struck:
		<-ctx.Done()
		return deafAnswer{}, feed.ErrUnavailable.New("silent")
	case <-ctx.Done():
		return deafAnswer{}, feed.ErrUnavailable.Wrap(ctx.Err())
	}
}

// deafSource is one collection of a deafStore, with one item.
type deafSource[T any] struct {
	store  *deafStore
	caller string
	item   func(content uint64) T
}

func (s *deafSource[T]) batch(seen deafAnswer, err error) (feed.Batch[T], error) {
	if err != nil {
		return feed.Batch[T]{}, err
	}
	return feed.Batch[T]{At: seen.at, Items: []feed.Item[T]{{Name: "main", Place: seen.at, Value: s.item(seen.content)}}}, nil
}

func (s *deafSource[T]) ListPage(ctx context.Context, _ string, _ feed.Freshness) (feed.Page[T], error) {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	listed, err := s.batch(s.store.wait(ctx, s.caller, 0, 0))
	return feed.Page[T]{Batch: listed}, err
}

func (s *deafSource[T]) Watch(ctx context.Context, since history.Place, wait, patience time.Duration) (feed.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	seen, err := s.store.wait(ctx, s.caller, since.Revision, wait)
	if context.Cause(ctx) == context.DeadlineExceeded {
		err = feed.ErrTimeout.Wrap(err)
	}
	if err == nil && (seen.at.Era != since.Era || seen.at.Revision <= since.Revision) {
		return feed.Batch[T]{At: seen.at}, nil
	}
	return s.batch(seen, err)
}

// deafFleet is daemons without a request path that follow a deafStore and tell each other.
type deafFleet struct {
	store   *deafStore
	daemons map[string]*Daemon
	// known is the content that all that a daemon knows is at least as new as.
	known map[string]*atomic.Uint64
	group sync.WaitGroup
}

// startDeafFleet starts daemons, in a bubble of virtual time.
func startDeafFleet(ctx context.Context, count int, limit time.Duration) *deafFleet {
	f := &deafFleet{store: newDeafStore(), daemons: map[string]*Daemon{}, known: map[string]*atomic.Uint64{}}
	for i := range count {
		name := fmt.Sprint("n", i)
		settings := DefaultSettings()
		settings.WatchWait = limit
		d := &Daemon{
			ctx: ctx, log: newLogBook("error", name, io.Discard), work: newWorkRings(), following: newFollowState(),
		}
		d.settings.Store(&settings)
		self := member.Member{Name: name, Zone: fmt.Sprint("z", i%3), PeerAddress: name, CallerAddress: name, Incarnation: 1}
		d.node = coordination.New(time.Now(), self, coordination.DefaultSettings(settings.LeaseTerm), []string{"n0"}, rand.New(rand.NewPCG(uint64(i), 7)))
		f.daemons[name], f.known[name] = d, &atomic.Uint64{}
	}
	for name, d := range f.daemons {
		f.start(name, d)
	}
	return f
}

func (f *deafFleet) start(name string, d *Daemon) {
	configurations := &deafSource[*fleet.Configuration]{f.store, name, func(content uint64) *fleet.Configuration {
		return &fleet.Configuration{Version: content}
	}}
	instances := &deafSource[*fleet.Instance]{f.store, name, func(content uint64) *fleet.Instance {
		return &fleet.Instance{ID: "main", Service: "s", Slots: int(content)}
	}}
	f.group.Go(func() { f.control(name, d) })
	f.group.Go(func() {
		follow[*fleet.Configuration](d, coordination.SourceConfiguration, configurations, 0, d.configurationsLearned, deafConfigurations)
	})
	f.group.Go(func() {
		follow[*fleet.Instance](d, coordination.SourceInstances, instances, gatherInstances, (*coordination.Node).InstancesListed, (*coordination.Node).InstancesChanged)
	})
}

func deafConfigurations(node *coordination.Node, _ time.Time, batch feed.Batch[*fleet.Configuration]) []coordination.Action {
	var actions []coordination.Action
	for _, item := range batch.Items {
		actions = append(actions, node.ConfigurationReceived(item.Value)...)
	}
	return actions
}

// control is the control duty without a request path.
func (f *deafFleet) control(name string, d *Daemon) {
	ticker := time.NewTicker(coordination.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			f.perform(d, d.node.UpdateOwnLoad(now, map[string]balance.Load{}, nil, coordination.UrgencyNone))
			f.perform(d, d.node.Tick(now))
			d.publishWatching(now)
		case happened := <-d.work.events.Items():
			f.perform(d, happened(d.node, time.Now()))
		}
		view, _ := d.node.TakeView()
		if instance := view.Instance("main"); instance != nil && view.Configuration() != nil {
			f.known[name].Store(min(view.Configuration().Version, uint64(instance.Slots)))
		}
	}
}

func (f *deafFleet) perform(d *Daemon, actions []coordination.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case coordination.SendPeer:
			f.send(action.Address, action.Message)
		case coordination.Broadcast:
			for _, address := range action.Addresses {
				f.send(address, action.Message)
			}
		case coordination.CallLease:
			d.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action {
				return node.LeaseAnswered(now, lease.OutcomeFailed, lease.Stored{})
			})
		case coordination.Refresh:
			d.perform([]coordination.Action{action})
		}
	}
}

func (f *deafFleet) send(address string, message coordination.Message) {
	receiver := f.daemons[address]
	time.AfterFunc(messageTime, func() {
		receiver.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action { return node.Receive(now, message) })
	})
}

// behind counts the daemons that do not know a content.
func (f *deafFleet) behind(content uint64) int {
	count := 0
	for _, known := range f.known {
		if known.Load() < content {
			count++
		}
	}
	return count
}

// inDeafFleet runs a body in virtual time once daemons have started and know each other.
func inDeafFleet(t *testing.T, count int, limit time.Duration, body func(f *deafFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := startDeafFleet(ctx, count, limit)
		time.Sleep(10 * time.Second)
		body(f)
		cancel()
		f.group.Wait()
		time.Sleep(time.Second)
	})
}

// watching names the daemons that watch the store.
func (f *deafFleet) watching() map[string]bool {
	names := map[string]bool{}
	for name, d := range f.daemons {
		if d.following.watching.Load() {
			names[name] = true
		}
	}
	return names
}

// took changes what the store holds and returns how long it takes until all know it.
func (f *deafFleet) took(limit time.Duration) time.Duration {
	content, changed := f.store.change(), time.Now()
	for f.behind(content) > 0 && time.Since(changed) < 3*limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(changed)
}

// deafCase is a fleet whose watches of the store all go deaf at one moment.
type deafCase struct {
	name    string
	daemons int
	limit   time.Duration
	strike  func(f *deafFleet)
}

func silence(f *deafFleet) { f.store.strike() }

func ignore(f *deafFleet) { f.store.ignore(f.watching()) }

// TestChangesAreKnownInTimeWhenAllWatchesGoDeaf covers watches that all go deaf at one
// moment without a word: their connections are silent for good while new ones work, or the
// store ignores the daemons that watch it, on new connections too, and serves the others.
// What it takes afterwards is known to all daemons within the limit.
func TestChangesAreKnownInTimeWhenAllWatchesGoDeaf(t *testing.T) {
	testDeafFleets(t, []deafCase{
		{"silent connections, alone", 1, 2 * time.Second, silence},
		{"silent connections", 8, 2 * time.Second, silence},
		{"ignored", 8, 2 * time.Second, ignore},
	})
}

func testDeafFleets(t *testing.T, cases []deafCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inDeafFleet(t, c.daemons, c.limit, func(f *deafFleet) {
				for strike := range 5 {
					// At another moment of the watches each time, and changed sooner or later.
					time.Sleep(8*time.Second + time.Duration(strike)*137*time.Millisecond)
					c.strike(f)
					for change := range 4 {
						time.Sleep(time.Duration(change*strike) * 200 * time.Millisecond)
						if took := f.took(c.limit); took > c.limit {
							t.Errorf("strike %d, change %d: known to all after %v, %v allowed", strike, change, took, c.limit)
						}
					}
					f.store.ignore(nil)
				}
			})
		})
	}
}
