package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func ownProcess(t *testing.T) *os.Process {
	t.Helper()
	process, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return process
}

// echoServer sends back whatever it gets.
func echoServer(t *testing.T) string {
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
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestProxyHoldsUpAndDelivers covers each harmful link: what it held up arrives once
// it is sound again, in order and complete.
func TestProxyHoldsUpAndDelivers(t *testing.T) {
	for _, state := range []link{linkSound, linkSlow, linkSilent, linkDeafForward, linkDeafBackward} {
		t.Run(state.String(), func(t *testing.T) {
			p, err := newProxy(echoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			conn, err := net.Dial("tcp", p.address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			p.set(state)
			if _, err := io.WriteString(conn, "held up"); err != nil {
				t.Fatal(err)
			}
			p.set(linkSound)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(conn); err != nil || string(got) != "held up" {
				t.Fatalf("got %q, %v", got, err)
			}
		})
	}
}

// TestProxyResets covers a reset of connections and an address where nothing listens.
func TestProxyResets(t *testing.T) {
	p, err := newProxy(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	conn, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p.reset()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection goes on after a reset")
	}
	p.retarget("127.0.0.1:1")
	again, err := net.Dial("tcp", p.address())
	if errors.Is(err, syscall.ECONNRESET) {
		// The proxy accepted and reset it before the dial had returned.
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := again.Read(make([]byte, 1)); err == nil {
		t.Fatal("a connection to nowhere goes on")
	}
}

// TestSeveredConnectionStaysSilent covers connections that fall silent for good: they stay open and carry nothing, while new
// ones work.
func TestSeveredConnectionStaysSilent(t *testing.T) {
	for _, state := range []link{linkSilent, linkDeafForward, linkDeafBackward} {
		p, err := newProxy(echoServer(t))
		if err != nil {
			t.Fatal(err)
		}
		defer p.close()
		before, buffer := dialThrough(t, p), make([]byte, 8)
		p.sever(state)
		_, _ = io.WriteString(before, "lost")
		_ = before.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if count, err := before.Read(buffer); count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: read %d bytes, %v", state, count, err)
		}
		after := dialThrough(t, p)
		_, _ = io.WriteString(after, "sound")
		_ = after.SetReadDeadline(time.Now().Add(time.Second))
		if count, err := after.Read(buffer); err != nil || string(buffer[:count]) != "sound" {
			t.Errorf("%s: a new connection gave %q, %v", state, buffer[:count], err)
		}
	}
}

// dialThrough opens a connection through a proxy that has carried something.
func dialThrough(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	buffer := make([]byte, 1)
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, buffer); err != nil {
		t.Fatal(err)
	}
	return conn
}
