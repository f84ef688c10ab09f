package coordination

import (
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
)

// sourceState is how one collection of the store is followed here.
type sourceState struct {
	// behindSince is since when another daemon knows something newer; zero if
	// none does.
	behindSince time.Time
	// newest is the newest version that another daemon told, and from whom.
	newest uint64
	from   string
	// unavailable says that the store does not answer this daemon.
	unavailable bool
	// actedAt is when this daemon last tried to catch up.
	actedAt time.Time
}

// SourceAvailable notes whether the store answers this daemon for a collection.
func (n *Node) SourceAvailable(source Source, available bool) []Action {
	n.sources[source].unavailable = !available
	return n.take()
}

func (n *Node) configurationVersion() uint64 {
	if n.configuration == nil {
		return 0
	}
	return n.configuration.Version
}

// noteVersions takes in how new another daemon's knowledge is.
func (n *Node) noteVersions(from string, versions Versions) {
	n.noteVersion(SourceConfiguration, from, versions.Configuration)
	n.noteVersion(SourceInstances, from, versions.Instances)
}

func (n *Node) noteVersion(source Source, from string, version uint64) {
	state := n.sources[source]
	if version > state.newest {
		state.newest, state.from = version, from
	}
}

func (n *Node) ownVersion(source Source) uint64 {
	if source == SourceConfiguration {
		return n.configurationVersion()
	}
	return n.instances.Newest()
}

// versions says how new this daemon's knowledge is.
func (n *Node) versions() Versions {
	return Versions{Configuration: n.configurationVersion(), Instances: n.instances.Newest()}
}

// tickSources catches up with what other daemons know: from the store, and from
// the other daemon as well if the store does not answer here.
func (n *Node) tickSources(now time.Time) {
	for _, source := range []Source{SourceConfiguration, SourceInstances} {
		state := n.sources[source]
		if state.newest <= n.ownVersion(source) {
			state.behindSince = time.Time{}
			continue
		}
		if state.behindSince.IsZero() {
			state.behindSince = now
		}
		if now.Sub(state.behindSince) < n.settings.RefreshAfter || now.Sub(state.actedAt) < refreshPause {
			continue
		}
		state.actedAt = now
		n.catchUp(source, state)
	}
}

// refreshPause is the least time between two attempts to catch up.
const refreshPause = 500 * time.Millisecond

func (n *Node) catchUp(source Source, state *sourceState) {
	n.decide(string(source), "Behind another daemon.", "own", n.ownVersion(source), "other", state.newest, "daemon", state.from,
		"store_available", !state.unavailable)
	n.do(Refresh{Source: source})
	if !state.unavailable {
		return
	}
	if other, found := n.detector.Lookup(state.from); found {
		own := n.versions()
		n.do(SendPeer{Address: other.PeerAddress, Message: Message{From: n.self, Ask: &own}})
	}
}

// answerAsk tells another daemon what it lacks.
func (n *Node) answerAsk(from string, asked Versions) {
	other, found := n.detector.Lookup(from)
	if !found {
		return
	}
	answer := Message{From: n.self}
	if n.configurationVersion() > asked.Configuration {
		answer.Configuration = n.configuration
	}
	if n.instances.Known() && n.instances.Newest() > asked.Instances {
		answer.Instances = n.listing()
	}
	n.do(SendPeer{Address: other.PeerAddress, Message: answer})
}

func (n *Node) listing() *Listing {
	listing := &Listing{At: n.instances.At()}
	for _, item := range n.instances.Items() {
		listing.Items = append(listing.Items, ListedInstance{Revision: item.Revision, Value: *item.Value})
	}
	return listing
}

// takeListing takes in the instances that another daemon knows.
func (n *Node) takeListing(now time.Time, listing *Listing) {
	batch := feed.Batch[*fleet.Instance]{At: listing.At}
	for i := range listing.Items {
		item := &listing.Items[i]
		batch.Items = append(batch.Items, feed.Item[*fleet.Instance]{Name: item.Value.ID, Revision: item.Revision, Value: &item.Value})
	}
	n.instancesChanged(now, n.instances.Replace(batch))
}
