package quarantine

import (
	"slices"
	"time"
)

const (
	// crashLimit is how many servers have to crash under a content before it is held. A crash takes
	// all requests of its server with it, 6 to 64 of them, and a client sends each once or twice
	// more: a harmless one meets two crashes in a row by chance now and then, three hardly ever
	// (TestHarmlessContentsAreHardlyEverHeld gives the figures).
	crashLimit = 3
	// HoldSpan is how long a content is held after the last server that crashed under it. The next
	// request with it reaches a server; if that crashes too, the content is held again. A cause that
	// nobody mends so ends six servers an hour at most, beside those that are sent it at one moment.
	HoldSpan = 10 * time.Minute
	// doubtfulHoldSpan is how long a part is held at first that was in a good answer since it was first suspected; each
	// crash more makes it doubtfulGrowth times as long. What is in most requests of a route may be at several crashes in
	// a row by chance, and nothing clears it while it is held.
	doubtfulHoldSpan = 5 * time.Second
	doubtfulGrowth   = 4
	// rememberSpan is how long crashes are remembered after the last one under their content.
	// Forgetting a content costs the limit once more.
	rememberSpan = time.Hour
	// clearedSpan is how long it is remembered of a content that no crash counts against it: as long
	// as somebody may still tell of one of those.
	clearedSpan = time.Minute
	// mostContents bounds the contents and parts that are remembered, to about 2 MB. A crash adds up to 64
	// contents, and about as many parts that no answer has cleared.
	mostContents = 8192
	// durableCrashes is the number of crashes from which the evidence against a content is kept in the store, so that
	// it survives the loss of all daemons before the content is held. Harmless contents reach it occasionally.
	durableCrashes = crashLimit - 1
	// confirmSpan is how long an unconfirmed crash stays pending. It exceeds the three missed heartbeats, 3.6 s on the
	// platform, after which the entry of a silent server is removed.
	confirmSpan = 5 * time.Second
	// mostCrashes bounds the crashes that are remembered of one content.
	mostCrashes = 16
)

// record is what is known of one content or part.
type record struct {
	kind    Kind
	crashes map[string]crash
	// counted is how many of them count, see count.
	counted int
	lastAt  time.Time
	// clearedAt is when the last run ended well: crashes before do not count, also those that are told later.
	clearedAt time.Time
	// heldElsewhereAt is when the last of the crashes happened by which another daemon holds the part.
	heldElsewhereAt time.Time
	// changedAt is when something new was last learned.
	changedAt time.Time
	held      bool
	// together are the parts that were at the same crashes as this one: a request that has all of them is held.
	together []Digest
	// durable is set if the evidence must be kept in the store.
	durable bool
	// witnessed says that this daemon itself sent the content to a server that crashed.
	witnessed bool
}

// live returns the servers whose crash the content may have caused.
func (r *record) live() []string {
	var servers []string
	for server, known := range r.crashes {
		if !known.void {
			servers = append(servers, server)
		}
	}
	return servers
}

// Book holds which contents, and which shared parts of prompts, ran on servers that crashed. Books that have learned the same come to
// the same verdicts, whatever the order. A Book is not safe for concurrent use.
type Book struct {
	// limit is how many crashes hold a content, partLimit how many hold a part.
	limit, partLimit int

	records map[Digest]*record
	// victims are the contents that ran on a server when it crashed.
	victims map[string][]Digest
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{limit: crashLimit, partLimit: partCrashLimit, records: map[Digest]*record{}, victims: map[string][]Digest{}}
}

// Empty reports whether no content is suspected.
func (b *Book) Empty() bool { return len(b.records) == 0 }

// Suspects reports whether a content ran on a server with a confirmed or pending crash and has not ended well since.
func (b *Book) Suspects(now time.Time, content Digest) bool {
	known := b.records[content]
	return known != nil && (known.counted > 0 || !known.confirmDeadline(now).IsZero())
}

// PendingUntil returns until when a content must wait because it would be held if its pending crashes were confirmed;
// the zero time if it may run.
func (b *Book) PendingUntil(now time.Time, content Digest) time.Time {
	known := b.records[content]
	if known == nil || known.counted >= b.limitOf(known.kind) {
		return time.Time{}
	}
	if known.longestChain(func(seen crash) bool { return seen.counts() || seen.pending(now) }) < b.limitOf(known.kind) {
		return time.Time{}
	}
	return known.confirmDeadline(now)
}

// confirmDeadline returns when the oldest pending crash stops being pending unless it is confirmed before; the zero time
// if no crash is pending.
func (r *record) confirmDeadline(now time.Time) time.Time {
	var first time.Time
	for _, seen := range r.crashes {
		if until := seen.at.Add(confirmSpan); seen.pending(now) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// HeldUntil returns until when requests of a content are kept from servers; the zero time if they
// are not.
func (b *Book) HeldUntil(now time.Time, content Digest) time.Time {
	known := b.records[content]
	if known == nil || !known.held {
		return time.Time{}
	}
	return known.holdsUntil(now)
}

// holdSpan is how long the record holds requests after its last crash.
func (r *record) holdSpan() time.Duration {
	if r.kind != KindPart || r.clearedAt.IsZero() {
		return HoldSpan
	}
	span := doubtfulHoldSpan
	for crashes := partCrashLimit; crashes < r.counted && span < HoldSpan; crashes++ {
		span *= doubtfulGrowth
	}
	return min(span, HoldSpan)
}

// holdsUntil returns until when the record holds requests; the zero time if it no longer does.
func (r *record) holdsUntil(now time.Time) time.Time {
	until := r.lastAt.Add(r.holdSpan())
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// Change is what has changed in a book.
type Change struct {
	// News is what was new.
	News Update
	// Held and Released are the contents that are held now and were not, and the other way round.
	Held, Released []Digest
	// Durable are the contents whose evidence must be written to the store, because it has become durable or the
	// content is now held; NoLongerDurable are those whose evidence must be removed from it.
	Durable, NoLongerDurable []Digest
}

// Victim is a request that ran on a server when it crashed.
type Victim struct {
	Content Digest
	// Parts are the shared parts of its prompt that may be the cause.
	Parts []Part
	// Began is when the first of its runs that the crash ended had begun.
	Began time.Time
}

// Crashed notes the contents that this daemon had on a life of a server when it crashed.
func (b *Book) Crashed(now, at time.Time, server string, victims []Victim) Change {
	return b.note(now, at, server, victims, false)
}

// UnconfirmedCrash notes the contents that this daemon had on a life of a server that closes new connections.
func (b *Book) UnconfirmedCrash(now, at time.Time, server string, victims []Victim) Change {
	return b.note(now, at, server, victims, true)
}

func (b *Book) note(now, at time.Time, server string, victims []Victim, unconfirmed bool) Change {
	var told Update
	left := mostTellingParts
	for _, victim := range lastBegunFirst(victims) {
		crash := Told{Server: server, Age: now.Sub(at), Ran: max(0, at.Sub(victim.Began)), Unconfirmed: unconfirmed}
		told.Items = append(told.Items, Item{Digest: victim.Content, Crashes: []Told{crash}})
		for _, part := range victim.Parts[:min(len(victim.Parts), left)] {
			left--
			told.Items = append(told.Items, Item{Digest: part.Digest, Kind: KindPart, Crashes: []Told{crash}})
		}
	}
	change := b.Learn(now, told)
	for i := range told.Items {
		if known := b.records[told.Items[i].Digest]; known != nil {
			known.witnessed = true
		}
	}
	return change
}

// mostTellingParts bounds the parts that one daemon tells of one crash.
const mostTellingParts = 128

// lastBegunFirst orders victims so that the most likely causes come first: a server crashes soon after it has begun to
// run the request that ends it.
func lastBegunFirst(victims []Victim) []Victim {
	return slices.SortedStableFunc(slices.Values(victims), func(one, other Victim) int { return other.Began.Compare(one.Began) })
}

// Witnessed reports whether this daemon itself sent a content to a server that crashed.
func (b *Book) Witnessed(content Digest) bool {
	known := b.records[content]
	return known != nil && known.witnessed
}

// Served notes that a run of a content ended well: no crash so far counts against it.
func (b *Book) Served(now time.Time, content Digest) Change {
	known := b.records[content]
	if known == nil {
		return Change{}
	}
	item := Item{Digest: content, Kind: known.kind, Cleared: true}
	for _, server := range known.live() {
		item.Crashes = append(item.Crashes, known.crashes[server].told(now, server))
		item.Crashes[len(item.Crashes)-1].Void = true
	}
	return b.Learn(now, Update{Items: []Item{item}})
}

// Learn takes in what another book knows.
func (b *Book) Learn(now time.Time, update Update) Change {
	var change Change
	judged := map[Digest]bool{}
	for i := range update.Items {
		item := &update.Items[i]
		added := Item{Digest: item.Digest, Kind: item.Kind}
		for _, told := range slices.Concat(b.clear(now, item), item.Crashes) {
			if b.learn(now, item, told) {
				added.Crashes = append(added.Crashes, told)
			}
		}
		if len(added.Crashes) > 0 {
			added.Cleared, added.ClearedAge = b.records[item.Digest].cleared(now)
			change.News.Items = append(change.News.Items, added)
		}
		if b.heldElsewhere(now, item) {
			judged[item.Digest] = true
		}
	}
	b.affected(&change.News, judged)
	for content := range judged {
		known := b.records[content]
		before, durable := known.holds(), known.durable
		b.judge(content, known)
		known.durable = known.counted >= durableCrashes
		switch {
		case known.durable && (!durable || known.holds() && !before):
			change.Durable = append(change.Durable, content)
		case durable && !known.durable:
			change.NoLongerDurable = append(change.NoLongerDurable, content)
		}
		switch {
		case known.holds() && !before:
			change.Held = append(change.Held, content)
		case !known.holds() && before:
			change.Released = append(change.Released, content)
		}
	}
	return change
}

// cleared tells whether a run ended well, and how long ago the last one did.
func (r *record) cleared(now time.Time) (cleared bool, age time.Duration) {
	if r.clearedAt.IsZero() {
		return false, 0
	}
	return true, now.Sub(r.clearedAt)
}

// clear takes in when a run ended well, and returns the crashes that no longer count.
func (b *Book) clear(now time.Time, item *Item) []Told {
	known, at := b.records[item.Digest], item.clearedAt(now)
	if known == nil || !at.After(known.clearedAt) {
		return nil
	}
	known.clearedAt = at
	var void []Told
	for _, server := range known.live() {
		if seen := known.crashes[server]; !seen.at.After(at) {
			seen.void = true
			void = append(void, seen.told(now, server))
		}
	}
	return void
}

// heldElsewhere notes that another daemon holds a part, and reports whether that is news.
func (b *Book) heldElsewhere(now time.Time, item *Item) bool {
	known := b.records[item.Digest]
	if known == nil || !item.Held {
		return false
	}
	var last time.Time
	for _, told := range item.Crashes {
		if said := told.crash(now); !said.void && said.at.After(last) {
			last = said.at
		}
	}
	news := known.heldElsewhereAt.IsZero() && !last.IsZero()
	if last.After(known.heldElsewhereAt) {
		known.heldElsewhereAt = last
	}
	return news
}

// affected adds the contents and parts whose verdict may hang on what was learned: those that were there at some crash
// of one of which more is known now.
func (b *Book) affected(changed *Update, found map[Digest]bool) {
	for i := range changed.Items {
		known := b.records[changed.Items[i].Digest]
		if known == nil {
			continue
		}
		for server := range known.crashes {
			for _, content := range b.victims[server] {
				found[content] = true
			}
		}
	}
}

// learn takes in one crash under a content or part and reports whether it says something new.
func (b *Book) learn(now time.Time, item *Item, told Told) bool {
	content := item.Digest
	said := told.crash(now)
	if now.Sub(said.at) >= rememberSpan {
		return false
	}
	known := b.records[content]
	if known == nil {
		b.makeRoom(now)
		known = &record{kind: item.Kind, crashes: map[string]crash{}, clearedAt: item.clearedAt(now)}
		b.records[content] = known
	}
	before, seen := known.crashes[told.Server]
	if !seen {
		if len(known.crashes) >= mostCrashes {
			if !known.makesRoomFor(told.Server, said) {
				return false
			}
			b.dropCrash(content, known.leastTelling())
		}
		b.victims[told.Server] = append(b.victims[told.Server], content)
		before = said
	}
	// Of several who tell of one crash, the first one saw it best.
	merged := crash{
		at: earlier(before.at, said.at), began: earlier(before.began, said.began), void: before.void || said.void,
		unconfirmed: before.unconfirmed && said.unconfirmed,
	}
	merged.void = merged.void || !known.clearedAt.IsZero() && !merged.at.After(known.clearedAt)
	known.crashes[told.Server] = merged
	if !seen || merged.void != before.void || merged.unconfirmed != before.unconfirmed {
		known.changedAt = now
	}
	if merged.at.After(known.lastAt) {
		known.lastAt = merged.at
	}
	known.count()
	return !seen || merged != before
}
