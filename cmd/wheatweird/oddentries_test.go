package main

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// oddEntryPatience is how long a daemon may take to know a server that joins: more than the store may take to tell.
const oddEntryPatience = 4 * time.Second

// nested returns a list in a list, and so on.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntries are entries of another writer that stand beside those of sound servers, with fields of any kind in place of FIELD.
func oddEntries() map[string]string {
	const sound = `{"service":"faulty","address":"ADDRESS","zone":"z","version":"v1","slots":8,"state":"ready","callSeq":0,FIELD}`
	odd := map[string]string{}
	for name, field := range map[string]string{
		"nested 9,000 deep": `"extra":` + nested(9_000), "nested 20,000 deep": `"extra":` + nested(20_000), "nested 400,000 deep": `"extra":` + nested(400_000),
		"models nested deeply": `"models":` + nested(400_000), "a time beyond all": `"coldLeftMs":1e300,"remainingMs":1e300`,
		"a time below all": `"coldLeftMs":-1e300,"remainingMs":-1e300`, "a time that is no number of Go": `"coldLeftMs":1e999`, "a start beyond all": `"born":9223372036854775807`,
		"a long version": `"version":"` + strings.Repeat("v", 900_000) + `"`, "many models": `"models":[` + strings.Repeat(`{"name":"m","adapters":["a1","a2"]},`, 20_000) + `{"name":"m"}]`,
	} {
		odd[name] = strings.Replace(sound, "FIELD", field, 1)
	}
	usual := strings.Replace(sound, "FIELD", `"models":[]`, 1)
	for name, slots := range map[string]string{
		"slots beyond memory": "9000000000000000000", "slots beyond numbers": "1e400", "slots of 30 digits": strings.Repeat("9", 30), "fewer slots than none": "-9000000000000000000",
	} {
		odd[name] = strings.Replace(usual, `"slots":8`, `"slots":`+slots, 1)
	}
	for name, address := range map[string]string{
		"a port out of range": "127.0.0.1:70000", "a port of 30 digits": "127.0.0.1:" + strings.Repeat("9", 30), "port 0": "127.0.0.1:0", "a port below 0": "127.0.0.1:-1",
		"no port": "127.0.0.1", "an address with a zone": "[fe80::1%lo]:80",
	} {
		odd[name] = strings.Replace(usual, "ADDRESS", address, 1)
	}
	odd["a whole spec that is nested deeply"] = nested(400_000)
	return odd
}

// TestOddEntriesOfServersStopNoDaemon guards against one entry of another writer that ends the process of each daemon that reads
// the list of servers, or keeps it from following that list.
func TestOddEntriesOfServersStopNoDaemon(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	for name, entry := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startEntryDaemon(t, binary)
			entry = strings.Replace(entry, "ADDRESS", "127.0.0.1:1", 1)
			d.store.PutRaw("servers", "odd", entry)
			time.Sleep(300 * time.Millisecond)
			for _, route := range []string{"stream", "resumable", "unsafe", "safe"} {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, _ = d.ask(ctx, route, "odd-"+route)
				cancel()
			}
			// One that reads changes, and one that lists anew.
			d.checkFollows(t, "after-a-change")
			d.store.Forget()
			time.Sleep(time.Second)
			d.checkFollows(t, "after-a-list")
			if response, err := http.Get("http://" + d.metrics + "/metrics"); err != nil {
				t.Errorf("the process has ended: %v", err)
			} else {
				_ = response.Body.Close()
			}
		})
	}
}

// checkFollows has a server join and checks that the daemon uses it.
func (d *entryDaemon) checkFollows(t *testing.T, when string) {
	t.Helper()
	server, err := standin.NewServer(d.store, "joined-"+when, "joined", "z")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	for until := time.Now().Add(oddEntryPatience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		log, err := os.ReadFile(d.log)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(log), server.ID) {
			return
		}
	}
	t.Errorf("%s: a server that joined is not known after %v", when, oddEntryPatience)
}
