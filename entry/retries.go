package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/retry"
)

// retryLimits sets the limits of the retry budgets. Only the control duty uses it after the start.
type retryLimits struct {
	size retry.FleetSize
	// revision is that of the members that size has learned.
	revision uint64
	inForce  retry.Settings
}

// updateRetryLimits sets the limits by the settings and by the daemons that are known.
func (d *Daemon) updateRetryLimits(now time.Time) {
	limits := &d.control.retryLimits
	if revision := d.node.MembersRevision(); revision != limits.revision {
		limits.revision = revision
		limits.observe(now, d.node.Members(), d.current().Seeds)
	}
	settings := d.current()
	if len(settings.Seeds) == 1 && settings.Seeds[0] == settings.peersReachAt() {
		limits.size.OnlySeed()
	}
	floor := limits.size.Floor(now, settings.RetrySlack)
	wanted := retry.ShareOfFleet(settings.RetryShare, settings.RetryWindow, floor)
	if wanted != limits.inForce {
		limits.inForce = wanted
		d.budgets.Set(wanted)
	}
}

// observe takes in the known daemons, also those that are dead or leaving.
func (l *retryLimits) observe(now time.Time, members []member.Member, seeds []string) {
	liveSeeds := 0
	for i := range members {
		if members[i].State != member.Dead && slices.Contains(seeds, members[i].PeerAddress) {
			liveSeeds++
		}
	}
	l.size.Observe(now, len(members), liveSeeds, len(seeds))
}

// retryCalm is how long a budget has to deny no retry before the log says that it has tokens again. While most attempts fail,
// each token is taken as soon as it is there.
const retryCalm = 5 * time.Second

// retryObserver tells the log which retry budgets are spent, one line when that begins and one when it has ended.
type retryObserver struct {
	daemon *Daemon
	mutex  sync.Mutex
	spent  map[string]*spentBudget
}

// spentBudget is a time in which the budget of one service denied retries.
type spentBudget struct {
	since, last     time.Time
	allowed, denied int
}

func newRetryObserver(daemon *Daemon) *retryObserver {
	return &retryObserver{daemon: daemon, spent: map[string]*spentBudget{}}
}

// observe takes in a decision of a budget.
func (r *retryObserver) observe(event *gateway.Event) {
	if event.Service == "" {
		return
	}
	now := r.daemon.clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	budget := r.spent[event.Service]
	if event.Step == gateway.StepRetryAllowed {
		if budget != nil {
			budget.allowed++
		}
		return
	}
	if budget == nil {
		budget = &spentBudget{since: now}
		r.spent[event.Service] = budget
		r.daemon.log.add("retries", "Budget spent.", "service", event.Service, "tokens", rounded(event.Retry.Tokens),
			"limit", rounded(event.Retry.Limit), "daemons", r.daemon.fleet.live.Load())
	}
	budget.last = now
	budget.denied++
}

// tick tells which budgets have denied nothing for a while.
func (r *retryObserver) tick(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for service, budget := range r.spent {
		if now.Sub(budget.last) < retryCalm {
			continue
		}
		delete(r.spent, service)
		r.daemon.log.add("retries", "Budget has tokens again.", "service", service, "spent_ms", budget.last.Sub(budget.since).Milliseconds(),
			"allowed", budget.allowed, "denied", budget.denied)
	}
}

// rounded returns a number of tokens as it is logged, with two decimals.
func rounded(tokens float64) float64 { return math.Round(100*tokens) / 100 }
