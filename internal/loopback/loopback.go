// Package loopback gives out TCP addresses on 127.0.0.1 that stay free until they
// are used, for tests and demos that must name an address before they listen on it,
// or that listen on it again after a restart.
//
// An address that was found by listening on port 0 is not safe for that: as soon as
// its listener is closed, the kernel may give the port to any connection of any
// process on the machine. The ports given out here lie below the range that the
// kernel draws from, and each process takes them from blocks of its own: it holds
// the first port of a block open as its claim to the rest.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/zeebo/errs"
)

// ErrAddress is the class of failures to find a free address.
var ErrAddress = errs.Class("loopback")

const (
	// firstPort is above the ports that system services use. lastPort is below the
	// range of ports that Linux gives to connections (32,768 to 60,999).
	firstPort = 16384
	lastPort  = 32767
	// blockSize is how many ports one claim covers, itself included.
	blockSize  = 64
	blockCount = (lastPort + 1 - firstPort) / blockSize
)

// block is a range of ports that this process has claimed.
type block struct {
	next int
	end  int
}

var (
	mutex   sync.Mutex
	current block
	// claims keeps the claims of blocks that are used up.
	claims []net.Listener
)

// Address returns an "IP:port" address on loopback that no other caller of this
// package gets, in this process or in another, while this process runs.
func Address() (string, error) {
	mutex.Lock()
	defer mutex.Unlock()
	for {
		if current.next == current.end {
			if err := claimBlock(); err != nil {
				return "", err
			}
		}
		address := portAddress(current.next)
		current.next++
		if free(address) {
			return address, nil
		}
	}
}

// Addresses returns several addresses, see Address.
func Addresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := Address()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// claimBlock claims the next block that no other process has claimed. Processes
// begin at different blocks, so that few of them meet.
func claimBlock() error {
	start := os.Getpid() % blockCount
	for offset := range blockCount {
		first := firstPort + (start+offset)%blockCount*blockSize
		claim, err := net.Listen("tcp", portAddress(first))
		if err != nil {
			continue
		}
		claims = append(claims, claim)
		current = block{next: first + 1, end: first + blockSize}
		return nil
	}
	return ErrAddress.New("no block of ports between %d and %d is free", firstPort, lastPort)
}

// free reports whether nothing listens on an address: programs that don't use this
// package may.
func free(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func portAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
