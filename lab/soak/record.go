package soak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// Names of the promises that a soak checks.
const (
	promiseWholeAnswer  = "whole answer"
	promiseGiven        = "answer of a server"
	promiseAtMostOnce   = "at most once"
	promiseTrueRefusal  = "true refusal"
	promiseUnchanged    = "unchanged request"
	promiseDraining     = "draining"
	promiseDeparture    = "departure"
	promiseInForce      = "configuration in force"
	promiseNeverBack    = "configuration never back"
	promiseOneHolder    = "one holder of orders"
	promiseMemory       = "memory"
	promiseDaemonMemory = "memory of a daemon"
	promiseDescriptors  = "descriptors of a daemon"
	promiseLoadCeiling  = "load ceiling"
	promiseRetryBudget  = "retry budget"
	promisePlannedStop  = "planned stop"
	promiseStopAnswers  = "answer at a planned stop"
	promiseRecovery     = "recovery"
	promiseTenant       = "tenant"
	promiseTakenKey     = "taken key"
	promiseKnownKey     = "known key"
	promiseQuota        = "quota"
	promiseQuarantine   = "quarantine"
	promiseParts        = "quarantine of parts"
	promiseLimit        = "limit of a server"
	promiseLeavingWord  = "leaving server"
	promiseRest         = "rest of a server"
	promiseBrittle      = "brittle servers"
	promiseSilence      = "silent second"
	promiseSoftware     = "software version of a stream"
	promiseTakeUp       = "streams taken up"
	promiseAfterKill    = "streams taken up after a kill"
	promiseAfterCrash   = "streams taken up after a crash"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	// Request is the id of the request, or empty.
	Request string    `json:"request,omitempty"`
	Text    string    `json:"text"`
	At      time.Time `json:"at"`
}

// String tells the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (request %q, %s)", v.Promise, v.Text, v.Request, v.At.Format("15:04:05.000"))
}

// sentRequest is one try of a client with what came of it.
type sentRequest struct {
	standin.ClientRequest
	daemon *daemon
	life   int
	kind   fleet.RouteKind
	at     time.Time
	// mark is the version of the configuration that added the route, or zero.
	mark uint64
	// resumable says that the stream may go on at another server.
	resumable bool

	endedAt time.Time
	answer  standin.ClientAnswer
	failed  bool
	ended   bool
	// versionServers is how many servers of the stream's version served when it was taken up and, unless it ran, until the end.
	versionServers int
	// inTouch says that neither the daemon nor the store was disturbed shortly before the request and, unless it ran, until its
	// end.
	inTouch bool
	// abandoned says that the client has waited in vain for so long that it counts as an answer.
	abandoned bool
	// calm says that no fault began or ended from shortly before the request until its end.
	calm bool
	runs []standin.Run
}

// repeatable reports whether the request may run more than once.
func (s *sentRequest) repeatable() bool { return s.kind == fleet.KindSafe }

// record holds what clients and servers saw. It implements standin.Observer.
type record struct {
	untimed bool
	// memoryPeakMB is the largest resident memory of a daemon that was seen.
	memoryPeakMB float64
	// crowds counts the crowds that came, descriptorsPeak is the most descriptors that a daemon was seen to have open.
	crowds          atomic.Int64
	descriptorsPeak int

	mutex    sync.Mutex
	requests map[string]*sentRequest
	order    []*sentRequest
	runs     []standin.Run
	// repeats are the requests and arrivals of each service.
	repeats *standin.Repeats
	orders  []standin.OrderTaken
	// leaving maps servers to when the store took that they leave.
	leaving map[string]time.Time
	// firm names, by servers that leave, the daemons that must know it, each with its life then.
	firm map[string]map[string]int
	// acknowledged is when the store took each version of the configuration.
	acknowledged map[uint64]time.Time
	// takenKeys is when the store took that keys are gone.
	takenKeys map[string]time.Time
	// marks is the newest version that each life of a daemon has shown.
	marks map[lifeKey]shownMark
	// disturbedAt is when the last unplanned fault began or ended; storeAt the
	// same for faults of the store.
	disturbedAt time.Time
	storeAt     time.Time
	// struckAt is when the last unplanned fault but those of the store began or ended.
	struckAt    time.Time
	storeFaults int
	// deadlyRuns are the runs of the deadly request, and deadlyLate counts those that came too late.
	deadlyRuns []time.Time
	deadlyLate int
	// partRuns are the runs of requests with the part that crashes servers, and partLate counts those that came too late.
	partRuns []time.Time
	partLate int
	// kills are when all daemons or most of them were killed.
	kills []time.Time
	// crashes are when half of the engines crashed.
	crashes []time.Time
	// closedAt is when servers that were leaving ended.
	closedAt map[string]time.Time
	words    wordsRecord
	// silences are when servers were silent for a moment, by their IDs.
	silences    map[string][]*span
	violations  []Violation
	checked     map[string]int
	onViolation func(Violation)
}

// lifeKey is one life of one daemon.
type lifeKey struct {
	daemon string
	life   int
}

// shownMark is a version that a daemon has shown, and since when that is known.
type shownMark struct {
	version uint64
	at      time.Time
}

func newRecord(untimed bool, onViolation func(Violation)) *record {
	return &record{
		untimed: untimed, repeats: standin.NewRepeats(), requests: map[string]*sentRequest{}, leaving: map[string]time.Time{}, firm: map[string]map[string]int{},
		acknowledged: map[uint64]time.Time{}, takenKeys: map[string]time.Time{}, marks: map[lifeKey]shownMark{}, checked: map[string]int{}, closedAt: map[string]time.Time{}, words: newWordsRecord(), silences: map[string][]*span{}, onViolation: onViolation,
	}
}

// violate notes a broken promise. The mutex is held.
func (r *record) violate(promise, request, format string, values ...any) {
	violation := Violation{Promise: promise, Request: request, Text: fmt.Sprintf(format, values...), At: time.Now()}
	r.violations = append(r.violations, violation)
	r.onViolation(violation)
}

// disturb notes that an unplanned fault begins or ends.
func (r *record) disturb() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.disturbedAt, r.struckAt = time.Now(), time.Now()
}

// disturbStore notes that a fault of the store begins (+1) or ends (-1).
func (r *record) disturbStore(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeFaults += change
	r.storeAt, r.disturbedAt = time.Now(), time.Now()
}

// storeStableSince reports whether the store had no fault since a moment. The mutex
// is held.
func (r *record) storeStableSince(since time.Time) bool {
	return r.storeFaults == 0 && r.storeAt.Before(since)
}

// sending notes a request that a client is about to send.
func (r *record) sending(sent *sentRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[sent.ID] = sent
	r.order = append(r.order, sent)
	sent.inTouch = r.inTouchSince(sent.daemon, sent.at.Add(-contact))
	r.repeats.Sent(serviceOf(sent.Path), sent.at)
}

// Ran implements standin.Observer.
func (r *record) Ran(run standin.Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run)
	sent := r.requests[run.ID]
	if sent == nil {
		r.violate(promiseUnchanged, run.ID, "%s ran a request that no client sent", run.Server)
		return
	}
	sent.runs = append(sent.runs, run)
	r.checkRun(sent, run)
}

// Ordered implements standin.Observer.
func (r *record) Ordered(order standin.OrderTaken) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.orders = append(r.orders, order)
	r.checkOrder(order)
}

// left notes that the store took that a server is leaving.
func (r *record) left(server string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving[server] = time.Now()
}

// knownLeft notes, some time after a server has said that it leaves, which daemons must know it: those that
// were calm, if the store was stable.
func (r *record) knownLeft(server string, daemons []*daemon) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	leftAt, leaving := r.leaving[server]
	if !leaving || !r.storeStableSince(leftAt.Add(-contact)) {
		return
	}
	r.firm[server] = map[string]int{}
	for _, daemon := range daemons {
		if daemon.calmSince(leftAt.Add(-contact)) {
			r.firm[server][daemon.name] = daemon.currentLife()
		}
	}
}

// closed notes that a server ends which has said that it is leaving.
func (r *record) closed(server string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closedAt[server] = time.Now()
}

// killedMost notes that all daemons or most of them are killed.
func (r *record) killedMost() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kills = append(r.kills, time.Now())
}

// configured notes that the store took a version.
func (r *record) configured(version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acknowledged[version] = time.Now()
	if version > 1 {
		r.takenKeys[movingKey(version-1)] = time.Now()
	}
}

// returned notes that a server is about to start again under its id.
func (r *record) returned(server string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.leaving, server)
	delete(r.firm, server)
	r.words.forget(server)
}

// result counts what was seen.
func (r *record) result() *Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := &Result{
		Requests: len(r.order), Runs: len(r.runs), Orders: len(r.orders), Violations: r.violations, Checked: r.checked,
		MemoryPeakMB: r.memoryPeakMB, TakeUps: r.takeUpsAfterKills(), CrashTakeUps: r.takeUpsAfter(r.crashes),
	}
	for _, sent := range r.order {
		switch {
		case !sent.failed && sent.answer.Status == 200 && sent.answer.Complete:
			result.Served++
		case !sent.failed && sent.answer.PromisesNotRun():
			result.Refused++
		default:
			result.Failed++
		}
	}
	return result
}
