package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// Half of the engines crash at one moment while a release is half done, so that two versions serve. Some start again under their IDs
// at once, the others some time later, each with nothing loaded. Clients take the streams that broke up at any daemon, once. Many
// streams have one content, and loads take long. No daemon is disturbed.
const (
	// shortestMixed and longestMixed bound how long two versions serve before the crash.
	shortestMixed = 2 * time.Second
	longestMixed  = 5 * time.Second
	// crashGone is how long the servers are gone that do not start again at once.
	crashGone = 2 * time.Second
	// soonShare is the share of the crashed servers that start again at once.
	soonShare = 0.5
	// shortestCalm and longestCalm bound the time between a crash and the rest of the release.
	shortestCalm = 6 * time.Second
	longestCalm  = 9 * time.Second
	// sharedContents is how many contents the streams of such clients have.
	sharedContents = 16
	// crashTries is how often such clients try in all: they come back at once, and only once.
	crashTries = 2
	// crashLastingShare is how many clients with lasting streams there are for each other one.
	crashLastingShare = 2

	crashStream = 0xc4a54
)

// runCrashes has releases and crashes come about until ctx ends. It draws from numbers of its own.
func (d *deployment) runCrashes(ctx context.Context, random *rand.Rand) {
	for pause(ctx, drawSpan(random, shortestMixed, longestMixed)) {
		d.releases++
		software := fmt.Sprint("v", softwareCount+d.releases)
		order := random.Perm(d.options.Engines)
		half := (d.options.Engines + random.IntN(2)) / 2
		d.tell("release: %s comes to %d engines", software, half)
		if !d.replaceSome(ctx, order[:half], software, random) || !pause(ctx, drawSpan(random, shortestMixed, longestMixed)) {
			return
		}
		d.crashSome(random.Perm(d.options.Engines)[:d.options.Engines/2], random)
		if !pause(ctx, drawSpan(random, shortestCalm, longestCalm)) || !d.replaceSome(ctx, order[half:], software, random) {
			return
		}
		d.tell("release: all engines are at %s", software)
	}
}

// replaceSome replaces engines by servers of a version, and waits until the last one before them has ended. It reports whether ctx
// goes on.
func (d *deployment) replaceSome(ctx context.Context, numbers []int, software string, random *rand.Rand) bool {
	var endsAt time.Time
	for _, number := range numbers {
		endsAt = later(endsAt, d.replace(number, software, random))
		if !pause(ctx, drawSpan(random, shortestStep, longestStep)) {
			return false
		}
	}
	return pause(ctx, time.Until(endsAt))
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// crashSome crashes engines at one moment.
func (d *deployment) crashSome(numbers []int, random *rand.Rand) {
	d.faults++
	d.tell("fault: %d of %d engines crash", len(numbers), d.options.Engines)
	d.record.disturb()
	d.record.crashedMany()
	for _, number := range numbers {
		place := d.places[number]
		crashed := place.current()
		crashed.Crash()
		gone := crashGone
		if random.Float64() < soonShare {
			gone = restartDelay
		}
		d.tell("%s of %s crashes for %v", crashed.ID, crashed.Software, gone)
		d.group.Go(func() {
			time.Sleep(gone)
			d.startEmpty(place, number, crashed)
		})
	}
}

// startEmpty starts a server under the ID of one that has crashed, with nothing loaded.
func (d *deployment) startEmpty(place *place, number int, crashed *standin.Server) {
	if err := d.startAgain(place, number, crashed, true); err != nil {
		d.tell("server: %v", err)
	}
	d.record.disturb()
}

// drawShared draws a content, and its prompt, that many clients send.
func (c *client) drawShared() (body, prompt string) {
	number := c.random.IntN(sharedContents)
	return fmt.Sprint("a content of many clients ", number), fmt.Sprintf("f0:30,c%02d:30,d%02d:20", number, number)
}

// crashedMany notes that half of the engines crash.
func (r *record) crashedMany() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashes = append(r.crashes, time.Now())
}
