package gateway

import "github.com/wheatweir/wheatweir/balance"

// recordAnswerPiece records a piece of an answer. The first piece gives the tracker the time to the first token.
func (e *exchange) recordAnswerPiece(candidate *balance.Candidate) {
	id := candidate.Instance.ID
	e.recordAnswerStart(id)
	e.gateway.tracker.ObserveActivity(id)
	if !e.startedAt.IsZero() || e.request.Model == "" {
		return
	}
	e.startedAt = e.gateway.Now()
	e.gateway.tracker.ObserveFirstToken(candidate, e.request.PromptTokens, e.startedAt.Sub(e.sentAt))
}

// recordWholeAnswer records the run time of a whole answer in the tracker.
func (e *exchange) recordWholeAnswer(candidate *balance.Candidate) {
	if e.startedAt.IsZero() {
		return
	}
	runTime := e.since(e.startedAt)
	e.gateway.tracker.ObserveRun(candidate, runTime)
	if !e.mayBePartialRun() {
		e.gateway.tracker.ObserveGeneration(candidate, e.request.OutputTokens, runTime)
	}
}

// mayBePartialRun reports whether the last attempt may have generated only a part of the answer.
func (e *exchange) mayBePartialRun() bool {
	return e.request.ResumeAfter != "" || len(e.attemptedInstances) > 1
}
