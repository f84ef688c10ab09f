package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// At times the servers of a service leave bytes behind whole answers on kept connections: answers to nobody, and unfinished heads.
// Clients send one request right after the other meanwhile, so that connections are used again at once.
const (
	leftoverPause    = 4 * time.Second
	shortestLeftover = 500 * time.Millisecond
	longestLeftover  = 3 * time.Second
	// leftoverShare is the smallest share of the answers that leave something.
	leftoverShare = 0.1
	// hastyClients is how many such clients there are, hastyPause their pause between two requests.
	hastyClients = 12
	hastyPause   = 3 * time.Millisecond

	leftoverStream = 0x1ef70
)

// runLeftovers has servers leave bytes behind until ctx ends. It draws from numbers of its own.
func (d *deployment) runLeftovers(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(leftoverPause))) {
		service, paths := portalService, []string{"/unsafe/hasty", "/safe/hasty"}
		if random.IntN(2) == 0 {
			service, paths = engineService, []string{"/stream/hasty", "/" + resumableRoute + "/hasty"}
		}
		share := leftoverShare + (1-leftoverShare)*random.Float64()
		span := drawSpan(random, shortestLeftover, longestLeftover)
		d.tell("fault: servers of %s leave bytes behind %.2f of their answers", service, share)
		d.leaveBehindAll(service, share, random)
		d.sendHastily(ctx, span, paths, random)
		left := d.leaveBehindAll(service, 0, random)
		d.tell("ended: servers of %s leave nothing behind; they have sent %d answers behind what they left", service, left)
	}
}

// leaveBehindAll has all servers of a service leave bytes behind a share of their answers. It returns how many answers stood behind
// such bytes so far.
func (d *deployment) leaveBehindAll(service string, share float64, random *rand.Rand) (left int) {
	d.record.disturb()
	for _, place := range d.places {
		if place.service != service {
			continue
		}
		for _, server := range place.running() {
			server.LeaveBehind(share, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
			left += server.LeftBehind()
		}
	}
	return left
}

// sendHastily sends requests for a while, each right after the answer to the one before it.
func (d *deployment) sendHastily(ctx context.Context, span time.Duration, paths []string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: hastyClients}
	defer transport.CloseIdleConnections()
	sender := standin.Client{HTTP: &http.Client{Transport: transport}}
	var group conc.WaitGroup
	for range hastyClients {
		daemon, path, model := d.anyDaemon(random), paths[random.IntN(len(paths))], modelName(random.IntN(modelCount))
		group.Go(func() {
			for pause(ctx, hastyPause) {
				d.sendHasty(&sender, daemon, path, model)
			}
		})
	}
	group.Wait()
}

// sendHasty sends one request and waits for the end of its answer.
func (d *deployment) sendHasty(sender *standin.Client, daemon *daemon, path, model string) {
	sent := &sentRequest{
		ClientRequest: standin.ClientRequest{
			ID: fmt.Sprintf("1e%010x", d.hasty.Add(1)), Host: host, Path: path, Body: "hasty", Patience: clientPatience, Key: ampleKey,
		},
		daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: fleet.KindUnsafe,
	}
	switch serviceOf(path) {
	case engineService:
		sent.kind, sent.resumable = fleet.KindStream, strings.HasPrefix(path, "/"+resumableRoute)
		sent.Model, sent.PromptTokens, sent.OutputTokens = model, 200, 10
	default:
		if strings.HasPrefix(path, "/safe") {
			sent.kind = fleet.KindSafe
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	d.record.sending(sent)
	answer, err := sender.Do(ctx, daemon.front, sent.ClientRequest)
	if ctx.Err() == nil {
		d.record.ended(sent, answer, err)
	}
}

// refusalStatuses are those with which a daemon answers without a server's answer.
var refusalStatuses = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// checkGiven checks that the head of an answer is that of a server that ran the request, or of the daemon's own. The mutex is held.
func (r *record) checkGiven(sent *sentRequest) {
	r.checked[promiseGiven]++
	answer := sent.answer
	if answer.Signature == "" && slices.Contains(refusalStatuses, answer.Status) {
		return
	}
	gave := func(run standin.Run) bool {
		return run.Status == answer.Status && answer.Signature == standin.SignatureOf(run.Server, sent.ID)
	}
	if !slices.ContainsFunc(sent.runs, gave) {
		r.violate(promiseGiven, sent.ID, "status %d, signature %q from %s after %d runs", answer.Status, answer.Signature, sent.daemon.name, len(sent.runs))
	}
}
