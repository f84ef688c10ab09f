package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/lab/cluster"
)

const (
	// nativeReceivedMB is the memory for received data of a native daemon, and nativeMemoryMB what its process may hold.
	nativeReceivedMB = 64
	nativeMemoryMB   = 192
	// nativeUploads is how many clients send bodies that lack their last byte.
	nativeUploads   = 120
	nativeBodyBytes = 4 << 20
)

// nativeDaemon is a native daemon as a process of its own, before the stand-in of a store.
type nativeDaemon struct {
	caller, peers string
	pid           int
	standIns      *cluster.Cluster
}

func startNativeDaemon(t *testing.T, binary string, descriptors int) *nativeDaemon {
	t.Helper()
	options := cluster.DefaultOptions(io.Discard)
	options.Daemons = 0
	standIns, err := cluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standIns.Close)
	d := &nativeDaemon{standIns: standIns}
	for _, address := range []*string{&d.caller, &d.peers} {
		if *address, err = loopback.Address(); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "daemon.ini")
	content := fmt.Sprintf("[daemon]\nname = d1\nzone = z\ncaller_address = %s\npeer_address = %s\nplatform_address = %s\nseeds = %s\ndeployment_key = %s\n[operators]\ncredential = %s\n[requests]\nreceived_bytes = %d\nmax_body_bytes = %d\n",
		d.caller, d.peers, standIns.Store.Address(), d.peers, cluster.DeploymentKey, cluster.Credential, nativeReceivedMB<<20, nativeBodyBytes)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	command := limitedCommand(descriptors, binary, "--settings", path)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	d.pid = command.Process.Pid
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	waitUntil(t, d.pid, "the daemon is ready", func() bool { return d.answers("/readyz") })
	return d
}

// answers reports whether an ordinary client gets an answer to a question.
func (d *nativeDaemon) answers(path string) bool {
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.caller + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// checkCrowd checks that the daemon lives beside a crowd, within its bounds, and answers ordinary clients.
func (d *nativeDaemon) checkCrowd(t *testing.T, clients *crowd, most resources) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var watching, group sync.WaitGroup
	watched, stopWatching := context.WithCancel(context.Background())
	watcher := watchResources(watched, &watching, d.pid, d.caller, d.peers)
	defer func() {
		cancel()
		group.Wait()
		stopWatching()
		watching.Wait()
		watcher.check(t, most)
	}()
	clients.start(ctx, &group)
	clients.waitPlaced(t)
	for _, path := range []string{"/readyz", "/v1/models", "/metrics"} {
		waitUntil(t, d.pid, path+" is answered beside the crowd", func() bool { return d.answers(path) })
	}
	cancel()
	group.Wait()
	waitUntil(t, d.pid, "a question is answered after the crowd", func() bool { return d.answers("/v1/models") })
}

// TestCrowdsAtANativeDaemonTakeNoMemory guards against clients of a native daemon whose heads have no end, or whose bodies are each
// within their limit, and that use up its memory together.
func TestCrowdsAtANativeDaemonTakeNoMemory(t *testing.T) {
	binary := buildBinary(t)
	most := resources{memoryMB: nativeMemoryMB}
	for name, sent := range unfinishedHeads("/v1/completions") {
		t.Run(name, func(t *testing.T) {
			d := startNativeDaemon(t, binary, 0)
			d.checkCrowd(t, &crowd{address: d.caller, size: headCrowd, misbehaviour: misbehaviour{opening: sent[0], more: sent[1]}}, most)
		})
	}
	framings := map[string]string{
		"bodies":            fmt.Sprintf("Content-Length: %d\r\n\r\n", nativeBodyBytes),
		"bodies in chunks":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", nativeBodyBytes),
		"bodies of a route": fmt.Sprintf("Content-Length: %d\r\n\r\n", nativeBodyBytes),
	}
	for name, framing := range framings {
		path := "/v1/completions"
		if name == "bodies of a route" {
			path = "/v1/services/s/x"
		}
		t.Run(name, func(t *testing.T) {
			d := startNativeDaemon(t, binary, 0)
			opening := append([]byte("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"+framing), bytes.Repeat([]byte("x"), nativeBodyBytes-1)...)
			d.checkCrowd(t, &crowd{address: d.caller, size: nativeUploads, misbehaviour: misbehaviour{opening: opening}}, most)
		})
	}
}

// TestCrowdsAtANativeDaemonLeaveDescriptors guards against clients that only connect, and take the descriptors that a native daemon
// needs for the store, back ends and other daemons.
func TestCrowdsAtANativeDaemonLeaveDescriptors(t *testing.T) {
	binary := buildBinary(t)
	for _, listener := range []string{"caller", "peers"} {
		t.Run(listener, func(t *testing.T) {
			d := startNativeDaemon(t, binary, smallDescriptors)
			address := d.caller
			if listener == "peers" {
				address = d.peers
			}
			most := resources{memoryMB: nativeMemoryMB, descriptors: smallDescriptors - ownDescriptors}
			d.checkCrowd(t, &crowd{address: address, size: connectionCrowd}, most)
		})
	}
}
