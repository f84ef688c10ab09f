package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/brittle"
	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/notice"
	"github.com/wheatweir/wheatweir/quota"
)

const (
	// shortestSpent and longestSpent bound how long an instance without a turn is not asked for again, for
	// requests that have another one.
	shortestSpent = 20 * time.Millisecond
	longestSpent  = 2 * time.Second
	// askersPerTurn is how many daemons may ask for each turn of an instance, about.
	askersPerTurn = 8
	// unsureSpent is the same while nobody can tell.
	unsureSpent = 250 * time.Millisecond
)

// notices gathers what servers say of themselves in their answers, tells the other daemons, and holds this one
// to it. It implements gateway.Notices and is safe for concurrent use.
type notices struct {
	daemon *Daemon
	// limits holds the fleet to what instances take from all daemons together.
	limits *limiter.Limiter
	// any says that some instance has said something that still counts.
	any atomic.Bool
	// slots counts requests at instances that fall over if they turn requests away.
	slots *slots
	// limited are the instances that name a limit.
	limited atomic.Pointer[instanceLimits]

	mutex sync.Mutex
	book  *notice.Tracker
	// spent is until when limited instances have no turn, as far as this daemon has heard.
	spent map[string]time.Time
	// cold are the instances that are cold.
	cold map[string]coldInstance
	// brittle are the services whose instances fall over if they turn requests away, and anyBrittle says that there are any.
	brittle    *brittle.Tracker
	anyBrittle atomic.Bool
}

func newNotices(d *Daemon) *notices {
	n := &notices{daemon: d, book: notice.NewTracker(), spent: map[string]time.Time{}, cold: map[string]coldInstance{}, brittle: brittle.NewTracker()}
	n.limited.Store(&instanceLimits{})
	ports := d.limiterPorts("limits", func(message *limiter.Message) coordination.Message {
		return coordination.Message{InstanceLimit: message}
	})
	ports.Subjects = func() limiter.Subjects { return n.limited.Load() }
	ports.Strict, ports.InitialDebt = true, 1
	n.limits = limiter.New(ports)
	n.slots = newSlots(n)
	return n
}

// Exclusions implements gateway.Notices.
func (n *notices) Exclusions() []gateway.Exclusion {
	if !n.any.Load() {
		return nil
	}
	now := n.daemon.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var bars []gateway.Exclusion
	for _, instance := range n.book.RecentlyLeaving(now) {
		bars = append(bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonLeaving})
	}
	for instance, until := range n.book.BackingOff(now) {
		bars = append(bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonResting, Until: until})
	}
	for instance, until := range n.spent {
		if now.Before(until) {
			bars = append(bars, gateway.Exclusion{Instance: instance, Reason: gateway.ReasonAtLimit, Until: until})
		} else {
			delete(n.spent, instance)
		}
	}
	return bars
}

// Excluded implements gateway.Notices.
func (n *notices) Excluded(instance string) bool {
	if !n.any.Load() {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.book.Leaving(instance) || n.daemon.clock.Now().Before(n.book.BackoffUntil(instance))
}

// AcquireTurn implements gateway.Notices.
func (n *notices) AcquireTurn(ctx context.Context, instance string, within time.Duration) gateway.Turn {
	limit, limited := n.limited.Load().Rate(instance)
	if !limited {
		return gateway.Turn{Granted: true}
	}
	turn := turnOf(n.limits.Take(ctx, limiter.Request{Subject: instance, Limit: limit, Cost: 1, MaxWait: within}), limit)
	if !turn.Granted {
		n.spend(instance, turn.Wait)
	}
	return turn
}

// turnOf is the turn that a limiter gave. Without one, the wait is no longer than until the next turn of the whole
// limit: a fleet that forms, or has lost some of its daemons, gives out less, but not for long.
func turnOf(outcome limiter.Outcome, limit quota.Limit) gateway.Turn {
	turn := gateway.Turn{Granted: outcome.Granted, Limited: true, Wait: outcome.Wait}
	switch {
	case outcome.Unsure:
		turn.Wait = unsureSpent
	case !outcome.Granted:
		longest := time.Duration(float64(time.Second)/limit.PerSecond) + quota.MaxTurnWait
		turn.Wait = min(outcome.Wait, longest)
	}
	return turn
}

// askAgainAt is when this daemon asks again for what there is none of for a while. The more daemons there are, the fewer
// of them should ask for the next one.
func (n *notices) askAgainAt(wait time.Duration) time.Time {
	askers := float64(n.daemon.fleet.live.Load()) / askersPerTurn
	span := time.Duration(float64(wait) * (1 + max(0, askers-1)*rand.Float64()))
	return n.daemon.clock.Now().Add(min(max(span, shortestSpent), longestSpent))
}

// spend notes that an instance has no turn for a while.
func (n *notices) spend(instance string, wait time.Duration) {
	until := n.askAgainAt(wait)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spent[instance] = until
}

// hear takes in what a server says of itself in an answer to this daemon.
func (n *notices) hear(heard fleet.ObservedNotice) {
	now := n.daemon.clock.Now()
	if unreadable := heard.Notice.Unreadable; len(unreadable) > 0 {
		n.daemon.metrics.unreadableNotices.Inc(1)
		n.log("Not understood.", "instance", heard.Instance, "fields", strings.Join(unreadable, ","))
	}
	n.hearBrittle(now, &heard)
	n.mutex.Lock()
	change := n.book.Observe(now, &heard)
	told := n.book.Snapshot(heard.Instance)
	n.noteAny()
	n.mutex.Unlock()
	if change.Empty() {
		return
	}
	n.take(now, change, "answer")
	if change.MustBroadcast() {
		n.daemon.work.events.TryPut(func(node *coordination.Node, _ time.Time) []coordination.Action {
			return node.BroadcastNotices(notice.Update{Items: []notice.Item{told}})
		})
	}
}

// learn takes in what other daemons were told.
func (n *notices) learn(update notice.Update) {
	now := n.daemon.clock.Now()
	n.mutex.Lock()
	changes := n.book.Merge(now, update)
	n.noteAny()
	n.mutex.Unlock()
	for i := range changes {
		n.take(now, changes[i], "daemon")
	}
}

// take acts on what is new of an instance, and logs it with where this daemon knows it from.
func (n *notices) take(now time.Time, change notice.Change, from string) {
	n.daemon.metrics.notices.Inc(1)
	fields := []any{"instance", change.Instance, "from", from}
	if change.Leaving {
		fields = append(fields, "leaving", true)
		n.daemon.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action {
			return node.InstanceLeaving(now, change.Instance)
		})
	}
	switch {
	case change.Limited:
		fields = append(fields, "limit_per_s", change.PerSecond)
	case change.LimitRemoved:
		fields = append(fields, "limit_per_s", "none")
	}
	if change.Limited || change.LimitRemoved {
		n.setLimit(now, change.Instance)
	}
	if !change.BackoffUntil.IsZero() {
		fields = append(fields, "rest_ms", change.BackoffUntil.Sub(now).Milliseconds())
		n.daemon.work.events.TryPut(func(node *coordination.Node, _ time.Time) []coordination.Action {
			return node.BackOffInstance(change.Instance, change.BackoffUntil)
		})
	}
	n.log("Said of itself.", fields...)
}

// setLimit has the limit of an instance, as it is known now, come into force.
func (n *notices) setLimit(now time.Time, instance string) {
	n.mutex.Lock()
	_, named := n.book.Limit(instance)
	n.applyLimit(instance)
	n.mutex.Unlock()
	n.limits.SubjectsChanged(now)
	n.daemon.work.events.TryPut(func(node *coordination.Node, now time.Time) []coordination.Action {
		return node.InstanceLimited(now, instance, named)
	})
}

func (n *notices) log(text string, fields ...any) { n.daemon.log.add("instances", text, fields...) }

// newest returns what another daemon may lack.
func (n *notices) newest(now time.Time) notice.Update {
	if !n.any.Load() {
		return notice.Update{}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.book.Recent(now)
}

// tick forgets what no longer counts and sets the gauges.
func (n *notices) tick(now time.Time, view *fleet.View) {
	n.mutex.Lock()
	n.book.Prune(now, func(id string) bool { return view.Instance(id) != nil })
	n.forgetCold(now)
	brittleBefore := n.brittle.Count()
	n.brittle.Prune(now, func(id string) bool { return view.Instance(id) != nil })
	brittleServices := n.brittle.Count()
	n.anyBrittle.Store(brittleServices > 0)
	n.noteAny()
	leaving, limited, resting := n.book.Counts(now)
	cold := len(n.cold)
	var ended []string
	for instance := range n.limited.Load().byInstance {
		if _, stays := n.limitOf(instance); !stays {
			ended = append(ended, instance)
		}
	}
	n.mutex.Unlock()
	for _, instance := range ended {
		n.setLimit(now, instance)
	}
	if brittleServices != brittleBefore {
		n.slots.SubjectsChanged(now)
	}
	n.slots.forget(now)
	n.daemon.metrics.leaving.Update(float64(leaving))
	n.daemon.metrics.limited.Update(float64(limited))
	n.daemon.metrics.resting.Update(float64(resting))
	n.daemon.metrics.cold.Update(float64(cold))
	n.daemon.metrics.brittle.Update(float64(brittleServices))
}
