package coordination

import (
	"math"
	"slices"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/member"
)

// freshnessState holds the moment for which this daemon's configuration is proven to be the newest. A silent
// watch proves nothing, and neither does a list that may be stale. A linearizable read of the store
// proves it for the moment at which the read began. A response of another daemon proves it for the
// moment of the request, less the age that the response reports. No clocks are compared.
type freshnessState struct {
	// at is that moment on this daemon's monotonic clock; zero if nothing is proven.
	at time.Time
	// confirmedVersion is a newer version that another daemon confirmed, and confirmedAt the moment for
	// which it is proven. Both take effect once that version is in force here.
	confirmedVersion uint64
	confirmedAt      time.Time

	readAt  time.Time
	reading bool
	// firstReadRepeated is set once the first read has been repeated.
	firstReadRepeated bool
	// substituteUntil is until when this daemon reads the store for the fleet although its rank is not
	// zero, because the daemons of lower rank do not seem to reach the store.
	substituteUntil time.Time
	// firstSubstituteUntil is until when this daemon is the first to become the substitute reader
	// again.
	firstSubstituteUntil time.Time
	// sequence numbers the requests. It starts at a random number, so that a response to an earlier
	// process of this daemon matches none of them. queriedAt is when the last request was sent.
	sequence       uint64
	queriedAt      time.Time
	awaitingAnswer bool
}

// FreshnessRequest requests from another daemon the moment for which its configuration is proven to be the
// newest.
type FreshnessRequest struct {
	Sequence uint64 `msgpack:"n"`
}

// FreshnessResponse is the response: Version was the newest one Age before the response was sent.
type FreshnessResponse struct {
	Sequence uint64        `msgpack:"n"`
	Version  uint64        `msgpack:"v"`
	Age      time.Duration `msgpack:"a"`
}

// ReadConfiguration makes the driver read the newest configuration from the store. The driver passes
// the result to ConfigurationRead or ConfigurationReadFailed.
type ReadConfiguration struct{}

func (ReadConfiguration) action() {}

// Ratios of Settings.RevokeWithin, the time within which a revoked key must stop working (5 s in
// production). If the configuration is older than half of it when an outage begins, requests that could
// be served are cut off.
const (
	// readIntervalRatio gives the interval between two reads by the daemon of rank zero: 0.5 s.
	readIntervalRatio = 0.1
	// queryIntervalRatio gives the interval between two requests of all other daemons: 0.4 s. With two
	// hops from the reader to the last daemon, ages stay below 1.4 s.
	queryIntervalRatio = 0.08
	// substituteStaggerRatio gives how much older its configuration must be, for each rank, before a
	// daemon reads the store itself. By then no daemon of lower rank seems to reach the store.
	substituteStaggerRatio = 0.05
	// substituteTermRatio gives how long a substitute that reached the store continues to read for the
	// fleet: 2.5 s.
	substituteTermRatio = 0.5
	// firstSubstituteTermRatio gives how long, counted from the same read, such a substitute reads
	// again as soon as its configuration reaches the lowest substitute age: 5 s. Otherwise, after each
	// term of a substitute, all daemons would reach the age that they had before the first
	// substitution.
	firstSubstituteTermRatio = 1
	// queryTimeoutRatio gives the timeout of a request to another daemon: 0.15 s.
	queryTimeoutRatio = 0.03
	// rankedSubstitutes is how many daemons substitute for the reader in the order of their ranks. The
	// others read at random, all of them together twice as often as the reader does.
	rankedSubstitutes = 3
	// directQueryExponent is the exponent of the fleet size that gives how many daemons query the
	// reader itself. The others query one of those.
	directQueryExponent = 0.5
)

// ProvenSince returns the moment for which the configuration is proven to be the newest, on this daemon's
// monotonic clock; zero if nothing is proven.
func (n *Node) ProvenSince() time.Time { return n.freshness.at }

// revokeFraction returns a fraction of the time within which a revoked key must stop working.
func (n *Node) revokeFraction(revokeFraction float64) time.Duration {
	return time.Duration(revokeFraction * float64(n.settings.RevokeWithin))
}

// tickFreshness keeps the proof recent that the configuration is the newest. The daemon of rank zero
// reads the store, some daemons query it, and the others query those.
func (n *Node) tickFreshness(now time.Time) {
	if n.settings.RevokeWithin == 0 {
		return
	}
	if n.readDue(now) {
		n.freshness.reading, n.freshness.readAt = true, now
		n.enqueue(ReadConfiguration{})
	}
	if n.queryDue(now) {
		n.queryFreshness(now)
	}
}

func (n *Node) readDue(now time.Time) bool {
	state := &n.freshness
	interval, sinceRead := n.revokeFraction(readIntervalRatio), now.Sub(state.readAt)
	if state.reading || sinceRead < interval {
		return false
	}
	rank, age := n.Rank(), now.Sub(state.at)
	switch {
	case rank == 0, state.readAt.IsZero(), now.Before(state.substituteUntil):
		// A daemon that has just started reads at once, since it serves no requests before.
		return true
	case now.Before(state.firstSubstituteUntil):
		return age >= n.substituteAge(0)
	case age < n.substituteAge(rank):
		return false
	case rank < rankedSubstitutes:
		return sinceRead >= 2*interval
	default:
		// On average two of these daemons read per interval, chosen at random. Each daemon draws at
		// every tick.
		drawsPerRead := float64(n.detector.LiveCount()) * float64(interval) / float64(2*TickInterval)
		return n.random.Float64() < 1/math.Max(1, drawsPerRead)
	}
}

// substituteAge is the configuration age at which a daemon of a rank assumes that the readers before it
// are cut off from the store.
func (n *Node) substituteAge(rank int) time.Duration {
	return n.revokeFraction(readIntervalRatio + 2*queryIntervalRatio + queryTimeoutRatio + substituteStaggerRatio*float64(min(rank, rankedSubstitutes)))
}

// queryDue reports whether this daemon should query another one now.
func (n *Node) queryDue(now time.Time) bool {
	state := &n.freshness
	if state.awaitingAnswer && now.Sub(state.queriedAt) < n.revokeFraction(queryTimeoutRatio) {
		return false
	}
	if n.Rank() == 0 && now.Sub(state.at) < n.revokeFraction(2*readIntervalRatio) {
		return false
	}
	return state.awaitingAnswer || now.Sub(state.queriedAt) >= n.revokeFraction(queryIntervalRatio)
}

// queryFreshness queries a daemon that is one hop nearer to the store. After a request without a
// response it queries any other daemon.
func (n *Node) queryFreshness(now time.Time) {
	state := &n.freshness
	unanswered := state.awaitingAnswer
	old := now.Sub(state.at) >= n.substituteAge(0) && n.random.IntN(4) == 0
	if name := n.pickFreshnessPeer(unanswered || old); name != "" {
		n.queryAssuranceOf(now, name)
	} else {
		state.awaitingAnswer = false
	}
}

func (n *Node) queryAssuranceOf(now time.Time, name string) {
	state := &n.freshness
	state.queriedAt = now
	state.sequence++
	state.awaitingAnswer = true
	n.sendAll([]string{name}, Message{From: n.self, FreshnessRequest: &FreshnessRequest{Sequence: state.sequence}})
}

// pickFreshnessPeer picks the daemon to query at random. The first ranks query the reader, the others
// one of the first ranks. With anyOne set, any daemon may be picked.
func (n *Node) pickFreshnessPeer(anyOne bool) string {
	order := n.liveOrder()
	rank := slices.Index(order, n.self)
	directQueries := directQueryCount(len(order))
	switch {
	case len(order) < 2:
		return ""
	case anyOne || rank <= 0:
		return n.randomOther(order, rank)
	case rank < directQueries || directQueries < 2:
		return order[0]
	default:
		return order[1+n.random.IntN(directQueries-1)]
	}
}

// directQueryCount returns how many of count daemons query the reader itself.
func directQueryCount(count int) int {
	return int(math.Ceil(math.Pow(float64(count), directQueryExponent)))
}

// randomOther returns a random name of a list, other than the one at this daemon's rank.
func (n *Node) randomOther(order []string, rank int) string {
	picked := n.random.IntN(len(order))
	if picked == rank {
		picked = (picked + 1) % len(order)
	}
	return order[picked]
}

// liveOrder lists the live daemons in the order of their ranks.
func (n *Node) liveOrder() []string {
	revision := n.MembersRevision()
	if n.rankedLive != nil && revision == n.rankedRevision {
		return n.rankedLive
	}
	n.rankedLive, n.rankedRevision = nil, revision
	for _, known := range member.Ranked(n.detector.LiveMembers(), rankSalt) {
		n.rankedLive = append(n.rankedLive, known.Name)
	}
	return n.rankedLive
}

// answerFreshness sends another daemon the moment for which the configuration here is proven to be the
// newest.
func (n *Node) answerFreshness(now time.Time, from string, request *FreshnessRequest) {
	if n.freshness.at.IsZero() {
		return
	}
	answer := &FreshnessResponse{Sequence: request.Sequence, Version: n.configurationVersion(), Age: now.Sub(n.freshness.at)}
	n.sendAll([]string{from}, Message{From: n.self, FreshnessResponse: answer})
}

// recordFreshnessResponse processes a response. It was sent after the request, so its moment is at least the
// moment of the request less the reported age.
func (n *Node) recordFreshnessResponse(from string, response *FreshnessResponse) {
	state := &n.freshness
	if !state.awaitingAnswer || response.Sequence != state.sequence || response.Age < 0 {
		return
	}
	state.awaitingAnswer = false
	n.recordPeerVersion(SourceConfiguration, from, configurationPlace(response.Version))
	n.recordFreshness(response.Version, state.queriedAt.Add(-response.Age))
}

// recordFreshness records that a version was the newest at a moment.
func (n *Node) recordFreshness(version uint64, at time.Time) {
	state := &n.freshness
	switch {
	case version <= n.configurationVersion():
		if at.After(state.at) {
			state.at = at
		}
	case version > state.confirmedVersion || version == state.confirmedVersion && at.After(state.confirmedAt):
		state.confirmedVersion, state.confirmedAt = version, at
	}
}

// applyConfirmedVersion applies the proof for a confirmed version once that version is in force here.
func (n *Node) applyConfirmedVersion() {
	if state := &n.freshness; state.confirmedVersion > 0 && state.confirmedVersion <= n.configurationVersion() {
		version, at := state.confirmedVersion, state.confirmedAt
		state.confirmedVersion, state.confirmedAt = 0, time.Time{}
		n.recordFreshness(version, at)
	}
}

// readFinished processes the end of a read, which found the newest version or failed. A daemon that
// reached the store while others did not for some time notifies the daemons that the rest query. The
// notification proves nothing to them: they send a request in turn.
func (n *Node) readFinished(begunAt time.Time, version uint64, found bool) {
	state := &n.freshness
	state.reading = false
	if !found {
		state.substituteUntil, state.firstSubstituteUntil = time.Time{}, time.Time{}
		return
	}
	substituteDue := !state.at.IsZero() && begunAt.Sub(state.at) >= n.substituteAge(0)
	substituting := begunAt.Before(state.substituteUntil)
	n.recordFreshness(version, begunAt)
	if substituteDue && n.Rank() > 0 {
		state.substituteUntil, state.firstSubstituteUntil = begunAt.Add(n.revokeFraction(substituteTermRatio)), begunAt.Add(n.revokeFraction(firstSubstituteTermRatio))
	}
	if substituteDue || substituting {
		order := n.liveOrder()
		n.sendAll(order[:directQueryCount(len(order))], Message{From: n.self, StoreReader: true})
	}
}

// queryStoreReader queries a daemon that has reached the store, if the proof held here is old.
func (n *Node) queryStoreReader(now time.Time, name string) {
	if now.Sub(n.freshness.at) >= n.revokeFraction(readIntervalRatio+queryIntervalRatio) {
		n.queryAssuranceOf(now, name)
	}
}

// ConfigurationReadResult is the result of a read of the newest configuration.
type ConfigurationReadResult struct {
	BegunAt time.Time
	// Era is the era of the store that returned the result.
	Era     uint64
	Version uint64
	// Configuration is nil if the version has been read before.
	Configuration *fleet.Configuration
}

// ConfigurationRead processes the result of a read of the newest configuration.
func (n *Node) ConfigurationRead(now time.Time, read ConfigurationReadResult) []Action {
	n.recordEra(now, originStore, read.Era)
	if read.Configuration != nil {
		n.applyConfiguration(read.Configuration)
	}
	n.readFinished(read.BegunAt, read.Version, n.provesNewest(&read))
	return n.takeActions()
}

// ConfigurationReadFailed records that a read of the configuration failed.
func (n *Node) ConfigurationReadFailed() []Action {
	n.readFinished(time.Time{}, 0, false)
	return n.takeActions()
}

// repeatFirstRead makes a daemon that has just started read the configuration again as soon as the lease
// record shows that the era is old enough. Its first read came too early to prove anything. When a
// whole fleet restarts, the next read is half a second away.
func (n *Node) repeatFirstRead() {
	state := &n.freshness
	if state.firstReadRepeated || !state.at.IsZero() || n.lease.EraAge() < rewriteWindow {
		return
	}
	state.firstReadRepeated, state.readAt = true, time.Time{}
}

// provesNewest reports whether a read proves which configuration was the newest. After the store was
// restored from an earlier copy, the copy may hold an older version. The read counts only after the operator has
// had time to write the newest version again, and only if the store returns at least the version known
// here.
func (n *Node) provesNewest(read *ConfigurationReadResult) bool {
	return n.rewritten(read.BegunAt) && (n.eras.advanced == 0 || read.Version >= n.configurationVersion())
}
