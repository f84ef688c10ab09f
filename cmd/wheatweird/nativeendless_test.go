package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/client"
	"github.com/wheatweir/wheatweir/lab/cluster"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	"github.com/wheatweir/wheatweir/platform/standin"
)

// serve lists a machine of a service of its own and answers each of its requests by a function.
func (d *nativeDaemon) serve(t *testing.T, name string, answer http.HandlerFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: answer}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	d.standIns.Store.Do(func(now time.Time, core *objectstore.Core) {
		core.SetMachine(now, api.Machine{Name: name + "-1", Role: api.RoleService, Zone: "z", State: api.MachineLive, Address: listener.Addr().String()})
	})
	caller := client.New([]string{d.caller})
	defer caller.Close()
	waitUntil(t, d.pid, "the service is created", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		result, err := caller.Operator(ctx, d.caller, cluster.Credential, "create service "+name+" on "+name+"-1 priority critical")
		return err == nil && result.Error == ""
	})
}

// TestAnswersWithoutEndAtANativeDaemonTakeNoMemory guards against a back end that sends bytes without end in a head or a body, and against a
// native daemon that keeps them all, is over the memory of a small machine and ends with the requests of its other callers.
func TestAnswersWithoutEndAtANativeDaemonTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	parts := []standin.Endless{standin.EndlessField, standin.EndlessInterim, standin.EndlessChunkLine, standin.EndlessLaterEvent, standin.EndlessBody, standin.EndlessSurplus}
	for _, part := range parts {
		t.Run(string(part), func(t *testing.T) {
			d := startNativeDaemon(t, binary, 0)
			handler, ended := endlessServer(part)
			d.serve(t, "faulty", handler)
			caller := client.New([]string{d.caller})
			defer caller.Close()
			ctx, cancel := context.WithTimeout(context.Background(), troubleSpan)
			defer cancel()
			var group sync.WaitGroup
			for number := range troubleClients {
				group.Go(func() {
					for ctx.Err() == nil {
						request := client.Request{Service: "faulty", Prompt: fmt.Sprint(number), Deadline: troubleSpan}
						if answer, err := caller.DoAt(ctx, d.caller, request); err == nil && answer.Outcome == "answered" {
							t.Errorf("%+v", answer)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			for ctx.Err() == nil {
				if !d.answers("/readyz") {
					t.Error("an ordinary client gets no answer")
				}
				time.Sleep(latePause)
			}
			group.Wait()
			if len(ended()) == 0 {
				t.Error("no answer without end was sent")
			}
			peak, running := residentPeakMB(d.pid)
			t.Logf("peak %.0f MB, %d answers", peak, len(ended()))
			if !running || peak > entryMemoryMB {
				t.Errorf("running %t, peak %.0f MB, %d allowed", running, peak, entryMemoryMB)
			}
		})
	}
}
