package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"
)

// At times crowds of clients that do not behave come to a daemon: they send heads without end, bodies that stop, or nothing at all, and
// come back when they are turned away. The daemon stays within its memory and its descriptors, whatever else happens.
const (
	crowdPause    = 2 * time.Second
	shortestCrowd = 500 * time.Millisecond
	longestCrowd  = 4 * time.Second
	smallestCrowd = 300
	largestCrowd  = 900
	// crowdReturn is how long a client that was turned away stays away.
	crowdReturn = 100 * time.Millisecond
	// crowdPieceBytes is how much a client without end sends at once, insideHeadBytes the size of a head that is within its limit but
	// has no end.
	crowdPieceBytes = 16 << 10
	insideHeadBytes = 60 << 10

	crowdStream = 0xc20d

	// descriptorLimit is how many descriptors a daemon may open in a soak with crowds, of which mostDescriptors may be in use.
	descriptorLimit = 512
	mostDescriptors = descriptorLimit * 15 / 16
)

// misbehaviour is what the clients of a crowd do: they send an opening, and more again and again.
type misbehaviour struct {
	name          string
	opening, more []byte
}

func misbehaviours() []misbehaviour {
	head := "POST /none/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: crowd\r\n"
	var fields bytes.Buffer
	for number := 0; fields.Len() < insideHeadBytes; number++ {
		fields.WriteString(strconv.FormatInt(int64(number), 36) + ":\r\n")
	}
	piece := bytes.Repeat([]byte("x"), crowdPieceBytes)
	return []misbehaviour{
		{name: "connect only"},
		{"send many fields", []byte(head + fields.String()), nil},
		{"send whole heads of many fields without the body", []byte(head + fields.String() + "Content-Length: 1000\r\n\r\n"), nil},
		{"send a field without end", []byte(head + "X-Long: "), piece},
		{"send empty lines without end", nil, bytes.Repeat([]byte("\r\n"), crowdPieceBytes/2)},
		{"send a body that is too large", []byte(head + "Content-Length: 1000000000\r\n\r\n"), piece},
		{"send a body slowly", []byte(head + "Content-Length: 1000000\r\n\r\n"), []byte("x")},
		{"stay after an answer", []byte(head + "Content-Length: 0\r\n\r\n"), nil},
	}
}

// runCrowds has crowds come to daemons until ctx ends. It draws from numbers of its own.
func (d *deployment) runCrowds(ctx context.Context, random *rand.Rand) {
	kinds := misbehaviours()
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(crowdPause))) {
		target := d.daemons[random.IntN(len(d.daemons))]
		addresses := map[string]string{"front": target.front, "ready": target.ready, "directory": target.directory, "peers": target.peers}
		listener := []string{"front", "front", "ready", "directory", "peers"}[random.IntN(5)]
		does := kinds[random.IntN(len(kinds))]
		size := smallestCrowd + random.IntN(largestCrowd-smallestCrowd)
		span := drawSpan(random, shortestCrowd, longestCrowd)
		d.tell("%d clients come to the %s address of %s: they %s", size, listener, target.name, does.name)
		d.record.crowds.Add(1)
		bounded, cancel := context.WithTimeout(ctx, span)
		var group sync.WaitGroup
		for range size {
			group.Go(func() {
				for bounded.Err() == nil {
					does.play(bounded, addresses[listener])
					pause(bounded, crowdReturn)
				}
			})
		}
		group.Wait()
		cancel()
	}
}

// play opens a connection and misuses it until the daemon closes it.
func (m misbehaviour) play(ctx context.Context, address string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := conn.Write(m.opening); err != nil {
		return
	}
	if len(m.more) == 0 {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for {
		if _, err := conn.Write(m.more); err != nil || !pause(ctx, crowdReturn/5) {
			return
		}
	}
}

// daemonCommand is the command of a daemon, with a limit of descriptors if crowds come.
func daemonCommand(crowds bool, binary string, arguments ...string) *exec.Cmd {
	if !crowds {
		return exec.Command(binary, arguments...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit)
	return exec.Command("sh", append([]string{"-c", script, binary}, arguments...)...)
}

// watchDescriptors checks how many descriptors the daemons have open, until ctx ends.
func (d *deployment) watchDescriptors(ctx context.Context) {
	told := map[int]bool{}
	for pause(ctx, memoryPause) {
		for _, daemon := range d.daemons {
			pid := daemon.pid()
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if pid == 0 || err != nil || told[pid] {
				continue
			}
			told[pid] = len(entries) > mostDescriptors
			d.record.checkDescriptors(daemon.name, len(entries))
		}
	}
}

// checkDescriptors checks the open descriptors of a daemon.
func (r *record) checkDescriptors(daemon string, open int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checked[promiseDescriptors]++
	r.descriptorsPeak = max(r.descriptorsPeak, open)
	if open > mostDescriptors {
		r.violate(promiseDescriptors, "", "%s has %d descriptors open, %d allowed", daemon, open, mostDescriptors)
	}
}
