package entry_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// TestMalformedHeadsThroughOtherDaemonsReachNoClient guards against malformed heads that a client gets as an answer, or waits for, because
// they came through a tunnel of another daemon.
func TestMalformedHeadsThroughOtherDaemonsReachNoClient(t *testing.T) {
	const (
		requests = 60
		// atOnce is a fifth of what the client's patience and the route's time-out leave at least.
		atOnce = time.Second
	)
	f := start(t, 3)
	f.waitReady(t)
	for i := range f.all {
		eventually(t, "all daemons know each other", func() bool { return len(f.resolve(i).Addresses) == len(f.all) })
		f.tryAt(i, 4)
	}
	f.network(f.all[0].Name).SetCut(standin.CutReset)
	time.Sleep(afterContact)
	spoiled := func() (sent int) {
		for _, server := range f.servers {
			sent += server.SpoiledHeads()
		}
		return sent
	}
	eventually(t, "requests go through other daemons", func() bool {
		_, status, _, err := post(f.all[0].FrontAddress, "/plain/x", "")
		return err == nil && status == http.StatusOK
	})
	for number, server := range f.servers {
		server.SpoilHeads(1, rand.New(rand.NewPCG(97, uint64(number))))
	}
	promised := map[string]bool{}
	for range requests {
		began := time.Now()
		id, status, body, err := post(f.all[0].FrontAddress, "/plain/x", "")
		promised[id] = status == http.StatusServiceUnavailable
		if err != nil || status != http.StatusBadGateway && !promised[id] || strings.Contains(body, " from ") || time.Since(began) > atOnce {
			t.Errorf("status %d, %q, %v after %v", status, body, err, time.Since(began))
		}
	}
	for _, run := range f.ran() {
		if promised[run.ID] {
			t.Errorf("%s ran, and was promised not to have", run.ID)
		}
	}
	if sent := spoiled(); sent < requests/2 {
		t.Errorf("%d heads were sent", sent)
	}
	for _, server := range f.servers {
		server.SpoilHeads(0, nil)
	}
	eventually(t, "sound answers reach clients again", func() bool {
		_, status, _, err := post(f.all[0].FrontAddress, "/plain/x", "")
		return err == nil && status == http.StatusOK
	})
}
