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
	s := &sender{frames: ring.New[[]byte](sendRingSize)}
	if !s.offer(make([]byte, 3*sendRingBytes)) {
		t.Fatal("a message that is larger alone is turned away")
	}
	s = &sender{frames: ring.New[[]byte](sendRingSize)}
	taken := 0
	for range sendRingSize {
		if s.offer(make([]byte, large)) {
			taken++
		}
	}
	if waiting := s.waiting.Load(); taken != 3 || waiting != 3*large {
		t.Fatalf("%d messages with %d bytes wait", taken, waiting)
	}
	body := <-s.frames.Items()
	s.waiting.Add(-int64(len(body)))
	if !s.offer(make([]byte, large)) {
		t.Fatal("no room after a message has left")
	}
}
