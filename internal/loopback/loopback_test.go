package loopback

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestAddressesAreNotGivenTwice draws addresses over several blocks.
func TestAddressesAreNotGivenTwice(t *testing.T) {
	addresses, err := Addresses(3 * blockSize)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, address := range addresses {
		if seen[address] {
			t.Errorf("%s was given twice", address)
		}
		seen[address] = true
		if _, _, err := net.SplitHostPort(address); err != nil {
			t.Error(err)
		}
	}
}

// TestAddressesAreOutOfTheKernelsRange covers the fault that this package is for:
// a free port that the kernel gave to a connection before it was listened on.
func TestAddressesAreOutOfTheKernelsRange(t *testing.T) {
	content, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the kernel does not tell its range:", err)
	}
	first, err := strconv.Atoi(strings.Fields(string(content))[0])
	if err != nil {
		t.Fatal(err)
	}
	if lastPort >= first {
		t.Errorf("ports up to %d are given out, and the kernel draws from %d on", lastPort, first)
	}
}

// TestClaimedBlockIsLeftAlone takes the place of another process: its block is
// skipped although none of its addresses is listened on.
func TestClaimedBlockIsLeftAlone(t *testing.T) {
	if _, err := Address(); err != nil {
		t.Fatal(err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	claimed := current
	if err := claimBlock(); err != nil {
		t.Fatal(err)
	}
	if current.end == claimed.end {
		t.Error("a claimed block was claimed again")
	}
}

// TestTakenPortIsPassedOver covers a listener that does not use this package.
func TestTakenPortIsPassedOver(t *testing.T) {
	mutex.Lock()
	if current.next == current.end {
		if err := claimBlock(); err != nil {
			t.Fatal(err)
		}
	}
	taken := portAddress(current.next)
	mutex.Unlock()
	listener, err := net.Listen("tcp", taken)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if address, err := Address(); err != nil || address == taken {
		t.Errorf("got %s, %v", address, err)
	}
}
