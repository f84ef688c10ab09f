package peer

import (
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"github.com/wheatweir/wheatweir/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T, key string, handler Handler[control.Message]) *Transport[control.Message] {
	t.Helper()
	transport, err := Listen("127.0.0.1:0", []byte(key), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

func TestMessagesArriveInOrder(t *testing.T) {
	const count = 50
	received := make(chan uint64, count)
	target := listen(t, "key", func(message control.Message) { received <- message.Through })
	source := listen(t, "key", func(control.Message) {})
	for number := range uint64(count) {
		source.Send(target.Address(), control.Message{Through: number})
	}
	for number := range uint64(count) {
		if got := <-received; got != number {
			t.Fatalf("message %d arrived as number %d", got, number)
		}
	}
}

// rejected waits until a transport has rejected a connection.
func rejected(transport *Transport[control.Message]) bool {
	for transport.Counts().Rejected == 0 {
		time.Sleep(time.Millisecond)
	}
	return true
}

func TestStrangersAreRejected(t *testing.T) {
	valid := func(t *testing.T) []byte {
		body, err := msgpack.Marshal(&control.Message{Through: 1})
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	cases := []struct {
		name      string
		runClient func(t *testing.T, conn net.Conn)
	}{
		{"another key", func(t *testing.T, conn net.Conn) {
			if _, err := openSession(conn, []byte("other"), true); err == nil {
				t.Error("the session opened with another key")
			}
		}},
		{"no handshake", func(_ *testing.T, conn net.Conn) { _, _ = conn.Write(make([]byte, 4096)) }},
		{"a changed frame", func(t *testing.T, conn net.Conn) {
			session := open(t, conn)
			body := valid(t)
			mac := session.out.nextMAC([]byte("another body"))
			_, _ = conn.Write(append(append([]byte{0, 0, 0, byte(len(body))}, mac...), body...))
		}},
		{"a frame sent twice", func(t *testing.T, conn net.Conn) {
			session := open(t, conn)
			if err := session.writeFrame(valid(t)); err != nil {
				t.Error(err)
			}
			_, _ = conn.Write(session.buffer)
		}},
		{"an oversized frame", func(t *testing.T, conn net.Conn) {
			open(t, conn)
			_, _ = conn.Write(append([]byte{255, 255, 255, 255}, make([]byte, macBytes)...))
		}},
		{"a body that is not a message", func(t *testing.T, conn net.Conn) {
			if err := open(t, conn).writeFrame([]byte("\xc1")); err != nil {
				t.Error(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			messages := make(chan control.Message, 4)
			target := listen(t, "key", func(message control.Message) { messages <- message })
			conn, err := net.Dial("tcp", target.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			c.runClient(t, conn)
			rejected(target)
			if extra := len(messages); extra > 1 {
				t.Fatalf("%d messages were accepted, want at most 1", extra)
			}
		})
	}
}

func open(t *testing.T, conn net.Conn) *session {
	t.Helper()
	session, err := openSession(conn, []byte("key"), true)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

func FuzzMessage(f *testing.F) {
	body, err := msgpack.Marshal(&control.Message{From: "a", Through: 1, Subscribe: []string{"m"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		var message control.Message
		_ = msgpack.Unmarshal(body, &message)
	})
}

// TestFirstMessageToARestartedDaemonArrives guards against messages that are lost because they are
// written to a connection that the peer closed when it restarted at the same address.
func TestFirstMessageToARestartedDaemonArrives(t *testing.T) {
	source := listen(t, "key", func(control.Message) {})
	address := "127.0.0.1:0"
	for start := range uint64(10) {
		received := make(chan uint64, 1)
		target, err := Listen(address, []byte("key"), func(message control.Message) { received <- message.Through })
		if err != nil {
			t.Fatal(err)
		}
		address = target.Address()
		source.Send(address, control.Message{Through: start})
		select {
		case got := <-received:
			if got != start {
				t.Errorf("start %d: got message %d", start, got)
			}
		case <-time.After(time.Second):
			t.Errorf("start %d: no message received", start)
		}
		target.Close()
	}
}

// TestCloseWaitsForNoPeer guards against a daemon that stops seconds late because it is still
// sending to a daemon that accepts connections and never answers the handshake.
func TestCloseWaitsForNoPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for range 8 {
		source, err := Listen("127.0.0.1:0", []byte("key"), func(control.Message) {})
		if err != nil {
			t.Fatal(err)
		}
		for range sendRingMessages {
			source.Send(listener.Addr().String(), control.Message{Through: 1})
		}
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		source.Close()
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Fatalf("closing the transport took %v", took)
		}
	}
}
