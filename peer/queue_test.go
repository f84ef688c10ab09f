package peer

import (
	"testing"

	"github.com/wheatweir/wheatweir/ring"
)

// TestQueueIsBoundedInBytes covers large messages to a peer that receives none. They are queued up
// to a bound, a message that exceeds the bound by itself is still accepted, and a message that
// leaves the queue makes room.
func TestQueueIsBoundedInBytes(t *testing.T) {
	const large = 300 << 10
	s := &sender{frames: ring.New[[]byte](sendRingMessages)}
	if !s.enqueue(make([]byte, 3*sendRingBytes)) {
		t.Fatal("a message that exceeds the bound by itself is rejected from an empty queue")
	}
	s = &sender{frames: ring.New[[]byte](sendRingMessages)}
	accepted := 0
	for range sendRingMessages {
		if s.enqueue(make([]byte, large)) {
			accepted++
		}
	}
	if queuedBytes := s.queuedBytes.Load(); accepted != 3 || queuedBytes != 3*large {
		t.Fatalf("%d messages with %d bytes are queued, want 3 messages", accepted, queuedBytes)
	}
	body := <-s.frames.Items()
	s.queuedBytes.Add(-int64(len(body)))
	if !s.enqueue(make([]byte, large)) {
		t.Fatal("no room after a message was removed")
	}
}
