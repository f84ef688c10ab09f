package coordination

import (
	"math"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/history"
)

// pendingQueryTTL is how long a request is kept that can't be answered here yet. The refresh from the
// store that it causes has ended by then, or has failed.
const pendingQueryTTL = time.Second

// maxPendingQueries bounds the requests that are kept.
const maxPendingQueries = 32

// pendingQuery is a request of another daemon that had versions as new as those of this one.
type pendingQuery struct {
	from    string
	request Versions
	until   time.Time
}

// SourceOverdue reports that an answer of the store is overdue. The store may reject all daemons that
// watch it and serve the others, which do not read it since they rely on the watchers. So some of those
// are asked to read the store.
func (n *Node) SourceOverdue(source Source) []Action {
	request := n.versionsQuery(source)
	storeCheckPeers := n.storeCheckPeers()
	n.logEntry(string(source), "Store response overdue; querying other daemons.", "own", n.ownVersion(source), "daemons", len(storeCheckPeers))
	n.sendAll(storeCheckPeers, Message{From: n.self, Request: &request})
	return n.takeActions()
}

// storeCheckPeers returns the daemons to query about the store: the other watchers, and some other
// daemons at random. The store may reject the watchers as well, but they receive new data earlier.
func (n *Node) storeCheckPeers() []string {
	others := slices.DeleteFunc(slices.Clone(n.liveOrder()), func(name string) bool { return name == n.self })
	watching := min(len(others), n.settings.Watchers)
	rest := others[watching:]
	n.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return others[:min(len(others), watching+n.settings.StoreCheckPeers)]
}

// refreshForPeer refreshes from the store on behalf of another daemon that has versions as new as those of
// this one.
func (n *Node) refreshForPeer(now time.Time, from string, request Versions) {
	for _, source := range sourcesInOrder {
		state := n.sources[source]
		if !request.concerns(source) || n.ownVersion(source).After(request.placeOf(source)) {
			continue
		}
		if len(n.pendingQueries) < maxPendingQueries {
			n.pendingQueries = append(n.pendingQueries, pendingQuery{from: from, request: request.restrictedTo(source), until: now.Add(pendingQueryTTL)})
		}
		if now.Sub(state.refreshedForPeerAt) >= minRefreshInterval {
			state.refreshedForPeerAt = now
			n.enqueue(Refresh{Source: source})
		}
	}
}

// placeOf returns the version of one collection.
func (v Versions) placeOf(source Source) history.Place {
	switch source {
	case SourceConfiguration:
		return configurationPlace(v.Configuration)
	case SourceInstances:
		return v.Instances
	default:
		return v.Evacuations
	}
}

// concerns reports whether a request is for a collection, see restrictedTo.
func (v Versions) concerns(source Source) bool {
	switch source {
	case SourceConfiguration:
		return v.Configuration != math.MaxUint64
	case SourceInstances:
		return v.Instances != history.Last
	default:
		return v.Evacuations != history.Last
	}
}

// tickPendingQueries answers the pending requests that can be answered now.
func (n *Node) tickPendingQueries(now time.Time) {
	n.pendingQueries = slices.DeleteFunc(n.pendingQueries, func(pending pendingQuery) bool {
		known := n.configurationVersion() > pending.request.Configuration ||
			n.ownVersion(SourceInstances).After(pending.request.Instances) ||
			n.ownVersion(SourceEvacuations).After(pending.request.Evacuations)
		if known {
			n.answerRequest(pending.from, pending.request)
		}
		return known || now.After(pending.until)
	})
}
