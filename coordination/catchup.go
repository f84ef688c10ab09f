package coordination

import (
	"math"
	"time"

	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/history"
)

// sourceState is the state of synchronization of one collection of the store.
type sourceState struct {
	// behindSince is since when another daemon has had a newer version; zero if none has.
	behindSince time.Time
	// newest is the newest version that another daemon reported, and newestFrom the name of that
	// daemon.
	newest     history.Place
	newestFrom string
	// routes is the number of routes of that configuration.
	routes int
	// firstList is the place in the store's history of the first list received here.
	firstList history.Place
	// unavailable means that the store does not answer this daemon.
	unavailable bool
	// lastAttemptAt is when this daemon last tried to catch up. refreshedForPeerAt is when it last
	// refreshed from the store on behalf of another daemon.
	lastAttemptAt      time.Time
	refreshedForPeerAt time.Time
}

// SourceAvailable records whether the store answers this daemon for a collection.
func (n *Node) SourceAvailable(source Source, available bool) []Action {
	n.sources[source].unavailable = !available
	return n.takeActions()
}

func (n *Node) configurationVersion() uint64 {
	if n.configuration == nil {
		return 0
	}
	return n.configuration.Version
}

// recordPeerVersions records the versions that another daemon reports.
func (n *Node) recordPeerVersions(now time.Time, from string, versions Versions) {
	if !versions.Instances.IsZero() {
		n.recordEra(now, origin(from), versions.Instances.Era)
	}
	if !configurationPlace(versions.Configuration).Before(n.sources[SourceConfiguration].newest) {
		n.sources[SourceConfiguration].routes = versions.Routes
	}
	n.recordPeerVersion(SourceConfiguration, from, configurationPlace(versions.Configuration))
	n.recordPeerVersion(SourceInstances, from, versions.Instances)
	n.recordPeerVersion(SourceEvacuations, from, versions.Evacuations)
	if !n.Watching(now) {
		// No daemon reports removals between this daemon's list and the first list of a daemon that
		// watches the store.
		n.recordPeerVersion(SourceInstances, from, versions.InstancesFrom)
		n.recordPeerVersion(SourceEvacuations, from, versions.EvacuationsFrom)
	}
}

// recordFirstList records the place of the first list of a collection.
func (n *Node) recordFirstList(source Source, at history.Place) {
	if state := n.sources[source]; state.firstList.IsZero() {
		state.firstList = at
	}
}

func (n *Node) recordPeerVersion(source Source, from string, version history.Place) {
	state := n.sources[source]
	if !version.Before(state.newest) && !version.IsZero() {
		state.newest, state.newestFrom = version, from
	}
}

// configurationPlace returns a version of the configuration as a place. The operator's versions rise
// even across a restore of the store, so they belong to no era.
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

// completePlace is the place up to which this daemon knows a collection completely. Unlike the version,
// it also advances without a change of the collection.
func (n *Node) completePlace(source Source) history.Place {
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

// versions returns the versions that this daemon has.
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

// tickSources catches up with newer versions of other daemons. It refreshes from the store, and
// requests the data from the other daemon as well if the store does not answer here.
func (n *Node) tickSources(now time.Time) {
	for _, source := range sourcesInOrder {
		state := n.sources[source]
		if !state.newest.After(n.completePlace(source)) {
			state.behindSince = time.Time{}
			continue
		}
		if state.behindSince.IsZero() {
			state.behindSince = now
		}
		n.catchUp(now, source, state)
	}
}

// minRefreshInterval is the minimum interval between two lists that are caused by another daemon's
// newer version.
const minRefreshInterval = 500 * time.Millisecond

// catchesUpFromStore reports whether this daemon catches up from the store: it watches the store, and
// the store answers.
func (n *Node) catchesUpFromStore(now time.Time, state *sourceState) bool {
	return !state.unavailable && n.Watching(now)
}

// routesPerQueryInterval is the number of routes that lengthens the interval between two requests by
// one more RequestInterval.
const routesPerQueryInterval = 128

// queryInterval is the minimum interval between two requests to another daemon. A large response takes
// time to transfer, and a second one would only delay it.
func (n *Node) queryInterval(state *sourceState) time.Duration {
	return n.settings.RequestInterval * time.Duration(1+state.routes/routesPerQueryInterval)
}

// catchUp refreshes a collection from the store, or requests it from another daemon.
func (n *Node) catchUp(now time.Time, source Source, state *sourceState) {
	catchesUpFromStore := n.catchesUpFromStore(now, state)
	interval, delay := n.queryInterval(state), time.Duration(0)
	if catchesUpFromStore {
		interval, delay = minRefreshInterval, n.settings.RefreshDelay
	}
	if now.Sub(state.behindSince) < delay || now.Sub(state.lastAttemptAt) < interval {
		return
	}
	state.lastAttemptAt = now
	if catchesUpFromStore || state.unavailable {
		n.logEntry(string(source), "Version older than another daemon's; refreshing from the store.", "own", n.ownVersion(source), "other", state.newest, "daemon", state.newestFrom,
			"store_available", !state.unavailable)
		n.enqueue(Refresh{Source: source})
	}
	if catchesUpFromStore {
		return
	}
	if other, found := n.detector.Lookup(state.newestFrom); found {
		request := n.versionsQuery(source)
		n.enqueue(SendPeer{Address: other.PeerAddress, Message: Message{From: n.self, Request: &request}})
	}
}

// versionsQuery returns a request for one collection only. The others may be large, and may already be
// in transit.
func (n *Node) versionsQuery(source Source) Versions {
	request := Versions{
		Configuration: n.configurationVersion(), Instances: n.completePlace(SourceInstances), Evacuations: n.completePlace(SourceEvacuations),
	}
	return request.restrictedTo(source)
}

// restrictedTo removes the other collections from a request.
func (v Versions) restrictedTo(source Source) Versions {
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

// substituteWatchDuration is how long a daemon watches the store that began to do so because no watcher
// was reachable. substituteRankDelay is the additional delay of each further rank, so that the others
// receive updates of the first substitutes before they begin.
const (
	substituteWatchDuration = 2 * time.Second
	substituteRankDelay     = 20 * time.Millisecond
)

// Watching reports whether this daemon should watch the store. It should if its rank is among the
// first, or if no watcher was reachable recently. A daemon that has just started first waits for
// updates from the others. It already has a list, and can start to watch from there a moment later.
func (n *Node) Watching(now time.Time) bool {
	if now.Sub(n.started) < n.settings.WatchDelay {
		return false
	}
	return n.Rank() < n.settings.Watchers || now.Before(n.watchUntil)
}

// tickWatching makes this daemon watch the store for a while if no watcher has been reachable.
func (n *Node) tickWatching(now time.Time) {
	rank := n.Rank()
	if rank < n.settings.Watchers || now.Sub(n.watcherSeenAt) <= n.settings.WatcherTimeout+n.substituteDelay(rank) {
		return
	}
	if now.Before(n.watchUntil) || n.shouldSubstitute(now) {
		n.watchUntil = now.Add(substituteWatchDuration)
	}
}

// substituteDelay is how much later a daemon of a rank begins to substitute for the watchers. The
// daemons of one batch begin almost together. Each further batch waits until the one before it has
// found that the store does not answer it either.
func (n *Node) substituteDelay(rank int) time.Duration {
	batch := max(0, rank-n.settings.Watchers) / substitutesPerBatch
	return time.Duration(rank)*substituteRankDelay + time.Duration(batch)*substituteBatchDelay
}

// shouldSubstitute reports whether this daemon should try to watch the store. If the store answered
// none that tried, about one daemon per second tries at random. That soon detects whether the store
// answers others, and costs no more calls than the watches that it replaces.
func (n *Node) shouldSubstitute(now time.Time) bool {
	if n.countStoreUnavailable(now) < n.settings.Watchers+substitutesPerBatch {
		return true
	}
	drawsPerAttempt := float64(len(n.detector.Live())) * float64(time.Second) / float64(TickInterval)
	return n.random.Float64() < 1/drawsPerAttempt
}

const (
	// substitutesPerBatch is how many daemons beyond the watchers try the store at once, before the
	// others try at random. The store may reject a part of the fleet.
	substitutesPerBatch = 3
	// substituteBatchDelay is slightly longer than a call that the store does not answer.
	substituteBatchDelay = 800 * time.Millisecond
)

// countStoreUnavailable counts the daemons that recently reported that the store does not answer them.
func (n *Node) countStoreUnavailable(now time.Time) int {
	count := 0
	for _, peer := range n.peers {
		if peer.load.StoreUnavailable && now.Sub(peer.at) <= storeAwayTTL {
			count++
		}
	}
	return count
}

// PeersWithoutStore reports whether another daemon recently reported that the store does not answer it.
func (n *Node) PeersWithoutStore(now time.Time) bool { return n.countStoreUnavailable(now) > 0 }

// storeAwayTTL is how long such a report counts. In a large fleet each daemon sends its state to some
// others five times a second. Within this time a daemon receives updates from most others.
const storeAwayTTL = 4 * time.Second

// recordWatcher records that another daemon watches the store, or has received an update from a
// watcher. In a large fleet most daemons seldom receive updates from a watcher directly. Second-hand
// reports are not forwarded, so they cannot circulate for ever.
func (n *Node) recordWatcher(now time.Time, load *Load) {
	switch {
	case load.Watching && !load.StoreUnavailable:
		n.watcherSeenAt, n.watcherReceivedAt = now, now
	case load.WatcherAge > 0 && now.Add(-load.WatcherAge).After(n.watcherSeenAt):
		n.watcherSeenAt = now.Add(-load.WatcherAge)
	}
}

// watcherAge returns how long ago this daemon received an update from a watcher, as reported to other
// daemons; zero if that is too long ago.
func (n *Node) watcherAge(now time.Time) time.Duration {
	if age := now.Sub(n.watcherReceivedAt); age <= n.settings.WatcherTimeout {
		return max(age, time.Nanosecond)
	}
	return 0
}

// hasChangesSince reports whether this daemon may have changes of a collection that a daemon lacks
// which is complete up to a place.
func (n *Node) hasChangesSince(source Source, place history.Place) bool {
	return n.ownVersion(source).After(place) || n.sources[source].firstList.After(place)
}

// answerRequest sends another daemon the data that it lacks.
func (n *Node) answerRequest(from string, request Versions) {
	other, found := n.detector.Lookup(from)
	if !found {
		return
	}
	answer := Message{From: n.self}
	if n.configurationVersion() > request.Configuration {
		answer.Configuration = n.configuration
	}
	if n.instances.Synced() && n.hasChangesSince(SourceInstances, request.Instances) {
		answer.Instances = n.listing(request.Instances)
	}
	if n.evacuations.Synced() && n.hasChangesSince(SourceEvacuations, request.Evacuations) {
		answer.Evacuations = n.evacuationListing()
	}
	n.enqueue(SendPeer{Address: other.PeerAddress, Message: answer})
}

// listing returns the changes after a place, or everything if the changes are no longer kept.
func (n *Node) listing(since history.Place) *Listing {
	changes, available := n.instances.Since(since)
	items := changes.Items
	if !available {
		items = n.instances.Items()
	}
	listing := &Listing{
		At: n.instances.At(), ListedUntil: n.instances.ListedUntil(), Since: changes.After, Changes: available, HasGaps: changes.HasGaps,
	}
	for _, item := range items {
		if item.Place.Era < listing.At.Era {
			// The store may have lost this entry in a restore, or the instance may be gone. The
			// requesting daemon knows as much.
			continue
		}
		listed := ListedInstance{Place: item.Place, Gone: item.Gone}
		if item.Gone {
			listed.Value.ID = item.Name
		} else {
			listed.Value = *item.Value
			// This includes daemons that have just started.
			listed.Value.Leaving = listed.Value.Leaving || n.departureTracker.leaving(item.Name)
		}
		listing.Items = append(listing.Items, listed)
	}
	return listing
}

// mergeListing merges the instances that another daemon sent.
func (n *Node) mergeListing(now time.Time, from origin, listing *Listing) {
	batch := feed.Batch[*fleet.Instance]{At: listing.At, ListedUntil: listing.ListedUntil}
	for i := range listing.Items {
		item := &listing.Items[i]
		merged := feed.Item[*fleet.Instance]{Name: item.Value.ID, Place: item.Place, Gone: item.Gone}
		if !item.Gone {
			merged.Value = &item.Value
		}
		batch.Items = append(batch.Items, merged)
	}
	if listing.Changes {
		changes := feed.Changes[*fleet.Instance]{Batch: batch, After: listing.Since, HasGaps: listing.HasGaps}
		n.instancesChanged(now, from, n.instances.Merge(changes), false)
		return
	}
	n.replaceInstances(now, from, batch)
}
