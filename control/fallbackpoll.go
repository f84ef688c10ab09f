package control

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// fallbackPollState says whether this daemon asks the back ends that it sends to itself.
// While all daemons are well it relies on those that act for the back ends, whose
// silence then means that nothing has changed. Asking at all times would cost a fleet
// of 40 daemons more than twice the bytes of all other control traffic.
type fallbackPollState struct {
	revision  uint64
	live      int
	suspected bool
	// disruptedAt is when a daemon was last suspected or lost.
	disruptedAt time.Time
}

// takeoverWindow is how long after the last sign here that a daemon is lost another one may
// not have taken its duties over yet: the last of 40 daemons hears of a death 9 to 13 s
// after it, most of which is suspicion.
const takeoverWindow = 10 * time.Second

// recordDisruption takes in whether a daemon is suspected or was lost. Which one is of no
// matter: where one is lost, more may be that have not been missed yet.
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

// tickFallbackPolls asks the back ends that requests may be sent to and of which nothing
// was heard for long, while there is doubt about the daemons that act for them.
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

// requestPolls has a few other daemons poll a back end that gave this one no answer.
func (n *Node) requestPolls(name string) {
	others := slices.DeleteFunc(slices.Clone(n.detector.Live()), func(other string) bool { return other == n.detector.Self().Name })
	n.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), n.settings.Member.Helpers)] {
		n.send(n.address(other), Message{Ask: []string{name}})
	}
}

// asked polls a back end for another daemon. A poll that was made a moment ago is not
// repeated; what it told is the answer.
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

// answerRequesters passes the newest report on to the daemons that asked for it.
func (n *Node) answerRequesters(state *backEndState) {
	for _, address := range state.requesters {
		if state.known {
			n.send(address, Message{Reports: []api.Report{state.report}})
		}
	}
	state.requesters = nil
}

// propagateLeaving tells the group that a back end that this daemon acts for is leaving,
// as it hears from one that polled it. That it is up is told only by own polls: this
// daemon's orders may not reach it.
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
