package coordination

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// sourceState is how one collection of the store is followed here.
type sourceState struct {
	// behindSince is since when another daemon knows something newer; zero if
	// none does.
	behindSince time.Time
	// newest is the newest version that another daemon told, and teller its name.
	newest history.Place
	teller string
	// routes is the number of routes of that configuration.
	routes int
	// firstList is the place of the first list.
	firstList history.Place
	// unavailable says that the store does not answer this daemon.
	unavailable bool
	// actedAt is when this daemon last tried to catch up, and lookedAt when it last looked
	// at the store for another one.
	actedAt  time.Time
	lookedAt time.Time
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
func (n *Node) noteVersions(now time.Time, from string, versions Versions) {
	if !versions.Instances.IsZero() {
		n.learnEra(now, origin(from), versions.Instances.Era)
	}
	if !configurationPlace(versions.Configuration).Before(n.sources[SourceConfiguration].newest) {
		n.sources[SourceConfiguration].routes = versions.Routes
	}
	n.noteVersion(SourceConfiguration, from, configurationPlace(versions.Configuration))
	n.noteVersion(SourceInstances, from, versions.Instances)
	n.noteVersion(SourceEvacuations, from, versions.Evacuations)
	if !n.Watching(now) {
		// Of what was removed between the own list and the first one of a daemon that watches, nobody would tell.
		n.noteVersion(SourceInstances, from, versions.InstancesFrom)
		n.noteVersion(SourceEvacuations, from, versions.EvacuationsFrom)
	}
}

// noteList keeps the place of the first list of a collection.
func (n *Node) noteList(source Source, at history.Place) {
	if state := n.sources[source]; state.firstList.IsZero() {
		state.firstList = at
	}
}

func (n *Node) noteVersion(source Source, from string, version history.Place) {
	state := n.sources[source]
	if !version.Before(state.newest) && !version.IsZero() {
		state.newest, state.teller = version, from
	}
}

// configurationPlace is a version of the configuration as a place. The operator's versions rise
// whatever the store loses, so they are of no era.
func configurationPlace(version uint64) history.Place { return history.At(0, version) }

func (n *Node) ownVersion(source Source) history.Place {
	switch source {
	case SourceConfiguration:
		return configurationPlace(n.configurationVersion())
	case SourceInstances:
		return n.instances.Newest()
	default:
		return n.evacuations.Newest()
	}
}

// complete is the place up to which this daemon knows a collection. Unlike its version it moves without a change too.
func (n *Node) complete(source Source) history.Place {
	switch source {
	case SourceConfiguration:
		return configurationPlace(n.configurationVersion())
	case SourceInstances:
		return n.instances.At()
	default:
		return n.evacuations.At()
	}
}

// sourcesInOrder are the collections in the order in which a daemon catches up with them.
var sourcesInOrder = [...]Source{SourceConfiguration, SourceInstances, SourceEvacuations}

// versions says how new this daemon's knowledge is.
func (n *Node) versions(now time.Time) Versions {
	versions := Versions{
		Configuration: n.configurationVersion(), Instances: n.instances.Newest(), Evacuations: n.evacuations.Newest(),
	}
	if n.configuration != nil {
		versions.Routes = len(n.configuration.Routes)
	}
	if n.Watching(now) {
		versions.InstancesFrom, versions.EvacuationsFrom = n.sources[SourceInstances].firstList, n.sources[SourceEvacuations].firstList
	}
	return versions
}

// tickSources catches up with what other daemons know: from the store, and from
// the other daemon as well if the store does not answer here.
func (n *Node) tickSources(now time.Time) {
	for _, source := range sourcesInOrder {
		state := n.sources[source]
		if !state.newest.After(n.complete(source)) {
			state.behindSince = time.Time{}
			continue
		}
		if state.behindSince.IsZero() {
			state.behindSince = now
		}
		n.catchUp(now, source, state)
	}
}

// refreshPause is the least time between two lists because of another daemon.
const refreshPause = 500 * time.Millisecond

// fromStore reports whether this daemon catches up by the store: it watches it, and the store answers.
func (n *Node) fromStore(now time.Time, state *sourceState) bool {
	return !state.unavailable && n.Watching(now)
}

// routesPerPause is how many routes lengthen the pause between two questions by one more AskPause.
const routesPerPause = 128

// askPause is the least time between two questions to another daemon. A large answer
// takes its time, and a second one would only hold it up.
func (n *Node) askPause(state *sourceState) time.Duration {
	return n.settings.AskPause * time.Duration(1+state.routes/routesPerPause)
}

// catchUp asks the store again, or another daemon.
func (n *Node) catchUp(now time.Time, source Source, state *sourceState) {
	fromStore := n.fromStore(now, state)
	pause, patience := n.askPause(state), time.Duration(0)
	if fromStore {
		pause, patience = refreshPause, n.settings.RefreshAfter
	}
	if now.Sub(state.behindSince) < patience || now.Sub(state.actedAt) < pause {
		return
	}
	state.actedAt = now
	if fromStore || state.unavailable {
		n.decide(string(source), "Behind another daemon.", "own", n.ownVersion(source), "other", state.newest, "daemon", state.teller,
			"store_available", !state.unavailable)
		n.do(Refresh{Source: source})
	}
	if fromStore {
		return
	}
	if other, found := n.detector.Lookup(state.teller); found {
		asked := n.askFor(source)
		n.do(SendPeer{Address: other.PeerAddress, Message: Message{From: n.self, Ask: &asked}})
	}
}

// askFor is a question about one collection only: the other ones may be large, and on
// their way already.
func (n *Node) askFor(source Source) Versions {
	asked := Versions{
		Configuration: n.configurationVersion(), Instances: n.complete(SourceInstances), Evacuations: n.complete(SourceEvacuations),
	}
	return asked.onlyAbout(source)
}

// onlyAbout leaves the other collections out of a question.
func (v Versions) onlyAbout(source Source) Versions {
	if source != SourceConfiguration {
		v.Configuration = math.MaxUint64
	}
	if source != SourceInstances {
		v.Instances = history.Last
	}
	if source != SourceEvacuations {
		v.Evacuations = history.Last
	}
	return v
}

// substituteSpan is how long a daemon watches the store that began because none that does
// was heard. substituteRankPause is how much later each further daemon begins: the first
// ones are then heard by the others.
const (
	substituteSpan      = 2 * time.Second
	substituteRankPause = 20 * time.Millisecond
)

// Watching reports whether this daemon should watch the store: it is one of the
// first, or none that does was heard of lately. One that has just started hears of the
// others first: it has listed, and may watch from there a moment later.
func (n *Node) Watching(now time.Time) bool {
	if now.Sub(n.started) < n.settings.WatchAfter {
		return false
	}
	return n.Rank() < n.settings.Watchers || now.Before(n.watchUntil)
}

// tickWatching makes this daemon watch the store for a while if none that does was heard of.
func (n *Node) tickWatching(now time.Time) {
	rank := n.Rank()
	if rank < n.settings.Watchers || now.Sub(n.watcherAt) <= n.settings.WatcherSilence+n.substitutePause(rank) {
		return
	}
	if now.Before(n.watchUntil) || n.substitutes(now) {
		n.watchUntil = now.Add(substituteSpan)
	}
}

// substitutePause is how much later than the first one a daemon of a rank begins to stand in for
// those that watch. Some begin at almost the same moment; each further lot waits until those before
// it have found out that the store does not answer them either.
func (n *Node) substitutePause(rank int) time.Duration {
	lot := max(0, rank-n.settings.Watchers) / substitutesAtOnce
	return time.Duration(rank)*substituteRankPause + time.Duration(lot)*substituteLotPause
}

// substitutes reports whether this daemon should try to watch the store. If it answers nobody that
// has tried, one daemon in a second tries it by chance: that finds out soon whether it answers
// others, and costs no more calls than the watches that it stands for.
func (n *Node) substitutes(now time.Time) bool {
	if n.heardAway(now) < n.settings.Watchers+substitutesAtOnce {
		return true
	}
	chances := float64(len(n.detector.Live())) * float64(time.Second) / float64(TickEvery)
	return n.random.Float64() < 1/chances
}

const (
	// substitutesAtOnce is how many daemons beyond those that watch try the store at once, and
	// before the others leave it to chance: the store may turn away a part of the fleet.
	substitutesAtOnce = 3
	// substituteLotPause is a little more than a call that the store does not answer takes.
	substituteLotPause = 800 * time.Millisecond
)

// heardAway counts the daemons that said lately that the store does not answer them.
func (n *Node) heardAway(now time.Time) int {
	count := 0
	for _, heard := range n.peers {
		if heard.load.StoreAway && now.Sub(heard.at) <= awayAge {
			count++
		}
	}
	return count
}

// OthersAway reports whether another daemon said lately that the store does not answer it.
func (n *Node) OthersAway(now time.Time) bool { return n.heardAway(now) > 0 }

// awayAge is how old such a word may be. In a large fleet each daemon tells some others five times
// a second, so within it one hears from most.
const awayAge = 4 * time.Second

// hearOfWatcher takes in that another daemon watches the store, or has heard of one that
// does. In a large fleet most daemons seldom hear a watcher itself. What is told at second
// hand is not told on, so that such news cannot go round for ever.
func (n *Node) hearOfWatcher(now time.Time, load *Load) {
	switch {
	case load.Watching && !load.StoreAway:
		n.watcherAt, n.watcherHeardAt = now, now
	case load.Watched > 0 && now.Add(-load.Watched).After(n.watcherAt):
		n.watcherAt = now.Add(-load.Watched)
	}
}

// watched is what this daemon tells of the watchers that it heard.
func (n *Node) watched(now time.Time) time.Duration {
	if age := now.Sub(n.watcherHeardAt); age <= n.settings.WatcherSilence {
		return max(age, time.Nanosecond)
	}
	return 0
}

// knowsSince reports whether this daemon may know something of a collection that one which is complete up to a place
// does not.
func (n *Node) knowsSince(source Source, place history.Place) bool {
	return n.ownVersion(source).After(place) || n.sources[source].firstList.After(place)
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
	if n.instances.Known() && n.knowsSince(SourceInstances, asked.Instances) {
		answer.Instances = n.listing(asked.Instances)
	}
	if n.evacuations.Known() && n.knowsSince(SourceEvacuations, asked.Evacuations) {
		answer.Evacuations = n.evacuationListing()
	}
	n.do(SendPeer{Address: other.PeerAddress, Message: answer})
}

// listing is what changed after a place, or everything if that is not kept.
func (n *Node) listing(since history.Place) *Listing {
	changes, kept := n.instances.Since(since)
	items := changes.Items
	if !kept {
		items = n.instances.Items()
	}
	listing := &Listing{
		At: n.instances.At(), Until: n.instances.Until(), Since: changes.After, Changes: kept, PassedOver: changes.PassedOver,
	}
	for _, item := range items {
		if item.Place.Era < listing.At.Era {
			// The store may have lost it, or it may be gone: the other one knows as much.
			continue
		}
		listed := ListedInstance{Place: item.Place, Gone: item.Gone}
		if item.Gone {
			listed.Value.ID = item.Name
		} else {
			listed.Value = *item.Value
			// A daemon that has just started hears it too.
			listed.Value.Leaving = listed.Value.Leaving || n.departures.leaving(item.Name)
		}
		listing.Items = append(listing.Items, listed)
	}
	return listing
}

// takeListing takes in the instances that another daemon knows.
func (n *Node) takeListing(now time.Time, from origin, listing *Listing) {
	batch := feed.Batch[*fleet.Instance]{At: listing.At, Until: listing.Until}
	for i := range listing.Items {
		item := &listing.Items[i]
		taken := feed.Item[*fleet.Instance]{Name: item.Value.ID, Place: item.Place, Gone: item.Gone}
		if !item.Gone {
			taken.Value = &item.Value
		}
		batch.Items = append(batch.Items, taken)
	}
	if listing.Changes {
		changes := feed.Changes[*fleet.Instance]{Batch: batch, After: listing.Since, PassedOver: listing.PassedOver}
		n.instancesChanged(now, from, n.instances.Merge(changes), false)
		return
	}
	n.replaceInstances(now, from, batch)
}
