package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Known is one change of what a daemon believed of an instance that it used for the request.
type Known struct {
	// At is when the daemon logged it; it learned it up to OverMs milliseconds before.
	At       time.Time `json:"at"`
	OverMs   string    `json:"over_ms"`
	Node     string    `json:"node"`
	Instance string    `json:"instance"`
	// State is present, leaving or gone.
	State string `json:"state"`
	// Revision is that of the change in the store.
	Revision string `json:"revision"`
	// From is who told it: a daemon or the store, or several of them of which one did.
	From string `json:"from"`
}

// instanceStates are the fields in which a line names instances.
var instanceStates = []string{"present", "leaving", "gone"}

// knowledge is what daemons came to know of instances, in the order of the logs.
type knowledge map[belief][]Known

type belief struct{ node, instance string }

// add takes in a line that tells of instances.
func (k knowledge) add(line *Step) {
	for _, state := range instanceStates {
		names := line.Value(state)
		if names == "" {
			continue
		}
		for _, name := range strings.Split(names, ",") {
			instance, revision, _ := strings.Cut(name, "@")
			about := belief{line.Node, instance}
			k[about] = append(k[about], Known{
				At: line.At, OverMs: line.Value("over_ms"), Node: line.Node, Instance: instance, State: state, Revision: revision, From: line.Value("from"),
			})
		}
	}
}

// of returns what the daemons of the steps believed of the instances that the steps name: the
// last change before a daemon used an instance first, and those until its last step.
func (k knowledge) of(steps []Step) []Known {
	spans := map[belief]span{}
	lastAt := map[string]time.Time{}
	for i := range steps {
		step := &steps[i]
		lastAt[step.Node] = step.At
		if instance := step.Value("instance"); instance != "" {
			about := belief{step.Node, instance}
			if known, found := spans[about]; !found || step.At.Before(known.begin) {
				spans[about] = span{begin: step.At}
			}
		}
	}
	var story []Known
	for about, used := range spans {
		used.end = lastAt[about.node]
		story = append(story, used.within(k[about])...)
	}
	slices.SortFunc(story, func(a, b Known) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Instance, b.Instance))
	})
	return story
}

// span is the time in which a daemon used an instance for the request.
type span struct{ begin, end time.Time }

// within returns the changes in the span and the last one before it. Changes are in the order
// of time, as one daemon's log is.
func (s *span) within(changes []Known) []Known {
	first := 0
	for i, change := range changes {
		if !change.At.After(s.begin) {
			first = i
		}
	}
	last := len(changes)
	for last > first && changes[last-1].At.After(s.end) {
		last--
	}
	return changes[first:last]
}

// writeKnown writes a line for each change, with the time before or after the first step.
func writeKnown(w io.Writer, begin time.Time, changes []Known) error {
	for _, known := range changes {
		_, err := fmt.Fprintf(w, "known: %-16s %s is %s at revision %s, from %s, logged %+dms, learned within %sms before\n",
			known.Node, known.Instance, known.State, known.Revision, known.From, known.At.Sub(begin).Milliseconds(), known.OverMs)
		if err != nil {
			return ErrRead.Wrap(err)
		}
	}
	return nil
}
