package soak

import (
	"strconv"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// lateness is what a busy machine may add to a bound.
	lateness = 400 * time.Millisecond
	// rollbackSlack is how long after a version was seen a daemon may still answer
	// as an older one says.
	rollbackSlack = 250 * time.Millisecond
	budgetWindow  = 10 * time.Second
	ceilingWindow = 5 * time.Second
	ceilingFactor = 1.1
	ceilingSlack  = 3
	// untimedRecovery bounds the wait for recovery on a machine that is too busy
	// for bounds of time.
	untimedRecovery = time.Minute
)

// checkRun checks what a server is about to work on. The mutex is held.
func (r *record) checkRun(sent *sentRequest, run standin.Run) {
	r.checked[promiseUnchanged]++
	if run.Method != "POST" || run.URI != sent.Path || run.Body != sent.Body || run.Model != sent.Model {
		r.violate(promiseUnchanged, sent.ID, "%s ran %s %q with body %q for model %q", run.Server, run.Method, run.URI, run.Body, run.Model)
	}
	if !sent.repeatable() && !sent.resumable {
		r.checked[promiseAtMostOnce]++
		if len(sent.runs) > 1 {
			r.violate(promiseAtMostOnce, sent.ID, "ran at %s and again at %s", sent.runs[0].Server, run.Server)
		}
		if sent.ended && sent.answer.PromisesNotRun() && !sent.failed {
			r.violate(promiseTrueRefusal, sent.ID, "refused with %d and run at %s later", sent.answer.Status, run.Server)
		}
	}
	r.checkDraining(sent, run)
	r.checkDeparture(sent, run)
	r.checkTenant(sent, run)
	r.checkDeadly(sent, run)
	r.checkDeadlyPart(sent, run)
	r.checkSoftware(sent, run)
}

// checkDraining checks that no request reaches a server too long after it said that
// it is leaving.
func (r *record) checkDraining(sent *sentRequest, run standin.Run) {
	leftAt, leaving := r.leaving[run.Server]
	if r.untimed || !leaving || r.linkHarmed(run.Server, run.At.Add(-contact), run.At) {
		// A harmed link may have held the request up.
		return
	}
	r.checked[promiseDraining]++
	since := run.At.Sub(leftAt)
	if since > drainTime+lateness && r.storeStableSince(leftAt.Add(-contact)) && sent.daemon.calmSince(leftAt.Add(-contact)) {
		r.violate(promiseDraining, sent.ID, "reached %s %v after the store took that it leaves, sent by %s", run.Server, since, sent.daemon.name)
	}
}

// checkDeparture checks that no daemon that knew that a server leaves sends to it any more, whatever becomes
// of the store.
func (r *record) checkDeparture(sent *sentRequest, run standin.Run) {
	life, firm := r.firm[run.Server][sent.daemon.name]
	if r.untimed || !firm || life != sent.life || run.At.Sub(r.struckAt) < contact {
		return
	}
	r.checked[promiseDeparture]++
	if sent.at.Sub(r.leaving[run.Server]) > drainTime+lateness {
		r.violate(promiseDeparture, sent.ID, "reached %s %v after the store took that it leaves, sent by %s, which knew it", run.Server, run.At.Sub(r.leaving[run.Server]), sent.daemon.name)
	}
}

// checkOrder checks an order that a server has taken. The mutex is held.
func (r *record) checkOrder(order standin.OrderTaken) {
	r.checked[promiseMemory]++
	if order.Overloaded {
		r.violate(promiseMemory, "", "%s was ordered to load %s %s over its memory by %s", order.Server, order.Model, order.Adapter, order.Holder)
	}
	r.checked[promiseOneHolder]++
	for _, other := range r.orders {
		if other.Server != order.Server || other.Holder == order.Holder {
			continue
		}
		if other.Fence == order.Fence {
			r.violate(promiseOneHolder, "", "%s and %s share the token %d at %s", other.Holder, order.Holder, order.Fence, order.Server)
		}
	}
	if order.FromStore {
		r.checkCeiling(order)
	}
}

// checkCeiling checks how many loads began from the weight store lately.
func (r *record) checkCeiling(order standin.OrderTaken) {
	r.checked[promiseLoadCeiling]++
	count := 0
	for _, other := range r.orders {
		if other.FromStore && order.At.Sub(other.At) <= ceilingWindow {
			count++
		}
	}
	most := loadsPerSecond*ceilingWindow.Seconds()*ceilingFactor + ceilingSlack
	if float64(count) > most && r.storeStableSince(order.At.Add(-ceilingWindow)) {
		r.violate(promiseLoadCeiling, "", "%d loads from the weight store within %v, %.1f allowed", count, ceilingWindow, most)
	}
}

// ended notes the end of a request and checks its answer.
func (r *record) ended(sent *sentRequest, answer standin.ClientAnswer, failure error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sent.ended, sent.endedAt, sent.answer, sent.failed = true, time.Now(), answer, failure != nil
	r.noteTouch(sent)
	sent.calm = r.storeFaults == 0 && r.disturbedAt.Before(sent.at.Add(-contact))
	r.checkPlannedStop(sent)
	r.checkStopAnswers(sent)
	if failure != nil {
		return
	}
	r.checkMark(sent)
	r.checkKeyRefusal(sent)
	if answer.Status == 200 && answer.Complete {
		r.checkWhole(sent)
	} else {
		r.checkGiven(sent)
	}
	if answer.PromisesNotRun() && !sent.repeatable() && !sent.resumable {
		r.checked[promiseTrueRefusal]++
		if len(sent.runs) > 0 {
			r.violate(promiseTrueRefusal, sent.ID, "refused with %d by %s although it ran at %s", answer.Status, sent.daemon.name, sent.runs[0].Server)
		}
	}
}

// checkWhole checks that a success is the whole answer of a server that ran the
// request.
func (r *record) checkWhole(sent *sentRequest) {
	r.checked[promiseWholeAnswer]++
	for _, run := range sent.runs {
		want := standin.PlainBody(run.Server, sent.ID)
		if sent.kind == fleet.KindStream {
			after, _ := strconv.Atoi(sent.ResumeAfter)
			want = standin.StreamBody(sent.ID, after)
		}
		if sent.answer.Signature == standin.SignatureOf(run.Server, sent.ID) && sent.answer.Body == want {
			return
		}
	}
	r.violate(promiseWholeAnswer, sent.ID, "signature %q, body %.120q after %d runs", sent.answer.Signature, sent.answer.Body, len(sent.runs))
}

// checkMark checks a request on a route that some version of the configuration
// added.
func (r *record) checkMark(sent *sentRequest) {
	if sent.mark == 0 || sent.daemon.currentLife() != sent.life {
		return
	}
	key := lifeKey{sent.daemon.name, sent.life}
	shown := r.marks[key]
	r.checked[promiseNeverBack]++
	if sent.answer.Status != 404 {
		// Only an answer of a server shows the version; a refusal may come before
		// the routes are looked at.
		if sent.answer.Signature != "" && sent.mark > shown.version {
			r.marks[key] = shownMark{version: sent.mark, at: sent.endedAt}
		}
		return
	}
	if sent.mark <= shown.version && sent.at.Sub(shown.at) > rollbackSlack {
		r.violate(promiseNeverBack, sent.ID, "%s showed version %d and knows no route of version %d later", sent.daemon.name, shown.version, sent.mark)
	}
	took := r.acknowledged[sent.mark]
	if r.untimed || took.IsZero() {
		return
	}
	r.checked[promiseInForce]++
	late := sent.at.Sub(took)
	calm := r.storeStableSince(sent.at.Add(-contact)) && sent.daemon.calmSince(sent.at.Add(-contact))
	if late > configurationTime+lateness && calm {
		r.violate(promiseInForce, sent.ID, "%s does not know version %d, %v after it was taken", sent.daemon.name, sent.mark, late)
	}
}

// checkPlannedStop checks that a planned stop cut nothing, if nothing else happened.
func (r *record) checkPlannedStop(sent *sentRequest) {
	stopAt := sent.daemon.stoppedAt()
	if r.untimed || stopAt.IsZero() || sent.endedAt.Before(stopAt) || sent.at.After(stopAt.Add(grace+time.Second)) {
		return
	}
	if r.storeFaults > 0 || !r.disturbedAt.Before(sent.at.Add(-contact)) || r.brokeOff(sent) {
		return
	}
	r.checked[promisePlannedStop]++
	cut := len(sent.runs) > 0 && (sent.failed || !sent.answer.Complete)
	if cut {
		r.violate(promisePlannedStop, sent.ID, "cut by %s, which was told to stop %v before", sent.daemon.name, sent.endedAt.Sub(stopAt))
	}
}

// brokeOff reports whether a server ended while it worked on a request. The mutex is held.
func (r *record) brokeOff(sent *sentRequest) bool {
	for _, run := range sent.runs {
		closedAt, closed := r.closedAt[run.Server]
		if closed && closedAt.After(run.At) && closedAt.Before(sent.endedAt) {
			return true
		}
	}
	return false
}

// checkStopAnswers checks that a request that was in progress when its daemon was told to stop
// got a whole answer, or at least the head of one if it asked for a stream. No fault elsewhere
// excuses a daemon from that: what it waits for may fail, and then it says so. Only its own death
// does, or a pause of its process during the stop, which may fall into the time for answers. This
// holds on a busy machine, too.
func (r *record) checkStopAnswers(sent *sentRequest) {
	stopAt := sent.daemon.stopOf(sent.life)
	if stopAt.IsZero() || !sent.at.Before(stopAt) || sent.endedAt.Before(stopAt) || sent.daemon.struckSince(sent.at, stopAt) {
		return
	}
	r.checked[promiseStopAnswers]++
	if sent.failed || sent.kind != fleet.KindStream && !sent.answer.Complete {
		r.violate(promiseStopAnswers, sent.ID, "%s was told to stop %v before and gave no whole answer to %s", sent.daemon.name, sent.endedAt.Sub(stopAt), sent.Path)
	}
}

// checkAtEnd checks what only the whole run shows.
func (r *record) checkAtEnd() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checkBudget()
	r.checkQuota()
	r.checkWords()
	r.checkSilences()
	r.checkTakeUps()
	r.checkTakeUpsAfter(promiseAfterKill, r.kills)
	r.checkTakeUpsAfter(promiseAfterCrash, r.crashes)
}

// checkBudget checks that the servers of each service were not sent more requests again than the budget of all daemons allows, in
// any window. Requests that a server turned away count as well.
func (r *record) checkBudget() {
	rule := standin.RepeatRule{Window: budgetWindow, Share: retryShare, Slack: retrySlack}
	for _, service := range r.repeats.Services() {
		r.checked[promiseRetryBudget]++
		if worst := r.repeats.Worst(service, rule); worst.Use() > 1 {
			r.violate(promiseRetryBudget, "", "%d repeats at %s within %v from %s, %.0f allowed",
				worst.Repeats, service, budgetWindow, worst.From.Format("15:04:05.000"), worst.Allowed)
		}
	}
}

// missedRecovery notes that something is not served although all faults have ended.
func (r *record) missedRecovery(sent *sentRequest, answer standin.ClientAnswer, failure error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checked[promiseRecovery]++
	r.violate(promiseRecovery, sent.ID, "%v after all faults %s is not served by %s: status %d, %v", r.recoveryTime(), sent.Model, sent.daemon.name, answer.Status, failure)
}

// recoveryTime is how soon everything has to be served after all faults.
func (r *record) recoveryTime() time.Duration {
	if r.untimed {
		return untimedRecovery
	}
	return recoveryTime
}

// recovered notes that everything is served after all faults.
func (r *record) recovered() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checked[promiseRecovery]++
}
