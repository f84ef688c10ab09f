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
	// HoldSpan is how long a content is held after the last server that crashed under it. Whoever
	// sends it after that loses one more server, at once in all daemons' knowledge: six servers an hour
	// where nobody mends the cause.
	HoldSpan = 10 * time.Minute
	// rememberSpan is how long crashes are remembered after the last one under their content.
	// Forgetting a content costs the limit once more.
	rememberSpan = time.Hour
	// mostContents bounds the contents that are remembered: at most 64 of each crash, so that 64
	// crashes in an hour fit in, in about 1 MB.
	mostContents = 4096
	// mostCrashes bounds the crashes that are remembered of one content.
	mostCrashes = 16
)

// crash is one life of a server that ended while a content ran there.
type crash struct {
	at time.Time
	// void says that a run of the content has ended well since: the content was not the cause.
	void bool
}

// record is what is known of one content.
type record struct {
	crashes map[string]crash
	lastAt  time.Time
	// changedAt is when something new was last learned.
	changedAt time.Time
	held      bool
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

// Book holds which contents ran on servers that crashed. Books that have learned the same come to
// the same verdicts, whatever the order. A Book is not safe for concurrent use.
type Book struct {
	records map[Digest]*record
	// victims are the contents that ran on a server when it crashed.
	victims map[string][]Digest
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[Digest]*record{}, victims: map[string][]Digest{}} }

// Empty reports whether no content is suspected.
func (b *Book) Empty() bool { return len(b.records) == 0 }

// Suspects reports whether a content ran on a server that crashed and has not ended well since.
func (b *Book) Suspects(content Digest) bool {
	known := b.records[content]
	return known != nil && len(known.live()) > 0
}

// HeldUntil returns until when requests of a content are kept from servers; the zero time if they
// are not.
func (b *Book) HeldUntil(now time.Time, content Digest) time.Time {
	known := b.records[content]
	if known == nil || !known.held {
		return time.Time{}
	}
	until := known.lastAt.Add(HoldSpan)
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
}

// Crashed notes the contents that this daemon had on a life of a server when it crashed.
func (b *Book) Crashed(now time.Time, server string, contents []Digest) Change {
	var told Update
	for _, content := range contents {
		told.Items = append(told.Items, Item{Content: content, Crashes: []Told{{Server: server}}})
	}
	change := b.Learn(now, told)
	for _, content := range contents {
		if known := b.records[content]; known != nil {
			known.witnessed = true
		}
	}
	return change
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
	item := Item{Content: content}
	for _, server := range known.live() {
		item.Crashes = append(item.Crashes, Told{Server: server, Age: now.Sub(known.crashes[server].at), Void: true})
	}
	return b.Learn(now, Update{Items: []Item{item}})
}

// Learn takes in what another book knows.
func (b *Book) Learn(now time.Time, update Update) Change {
	var change Change
	for i := range update.Items {
		item := &update.Items[i]
		added := Item{Content: item.Content}
		for _, told := range item.Crashes {
			if b.learn(now, item.Content, told) {
				added.Crashes = append(added.Crashes, told)
			}
		}
		if len(added.Crashes) > 0 {
			change.News.Items = append(change.News.Items, added)
		}
	}
	for content := range b.affected(&change.News) {
		known := b.records[content]
		before := known.held
		known.held = b.guilty(content)
		switch {
		case known.held && !before:
			change.Held = append(change.Held, content)
		case !known.held && before:
			change.Released = append(change.Released, content)
		}
	}
	return change
}

// affected returns the contents whose verdict may hang on what was learned: those that were there at
// some crash of a content of which more is known now.
func (b *Book) affected(changed *Update) map[Digest]bool {
	found := map[Digest]bool{}
	for i := range changed.Items {
		known := b.records[changed.Items[i].Content]
		if known == nil {
			continue
		}
		for server := range known.crashes {
			for _, content := range b.victims[server] {
				found[content] = true
			}
		}
	}
	return found
}

// learn takes in one crash under a content and reports whether it says something new.
func (b *Book) learn(now time.Time, content Digest, told Told) bool {
	at := now.Add(-max(0, told.Age))
	if now.Sub(at) >= rememberSpan {
		return false
	}
	known := b.records[content]
	if known == nil {
		b.makeRoom(now)
		known = &record{crashes: map[string]crash{}}
		b.records[content] = known
	}
	before, seen := known.crashes[told.Server]
	if seen && (before.void || !told.Void) {
		return false
	}
	if !seen {
		if len(known.crashes) >= mostCrashes {
			b.dropCrash(content, known.oldest())
		}
		b.victims[told.Server] = append(b.victims[told.Server], content)
		before.at = at
	}
	before.void = told.Void
	known.crashes[told.Server] = before
	known.changedAt = now
	if before.at.After(known.lastAt) {
		known.lastAt = before.at
	}
	return true
}

// guilty decides whether a content is held. What runs beside the cause of several crashes is there at
// some of them; the cause is there at all of its own. So a crash does not count against a content if
// another one, which was there too, was there at more crashes. Of two that were there at the same
// ones either may be the cause: then one crash more is waited for.
func (b *Book) guilty(content Digest) bool {
	live := b.records[content].live()
	if len(live) < crashLimit {
		return false
	}
	unexplained, tied := 0, false
	for _, server := range live {
		most, same := b.strongest(server, content)
		if most <= len(live) {
			unexplained++
		}
		tied = tied || same
	}
	return unexplained >= crashLimit && (!tied || len(live) > crashLimit)
}

// strongest returns the most crashes that another content at a crash was there at, and whether one
// of these was there at all the crashes of the content.
func (b *Book) strongest(server string, content Digest) (most int, same bool) {
	for _, other := range b.victims[server] {
		if other == content || b.records[other].crashes[server].void {
			continue
		}
		count := len(b.records[other].live())
		if count > most {
			most = count
		}
		same = same || b.sameCrashes(content, other)
	}
	return most, same
}

// sameCrashes reports whether two contents were there at the same crashes.
func (b *Book) sameCrashes(one, other Digest) bool {
	first, second := b.records[one], b.records[other]
	servers := first.live()
	if len(servers) != len(second.live()) {
		return false
	}
	return !slices.ContainsFunc(servers, func(server string) bool {
		known, found := second.crashes[server]
		return !found || known.void
	})
}

// Forget drops what is too old.
func (b *Book) Forget(now time.Time) {
	for content, known := range b.records {
		if now.Sub(known.lastAt) >= rememberSpan {
			b.drop(content)
		}
	}
}

// makeRoom drops the content that says least if the book is full: the one with the fewest crashes,
// and of those the one of the oldest crash. A flood of contents that crash one server each does not
// drop one that has crashed several.
func (b *Book) makeRoom(now time.Time) {
	if len(b.records) < mostContents {
		return
	}
	b.Forget(now)
	if len(b.records) < mostContents {
		return
	}
	var least Digest
	var weakest *record
	for content, known := range b.records {
		if weakest == nil || known.weaker(weakest) {
			least, weakest = content, known
		}
	}
	b.drop(least)
}

// weaker reports whether a record says less than another.
func (r *record) weaker(other *record) bool {
	own, others := len(r.live()), len(other.live())
	if own != others {
		return own < others
	}
	return r.lastAt.Before(other.lastAt)
}

// oldest returns the server of the oldest crash.
func (r *record) oldest() string {
	oldest := ""
	for server, known := range r.crashes {
		if oldest == "" || known.at.Before(r.crashes[oldest].at) {
			oldest = server
		}
	}
	return oldest
}

func (b *Book) drop(content Digest) {
	for server := range b.records[content].crashes {
		b.dropCrash(content, server)
	}
	delete(b.records, content)
}

func (b *Book) dropCrash(content Digest, server string) {
	delete(b.records[content].crashes, server)
	rest := slices.DeleteFunc(b.victims[server], func(other Digest) bool { return other == content })
	if len(rest) == 0 {
		delete(b.victims, server)
	} else {
		b.victims[server] = rest
	}
}
