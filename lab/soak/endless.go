package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/platform/standin"
)

// At times a server, or the store, sends bytes without end in one part of its answers. The daemons stay within their memory
// meanwhile, whatever else happens.
const (
	endlessPause    = 2 * time.Second
	shortestEndless = 500 * time.Millisecond
	longestEndless  = 3 * time.Second
	// endlessShare is the smallest share of the answers that have no end; others have ends.
	endlessShare = 0.05
	// storeShare is how many faults of servers there are for each of the store.
	storeShare = 4

	endlessStream = 0xe4d1e

	// memoryLimitMB is the memory of a daemon.
	memoryLimitMB = 256
	memoryPause   = 50 * time.Millisecond
)

// runEndless has servers and the store send bytes without end until ctx ends. It draws from numbers of its own.
func (d *deployment) runEndless(ctx context.Context, random *rand.Rand) {
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(endlessPause))) {
		span := drawSpan(random, shortestEndless, longestEndless)
		if random.IntN(storeShare) == 0 {
			d.sendEndlessFromStore(ctx, random, span)
			continue
		}
		d.sendEndlessFromServer(ctx, random, span)
	}
}

func (d *deployment) sendEndlessFromServer(ctx context.Context, random *rand.Rand, span time.Duration) {
	parts := standin.EndlessParts()
	part := parts[random.IntN(len(parts))]
	share := endlessShare + (1-endlessShare)*random.Float64()
	control := random.IntN(2) == 0
	server := d.anyPlace(random).current()
	d.tell("%s sends a %s without end in %.2f of its answers, reports too: %t", server.ID, part, share, control)
	d.record.disturb()
	server.SendEndless(share, part)
	if control {
		server.SendEndlessControl(part)
	}
	pause(ctx, span)
	server.SendEndless(0)
	server.SendEndlessControl("")
	d.record.disturb()
}

func (d *deployment) sendEndlessFromStore(ctx context.Context, random *rand.Rand, span time.Duration) {
	kind := []standin.Fault{standin.FaultEndlessHead, standin.FaultEndlessBody}[random.IntN(2)]
	d.tell("the store sends answers without end")
	end := storeFault(kind)(d, random)
	pause(ctx, span)
	end()
	d.tell("the store sends answers with ends")
}

// watchMemory checks that no daemon is over its memory, and kills one that is, until ctx ends.
func (d *deployment) watchMemory(ctx context.Context) {
	told := map[int]bool{}
	for pause(ctx, memoryPause) {
		for _, daemon := range d.daemons {
			pid := daemon.pid()
			resident, running := residentMB(pid)
			if !running || told[pid] {
				continue
			}
			d.record.checkMemory(daemon.name, resident)
			if told[pid] = resident > memoryLimitMB; told[pid] {
				// The platform kills a process over its memory.
				daemon.signal(syscall.SIGKILL)
			}
		}
	}
}

// checkMemory checks the resident memory of a daemon.
func (r *record) checkMemory(daemon string, residentMB float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checked[promiseDaemonMemory]++
	r.memoryPeakMB = max(r.memoryPeakMB, residentMB)
	if residentMB > memoryLimitMB {
		r.violate(promiseDaemonMemory, "", "%s takes %.0f MB, %d allowed", daemon, residentMB, memoryLimitMB)
	}
}

// pid returns the ID of the daemon's process; zero if it does not run.
func (d *daemon) pid() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process == nil {
		return 0
	}
	return d.process.Pid
}

// residentMB returns the resident memory of a process, or false if it does not run.
func residentMB(pid int) (float64, bool) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024, err == nil
		}
	}
	return 0, false
}
