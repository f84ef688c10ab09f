package control

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// fallbackPollState decides whether this daemon itself polls the back ends that it sends
// requests to. While all daemons are alive it relies on the daemons that act for the
// back ends: no update from them then means that nothing has changed. Polling at all
// times would cost a fleet of 40 daemons more than twice the bytes of all other control
// traffic.
type fallbackPollState struct {
	revision  uint64
	live      int
	suspected bool
	// disruptedAt is when a daemon was last suspected or lost.
	disruptedAt time.Time
}

// takeoverWindow is how long after the last local sign of a lost daemon its duties may
// not have been taken over yet. The last of 40 daemons receives the update of a death 9
// to 13 s after it, most of which is the suspicion timeout.
const takeoverWindow = 10 * time.Second

// recordDisruption records whether a daemon is suspected or was lost. It does not matter
// which daemon: where one is lost, more may be lost that have not been detected yet.
func (n *Node) recordDisruption(now time.Time) {
	state := &n.fallback
	lost := false
	if revision := n.detector.Revision(); state.revision != revision {
		names := n.detector.Live()
		lost = len(names) < state.live
		state.revision, state.live, state.suspected = revision, len(names), n.anySuspected(names)
	}
	if lost || state.suspected {
		state.disruptedAt = now
	}
}

func (n *Node) anySuspected(names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool {
		known, _ := n.detector.Lookup(name)
		return known.State == member.Suspect
	})
}

// tickFallbackPolls polls the back ends that requests may be sent to and whose last
// report is older than NewsAge. It does so only while the daemons that act for them may
// be lost.
func (n *Node) tickFallbackPolls(now time.Time) {
	n.recordDisruption(now)
	if n.fallback.disruptedAt.IsZero() || now.Sub(n.fallback.disruptedAt) >= takeoverWindow {
		return
	}
	for _, model := range sortedNames(n.interest) {
		for _, name := range sortedNames(n.catalog.holdersOf[model]) {
			if n.health(name) == placement.Up && now.Sub(n.backEnd(name).at) >= n.settings.NewsAge {
				n.pollIfDue(now, name)
			}
		}
	}
}

// requestPolls requests a few other daemons to poll a back end that did not answer this
// one.
func (n *Node) requestPolls(name string) {
	others := slices.DeleteFunc(slices.Clone(n.detector.Live()), func(other string) bool { return other == n.detector.Self().Name })
	n.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), n.settings.Member.Helpers)] {
		n.send(n.address(other), Message{PollRequests: []string{name}})
	}
}

// handlePollRequest polls a back end for another daemon. If the last poll is so recent
// that the next is not due yet, its result is the answer.
func (n *Node) handlePollRequest(now time.Time, address, name string) {
	if _, found := n.catalog.machines[name]; !found {
		return
	}
	n.pollIfDue(now, name)
	state := n.backEnd(name)
	if !slices.Contains(state.requesters, address) {
		state.requesters = append(state.requesters, address)
	}
	if !state.polling {
		n.answerRequesters(state)
	}
}

// answerRequesters sends the newest report to the daemons that requested a poll.
func (n *Node) answerRequesters(state *backEndState) {
	for _, address := range state.requesters {
		if state.known {
			n.send(address, Message{Reports: []api.Report{state.report}})
		}
	}
	state.requesters = nil
}

// propagateLeaving publishes to the members that a back end that this daemon acts for is
// leaving, when another daemon that polled it reports so. That a back end is up is
// published only after a poll of this daemon's own, since its orders may not reach the
// back end.
func (n *Node) propagateLeaving(now time.Time, name string) {
	state := n.backEnd(name)
	machine, found := n.catalog.machines[name]
	if !found || !state.report.Leaving || !n.actsForBackEnd(name, machine.Zone) {
		return
	}
	if entry, observed := n.detector.BackEnd(name); observed && entry.State == member.BackEndUp {
		n.observeHealth(&state.report)
		n.distributeReport(now, name, state)
	}
}
