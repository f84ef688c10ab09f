package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
	"github.com/wheatweir/wheatweir/tenant"
)

// Tenants of the demo: the load comes from one without a limit; the other one may send
// demoPerSecond requests a second, demoBurst at once, and sends demoRequests without a pause.
const (
	demoKey          = "the demo's key"
	demoLimitedKey   = "the key of a small tenant"
	demoPerSecond    = 20
	demoBurst        = 3
	demoRequests     = 40
	demoRevokeWithin = 5 * time.Second
)

var (
	demoTenants = []tenant.Tenant{{Name: "lectures"}, {Name: "trial", Limit: tenant.Limit{PerSecond: demoPerSecond, Burst: demoBurst}}}
	demoKeys    = map[string][]string{"lectures": {demoKey}, "trial": {demoLimitedKey}}
)

// showTenants sends requests without a key, with one that nobody holds, and more of a tenant than
// its limit allows, and checks how each ends.
func (d *platformDeployment) showTenants(ctx context.Context, output io.Writer) error {
	if err := d.awaitQuota(ctx); err != nil {
		return err
	}
	for key, status := range map[string]int{"": http.StatusUnauthorized, "a stray key": http.StatusUnauthorized} {
		if answer, err := d.ask(ctx, 0, key); err != nil || answer.Status != status {
			return ErrPlatformDemo.New("status %d for the key %q, %v", answer.Status, key, err)
		}
	}
	fmt.Fprintln(output, "without a key, and with one that no tenant holds: 401")
	// What was used up while the daemons got to know each other comes back.
	time.Sleep(2 * demoBurst * time.Second / demoPerSecond)
	statuses := map[int]int{}
	for number := range demoRequests {
		answer, err := d.ask(ctx, number, demoLimitedKey)
		if err != nil {
			return ErrPlatformDemo.Wrap(err)
		}
		statuses[answer.Status]++
	}
	if statuses[http.StatusTooManyRequests] == 0 || statuses[http.StatusOK] == 0 {
		return ErrPlatformDemo.New("requests of the tenant trial by status: %v", statuses)
	}
	fmt.Fprintf(output, "%d requests of the tenant trial at three daemons: %d served, %d above its limit (429, not run)\n",
		demoRequests, statuses[http.StatusOK], statuses[http.StatusTooManyRequests])
	return nil
}

// awaitQuota waits until each daemon knows who keeps the limits: before that it refuses the
// requests of limited tenants.
func (d *platformDeployment) awaitQuota(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformStart)
	defer cancel()
	for number := range d.settings {
		for {
			answer, err := d.ask(ctx, number, demoLimitedKey)
			if err == nil && answer.Status != http.StatusServiceUnavailable {
				break
			}
			if ctx.Err() != nil {
				return ErrPlatformDemo.New("%s does not know the other daemons", d.settings[number].Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ask sends one request to the portal with a key.
func (d *platformDeployment) ask(ctx context.Context, daemon int, key string) (standin.ClientAnswer, error) {
	d.asked++
	var client standin.Client
	return client.Do(ctx, d.settings[daemon%len(d.settings)].FrontAddress, standin.ClientRequest{
		ID: fmt.Sprintf("a%015x", d.asked), Host: platformHost, Path: "/portal/x", Body: "prompt", Key: key, Patience: 3 * time.Second,
	})
}
