// Package soak runs the real daemons as processes of their own on one machine,
// before stand-ins for the users' platform, injects random faults from outside them,
// and checks the promises of the platform's rules from what clients and servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
)

// ErrSoak is the class of failures of a soak.
var ErrSoak = errs.Class("soak")

// Bounds of the deployment, as settings tell them to the daemons.
const (
	contact    = 3 * time.Second
	leaseTerm  = 3 * time.Second
	grace      = 8 * time.Second
	keep       = time.Second
	retryShare = 0.2
	retrySlack = 40
	// drainTime is how long a server serves after it said that it is leaving.
	drainTime = 2 * time.Second
	// configurationTime is how soon a configuration is in force.
	configurationTime = 2 * time.Second
	// recoveryTime is how soon everything is served again after all faults.
	recoveryTime = 12 * time.Second
	// restartDelay is how long the machine takes to start a process again.
	restartDelay = 200 * time.Millisecond
	zones        = 3
)

// Options of a soak.
type Options struct {
	// Seed decides which faults come when. The processes themselves run on real
	// time, so the same seed gives the same faults but not the same run.
	Seed uint64
	// Duration is how long faults are brought about.
	Duration time.Duration
	// Daemons is the number of processes.
	Daemons int
	// Engines is the number of model servers; at least two.
	Engines int
	// Clients is the number of clients that send requests one after the other.
	Clients int
	// Binary is the daemon's program; empty means that it is built first.
	Binary string
	// Folder takes settings and logs; empty means a new temporary one.
	Folder string
	// Untimed leaves out the promises that hold within a bound of time, for a
	// machine that is too busy to hold them.
	Untimed bool
	// OnlyReleases leaves out all faults but releases with the kills around them.
	OnlyReleases bool
	// OnlyCrashes leaves out all faults but crashes of half of the engines, each in the middle of a release.
	OnlyCrashes bool
	// OnlyOutOfStep leaves out all faults but daemons that are cut off or frozen while a new version joins.
	OnlyOutOfStep bool
	// Crowds adds crowds of clients that do not behave.
	Crowds bool
}

// DefaultOptions returns the options of a short run.
func DefaultOptions() Options {
	return Options{Seed: 1, Duration: time.Minute, Daemons: 5, Engines: 5, Clients: 24}
}

// Result is what a soak saw.
type Result struct {
	Seed       uint64         `json:"seed"`
	Faults     int            `json:"faults"`
	Requests   int            `json:"requests"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	Failed     int            `json:"failed"`
	Runs       int            `json:"runs"`
	Orders     int            `json:"orders"`
	Violations []Violation    `json:"violations"`
	Checked    map[string]int `json:"checked"`
	// Releases is the number of releases that began.
	Releases int `json:"releases"`
	// TakeUps are the streams that were taken up after a kill of all daemons or most of them.
	TakeUps TakeUps `json:"take_ups"`
	// CrashTakeUps are those that were taken up after a crash of half of the engines.
	CrashTakeUps TakeUps `json:"crash_take_ups"`
	// MemoryPeakMB is the largest resident memory of a daemon that was seen.
	MemoryPeakMB float64 `json:"memory_peak_mb"`
	// Crowds is the number of crowds that came, DescriptorsPeak the most descriptors that a daemon had open meanwhile.
	Crowds          int64  `json:"crowds"`
	DescriptorsPeak int    `json:"descriptors_peak"`
	Folder          string `json:"folder"`
}

// Run plays one soak. Progress goes to output.
func Run(ctx context.Context, options Options, output io.Writer) (*Result, error) {
	folder, err := prepareFolder(options.Folder)
	if err != nil {
		return nil, err
	}
	if options.Binary == "" {
		if options.Binary, err = build(ctx, folder); err != nil {
			return nil, err
		}
	}
	journal, err := os.Create(filepath.Join(folder, "soak.log"))
	if err != nil {
		return nil, ErrSoak.Wrap(err)
	}
	defer journal.Close()
	run, err := newDeployment(options, folder, io.MultiWriter(journal, output))
	if err != nil {
		return nil, err
	}
	defer run.close()
	return run.play(ctx)
}

func prepareFolder(folder string) (string, error) {
	if folder == "" {
		made, err := os.MkdirTemp("", "wheatweir-soak-")
		return made, ErrSoak.Wrap(err)
	}
	return folder, ErrSoak.Wrap(os.MkdirAll(folder, 0o755))
}

// build builds the daemon from the workspace that the soak runs in.
func build(ctx context.Context, folder string) (string, error) {
	binary := filepath.Join(folder, "wheatweird")
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/wheatweir/wheatweir/cmd/wheatweird")
	if text, err := command.CombinedOutput(); err != nil {
		return "", ErrSoak.New("build: %v: %s", err, text)
	}
	return binary, nil
}

// play runs clients and faults, heals everything, and looks whether all is served
// again.
func (d *deployment) play(ctx context.Context) (*Result, error) {
	if err := d.waitReady(ctx); err != nil {
		return nil, err
	}
	d.tell("seed %d: %d daemons, logs in %s", d.options.Seed, len(d.daemons), d.folder)
	clients, stopClients := context.WithCancel(ctx)
	for number := range d.options.Clients {
		d.group.Go(func() { d.runClient(clients, number, false) })
	}
	d.runPatientClients(clients)
	d.runTakeUps(clients)
	d.runLastingClients(clients)
	d.group.Go(func() { d.watchMemory(clients) })
	if d.options.Crowds {
		d.group.Go(func() { d.watchDescriptors(clients) })
	}
	faults, stopFaults := context.WithTimeout(ctx, d.options.Duration)
	random := rand.New(rand.NewPCG(d.options.Seed, 0x50a1c))
	d.runFaults(faults, random)
	stopFaults()
	d.heal()
	if d.options.OnlyOutOfStep {
		d.joinBesideOddEntries(ctx, random)
	}
	if ctx.Err() == nil {
		d.checkRecovery(ctx)
	}
	stopClients()
	d.group.Wait()
	d.record.checkAtEnd()
	result := d.record.result()
	result.Releases, result.Crowds, result.DescriptorsPeak = d.releases, d.record.crowds.Load(), d.record.descriptorsPeak
	result.Seed, result.Folder, result.Faults = d.options.Seed, d.folder, d.faults
	return result, nil
}

func (d *deployment) tell(format string, values ...any) {
	d.tellMutex.Lock()
	defer d.tellMutex.Unlock()
	fmt.Fprintf(d.output, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, values...)...)
}
