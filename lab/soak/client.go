package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	clientPatience = 8 * time.Second
	leavePatience  = 150 * time.Millisecond
	clientPause    = 60 * time.Millisecond
	// keepFactor is how much longer than allowed some clients keep an answer about
	// addresses.
	keepFactor = 3
	// leaveShare is the part of requests whose client leaves early.
	leaveShare = 0.03
)

// client is one client with its kept connections and its answer about addresses.
type client struct {
	deployment *deployment
	number     int
	// patient says that the client waits longer than a planned stop takes.
	patient   bool
	sent      int
	random    *rand.Rand
	standin   standin.Client
	addresses []string
	until     time.Time
}

// runClient sends one request after the other until ctx ends.
func (d *deployment) runClient(ctx context.Context, number int, patient bool) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	c := &client{
		deployment: d, number: number, patient: patient, random: rand.New(rand.NewPCG(d.options.Seed, uint64(number))),
		standin: standin.Client{HTTP: &http.Client{Transport: transport}},
	}
	for ctx.Err() == nil {
		if daemon := c.choose(ctx); daemon != nil {
			c.request(ctx, daemon)
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(clientPause)))
	}
}

// choose picks a daemon of the kept answer about addresses, after asking anew if it
// is too old.
func (c *client) choose(ctx context.Context) *daemon {
	if time.Now().After(c.until) {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return nil
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	for _, daemon := range c.deployment.daemons {
		if daemon.front == address {
			return daemon
		}
	}
	return nil
}

func (c *client) resolve(ctx context.Context) {
	daemon := c.deployment.daemons[c.random.IntN(len(c.deployment.daemons))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := c.standin.Resolve(ctx, daemon.directory, host, "", fmt.Sprint("zone-", c.number%zones+1))
	if err != nil || len(answer.Addresses) == 0 {
		return
	}
	held := time.Duration(answer.KeepS * float64(time.Second))
	if c.number%2 == 1 {
		held *= keepFactor
	}
	c.addresses, c.until = answer.Addresses, time.Now().Add(held)
}

// request sends one request and notes what came of it.
func (c *client) request(ctx context.Context, daemon *daemon) {
	c.sent++
	sent := &sentRequest{
		ClientRequest: standin.ClientRequest{
			ID: fmt.Sprintf("%04x%08x", c.number, c.sent), Host: host, Body: fmt.Sprintf("body of %d/%d", c.number, c.sent), Patience: clientPatience,
			Key: c.drawKey(), Tenant: forgedTenant,
		},
		daemon: daemon, life: daemon.currentLife(), at: time.Now(),
	}
	waits := clientPatience
	if c.patient {
		c.drawPatient(sent)
		waits, sent.Patience = patience, patience
	} else {
		c.draw(sent)
	}
	if c.random.Float64() < leaveShare {
		waits = leavePatience
	}
	ctx, cancel := context.WithTimeout(ctx, waits)
	defer cancel()
	c.deployment.record.sending(sent)
	answer, err := c.standin.Do(ctx, daemon.front, sent.ClientRequest)
	if ctx.Err() != nil {
		// The client left: how the request ends is nobody's business.
		return
	}
	c.deployment.record.ended(sent, answer, err)
}

// draw decides what the request asks for.
func (c *client) draw(sent *sentRequest) {
	name := "safe"
	switch part := c.random.IntN(10); {
	case part < 5:
		name, sent.kind = "stream", fleet.KindStream
		sent.Model = c.drawModel()
		sent.PromptTokens, sent.OutputTokens = 200, 10
		sent.Prompt = soundPrompt(c.number, c.sent)
	case part < 7:
		name, sent.kind = "unsafe", fleet.KindUnsafe
	case part < 8:
		sent.kind = fleet.KindSafe
	default:
		sent.kind = fleet.KindSafe
		if newest := c.deployment.newestVersion(); newest >= 2 {
			sent.mark = newest - uint64(c.random.IntN(int(min(newest-1, 3))))
			name = markName(sent.mark)
		}
	}
	sent.Path = fmt.Sprintf("/%s/%d?q=%%20", name, c.sent)
}

// drawModel draws a model, most often one of a few, whose set moves with time.
func (c *client) drawModel() string {
	number := c.random.IntN(modelCount)
	if c.random.IntN(4) > 0 {
		number = (int(time.Now().Unix()/20) + c.random.IntN(2)) % modelCount
	}
	name := modelName(number)
	if c.random.IntN(3) == 0 {
		name += fmt.Sprint("/a", 1+c.random.IntN(adapterCount))
	}
	return name
}

// checkRecovery checks that soon after all faults every kind of request is served by
// every daemon again.
func (d *deployment) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.record.recoveryTime())
	defer cancel()
	// All daemons at once: one after the other, a large deployment would use up the time
	// with the probes themselves.
	var group conc.WaitGroup
	var missed atomic.Bool
	for number, daemon := range d.daemons {
		group.Go(func() {
			if !d.recovered(ctx, number, daemon) {
				missed.Store(true)
			}
		})
	}
	group.Wait()
	if !missed.Load() {
		d.record.recovered()
	}
}

// recovered reports whether one daemon serves every model before ctx ends, and notes if it
// does not.
func (d *deployment) recovered(ctx context.Context, number int, daemon *daemon) bool {
	probe := standin.Client{HTTP: &http.Client{Timeout: 3 * time.Second}}
	attempt := 0
	for model := range modelCount {
		for served := false; !served; attempt++ {
			sent := &sentRequest{
				ClientRequest: standin.ClientRequest{
					ID: fmt.Sprintf("ff%02x%08x", number, attempt), Host: host, Path: "/stream/x", Body: "probe", Patience: 2 * time.Second,
					Model: modelName(model), PromptTokens: 100, OutputTokens: 10, Key: ampleKey,
				},
				daemon: daemon, life: daemon.currentLife(), at: time.Now(), kind: fleet.KindStream,
			}
			d.record.sending(sent)
			answer, err := probe.Do(ctx, daemon.front, sent.ClientRequest)
			d.record.ended(sent, answer, err)
			served = err == nil && answer.Status == http.StatusOK && answer.Complete
			if !served && ctx.Err() != nil {
				// A soak that is interrupted has not waited for as long as recovery may take.
				if errors.Is(ctx.Err(), context.DeadlineExceeded) {
					d.record.missedRecovery(sent, answer, err)
				}
				return false
			}
		}
	}
	return true
}
