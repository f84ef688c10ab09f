package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/fleet"
	"github.com/wheatweir/wheatweir/platform/standin"
	"github.com/wheatweir/wheatweir/tenant"
)

// Tenants of a soak. The key of ampleTenant is never taken away and has no limit, boundedTenant
// has a limit that its clients pass all the time, and movingTenant gets another key with each
// version of the configuration.
const (
	ampleTenant   = "ample"
	boundedTenant = "bounded"
	movingTenant  = "moving"
	ampleKey      = "ample-key"
	boundedKey    = "bounded-key"
	strayKey      = "stray-key"
	// forgedTenant is what clients claim to be.
	forgedTenant = "forged"
)

const (
	// revokeWithin is how long after the store has taken that a key is gone requests with it
	// may still be sent.
	revokeWithin = 3 * time.Second
	// quotaWindow, quotaOvershoot and quotaSlack say by how much the limit may be passed, in
	// requests. The slack covers what a link holds up and then lets go at once.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 10
	// boundedShare is how many clients there are for each one of boundedTenant.
	boundedShare = 4
)

var boundedLimit = tenant.Limit{PerSecond: 5, Burst: 5}

// movingKey is the key of movingTenant in a version of the configuration.
func movingKey(version uint64) string { return fmt.Sprint("moving-key-", version) }

// addTenants adds the tenants to a configuration, and returns their keys.
func addTenants(configuration *fleet.Configuration) map[string][]string {
	configuration.RequiresKeys = true
	configuration.Tenants = []tenant.Tenant{{Name: ampleTenant}, {Name: boundedTenant, Limit: boundedLimit}, {Name: movingTenant}}
	return map[string][]string{
		ampleTenant: {ampleKey}, boundedTenant: {boundedKey}, movingTenant: {movingKey(configuration.Version)},
	}
}

// drawKey draws the key of a request.
func (c *client) drawKey() string {
	if c.number%boundedShare == boundedShare-1 {
		return boundedKey
	}
	switch part := c.random.IntN(20); {
	case part < 14:
		return ampleKey
	case part < 18:
		newest := c.deployment.newestVersion()
		return movingKey(newest - uint64(c.random.IntN(int(min(newest, 3)))))
	case part < 19:
		return strayKey
	default:
		return ""
	}
}

// checkTenant checks whose request a server is told that it runs. The mutex is held.
func (r *record) checkTenant(sent *sentRequest, run standin.Run) {
	r.checked[promiseTenant]++
	if run.Header.Get("Api-Key") != "" {
		r.violate(promiseTenant, sent.ID, "%s was shown a key", run.Server)
	}
	if told := run.Header.Get("X-Tenant"); told != tenantOf(sent.Key) {
		r.violate(promiseTenant, sent.ID, "%s ran a request with the key %q for the tenant %q", run.Server, sent.Key, told)
	}
	if taken, gone := r.takenKeys[sent.Key]; gone {
		r.checked[promiseTakenKey]++
		if late := sent.at.Sub(taken) - revokeWithin; late > 0 {
			r.violate(promiseTakenKey, sent.ID, "%s runs it, sent %v after the time that a key may be used that is gone, by %s", run.Server, late, sent.daemon.name)
		}
	}
}

// tenantOf is the tenant that holds a key, now or before; no tenant holds a stray one.
func tenantOf(key string) string {
	var version uint64
	switch {
	case key == ampleKey:
		return ampleTenant
	case key == boundedKey:
		return boundedTenant
	}
	if count, _ := fmt.Sscanf(key, "moving-key-%d", &version); count == 1 {
		return movingTenant
	}
	return "nobody"
}

// checkKeyRefusal checks that a key that all versions hold is never called unknown.
func (r *record) checkKeyRefusal(sent *sentRequest) {
	if sent.Key != ampleKey && sent.Key != boundedKey {
		return
	}
	r.checked[promiseKnownKey]++
	if sent.answer.Status == 401 {
		r.violate(promiseKnownKey, sent.ID, "%s answered 401 for the key %q", sent.daemon.name, sent.Key)
	}
}

// checkQuota checks that no window has more runs of the bounded tenant than its limit allows.
func (r *record) checkQuota() {
	r.checked[promiseQuota]++
	var runs []time.Time
	for _, run := range r.runs {
		if run.Header.Get("X-Tenant") == boundedTenant {
			runs = append(runs, run.At)
		}
	}
	most := (boundedLimit.PerSecond*quotaWindow.Seconds()+boundedLimit.Burst)*(1+quotaOvershoot) + quotaSlack
	for i, from := range runs {
		count := 0
		for _, at := range runs[i:] {
			if at.Sub(from) < quotaWindow {
				count++
			}
		}
		if float64(count) > most {
			r.violate(promiseQuota, "", "%d runs of %s within %v, %.0f allowed", count, boundedTenant, quotaWindow, most)
			return
		}
	}
}

// rebearServer has a server crash and start again under its id, with nothing of what it held.
func rebearServer(d *deployment, random *rand.Rand) func() {
	number := random.IntN(len(d.places))
	place := d.places[number]
	d.record.disturb()
	crashed := place.current()
	crashed.Crash()
	return func() {
		if err := d.startAgain(place, number, crashed, false); err != nil {
			d.tell("server: %v", err)
		}
		d.record.disturb()
	}
}

// foreignPrefix begins the names of entries of other writers.
const foreignPrefix = "foreign-"

// foreignEntries puts entries of other writers beside those of the servers.
func foreignEntries(d *deployment, random *rand.Rand) func() {
	place := d.anyPlace(random)
	address := place.currentProxy().address()
	entries := []any{
		"scribble", 7, nil, map[string]any{}, map[string]any{"service": place.service},
		map[string]any{"service": place.service, "address": address, "zone": place.zone, "slots": 8, "state": "asleep"},
		map[string]any{"service": place.service, "address": address, "zone": place.zone, "slots": "8", "state": "ready"},
		map[string]any{"service": place.service, "address": address, "zone": place.zone, "slots": 8, "state": "ready", "born": "now"},
		map[string]any{"service": "unheard-of", "address": address, "zone": place.zone, "slots": 8, "state": "ready"},
	}
	for number, entry := range entries {
		d.store.Put("servers", fmt.Sprint(foreignPrefix, number), entry)
	}
	odd := oddEntries(place.service, address, place.zone)
	for number, entry := range odd {
		d.store.PutRaw("servers", fmt.Sprint(foreignPrefix, "odd-", number), entry)
		d.store.PutRaw("config", fmt.Sprint(foreignPrefix, "odd-", number), entry)
	}
	return func() {
		for number := range entries {
			d.store.Delete("servers", fmt.Sprint(foreignPrefix, number))
		}
		for number := range odd {
			d.store.Delete("servers", fmt.Sprint(foreignPrefix, "odd-", number))
			d.store.Delete("config", fmt.Sprint(foreignPrefix, "odd-", number))
		}
	}
}

// oddDepth is deeper than encoding/json reads.
const oddDepth = 20_000

// oddEntries are entries that are nested very deeply, hold numbers too large or a port out of range.
func oddEntries(service, address, zone string) []string {
	deep := strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)
	entry := func(address, slots, field string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":%s,"state":"ready",%s}`, service, address, zone, slots, field)
	}
	return []string{
		deep, entry("127.0.0.1:70000", "8", `"extra":`+deep), entry(address, "8", `"models":`+deep), entry(address, "9000000000000000000", `"born":1`),
		entry(address, "1e400", `"born":1`), entry("127.0.0.1:70000", "8", `"born":1`),
	}
}
