package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/internal/loopback"
	"github.com/wheatweir/wheatweir/platform/standin"
)

const (
	// memoryMB is the memory of a machine of the small sites; the platform kills a process that is over it.
	memoryMB = 284
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 10 * time.Millisecond
	// restartPause is how long the platform takes to start a process that ended again.
	restartPause = 500 * time.Millisecond
	// readyLimit bounds the wait for a daemon to become ready.
	readyLimit = 20 * time.Second
	host       = "h.example"
)

// world is the stand-in platform of one case: its store, and the daemons that it starts.
type world struct {
	began   time.Time
	trouble bool
	folder  string
	store   *standin.Store
	daemons []*daemon

	mutex sync.Mutex
	lines *os.File
	ended bool
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	lines, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "wheatweir-review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), trouble: trouble, folder: folder, store: store, lines: lines}
	w.record("trouble: %v", trouble)
	return w, nil
}

// record writes a line into the record.
func (w *world) record(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.lines, elapsed(w.began)+"  "+format+"\n", values...)
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mutex.Lock()
	w.ended = true
	w.mutex.Unlock()
	for _, d := range w.daemons {
		d.kill()
	}
	for _, d := range w.daemons {
		<-d.supervised
	}
	w.store.Close()
	_ = os.RemoveAll(w.folder)
	_ = w.lines.Close()
}

func (w *world) over() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ended
}

// daemon is one machine with its daemon, which is started again when it ends.
type daemon struct {
	world *world
	name  string
	path  string

	front, ready, directory, peers, metrics string
	supervised                              chan struct{}

	mutex   sync.Mutex
	process *os.Process
	// overMemory says that the platform killed the present process since it was over its memory; peakMB is the largest
	// resident memory of any of the processes.
	overMemory bool
	peakMB     float64
	// memoryEnds is how many processes were over their memory, otherEnds how many ended in another way.
	memoryEnds, otherEnds int
}

// startDaemons starts daemons in zones, and waits until they are ready.
func (w *world) startDaemons(zones ...string) error {
	var seeds []string
	for number, zone := range zones {
		d := &daemon{world: w, name: fmt.Sprintf("front-%s-%d", zone, number+1), supervised: make(chan struct{})}
		for _, address := range []*string{&d.front, &d.ready, &d.directory, &d.peers, &d.metrics} {
			var err error
			if *address, err = loopback.Address(); err != nil {
				return err
			}
		}
		seeds = append(seeds, d.peers)
		w.daemons = append(w.daemons, d)
	}
	for number, d := range w.daemons {
		d.path = filepath.Join(w.folder, d.name+".ini")
		if err := os.WriteFile(d.path, []byte(w.settings(d, zones[number], seeds[:min(3, len(seeds))])), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		go d.supervise()
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// settings fills deploy/node.ini as the platform does for a machine of a small site.
func (w *world) settings(d *daemon, zone string, seeds []string) string {
	return fmt.Sprintf(`[daemon]
name = %s
zone = %s
region = r
zone_regions = a=r,b=r,c=r
deployment_key = deployment/%s
memory_limit_mb = %d
cpu_share = 0.4
[listen]
front = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[peers]
seeds = %s
[store]
address = %s
watch_wait = 2000ms
[requests]
address_keep = 1s
grace = 8s
retry_share = 0.2
retry_slack = 58
[orders]
checks_fence = true
lease_term = 3000ms
`, d.name, zone, w.store.Address(), memoryMB, d.front, d.ready, d.directory, d.peers, d.metrics, strings.Join(seeds, ","), w.store.Address())
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	output, err := os.OpenFile(filepath.Join(d.world.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/wheatweird", "--entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WHEATWEIR_SETTINGS=" + d.path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.process, d.overMemory = command.Process, false
	return nil
}

// supervise does what the platform does: it kills a process that is over its memory, and starts one that ended again.
func (d *daemon) supervise() {
	defer close(d.supervised)
	for {
		d.mutex.Lock()
		process := d.process
		d.mutex.Unlock()
		done := make(chan struct{})
		go d.watchMemory(process, done)
		state, err := process.Wait()
		close(done)
		if d.world.over() {
			return
		}
		d.mutex.Lock()
		if d.overMemory {
			d.memoryEnds++
		} else {
			d.otherEnds++
		}
		d.mutex.Unlock()
		d.world.record("%s ended: %v %v, over its memory: %v", d.name, state, err, d.overMemory)
		time.Sleep(restartPause)
		if d.world.over() {
			return
		}
		if err := d.start(); err != nil {
			d.world.record("%s: %v", d.name, err)
			return
		}
	}
}

func (d *daemon) watchMemory(process *os.Process, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryPoll):
		}
		resident := residentMB(process.Pid)
		d.mutex.Lock()
		d.peakMB = max(d.peakMB, resident)
		if over := resident > memoryMB; over && !d.overMemory {
			d.overMemory = true
			d.world.record("%s holds %.0f MB, over its %d MB: the platform kills it", d.name, resident, memoryMB)
			_ = process.Kill()
		}
		d.mutex.Unlock()
	}
}

// residentMB returns the resident memory of a process; zero if it has ended.
func residentMB(pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process.
func (d *daemon) signal(signal os.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process != nil {
		_ = d.process.Signal(signal)
	}
}

func (d *daemon) kill() { d.signal(syscall.SIGKILL) }

// awaitReady waits until the daemon says that it takes requests.
func (d *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + d.ready + "/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}
