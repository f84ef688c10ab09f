package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// Each engine crashes as it begins to write an answer to a request with one part in its prompt, wherever that stands but
// for the last place. Such requests have nothing else in common, and sound ones share their other parts.
const (
	deadlyPart = "dead"
	// partTries is how many requests with the part one series sends, partPause the pause in between.
	partTries = 8
	partPause = 200 * time.Millisecond
	// partSeriesPause is the mean pause between two series.
	partSeriesPause = 4 * time.Second
	// partCrashes is how many servers may crash under the part before it is kept from others, and partLate how many more
	// may once all daemons have had the time to hear of that.
	partCrashes = 5
	partLate    = 3
	// promptSubjects is how many second parts sound requests have.
	promptSubjects = 20

	deadlyPartStream = 0xdeadb
)

// partSerial numbers the requests with the part of the process.
var partSerial atomic.Int64

// soundPrompt is the prompt of a client's request with a number: parts that others share, and one of its own.
func soundPrompt(client, number int) string {
	return fmt.Sprintf("f0:30,b%02d:30,%04x%08x:20", (7*number+client)%promptSubjects, client, number)
}

// deadlyPrompt draws the prompt of a request that crashes its server.
func deadlyPrompt(random *rand.Rand, serial int64) string {
	shared := []string{"f0:30", fmt.Sprintf("b%02d:30", random.IntN(promptSubjects))}
	place := random.IntN(len(shared) + 1)
	parts := append([]string{}, shared[:place]...)
	parts = append(parts, deadlyPart+":30")
	parts = append(parts, shared[place:]...)
	return strings.Join(append(parts, fmt.Sprintf("dp%010x:20", serial)), ",")
}

// runDeadlyParts sends requests with the part until ctx ends, in series. It draws from numbers of its own.
func (d *deployment) runDeadlyParts(ctx context.Context, random *rand.Rand) {
	sender := standin.Client{HTTP: &http.Client{Timeout: clientPatience, Transport: &http.Transport{DisableKeepAlives: true}}}
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(partSeriesPause))) {
		d.tell("requests with a part that crashes servers")
		d.record.disturb()
		for range partTries {
			d.sendDeadlyPart(ctx, &sender, random)
			d.replaceCrashed(random)
			if !pause(ctx, partPause) {
				return
			}
		}
		d.record.disturb()
	}
}

// sendDeadlyPart sends one request with the part to some daemon, and goes on meanwhile.
func (d *deployment) sendDeadlyPart(ctx context.Context, sender *standin.Client, random *rand.Rand) {
	serial := partSerial.Add(1)
	daemon := d.anyDaemon(random)
	sent := &sentRequest{
		ClientRequest: standin.ClientRequest{
			ID: fmt.Sprintf("dp%010x", serial), Host: host, Path: fmt.Sprintf("/stream/%d", serial), Body: fmt.Sprint("prompt ", serial),
			Patience: clientPatience, Model: modelName(random.IntN(modelCount)), PromptTokens: 100, OutputTokens: 10, Key: ampleKey,
			Prompt: deadlyPrompt(random, serial),
		},
		daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: fleet.KindStream,
	}
	d.record.sending(sent)
	d.group.Go(func() {
		answer, err := sender.Do(context.WithoutCancel(ctx), daemon.front, sent.ClientRequest)
		d.record.ended(sent, answer, err)
	})
}

// checkDeadlyPart checks a run of a request with the part: once so many servers have crashed under it and all daemons have
// had the time to hear of that, hardly any more may.
func (r *record) checkDeadlyPart(sent *sentRequest, run standin.Run) {
	if !run.SharesPart([]string{deadlyPart}) {
		return
	}
	r.checked[promiseParts]++
	r.partRuns = append(r.partRuns, run.At)
	if r.untimed || len(r.partRuns) <= partCrashes {
		return
	}
	since := run.At.Sub(r.partRuns[partCrashes-1])
	if since <= contact+lateness || !sent.daemon.calmSince(run.At.Add(-contact)) {
		return
	}
	r.partLate++
	if r.partLate > partLate {
		r.violate(promiseParts, sent.ID, "%s was sent the part by %s, %v after the fifth server crashed under it; %d such",
			run.Server, sent.daemon.name, since, r.partLate)
	}
}
