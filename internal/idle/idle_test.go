package idle_test

import (
	"net"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/internal/idle"
)

// tcpPair returns both ends of a loopback TCP connection and closes them when the test ends.
func tcpPair(t testing.TB) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	local, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	return local, remote
}

// deliveryDelay gives the kernel time to deliver data, a FIN or an RST over loopback before the check.
const deliveryDelay = 100 * time.Millisecond

// TestIsOpen guards against reusing a connection that was closed or reset or that has unread data, and against
// rejecting a usable one.
func TestIsOpen(t *testing.T) {
	cases := []struct {
		name   string
		action func(local, remote net.Conn) error
		want   bool
		ended  bool
	}{
		{"idle", func(_, _ net.Conn) error { return nil }, true, false},
		{"closed by peer", func(_, remote net.Conn) error { return remote.Close() }, false, true},
		{"reset by peer", func(_, remote net.Conn) error {
			if err := remote.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return remote.Close()
		}, false, true},
		{"unread data", func(_, remote net.Conn) error { _, err := remote.Write([]byte("x")); return err }, false, false},
		{"closed locally", func(local, _ net.Conn) error { return local.Close() }, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local, remote := tcpPair(t)
			if err := c.action(local, remote); err != nil {
				t.Fatal(err)
			}
			time.Sleep(deliveryDelay)
			if got := idle.IsOpen(local); got != c.want {
				t.Errorf("IsOpen() = %t, want %t", got, c.want)
			}
			if got := idle.HasEnded(local); got != c.ended {
				t.Errorf("HasEnded() = %t, want %t", got, c.ended)
			}
		})
	}
}

// BenchmarkIsOpen measures the overhead that the check adds to each message between daemons.
func BenchmarkIsOpen(b *testing.B) {
	local, _ := tcpPair(b)
	for b.Loop() {
		if !idle.IsOpen(local) {
			b.Fatal("IsOpen() = false for an open connection")
		}
	}
}
