package quarantine

import (
	"slices"
	"time"
)

const (
	// crashLimit is the number of crashed servers from which a content is held. A crash ends all 6 to 64 requests of
	// its server, and a client sends each of them once or twice more. So a harmless content meets two crashes in a row
	// by chance now and then, but three hardly ever (see TestHarmlessContentsAreHardlyEverHeld).
	crashLimit = 3
	// HoldDuration is how long a content is held after the last crash under it. The next request with the content then
	// reaches a server; if that server crashes too, the content is held again. A cause that is not fixed therefore
	// crashes at most six servers an hour, in addition to servers that receive the content at the same moment.
	HoldDuration = 10 * time.Minute
	// doubtfulHoldDuration is the first hold of a part that has been in a successful answer since it was first
	// suspected. Each further crash multiplies the hold by doubtfulHoldFactor. A part that most requests of a route
	// share may be present at several crashes in a row by chance, and nothing can clear it while it is held.
	doubtfulHoldDuration = 5 * time.Second
	doubtfulHoldFactor   = 4
	// crashRetention is how long a record is kept after its last crash. A content whose record has expired has to reach
	// the crash limit again before it is held.
	crashRetention = time.Hour
	// clearedRetention is how long a record is kept without any crash that counts. It covers the time in which other
	// daemons may still report one of its crashes.
	clearedRetention = time.Minute
	// maxRecords limits the records of contents and parts, to about 2 MB. A crash adds up to 64 contents, and about as
	// many parts that no answer has cleared.
	maxRecords = 8192
	// durableCrashCount is the number of crashes from which the evidence against a content is kept in the store, so
	// that it survives the loss of all daemons before the content is held. Harmless contents reach it occasionally.
	durableCrashCount = crashLimit - 1
	// confirmationTimeout is how long an unconfirmed crash stays pending. It exceeds the three missed heartbeats, 3.6 s
	// on the platform, after which the entry of a silent server is removed.
	confirmationTimeout = 5 * time.Second
	// maxCrashesPerRecord limits the crashes that are kept for one content or part.
	maxCrashesPerRecord = 16
)

// record is the evidence against one content or part.
type record struct {
	kind Kind
	// crashes are the crashes under the content, by server.
	crashes map[string]crash
	// crashCount is the number of independent crashes that count, see updateCrashCount.
	crashCount  int
	lastCrashAt time.Time
	// clearedAt is when the last successful run ended. Crashes before it do not count, even if they are reported later.
	clearedAt time.Time
	// remoteHoldAt is the time of the last crash for which another daemon holds the part.
	remoteHoldAt time.Time
	// changedAt is when the record last gained new information.
	changedAt time.Time
	held      bool
	// heldWith are the parts that were present at the same crashes as this one: a request that has all of them is held.
	heldWith []Digest
	// durable is set if the evidence must be kept in the store.
	durable bool
	// observedLocally is set if this daemon itself sent the content to a server that crashed.
	observedLocally bool
}

// suspectServers returns the servers whose crash the content may have caused.
func (r *record) suspectServers() []string {
	var servers []string
	for server, seen := range r.crashes {
		if !seen.void {
			servers = append(servers, server)
		}
	}
	return servers
}

// Tracker tracks which contents and shared parts of prompts were running on servers that crashed, and decides which of
// them are held: requests with a held content or part are not sent to servers. Trackers with the same information make
// the same decisions, whatever the order in which they received it. A Tracker is not safe for concurrent use.
type Tracker struct {
	// limit is the number of crashes from which a content is held, partLimit the number for a part.
	limit, partLimit int

	records map[Digest]*record
	// digestsAtCrash are the contents and parts that were running on a server when it crashed, by server.
	digestsAtCrash map[string][]Digest
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{limit: crashLimit, partLimit: partCrashLimit, records: map[Digest]*record{}, digestsAtCrash: map[string][]Digest{}}
}

// Empty reports whether no content is suspected.
func (t *Tracker) Empty() bool { return len(t.records) == 0 }

// IsSuspected reports whether a content ran on a server with a confirmed or pending crash and has had no successful run
// since.
func (t *Tracker) IsSuspected(now time.Time, content Digest) bool {
	rec := t.records[content]
	return rec != nil && (rec.crashCount > 0 || !rec.confirmDeadline(now).IsZero())
}

// PendingUntil returns until when a content must wait because it would be held if its pending crashes were confirmed;
// the zero time if it may run.
func (t *Tracker) PendingUntil(now time.Time, content Digest) time.Time {
	rec := t.records[content]
	if rec == nil || rec.crashCount >= t.limitOf(rec.kind) {
		return time.Time{}
	}
	if rec.longestChain(func(seen crash) bool { return seen.counts() || seen.pending(now) }) < t.limitOf(rec.kind) {
		return time.Time{}
	}
	return rec.confirmDeadline(now)
}

// confirmDeadline returns when the oldest pending crash stops being pending unless it is confirmed before; the zero
// time if no crash is pending.
func (r *record) confirmDeadline(now time.Time) time.Time {
	var first time.Time
	for _, seen := range r.crashes {
		if until := seen.at.Add(confirmationTimeout); seen.pending(now) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// HeldUntil returns until when requests with a content are not sent to servers; the zero time if the content is not
// held.
func (t *Tracker) HeldUntil(now time.Time, content Digest) time.Time {
	rec := t.records[content]
	if rec == nil || !rec.held {
		return time.Time{}
	}
	return rec.holdsUntil(now)
}

// holdDuration is how long the record holds requests after its last crash.
func (r *record) holdDuration() time.Duration {
	if r.kind != KindPart || r.clearedAt.IsZero() {
		return HoldDuration
	}
	duration := doubtfulHoldDuration
	for crashes := partCrashLimit; crashes < r.crashCount && duration < HoldDuration; crashes++ {
		duration *= doubtfulHoldFactor
	}
	return min(duration, HoldDuration)
}

// holdsUntil returns until when the record holds requests; the zero time if that time has passed.
func (r *record) holdsUntil(now time.Time) time.Time {
	until := r.lastCrashAt.Add(r.holdDuration())
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// Change lists the effects of an update on a tracker.
type Change struct {
	// Added is the part of the update that was new.
	Added Update
	// Held are the contents that are held now and were not before, Released those that are no longer held.
	Held, Released []Digest
	// Durable are the contents whose evidence must be written to the store, because it has become durable or the
	// content is now held; NoLongerDurable are those whose evidence must be removed from it.
	Durable, NoLongerDurable []Digest
}

// InterruptedRequest is a request that was running on a server when it crashed.
type InterruptedRequest struct {
	Content Digest
	// Parts are the shared parts of its prompt that may be the cause.
	Parts []Part
	// Began is the start of the first of its runs that the crash ended.
	Began time.Time
}

// RecordCrash records the contents that this daemon was running on a server when it crashed.
func (t *Tracker) RecordCrash(now, at time.Time, server string, victims []InterruptedRequest) Change {
	return t.addCrash(now, at, server, victims, false)
}

// RecordUnconfirmedCrash records the contents that this daemon was running on a server that closes new connections.
func (t *Tracker) RecordUnconfirmedCrash(now, at time.Time, server string, victims []InterruptedRequest) Change {
	return t.addCrash(now, at, server, victims, true)
}

func (t *Tracker) addCrash(now, at time.Time, server string, victims []InterruptedRequest, unconfirmed bool) Change {
	var update Update
	left := maxPartsPerCrash
	for _, victim := range latestStartFirst(victims) {
		crash := CrashReport{Server: server, Age: now.Sub(at), Ran: max(0, at.Sub(victim.Began)), Unconfirmed: unconfirmed}
		update.Items = append(update.Items, Item{Digest: victim.Content, Crashes: []CrashReport{crash}})
		for _, part := range victim.Parts[:min(len(victim.Parts), left)] {
			left--
			update.Items = append(update.Items, Item{Digest: part.Digest, Kind: KindPart, Crashes: []CrashReport{crash}})
		}
	}
	change := t.Merge(now, update)
	for i := range update.Items {
		if rec := t.records[update.Items[i].Digest]; rec != nil {
			rec.observedLocally = true
		}
	}
	return change
}

// maxPartsPerCrash limits the parts that one daemon reports for one crash.
const maxPartsPerCrash = 128

// latestStartFirst orders requests so that the most likely causes come first: a server crashes soon after it begins to
// run the request that crashes it.
func latestStartFirst(victims []InterruptedRequest) []InterruptedRequest {
	return slices.SortedStableFunc(slices.Values(victims), func(one, other InterruptedRequest) int { return other.Began.Compare(one.Began) })
}

// ObservedLocally reports whether this daemon itself sent a content to a server that crashed.
func (t *Tracker) ObservedLocally(content Digest) bool {
	rec := t.records[content]
	return rec != nil && rec.observedLocally
}

// RecordSuccess records a successful run of a content: none of the crashes so far counts against it.
func (t *Tracker) RecordSuccess(now time.Time, content Digest) Change {
	rec := t.records[content]
	if rec == nil {
		return Change{}
	}
	item := Item{Digest: content, Kind: rec.kind, Cleared: true}
	for _, server := range rec.suspectServers() {
		item.Crashes = append(item.Crashes, rec.crashes[server].report(now, server))
		item.Crashes[len(item.Crashes)-1].Void = true
	}
	return t.Merge(now, Update{Items: []Item{item}})
}

// Merge applies an update of another tracker, and returns what changed.
func (t *Tracker) Merge(now time.Time, update Update) Change {
	var change Change
	affected := map[Digest]bool{}
	for i := range update.Items {
		item := &update.Items[i]
		added := Item{Digest: item.Digest, Kind: item.Kind}
		for _, report := range slices.Concat(t.clear(now, item), item.Crashes) {
			if t.mergeCrash(now, item, report) {
				added.Crashes = append(added.Crashes, report)
			}
		}
		if len(added.Crashes) > 0 {
			added.Cleared, added.ClearedAge = t.records[item.Digest].cleared(now)
			change.Added.Items = append(change.Added.Items, added)
		}
		if t.mergeRemoteHold(now, item) {
			affected[item.Digest] = true
		}
	}
	t.addAffected(&change.Added, affected)
	for content := range affected {
		rec := t.records[content]
		before, durable := rec.holds(), rec.durable
		t.updateHold(content, rec)
		rec.durable = rec.crashCount >= durableCrashCount
		switch {
		case rec.durable && (!durable || rec.holds() && !before):
			change.Durable = append(change.Durable, content)
		case durable && !rec.durable:
			change.NoLongerDurable = append(change.NoLongerDurable, content)
		}
		switch {
		case rec.holds() && !before:
			change.Held = append(change.Held, content)
		case !rec.holds() && before:
			change.Released = append(change.Released, content)
		}
	}
	return change
}

// cleared reports whether there was a successful run, and how long ago the last one ended.
func (r *record) cleared(now time.Time) (cleared bool, age time.Duration) {
	if r.clearedAt.IsZero() {
		return false, 0
	}
	return true, now.Sub(r.clearedAt)
}

// clear merges the end of the last successful run into the record, and returns the crashes that no longer count.
func (t *Tracker) clear(now time.Time, item *Item) []CrashReport {
	rec, at := t.records[item.Digest], item.clearedAt(now)
	if rec == nil || !at.After(rec.clearedAt) {
		return nil
	}
	rec.clearedAt = at
	var void []CrashReport
	for _, server := range rec.suspectServers() {
		if seen := rec.crashes[server]; !seen.at.After(at) {
			seen.void = true
			void = append(void, seen.report(now, server))
		}
	}
	return void
}

// mergeRemoteHold records that another daemon holds a part, and reports whether that is new.
func (t *Tracker) mergeRemoteHold(now time.Time, item *Item) bool {
	rec := t.records[item.Digest]
	if rec == nil || !item.Held {
		return false
	}
	var last time.Time
	for _, report := range item.Crashes {
		if reported := report.crash(now); !reported.void && reported.at.After(last) {
			last = reported.at
		}
	}
	isNew := rec.remoteHoldAt.IsZero() && !last.IsZero()
	if last.After(rec.remoteHoldAt) {
		rec.remoteHoldAt = last
	}
	return isNew
}

// addAffected adds the contents and parts whose hold may depend on the changed items: all that were present at a crash
// of one of these items.
func (t *Tracker) addAffected(changed *Update, affected map[Digest]bool) {
	for i := range changed.Items {
		rec := t.records[changed.Items[i].Digest]
		if rec == nil {
			continue
		}
		for server := range rec.crashes {
			for _, content := range t.digestsAtCrash[server] {
				affected[content] = true
			}
		}
	}
}

// mergeCrash merges one crash under a content or part, and reports whether it added information.
func (t *Tracker) mergeCrash(now time.Time, item *Item, report CrashReport) bool {
	content := item.Digest
	reported := report.crash(now)
	if now.Sub(reported.at) >= crashRetention {
		return false
	}
	rec := t.records[content]
	if rec == nil {
		t.evictIfFull(now)
		rec = &record{kind: item.Kind, crashes: map[string]crash{}, clearedAt: item.clearedAt(now)}
		t.records[content] = rec
	}
	before, seen := rec.crashes[report.Server]
	if !seen {
		if len(rec.crashes) >= maxCrashesPerRecord {
			if !rec.acceptsWhenFull(report.Server, reported) {
				return false
			}
			t.removeCrash(content, rec.leastRelevantCrash())
		}
		t.digestsAtCrash[report.Server] = append(t.digestsAtCrash[report.Server], content)
		before = reported
	}
	// Of several reports of one crash, the earliest times are the most accurate.
	merged := crash{
		at: earlier(before.at, reported.at), began: earlier(before.began, reported.began), void: before.void || reported.void,
		unconfirmed: before.unconfirmed && reported.unconfirmed,
	}
	merged.void = merged.void || !rec.clearedAt.IsZero() && !merged.at.After(rec.clearedAt)
	rec.crashes[report.Server] = merged
	if !seen || merged.void != before.void || merged.unconfirmed != before.unconfirmed {
		rec.changedAt = now
	}
	if merged.at.After(rec.lastCrashAt) {
		rec.lastCrashAt = merged.at
	}
	rec.updateCrashCount()
	return !seen || merged != before
}
