package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// A deadly request crashes each engine that begins to run it. It has one content in a whole soak, so
// that what daemons know of it has to outlast all that happens to them.
const (
	deadlyBody = "a prompt that no engine survives"
	deadlyPath = "/stream/deadly"
	// deadlyTries is how often one series sends it, deadlyPause the pause in between.
	deadlyTries = 6
	deadlyPause = 300 * time.Millisecond
	// deadlyCrashes is how many servers may crash before it is kept from others, and deadlyLate
	// how many more may once all daemons have had the time to hear of that.
	deadlyCrashes = 3
	deadlyLate    = 3
	// shortestRestart and longestRestart bound how long an engine is gone.
	shortestRestart = time.Second
	longestRestart  = 4 * time.Second
)

// deadlySerial numbers the deadly requests of the process.
var deadlySerial atomic.Int64

// sendDeadlyRequests sends the deadly request some times, to any daemons.
func sendDeadlyRequests(d *deployment, random *rand.Rand) func() {
	d.record.disturb()
	d.group.Go(func() {
		sender := standin.Client{HTTP: &http.Client{Timeout: clientPatience, Transport: &http.Transport{DisableKeepAlives: true}}}
		for range deadlyTries {
			d.sendDeadly(&sender, d.anyDaemon(random), modelName(random.IntN(modelCount)))
			d.replaceCrashed(random)
			time.Sleep(deadlyPause)
		}
	})
	return nil
}

func (d *deployment) sendDeadly(sender *standin.Client, daemon *daemon, model string) {
	sent := &sentRequest{
		ClientRequest: standin.ClientRequest{
			ID: fmt.Sprintf("dd%010x", deadlySerial.Add(1)), Host: host, Path: deadlyPath, Body: deadlyBody, Patience: clientPatience,
			Model: model, PromptTokens: 100, OutputTokens: 10, Key: ampleKey,
		},
		daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: fleet.KindStream,
	}
	d.record.sending(sent)
	answer, err := sender.Do(context.Background(), daemon.front, sent.ClientRequest)
	d.record.ended(sent, answer, err)
}

// replaceCrashed starts servers in the place of those that have crashed by themselves, some time later.
func (d *deployment) replaceCrashed(random *rand.Rand) {
	for number, place := range d.places {
		crashed := place.current()
		if !crashed.TakeCrash() {
			continue
		}
		d.record.disturb()
		gone := shortestRestart + time.Duration(random.Float64()*float64(longestRestart-shortestRestart))
		d.group.Go(func() {
			time.Sleep(silentBeats)
			d.store.Delete("servers", crashed.ID)
		})
		d.group.Go(func() {
			time.Sleep(gone)
			d.restart(place, number, crashed)
		})
	}
}

// checkDeadly checks a run of the deadly request: once so many servers have crashed under it and all have had the
// time to hear of that, hardly any more may.
func (r *record) checkDeadly(sent *sentRequest, run standin.Run) {
	if run.Body != deadlyBody {
		return
	}
	r.checked[promiseQuarantine]++
	r.deadlyRuns = append(r.deadlyRuns, run.At)
	if r.untimed || len(r.deadlyRuns) <= deadlyCrashes {
		return
	}
	since := run.At.Sub(r.deadlyRuns[deadlyCrashes-1])
	if since <= contact+lateness || !sent.daemon.calmSince(run.At.Add(-contact)) {
		return
	}
	r.deadlyLate++
	if r.deadlyLate > deadlyLate {
		r.violate(promiseQuarantine, sent.ID, "%s was sent the deadly request by %s, %v after the third server crashed under it; %d such",
			run.Server, sent.daemon.name, since, r.deadlyLate)
	}
}
