package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/control"
	"github.com/wheatweir/wheatweir/internal/idle"
)

// target listens on an address to which tunnels lead and passes its connections to serve.
func target(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// relayTransport is a transport that relays tunnels to any address.
func relayTransport(t *testing.T) *Transport[control.Message] {
	t.Helper()
	transport := listen(t, "key", func(control.Message) {})
	transport.ServeTunnels(func(ctx context.Context, target string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", target)
	})
	return transport
}

// tunnelTo opens a tunnel through a relay.
func tunnelTo(t *testing.T, relay *Transport[control.Message], target string) net.Conn {
	t.Helper()
	near := listen(t, "key", func(control.Message) {})
	conn, err := near.DialTunnel(context.Background(), relay.Address(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestTunnelCarriesBytesAndTheEnd covers both directions of a tunnel, and an end that the target
// initiates.
func TestTunnelCarriesBytesAndTheEnd(t *testing.T) {
	const size = 3*maxChunkBytes + 17
	address := target(t, func(conn *net.TCPConn) {
		defer conn.Close()
		content := make([]byte, size)
		if _, err := io.ReadFull(conn, content); err == nil {
			_, _ = conn.Write(content)
		}
	})
	conn := tunnelTo(t, relayTransport(t), address)
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i)
	}
	if _, err := conn.Write(sent); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil || string(got) != string(sent) {
		t.Errorf("received %d of %d bytes, error %v", len(got), len(sent), err)
	}
}

// TestTunnelDoesNotEndWellByItself guards against answers without a length that look complete
// although the target has reset its connection, or the relay has ended.
func TestTunnelDoesNotEndWellByItself(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("a part"))
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	t.Run("target resets", func(t *testing.T) {
		conn := tunnelTo(t, relayTransport(t), target(t, reset))
		if got, err := io.ReadAll(conn); err == nil {
			t.Errorf("%q ends with io.EOF", got)
		}
	})
	t.Run("relay ends", func(t *testing.T) {
		relay := relayTransport(t)
		conn := tunnelTo(t, relay, target(t, func(conn *net.TCPConn) { _, _ = conn.Write([]byte("a part")) }))
		if _, err := io.ReadFull(conn, make([]byte, 6)); err != nil {
			t.Fatal(err)
		}
		relay.Close()
		if got, err := io.ReadAll(conn); err == nil {
			t.Errorf("%q ends with io.EOF", got)
		}
	})
}

// TestClosingATunnelClosesItsTarget guards against requests that a server continues to process
// after their caller has left.
func TestClosingATunnelClosesItsTarget(t *testing.T) {
	ended := make(chan error, 1)
	address := target(t, func(conn *net.TCPConn) {
		_, err := io.ReadAll(conn)
		ended <- err
	})
	conn := tunnelTo(t, relayTransport(t), address)
	if _, err := conn.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the target stays open")
	}
}

// TestTunnelSaysWhyItIsNotOpened covers the answers to the request for a tunnel.
func TestTunnelSaysWhyItIsNotOpened(t *testing.T) {
	near := listen(t, "key", func(control.Message) {})
	cases := []struct {
		name    string
		connect func(ctx context.Context, target string) (net.Conn, error)
		want    func(err error) bool
	}{
		{"relays no tunnels", nil, ErrRelayDeclined.Has},
		{"cut off", func(context.Context, string) (net.Conn, error) { return nil, ErrRelayNoRoute.New("") }, ErrRelayNoRoute.Has},
		{"declined", func(context.Context, string) (net.Conn, error) { return nil, ErrRelayDeclined.New("") }, ErrRelayDeclined.Has},
		{"refused", func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, func(err error) bool {
			return ErrTarget.Has(err) && errors.Is(err, syscall.ECONNREFUSED)
		}},
		{"no answer", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, func(err error) bool { return ErrTarget.Has(err) && !errors.Is(err, syscall.ECONNREFUSED) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			relay := listen(t, "key", func(control.Message) {})
			if c.connect != nil {
				relay.ServeTunnels(c.connect)
			}
			if _, err := near.DialTunnel(context.Background(), relay.Address(), "127.0.0.1:1"); !c.want(err) {
				t.Errorf("error %v", err)
			}
		})
	}
	t.Run("another key", func(t *testing.T) {
		stranger := listen(t, "other", func(control.Message) {})
		relay := relayTransport(t)
		if _, err := stranger.DialTunnel(context.Background(), relay.Address(), "127.0.0.1:1"); !ErrRelay.Has(err) {
			t.Errorf("error %v", err)
		}
		rejected(relay)
	})
}

// TestRetiringCarrierIsNotUsedAgain guards against requests that begin on a tunnel whose relay is
// about to stop.
func TestRetiringCarrierIsNotUsedAgain(t *testing.T) {
	address := target(t, func(conn *net.TCPConn) {
		buffer := make([]byte, 1)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			_, _ = conn.Write(buffer)
		}
	})
	relay := relayTransport(t)
	idleConn, busyConn := tunnelTo(t, relay, address), tunnelTo(t, relay, address)
	if !idle.IsOpen(idleConn) {
		t.Fatal("an unused tunnel is not open")
	}
	relay.DrainTunnels()
	for idle.IsOpen(idleConn) {
		time.Sleep(time.Millisecond)
	}
	if _, err := busyConn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(busyConn, make([]byte, 1)); err != nil {
		t.Errorf("a request in progress on a retiring tunnel is aborted: %v", err)
	}
	if !busyConn.(*tunnelConn).Retiring() {
		t.Error("the near end does not report the tunnel as retiring")
	}
	near := listen(t, "key", func(control.Message) {})
	if _, err := near.DialTunnel(context.Background(), relay.Address(), address); !ErrRelayDeclined.Has(err) {
		t.Errorf("a new tunnel through a retiring relay: error %v, want ErrRelayDeclined", err)
	}
}
