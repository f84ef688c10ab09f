package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/limiter"
	"github.com/wheatweir/wheatweir/quarantine"
	"github.com/wheatweir/wheatweir/quota"
	"github.com/wheatweir/wheatweir/ring"
)

const (
	// crashNewsPause gathers what several requests of one crash say into one message.
	crashNewsPause = 5 * time.Millisecond
	// settleMost bounds how long a request waits for the first look at a server before it is sent to
	// another one. A look takes as long as a connection does, 1 to 3 ms, unless nobody answers.
	settleMost = 50 * time.Millisecond
	// crashGossipSpan is for how long others are told of a crash again.
	crashGossipSpan = 5 * time.Second
	// keptRing bounds the changes that wait to be kept in the store, after a restore all contents that
	// are held.
	keptRing = 1024
	// keepTries is how often it is tried to keep one, some seconds apart; daemons that live know
	// it anyway.
	keepTries = 5
)

// quarantineKeeper keeps contents from servers that they crash: it gathers what this daemon and
// others see, tells the others and keeps the verdicts in the store. It implements gateway.Quarantine
// and is safe for concurrent use.
type quarantineKeeper struct {
	daemon *Daemon
	hasher *quarantine.Hasher
	watch  *crashWatch
	// suspects says that the book is not empty.
	suspects atomic.Bool
	sound    *soundParts
	kept     *ring.Ring[keptChange]
	// turns has copies of a suspected content run one after the other, over all daemons.
	turns *limiter.Limiter

	mutex sync.Mutex
	book  *quarantine.Tracker
	// news is what the others have to be told, as it was at newsAt.
	news   quarantine.Update
	newsAt time.Time
}

// keptChange is a verdict that the store has to keep, or to drop.
type keptChange struct {
	content quarantine.Digest
	dropped bool
}

func newQuarantineKeeper(d *Daemon) *quarantineKeeper {
	k := &quarantineKeeper{
		daemon: d, hasher: quarantine.NewHasher(d.current().DeploymentKey), watch: newCrashWatch(),
		book: quarantine.NewTracker(), sound: newSoundParts(), kept: ring.New[keptChange](keptRing),
	}
	k.watch.now = d.clock.Now
	k.watch.probe = d.upstream.Probe
	k.watch.crashed, k.watch.unconfirmedCrash = k.crashed, k.unconfirmedCrash
	k.watch.log = func(text string, fields ...any) { d.log.add("quarantine", text, fields...) }
	ports := d.limiterPorts("quarantine", func(message *limiter.Message) coordination.Message {
		return coordination.Message{SuspectTurn: message}
	})
	ports.Subjects = func() limiter.Subjects { return suspectedContents{k} }
	ports.Strict, ports.OwnerOnly = true, true
	k.turns = limiter.New(ports)
	return k
}

// mostTurns bounds the turns that one request needs.
const mostTurns = 4

// suspectRate is how many copies of a suspected content may begin to run in a second, over all daemons.
const suspectRate = 1

// suspectedContents are the contents whose copies run one after the other, by their digests. Nobody claims them in
// advance: there are thousands while servers crash.
type suspectedContents struct{ keeper *quarantineKeeper }

// Rate implements limiter.Subjects.
func (s suspectedContents) Rate(name string) (limit quota.Limit, known bool) {
	content, err := quarantine.ParseDigest(name)
	if err != nil {
		return quota.Limit{}, false
	}
	s.keeper.mutex.Lock()
	defer s.keeper.mutex.Unlock()
	return quota.Limit{PerSecond: suspectRate}, s.keeper.book.IsSuspected(s.keeper.daemon.clock.Now(), content)
}

// Limited implements limiter.Subjects.
func (suspectedContents) Limited() []string { return nil }

// AcquireSuspectTurn implements gateway.Quarantine. A request with several suspects needs a turn of each.
func (k *quarantineKeeper) AcquireSuspectTurn(ctx context.Context, request *quarantine.Attributes) gateway.Turn {
	now := k.daemon.clock.Now()
	k.mutex.Lock()
	suspects, pendingUntil := k.book.SuspectsOf(now, request), k.book.RequestPendingUntil(now, request)
	k.mutex.Unlock()
	if !pendingUntil.IsZero() {
		return gateway.Turn{Limited: true, Wait: pendingUntil.Sub(now)}
	}
	turn := gateway.Turn{Granted: true}
	for _, suspect := range suspects[:min(len(suspects), mostTurns)] {
		if turn = k.takeTurn(ctx, suspect); !turn.Granted {
			return turn
		}
	}
	return turn
}

// takeTurn takes a turn of one suspect.
func (k *quarantineKeeper) takeTurn(ctx context.Context, suspect quarantine.Digest) gateway.Turn {
	limit := quota.Limit{PerSecond: suspectRate}
	outcome := k.turns.Take(ctx, limiter.Request{Subject: suspect.String(), Limit: limit, Cost: 1})
	if outcome.Granted {
		k.watch.log("Turn granted.", "content", suspect.String(), "granted_by", outcome.AnsweredBy)
	}
	return turnOf(outcome, limit)
}

// HasSuspects implements gateway.Quarantine.
func (k *quarantineKeeper) HasSuspects() bool { return k.suspects.Load() }

// Digest implements gateway.Quarantine.
func (k *quarantineKeeper) Digest(content *quarantine.Content) quarantine.Digest {
	return k.hasher.Sum(content)
}

// PartDigest implements gateway.Quarantine.
func (k *quarantineKeeper) PartDigest(id string) quarantine.Digest { return k.hasher.Part(id) }

// HeldUntil implements gateway.Quarantine.
func (k *quarantineKeeper) HeldUntil(request *quarantine.Attributes) (until time.Time, cause quarantine.Digest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.book.RequestHeldUntil(k.daemon.clock.Now(), request)
}

// RecordBroken implements gateway.Quarantine.
func (k *quarantineKeeper) RecordBroken(instance *fleet.Instance, victim quarantine.InterruptedRequest) {
	victim.Parts = k.sound.unproven(k.daemon.clock.Now(), victim.Parts)
	k.watch.broke(k.daemon.clock.Now(), instance, victim)
}

// AwaitCrashCheck implements gateway.Quarantine.
func (k *quarantineKeeper) AwaitCrashCheck(ctx context.Context, instance *fleet.Instance) {
	k.watch.settled(ctx, instance.ID, settleMost)
}

// RecordSuccess implements gateway.Quarantine.
func (k *quarantineKeeper) RecordSuccess(request *quarantine.Attributes) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.daemon.clock.Now()
	for _, suspect := range k.book.SuspectsOf(now, request) {
		k.take(k.book.RecordSuccess(now, suspect), true)
	}
}

// RecordHarmlessPrompt implements gateway.Quarantine.
func (k *quarantineKeeper) RecordHarmlessPrompt(prompt []gateway.PromptPart) {
	k.sound.add(k.daemon.clock.Now(), prompt)
}

// RecordAnswer implements gateway.Quarantine.
func (k *quarantineKeeper) RecordAnswer(instance string, began time.Time) {
	k.watch.served(instance, began)
}

// release clears contents by their digests: operators have mended why servers crashed under them.
func (k *quarantineKeeper) release(digests []string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, text := range digests {
		content, err := quarantine.ParseDigest(text)
		if err != nil {
			k.watch.log("Not released.", "content", text, "error", err)
			continue
		}
		if now := k.daemon.clock.Now(); k.book.IsSuspected(now, content) {
			k.take(k.book.RecordSuccess(now, content), true)
		}
	}
}

// unconfirmedCrash records the contents that this daemon had at an instance that closes new connections.
func (k *quarantineKeeper) unconfirmedCrash(at time.Time, instance string, victims []quarantine.InterruptedRequest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.take(k.book.RecordUnconfirmedCrash(k.daemon.clock.Now(), at, instance, victims), true)
}

// crashed takes in the contents that this daemon had at an instance that has crashed.
func (k *quarantineKeeper) crashed(at time.Time, instance string, victims []quarantine.InterruptedRequest) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.take(k.book.RecordCrash(k.daemon.clock.Now(), at, instance, victims), true)
}

// learn takes in what another daemon told.
func (k *quarantineKeeper) learn(update quarantine.Update) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.daemon.clock.Now()
	k.take(k.book.Merge(now, update), false)
	k.clearSound(now, &update)
}

// clearSound clears the parts of an update that were in answers which ended well here a moment ago. Gossip carries that on.
func (k *quarantineKeeper) clearSound(now time.Time, update *quarantine.Update) {
	for i := range update.Items {
		item := &update.Items[i]
		if item.Kind != quarantine.KindPart || !k.book.IsSuspected(now, item.Digest) {
			continue
		}
		if k.sound.proves(now, k.hasher, item.Digest) {
			k.take(k.book.RecordSuccess(now, item.Digest), false)
		}
	}
}

// take acts on a change of the book. What this daemon found out itself is told to the others.
func (k *quarantineKeeper) take(change quarantine.Change, own bool) {
	k.suspects.Store(!k.book.Empty())
	k.avoid(&change.Added)
	for _, content := range change.Held {
		k.verdict("Held.", content)
	}
	for _, content := range change.Released {
		k.verdict("Released.", content)
	}
	for _, content := range change.Durable {
		k.queueKeptChange(content, false)
	}
	for _, content := range change.NoLongerDurable {
		k.queueKeptChange(content, true)
	}
	if !own || change.Added.Empty() {
		return
	}
	now := k.daemon.clock.Now()
	if k.news.Empty() {
		k.newsAt = now
		time.AfterFunc(crashNewsPause, k.tell)
	}
	// All ages count from newsAt, so that what crashed later is not told as if it had crashed before.
	change.Added.AddAge(-now.Sub(k.newsAt))
	k.news.Items = append(k.news.Items, change.Added.Items...)
}

// avoid keeps requests from the servers that crashed a moment ago.
func (k *quarantineKeeper) avoid(news *quarantine.Update) {
	// The tracker goes by the steady clock.
	now := time.Now()
	for i := range news.Items {
		for _, told := range news.Items[i].Crashes {
			if !told.Void && !told.Unconfirmed && told.Age < crashGossipSpan {
				k.daemon.tracker.RecordCrash(now, told.Server, told.Age)
				k.daemon.instanceCrashed(k.daemon.clock.Now().Add(-told.Age), told.Server)
			}
		}
	}
}

// queueKeptChange queues a write of the evidence against a content to the store, or its removal if dropped is set. Only
// daemons that witnessed one of the crashes write, which avoids redundant writes by all others.
func (k *quarantineKeeper) queueKeptChange(content quarantine.Digest, dropped bool) {
	if k.book.ObservedLocally(content) && !k.kept.TryPut(keptChange{content: content, dropped: dropped}) {
		k.watch.log("Not kept.", "content", content.String(), "error", "too many at once")
	}
}

// verdict logs that a content is held or no longer is.
func (k *quarantineKeeper) verdict(text string, content quarantine.Digest) {
	now := k.daemon.clock.Now()
	until := k.book.HeldUntil(now, content)
	evidence := k.book.Evidence(now, content)
	fields := []any{"content", content.String(), "kind", evidence.Kind.String(), "crashes", crashesOf(evidence)}
	if !until.IsZero() {
		fields = append(fields, "for_s", int(until.Sub(now).Seconds()))
	}
	if together := k.book.HeldWith(content); len(together) > 0 {
		fields = append(fields, "together_with", digestsOf(together))
	}
	k.watch.log(text, fields...)
}

// digestsOf lists digests for the log.
func digestsOf(digests []quarantine.Digest) string {
	var list []string
	for _, digest := range digests {
		list = append(list, digest.String())
	}
	return strings.Join(list, ",")
}

// crashesOf lists the crashes under a content for the log, each with its age.
func crashesOf(item quarantine.Item) string {
	var list []string
	for _, told := range item.Crashes {
		entry := fmt.Sprintf("%s@%dms", told.Server, told.Age.Milliseconds())
		if told.Void {
			entry += "/void"
		}
		if told.Unconfirmed {
			entry += "/unconfirmed"
		}
		list = append(list, entry)
	}
	return strings.Join(list, ",")
}

// tell hands the news to the control duty, which tells all daemons.
func (k *quarantineKeeper) tell() {
	k.mutex.Lock()
	news, waited := k.news, k.daemon.clock.Since(k.newsAt)
	k.news = quarantine.Update{}
	k.mutex.Unlock()
	news.AddAge(waited)
	k.daemon.work.events.TryPut(func(node *coordination.Node, _ time.Time) []coordination.Action {
		return node.BroadcastCrashes(news)
	})
}

// newest returns what another daemon may lack, after forgetting what no longer counts.
func (k *quarantineKeeper) newest(now time.Time) quarantine.Update {
	if !k.HasSuspects() {
		return quarantine.Update{}
	}
	k.turns.SubjectsChanged(now)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.book.Prune(now)
	k.suspects.Store(!k.book.Empty())
	return k.book.Snapshot(now, crashGossipSpan)
}

// heldCounts returns how many contents and how many parts of prompts are held.
func (k *quarantineKeeper) heldCounts(now time.Time) (contents, parts int) {
	if !k.HasSuspects() {
		return 0, 0
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.book.Held(now, quarantine.KindContent)), len(k.book.Held(now, quarantine.KindPart))
}
