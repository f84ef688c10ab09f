package coordination

import (
	"math"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// questionSpan is how long a question that nobody here can answer yet is kept: the call to
// the store that it leads to has been answered by then, or is not.
const questionSpan = time.Second

// mostQuestions bounds the questions that are kept.
const mostQuestions = 32

// question is one of another daemon that knew as much as this one when it asked.
type question struct {
	from  string
	asked Versions
	until time.Time
}

// SourceOverdue takes in that the store owes this daemon an answer. It may turn away all
// daemons that watch it and serve the others, which leave the watching to them; so some of
// those are asked, and look themselves.
func (n *Node) SourceOverdue(source Source) []Action {
	asked := n.askFor(source)
	witnesses := n.witnesses()
	n.decide(string(source), "Answer of the store overdue; asking others.", "own", n.ownVersion(source), "daemons", len(witnesses))
	n.sendAll(witnesses, Message{From: n.self, Ask: &asked})
	return n.take()
}

// witnesses are the daemons to ask about the store: those that watch it too, which the
// store may turn away as well and which then know it sooner, and some others by chance.
func (n *Node) witnesses() []string {
	others := slices.DeleteFunc(slices.Clone(n.liveOrder()), func(name string) bool { return name == n.self })
	watching := min(len(others), n.settings.Watchers)
	rest := others[watching:]
	n.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return others[:min(len(others), watching+n.settings.Witnesses)]
}

// lookFor looks at the store for another daemon that knows as much as this one.
func (n *Node) lookFor(now time.Time, from string, asked Versions) {
	for _, source := range sourcesInOrder {
		state := n.sources[source]
		if !asked.about(source) || n.ownVersion(source).After(asked.of(source)) {
			continue
		}
		if len(n.questions) < mostQuestions {
			n.questions = append(n.questions, question{from: from, asked: asked.onlyAbout(source), until: now.Add(questionSpan)})
		}
		if now.Sub(state.lookedAt) >= refreshPause {
			state.lookedAt = now
			n.do(Refresh{Source: source})
		}
	}
}

// of is the version of one collection.
func (v Versions) of(source Source) history.Place {
	switch source {
	case SourceConfiguration:
		return configurationPlace(v.Configuration)
	case SourceInstances:
		return v.Instances
	default:
		return v.Evacuations
	}
}

// about reports whether a question is about a collection, see onlyAbout.
func (v Versions) about(source Source) bool {
	switch source {
	case SourceConfiguration:
		return v.Configuration != math.MaxUint64
	case SourceInstances:
		return v.Instances != history.Last
	default:
		return v.Evacuations != history.Last
	}
}

// tickQuestions answers the questions that can be answered now.
func (n *Node) tickQuestions(now time.Time) {
	n.questions = slices.DeleteFunc(n.questions, func(kept question) bool {
		known := n.configurationVersion() > kept.asked.Configuration ||
			n.ownVersion(SourceInstances).After(kept.asked.Instances) ||
			n.ownVersion(SourceEvacuations).After(kept.asked.Evacuations)
		if known {
			n.answerAsk(kept.from, kept.asked)
		}
		return known || now.After(kept.until)
	})
}
