package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/internal/loopback"
)

// daemon is one real daemon as a process of its own, with the proxies in front of
// what it hears and in front of the store that it reaches.
type daemon struct {
	number   int
	name     string
	binary   string
	settings string
	logs     *os.File

	front, ready, directory, peers string
	// crowds says that its descriptors are limited, as crowds come.
	crowds bool
	// firstStart tells it that no daemon has run before.
	firstStart bool
	// peerProxy is where the other daemons reach it, storeProxy where it reaches
	// the store.
	peerProxy, storeProxy *proxy

	mutex   sync.Mutex
	process *os.Process
	// life counts the starts.
	life    int
	ended   chan struct{}
	wanted  bool
	frozen  bool
	touched time.Time
	// touches are all moments at which it was touched.
	touches []time.Time
	// stopAt is when the last planned stop began; zero if there was none.
	stopAt time.Time
	// stops is when each life was told to stop first.
	stops map[int]time.Time
	// killedAt and frozenAt are when the process was last killed and frozen.
	killedAt, frozenAt time.Time
}

func newDaemon(number int, binary, folder, store string) (*daemon, error) {
	d := &daemon{number: number, name: fmt.Sprint("entry-", number), binary: binary, stops: map[int]time.Time{}}
	for _, address := range []*string{&d.front, &d.ready, &d.directory, &d.peers} {
		var err error
		if *address, err = loopback.Address(); err != nil {
			return nil, err
		}
	}
	var err error
	if d.peerProxy, err = newProxy(d.peers); err != nil {
		return nil, err
	}
	if d.storeProxy, err = newProxy(store); err != nil {
		return nil, err
	}
	d.settings = filepath.Join(folder, d.name+".ini")
	d.logs, err = os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return d, err
}

// writeSettings writes the settings file. The keep time tells two versions apart.
func (d *daemon) writeSettings(seeds string, keep time.Duration) error {
	text := fmt.Sprintf(`[daemon]
name = %s
zone = zone-%d
deployment_key = the deployment of a soak
memory_limit_mb = %d
[listen]
front = %s
ready = %s
directory = %s
peers = %s
advertised_peers = %s
[peers]
seeds = %s
[store]
address = %s
watch_wait = %s
revoke_within = %s
[requests]
address_keep = %s
grace = %s
retry_share = %g
retry_slack = %d
[orders]
checks_fence = true
lease_term = %s
`, d.name, d.number%zones+1, memoryLimitMB, d.front, d.ready, d.directory, d.peers, d.peerProxy.address(), seeds, d.storeProxy.address(),
		contact, revokeWithin, keep, grace, retryShare, retrySlack, leaseTerm)
	if d.firstStart {
		text = strings.Replace(text, "[daemon]\n", "[daemon]\nfirst_start = true\n", 1)
	}
	// Readers see the old file or the new one, never a part of it.
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return ErrSoak.Wrap(err)
	}
	return ErrSoak.Wrap(os.Rename(next, d.settings))
}

// start starts the process and starts it anew, after a short delay, each time that
// it ends, until it is ended for good.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wanted = true
	return d.launch()
}

func (d *daemon) launch() error {
	command := daemonCommand(d.crowds, d.binary, "--entry", "--settings", d.settings)
	command.Stdout, command.Stderr = d.logs, d.logs
	if err := command.Start(); err != nil {
		return ErrSoak.Wrap(err)
	}
	d.process, d.frozen = command.Process, false
	d.life++
	d.noteTouch()
	ended := make(chan struct{})
	d.ended = ended
	go func() {
		_ = command.Wait()
		time.Sleep(restartDelay)
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.process = nil
		d.noteTouch()
		if d.wanted {
			_ = d.launch()
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(sent syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process == nil {
		return
	}
	switch sent {
	case syscall.SIGKILL:
		d.killedAt = time.Now()
	case syscall.SIGSTOP:
		d.frozen, d.frozenAt = true, time.Now()
	case syscall.SIGCONT:
		d.frozen = false
	case syscall.SIGTERM:
		d.stopAt = time.Now()
		if d.stops[d.life].IsZero() {
			d.stops[d.life] = d.stopAt
		}
	}
	if sent != syscall.SIGHUP {
		d.noteTouch()
	}
	_ = d.process.Signal(sent)
}

// touch notes a fault that concerns the daemon.
func (d *daemon) touch() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noteTouch()
}

// noteTouch notes a fault that concerns the daemon. The mutex is held.
func (d *daemon) noteTouch() {
	d.touched = time.Now()
	d.touches = append(d.touches, d.touched)
}

// touchedBetween reports whether a fault has concerned the daemon in a span.
func (d *daemon) touchedBetween(from, until time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.touches, func(at time.Time) bool { return !at.Before(from) && !at.After(until) })
}

// calmSince reports whether no fault has concerned the daemon since a moment.
func (d *daemon) calmSince(since time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.process != nil && !d.frozen && d.touched.Before(since)
}

func (d *daemon) currentLife() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.life
}

func (d *daemon) stoppedAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopAt
}

// stopOf returns when a life was told to stop; zero if it was not.
func (d *daemon) stopOf(life int) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stops[life]
}

// struckSince reports whether the process was killed since a moment, or frozen since a later one.
func (d *daemon) struckSince(killed, frozen time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.killedAt.After(killed) || d.frozenAt.After(frozen)
}

// end ends the process for good.
func (d *daemon) end() {
	d.mutex.Lock()
	d.wanted = false
	process, ended := d.process, d.ended
	if process != nil {
		_ = process.Kill()
	}
	d.mutex.Unlock()
	if ended != nil {
		<-ended
	}
	d.peerProxy.close()
	d.storeProxy.close()
	_ = d.logs.Close()
}
