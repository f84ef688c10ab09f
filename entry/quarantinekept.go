package entry

import (
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/coordination"
	"github.com/wheatweir/wheatweir/feed"
	"github.com/wheatweir/wheatweir/quarantine"
)

// restore reads what the store has kept: it is all that is left after all daemons were killed. Each daemon reads it
// once, maybe as it was some seconds ago; those that watch the store read it as it is, and tell the others.
func (k *quarantineKeeper) restore() {
	d := k.daemon
	k.readKept(feed.MayLag)
	sleep(d.ctx, rereadAfter)
	if d.following.watching.Load() {
		if newest := k.readKept(feed.Newest); !newest.Empty() {
			d.work.events.Put(d.ctx, func(node *coordination.Node, _ time.Time) []coordination.Action {
				return node.BroadcastCrashes(newest)
			})
		}
	}
}

// rereadAfter is how long after its first read a daemon knows whether it watches the store.
const rereadAfter = time.Second

// readKept takes in all that the store has kept, and returns it. What was kept longer ago than anybody remembers is
// dropped there.
func (k *quarantineKeeper) readKept(freshness feed.Freshness) quarantine.Update {
	d := k.daemon
	source := d.store.Quarantined()
	source.Skipped = d.unreadable("quarantine")
	var kept quarantine.Update
	after := ""
	for d.ctx.Err() == nil {
		page, err := source.ListPage(d.ctx, after, freshness)
		if err != nil {
			pause := longestPause(int(d.fleet.rank.Load()), int(d.fleet.live.Load()))
			sleep(d.ctx, pause/2+rand.N(pause/2))
			continue
		}
		kept.Items = append(kept.Items, k.restorePage(page).Items...)
		if after = page.Next; after == "" {
			k.release(d.current().Released)
			break
		}
	}
	return kept
}

// restorePage takes in a page of what the store has kept, and returns what is still remembered of it.
func (k *quarantineKeeper) restorePage(page feed.Page[quarantine.Item]) quarantine.Update {
	var update quarantine.Update
	for _, item := range page.Items {
		switch {
		case item.Gone:
		case item.Value.Expired():
			k.kept.TryPut(keptChange{content: item.Value.Digest, dropped: true})
		default:
			update.Items = append(update.Items, item.Value)
		}
	}
	k.learn(update)
	return update
}

// keptAfterRestore is how many daemons, the first ones by their ranks, keep all verdicts once more after the
// store has come back from a copy, which may lack the last ones: the second stands in for one that is lost
// at the same moment. A verdict that the store has is no change to it.
const keptAfterRestore = 2

// keepAgain keeps all verdicts once more, if that is for this daemon to do.
func (k *quarantineKeeper) keepAgain() {
	if k.daemon.fleet.rank.Load() >= keptAfterRestore {
		return
	}
	k.mutex.Lock()
	contents := k.book.Durable()
	k.mutex.Unlock()
	for _, content := range contents {
		if !k.kept.TryPut(keptChange{content: content}) {
			k.watch.log("Not kept.", "content", content.String(), "error", "too many at once")
		}
	}
	if len(contents) > 0 {
		k.watch.log("Keeping again, as the store came back from a copy.", "contents", len(contents))
	}
}

// runKept keeps verdicts in the store.
func (k *quarantineKeeper) runKept() {
	for {
		change, ok := k.kept.Take(k.daemon.ctx)
		if !ok {
			return
		}
		k.keep(change)
	}
}

func (k *quarantineKeeper) keep(change keptChange) {
	d := k.daemon
	for number := range keepTries {
		var err error
		if change.dropped {
			err = d.store.DropQuarantined(d.ctx, change.content)
		} else {
			err = d.store.SaveQuarantined(d.ctx, time.Now(), k.evidence(change.content))
		}
		if err == nil || d.ctx.Err() != nil {
			return
		}
		d.log.add("quarantine", "Not kept.", "content", change.content.String(), "try", number+1, "error", err)
		sleep(d.ctx, watcherPause)
	}
}

func (k *quarantineKeeper) evidence(content quarantine.Digest) quarantine.Item {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.book.Evidence(k.daemon.clock.Now(), content)
}
