package peer

import (
	"testing"

	"github.com/wheatweir/wheatweir/ring"
)

// TestQueueIsBoundedInBytes covers large messages for a peer that takes none: they
// wait up to a bound, one that is larger alone still goes, and what has left makes
// room.
func TestQueueIsBoundedInBytes(t *testing.T) {
	const large = 300 << 10
	s := &sender{frames: ring.New[[]byte](sendRingMessages)}
	if !s.enqueue(make([]byte, 3*sendRingBytes)) {
		t.Fatal("a message that is larger alone is turned away")
	}
	s = &sender{frames: ring.New[[]byte](sendRingMessages)}
	accepted := 0
	for range sendRingMessages {
		if s.enqueue(make([]byte, large)) {
			accepted++
		}
	}
	if queuedBytes := s.queuedBytes.Load(); accepted != 3 || queuedBytes != 3*large {
		t.Fatalf("%d messages with %d bytes wait", accepted, queuedBytes)
	}
	body := <-s.frames.Items()
	s.queuedBytes.Add(-int64(len(body)))
	if !s.enqueue(make([]byte, large)) {
		t.Fatal("no room after a message has left")
	}
}
