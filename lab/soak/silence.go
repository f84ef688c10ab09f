package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Servers fall silent for about a second at times and go on: to callers that is no fault.
const (
	silencePause    = 3 * time.Second
	shortestSilence = 700 * time.Millisecond
	longestSilence  = 1300 * time.Millisecond

	silenceStream = 0x51137
)

// runSilences has servers fall silent until ctx ends. It draws from numbers of its own.
func (d *deployment) runSilences(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(silencePause))) {
		place, span := d.anyPlace(random), drawSpan(random, shortestSilence, longestSilence)
		proxy := place.currentProxy()
		if state, _ := proxy.state(); state != linkSound {
			continue
		}
		server := place.current().ID
		d.tell("%s is silent for %v", server, span)
		began := time.Now()
		// What is held up may arrive late.
		sound := d.record.harmedLink(server)
		proxy.set(linkSilent)
		pause(ctx, span)
		if state, _ := proxy.state(); state == linkSilent {
			proxy.set(linkSound)
		}
		sound()
		d.record.fellSilent(server, began)
	}
}

// fellSilent notes that a server was silent until now.
func (r *record) fellSilent(server string, from time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.silences[server] = append(r.silences[server], &span{from, time.Now()})
}

// checkSilences checks that requests which a server ran as it fell silent were answered, if nothing else happened. The
// mutex is held.
func (r *record) checkSilences() {
	if r.untimed {
		return
	}
	for _, sent := range r.order {
		touched := sent.daemon.touchedBetween(sent.at.Add(-contact), sent.endedAt)
		if !sent.calm || touched || len(sent.runs) == 0 || !r.wasSilent(sent) {
			continue
		}
		r.checked[promiseSilence]++
		if sent.failed || !sent.answer.Complete || sent.answer.Status != 200 {
			r.violate(promiseSilence, sent.ID, "status %d after %v from %s, which ran it as %s was silent for a moment",
				sent.answer.Status, sent.endedAt.Sub(sent.at), sent.daemon.name, sent.runs[0].Server)
		}
	}
}

// wasSilent reports whether the server that ran a request first was silent meanwhile.
func (r *record) wasSilent(sent *sentRequest) bool {
	for _, silence := range r.silences[sent.runs[0].Server] {
		if silence.overlaps(sent.at, sent.endedAt) {
			return true
		}
	}
	return false
}
