// Package limiter enforces the limits of subjects over messages between daemons. It queries the owner of a limit
// whether a subject may use more, and answers such queries for the limits that this daemon grants. Package quota
// decides; the daemon that uses the limiter transports the messages.
package limiter

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/internal/calls"
	"github.com/wheatweir/wheatweir/quota"
)

const (
	// answerTimeout is how long the owner of a limit may take to answer. It answers within a few
	// milliseconds unless its processor share is exhausted, which lasts up to a tenth of a second,
	// or it does not run.
	answerTimeout = 80 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is not queried again.
	ownerBackoff = 250 * time.Millisecond
	// maxLoggedSubjects bounds the subjects that a log line lists.
	maxLoggedSubjects = 16
	// denialTTL bounds how long a denial is repeated locally without a new query.
	denialTTL = 50 * time.Millisecond
)

// Message is a message about limits between daemons; one field is set.
type Message struct {
	Ask    *Ask    `msgpack:"a,omitempty"`
	Answer *Answer `msgpack:"w,omitempty"`
	// Claims lists subjects whose limits the sender grants from now on.
	Claims []string `msgpack:"c,omitempty"`
}

// Ask requests a grant for a subject, or returns one that was not used.
type Ask struct {
	// ID pairs the answer with the request.
	ID      uint64      `msgpack:"i"`
	Subject string      `msgpack:"t"`
	Cost    float64     `msgpack:"c"`
	Limit   quota.Limit `msgpack:"l"`
	// MaxWait is how long the request may wait for its turn, the moment at which it may run.
	MaxWait time.Duration `msgpack:"w,omitempty"`
	Refund  bool          `msgpack:"r,omitempty"`
}

// Answer is the response to an Ask.
type Answer struct {
	ID      uint64 `msgpack:"i"`
	Granted bool   `msgpack:"g,omitempty"`
	// Wait is the time until tokens are available, or if granted, until the grant may be used.
	Wait time.Duration `msgpack:"w,omitempty"`
	// RedirectTo is the daemon to query instead; empty if the answer is final.
	RedirectTo string `msgpack:"o,omitempty"`
}

// Subjects are the subjects with limits in this daemon's copy of the configuration. It is immutable.
type Subjects interface {
	// Rate returns the limit of a subject, and whether the subject is known.
	Rate(name string) (limit quota.Limit, known bool)
	// Limited returns the names of all subjects with a limit.
	Limited() []string
}

// Request is a request that uses a part of a limit.
type Request struct {
	Subject string
	Limit   quota.Limit
	Cost    float64
	// MaxWait is how long the request may wait for its turn, the moment at which it may run.
	MaxWait time.Duration
}

// Ports are the settings and functions that a limiter needs from its daemon. All functions are called from several
// goroutines.
type Ports struct {
	Self string
	// Now is the clock by which limits are granted; nil means the monotonic clock of the machine, which
	// does not advance while the machine is suspended.
	Now func() time.Time
	// Address returns the address at which another daemon receives messages.
	Address func(daemon string) (address string, known bool)
	Send    func(address string, message *Message)
	// Subjects returns the present subjects.
	Subjects func() Subjects
	// Strict prevents a daemon that reaches others from granting a part of its own when neither the owner of a
	// limit nor a stand-in answers. With limits of a few requests a second, the parts that a large fleet
	// accumulates so exceed the limit.
	Strict bool
	// OwnerOnly has a daemon answer with quota.Buckets.TakeAsOwner: a stand-in redirects to the owner that it can
	// reach, and a new owner denies requests at first. Daemons that reach each other then never grant one limit
	// concurrently.
	OwnerOnly bool
	// InitialDebt is how many units a daemon that begins to grant a limit assumes to be granted already.
	InitialDebt float64
	// InitialLevel returns the level of the bucket with which a daemon begins to grant a limit; nil means minus
	// InitialDebt. It must not call the limiter.
	InitialLevel func(subject string) float64
	Log          func(text string, fields ...any)
}

// Outcome is the result of a request for use.
type Outcome struct {
	Granted bool
	// Unsure says that no daemon could decide.
	Unsure bool
	// Wait is the time until tokens are available, or if granted, until the grant may be used.
	Wait time.Duration
	// AnsweredBy is the daemon that granted or denied the request; empty if none was queried or none answered.
	AnsweredBy string
}

// Limiter is safe for concurrent use.
type Limiter struct {
	ports   Ports
	buckets *quota.Buckets
	fleet   atomic.Pointer[quota.Fleet]
	calls   *calls.Calls[*Answer]

	mutex sync.Mutex
	// deniedUntil is until when recent denials are repeated, by subject.
	deniedUntil map[string]time.Time
}

// New returns a limiter without other daemons; SetFleet adds them.
func New(ports Ports) *Limiter {
	buckets := quota.NewBucketsInDebt(ports.InitialDebt)
	if ports.InitialLevel != nil {
		buckets = quota.NewBucketsWithLevel(ports.InitialLevel)
	}
	l := &Limiter{ports: ports, buckets: buckets, calls: calls.New[*Answer](), deniedUntil: map[string]time.Time{}}
	l.fleet.Store(quota.NewFleet(ports.Self, nil, 1, 0))
	return l
}

func (l *Limiter) now() time.Time {
	if l.ports.Now == nil {
		return time.Now()
	}
	return l.ports.Now()
}

// Take takes the cost of one request.
func (l *Limiter) Take(ctx context.Context, request Request) Outcome {
	if left := l.remainingDenial(request.Subject); left > request.MaxWait {
		return Outcome{Wait: left}
	}
	fleet := l.fleet.Load()
	for _, owner := range fleet.Owners(request.Subject) {
		if answer, answeredBy, answered := l.queryWithRedirect(ctx, fleet, owner, &request); answered {
			return l.recordOutcome(request.Subject, answer, answeredBy)
		}
	}
	if l.ports.Strict && !fleet.Isolated {
		return Outcome{Unsure: true}
	}
	if l.buckets.TakeLocal(l.now(), fleet, request.Subject, &request.Limit, request.Cost) {
		return Outcome{Granted: true}
	}
	return Outcome{Unsure: true}
}

// queryWithRedirect queries one daemon, and the one that it redirects to. It also returns which of them answered.
func (l *Limiter) queryWithRedirect(
	ctx context.Context, fleet *quota.Fleet, owner string, request *Request,
) (answer quota.Answer, answeredBy string, answered bool) {
	answeredBy = owner
	answer, answered = l.query(ctx, fleet, answeredBy, request)
	if answered && answer.RedirectTo != "" {
		answeredBy = answer.RedirectTo
		answer, answered = l.query(ctx, fleet, answeredBy, request)
	}
	return answer, answeredBy, answered && answer.RedirectTo == ""
}

// query takes the cost of one request from one daemon, which may be this one.
func (l *Limiter) query(ctx context.Context, fleet *quota.Fleet, owner string, request *Request) (quota.Answer, bool) {
	switch {
	case owner == "" || fleet.Isolated:
		return quota.Answer{}, false
	case owner == fleet.Self:
		return l.takeLocal(l.now(), fleet, request.Subject, &request.Limit, request.Cost, request.MaxWait), true
	}
	address, found := l.ports.Address(owner)
	if !found || l.calls.Rests(owner) {
		return quota.Answer{}, false
	}
	answer, answered := l.calls.Ask(ctx, answerTimeout, func(id uint64) {
		l.ports.Send(address, &Message{Ask: &Ask{
			ID: id, Subject: request.Subject, Cost: request.Cost, Limit: request.Limit, MaxWait: request.MaxWait,
		}})
	})
	if !answered {
		l.backOffFrom(ctx, owner, request.Subject)
		return quota.Answer{}, false
	}
	return quota.Answer{Granted: answer.Granted, Wait: answer.Wait, RedirectTo: answer.RedirectTo}, true
}

// takeLocal takes the cost of one request from this daemon's buckets.
func (l *Limiter) takeLocal(
	now time.Time, fleet *quota.Fleet, subject string, limit *quota.Limit, cost float64, within time.Duration,
) quota.Answer {
	if l.ports.OwnerOnly {
		return l.buckets.TakeAsOwner(now, fleet, subject, limit, cost, within)
	}
	return l.buckets.Take(now, fleet, subject, limit, cost, within)
}

// backOffFrom stops queries to a daemon that did not answer in time, for ownerBackoff.
func (l *Limiter) backOffFrom(ctx context.Context, owner, name string) {
	if ctx.Err() != nil {
		return
	}
	l.calls.Rest(owner, ownerBackoff)
	l.ports.Log("Limit owner did not answer in time; not queried during the backoff.", "daemon", owner, "subject", name, "rest_ms", ownerBackoff.Milliseconds())
}

// recordOutcome converts an answer to an Outcome, and caches a denial for at most denialTTL.
func (l *Limiter) recordOutcome(name string, answer quota.Answer, answeredBy string) Outcome {
	if answer.Granted {
		return Outcome{Granted: true, Wait: answer.Wait, AnsweredBy: answeredBy}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.deniedUntil[name] = l.now().Add(min(answer.Wait, denialTTL))
	return Outcome{Wait: answer.Wait, AnsweredBy: answeredBy}
}

// remainingDenial is how long a recent denial of a subject is still repeated.
func (l *Limiter) remainingDenial(name string) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.deniedUntil[name].Sub(l.now())
}

// Refund returns what was taken a moment ago and is not used. The refund goes to the present owner,
// as the daemon that granted it is not recorded. What one daemon granted is available again also if
// another one receives the refund.
func (l *Limiter) Refund(request Request) {
	fleet := l.fleet.Load()
	owners := fleet.Owners(request.Subject)
	if len(owners) == 0 {
		return
	}
	if owners[0] == fleet.Self {
		l.buckets.Refund(l.now(), fleet, request.Subject, &request.Limit, request.Cost)
		return
	}
	if address, found := l.ports.Address(owners[0]); found {
		l.ports.Send(address, &Message{Ask: &Ask{Subject: request.Subject, Cost: request.Cost, Limit: request.Limit, Refund: true}})
	}
}

// Receive processes a message of another daemon.
func (l *Limiter) Receive(from string, message *Message) {
	switch {
	case message.Ask != nil:
		l.answerRequest(from, message.Ask)
	case message.Answer != nil:
		l.calls.Answered(message.Answer.ID, message.Answer)
	default:
		l.receiveClaims(from, message.Claims)
	}
}

// answerRequest answers a request of another daemon, or takes its refund.
func (l *Limiter) answerRequest(from string, ask *Ask) {
	now, fleet := l.now(), l.fleet.Load()
	limit := l.limitOf(ask)
	if ask.Refund {
		l.buckets.Refund(now, fleet, ask.Subject, limit, ask.Cost)
		return
	}
	address, known := l.ports.Address(from)
	if !known {
		return
	}
	result := l.takeLocal(now, fleet, ask.Subject, limit, ask.Cost, ask.MaxWait)
	l.ports.Send(address, &Message{Answer: &Answer{ID: ask.ID, Granted: result.Granted, Wait: result.Wait, RedirectTo: result.RedirectTo}})
}

// limitOf is the limit of a subject by the local configuration, or by the requesting daemon if the
// subject is not in the local configuration yet.
func (l *Limiter) limitOf(ask *Ask) *quota.Limit {
	if limit, known := l.ports.Subjects().Rate(ask.Subject); known {
		return &limit
	}
	return &ask.Limit
}

// SetFleet replaces the snapshot of the fleet, and claims the limits that this daemon has to grant
// from now on. As it is called several times a second, an unchanged fleet causes no work per
// subject.
func (l *Limiter) SetFleet(now time.Time, fleet *quota.Fleet) {
	previous := l.fleet.Load()
	if fleet.Equal(previous) {
		return
	}
	if l.ports.OwnerOnly {
		// Before the new snapshot is used: a request between the two would be granted without the delay.
		l.buckets.FleetReplaced(now, previous)
	}
	l.fleet.Store(fleet)
	l.SubjectsChanged(now)
}

// SubjectsChanged applies a change of the subjects or of their limits.
func (l *Limiter) SubjectsChanged(now time.Time) {
	fleet, subjects := l.fleet.Load(), l.ports.Subjects()
	var owned []string
	for _, name := range subjects.Limited() {
		if fleet.RoleOf(name) == quota.RoleOwner {
			owned = append(owned, name)
		}
	}
	l.sendClaims(fleet, l.buckets.SetOwned(now, fleet, owned))
	l.buckets.Prune(func(name string) bool {
		_, known := subjects.Rate(name)
		return known
	})
}

// Tick records that this process runs, and claims its limits again if it was stalled.
func (l *Limiter) Tick(now time.Time) {
	if claims := l.buckets.Tick(now); len(claims) > 0 {
		l.ports.Log("Process was stalled; owned limits are claimed again.", "subjects", len(claims))
		l.sendClaims(l.fleet.Load(), claims)
	}
}

// sendClaims notifies the daemons that may be granting the limits of the subjects that this one does now.
func (l *Limiter) sendClaims(fleet *quota.Fleet, subjects []string) {
	byRival := map[string][]string{}
	for _, name := range subjects {
		for _, rival := range fleet.Rivals(name) {
			byRival[rival] = append(byRival[rival], name)
		}
	}
	for rival, names := range byRival {
		if address, known := l.ports.Address(rival); known {
			l.ports.Send(address, &Message{Claims: names})
		}
	}
	if len(subjects) > 0 {
		named := subjects[:min(len(subjects), maxLoggedSubjects)]
		l.ports.Log("Limits claimed as their owner.", "count", len(subjects), "subjects", strings.Join(named, ","), "part", fleet.Part, "daemons", fleet.Daemons)
	}
}

// receiveClaims processes the claims of another daemon. The one that comes first in a subject's order
// grants its limit: if that is this daemon, it answers with a claim of its own.
func (l *Limiter) receiveClaims(from string, subjects []string) {
	now, fleet := l.now(), l.fleet.Load()
	var retained []string
	for _, name := range subjects {
		switch {
		case fleet.Precedes(from, name):
			l.buckets.RecordClaim(now, name, from)
		case fleet.RoleOf(name) == quota.RoleOwner:
			retained = append(retained, name)
		}
	}
	if address, known := l.ports.Address(from); known && len(retained) > 0 {
		l.ports.Send(address, &Message{Claims: retained})
	}
}
