package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// copyPause is the time between two copies of the store, and copiesKept how many there are: the store
	// comes back from one that is up to 8 s old.
	copyPause  = 500 * time.Millisecond
	copiesKept = 16
	// otherWrites is the time between two writes of others, in a kind of their own. Revisions then rise at
	// the same pace all the time, and need as long as the copy is old to pass those of before.
	otherWrites = 100 * time.Millisecond
	// longestAway is how long the store is away at most before it comes back from a copy.
	longestAway = 1500 * time.Millisecond
	// longestRewrite is how long the operator and the servers take at most to write again what was lost.
	longestRewrite = 2 * time.Second
)

// writeOthers writes what is no concern of the daemons, until ctx ends.
func (d *deployment) writeOthers(ctx context.Context) {
	for number := 0; pause(ctx, otherWrites); number++ {
		d.store.Put("others", "counter", number)
	}
}

// keepCopies copies the store again and again, until ctx ends.
func (d *deployment) keepCopies(ctx context.Context) {
	for {
		d.copyMutex.Lock()
		d.copies = append(d.copies, d.store.Copy())
		d.copies = d.copies[max(0, len(d.copies)-copiesKept):]
		d.copyMutex.Unlock()
		if !pause(ctx, copyPause) {
			return
		}
	}
}

// takeCopy draws one of the copies. Those after it are of a store that is no more.
func (d *deployment) takeCopy(random *rand.Rand) *standin.Copy {
	d.copyMutex.Lock()
	defer d.copyMutex.Unlock()
	if len(d.copies) == 0 {
		return d.store.Copy()
	}
	number := random.IntN(len(d.copies))
	d.copies = d.copies[:number+1]
	return d.copies[number]
}

// restoreStore has the store be away for a moment and come back from a copy. What was written since is
// lost; the operator and the servers write theirs again, in no order, and what the copy shows of servers
// that have ended lapses.
func restoreStore(d *deployment, random *rand.Rand) func() {
	d.record.disturbStore(1)
	fault := []standin.Fault{standin.FaultReset, standin.FaultBusy, standin.FaultSilent}[random.IntN(3)]
	d.store.SetFault(func(string, string) standin.Fault { return fault })
	away := time.Duration(random.Float64() * float64(longestAway))
	own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	d.group.Go(func() {
		time.Sleep(away)
		d.store.ComeBackFrom(d.takeCopy(own))
		d.store.SetFault(nil)
		d.record.disturbStore(-1)
		d.writeAgain(own)
		d.drainSoon(own)
	})
	return nil
}

// drainSoon has a server leave as soon as the promises count again, while the store's revisions may still be
// below those that it gave out before.
func (d *deployment) drainSoon(random *rand.Rand) {
	time.Sleep(contact + lateness - silentBeats)
	d.tell("a server leaves after a restore")
	end := drainServer(d, random)
	time.Sleep(longestHarm / 2)
	end()
}

// writeAgain has everybody write again, and returns once the store shows what holds.
func (d *deployment) writeAgain(random *rand.Rand) {
	begun := time.Now()
	d.afterAWhile(random, d.configureAgain)
	for _, place := range d.places {
		d.afterAWhile(random, place.writeAgain)
	}
	for _, server := range d.silent {
		d.afterAWhile(random, server.WriteAgain)
	}
	time.Sleep(max(longestRewrite, silentBeats) - time.Since(begun))
	d.lapse()
}

func (d *deployment) afterAWhile(random *rand.Rand, write func()) {
	span := time.Duration(random.Float64() * float64(longestRewrite))
	d.group.Go(func() {
		time.Sleep(span)
		write()
	})
}

// lapse removes the entries of servers that have ended.
func (d *deployment) lapse() {
	living := map[string]bool{}
	for _, place := range d.places {
		for _, server := range place.running() {
			living[server.ID] = true
		}
	}
	for _, server := range d.silent {
		living[server.ID] = true
	}
	for _, name := range d.store.Names("servers") {
		if !living[name] && !strings.HasPrefix(name, foreignPrefix) {
			d.store.Delete("servers", name)
		}
	}
	// One may have started in between.
	for _, place := range d.places {
		place.writeAgain()
	}
}

// writeAgain has the servers of a place write what they say of themselves.
func (p *place) writeAgain() {
	for _, server := range p.running() {
		server.WriteAgain()
	}
}
