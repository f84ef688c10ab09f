package control

import (
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/member"
	"github.com/wheatweir/wheatweir/placement"
)

// inquiryState says whether this daemon asks the back ends that it sends to itself.
// While all daemons are well it relies on those that act for the back ends, whose
// silence then means that nothing has changed. Asking at all times would cost a fleet
// of 40 daemons more than twice the bytes of all other control traffic.
type inquiryState struct {
	revision  uint64
	live      int
	suspected bool
	// doubtedAt is when a daemon was last suspected or lost.
	doubtedAt time.Time
}

// doubtTime is how long after the last sign here that a daemon is lost another one may
// not have taken its duties over yet: the last of 40 daemons hears of a death 9 to 13 s
// after it, most of which is suspicion.
const doubtTime = 10 * time.Second

// noteDoubt takes in whether a daemon is suspected or was lost. Which one is of no
// matter: where one is lost, more may be that have not been missed yet.
func (n *Node) noteDoubt(now time.Time) {
	state := &n.inquiry
	lost := false
	if revision := n.detector.Revision(); state.revision != revision {
		names := n.detector.Live()
		lost = len(names) < state.live
		state.revision, state.live, state.suspected = revision, len(names), n.anySuspected(names)
	}
	if lost || state.suspected {
		state.doubtedAt = now
	}
}

func (n *Node) anySuspected(names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool {
		known, _ := n.detector.Lookup(name)
		return known.State == member.Suspect
	})
}

// tickInquiries asks the back ends that requests may be sent to and of which nothing
// was heard for long, while there is doubt about the daemons that act for them.
func (n *Node) tickInquiries(now time.Time) {
	n.noteDoubt(now)
	if n.inquiry.doubtedAt.IsZero() || now.Sub(n.inquiry.doubtedAt) >= doubtTime {
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
