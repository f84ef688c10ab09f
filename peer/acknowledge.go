package peer

import (
	"encoding/binary"
	"sync"
	"time"
)

// A connection may stop delivering for good, without a reset, while new ones work. The kernel does
// not always detect this: a middlebox between two daemons may go on acknowledging bytes. So the
// listener acknowledges how many frames have arrived, and the dialer closes a connection on which
// frames stay unacknowledged for too long.
const (
	// acknowledgeDelay is how long after a frame the listener acknowledges it, together with all
	// that arrived meanwhile.
	acknowledgeDelay = 300 * time.Millisecond
	// acknowledgeTimeout is how long a frame may stay unacknowledged. It allows for a daemon or a
	// path that stalls for a second.
	acknowledgeTimeout = acknowledgeDelay + 1300*time.Millisecond
	// acknowledgementBytes is the size of an acknowledgement's body: the number of frames so far.
	acknowledgementBytes = 4
)

// acknowledger sends the dialer of a session the number of frames that have arrived.
type acknowledger struct {
	session  *session
	mutex    sync.Mutex
	received uint32
	// pendingTimer will send the next acknowledgement; nil if none is scheduled.
	pendingTimer *time.Timer
	ended        bool
}

// recordFrame counts a frame that has arrived and schedules its acknowledgement.
func (a *acknowledger) recordFrame() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.received++
	if a.pendingTimer == nil && !a.ended {
		a.pendingTimer = time.AfterFunc(acknowledgeDelay, a.send)
	}
}

// send sends an acknowledgement. It does not delay incoming frames: the dialer reads
// acknowledgements at once, or has ended.
func (a *acknowledger) send() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pendingTimer = nil
	if a.ended {
		return
	}
	body := binary.BigEndian.AppendUint32(nil, a.received)
	if err := a.session.writeFrame(body); err != nil {
		a.ended = true
		_ = a.session.conn.Close()
	}
}

// stop stops the acknowledgements of a session that has ended.
func (a *acknowledger) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	if a.pendingTimer != nil {
		a.pendingTimer.Stop()
	}
}

// progress tracks the frames that a dialer has sent on one session.
type progress struct {
	mutex sync.Mutex
	sent  uint32
	// unacknowledgedSince is the time since when there are unacknowledged frames; zero if there are
	// none.
	unacknowledgedSince time.Time
	ended               bool
}

// recordSend counts a frame that is about to be sent.
func (p *progress) recordSend(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent++
	if p.unacknowledgedSince.IsZero() {
		p.unacknowledgedSince = now
	}
}

// recordAcknowledgement records how many frames have arrived.
func (p *progress) recordAcknowledgement(now time.Time, received uint32) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unacknowledgedSince = time.Time{}
	if received != p.sent {
		p.unacknowledgedSince = now
	}
}

// recordEnd records that the other side has ended the session.
func (p *progress) recordEnd() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
}

// state returns whether the session has ended, and for how long frames have been unacknowledged.
func (p *progress) state(now time.Time) (ended bool, unacknowledgedFor time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.unacknowledgedSince.IsZero() {
		return p.ended, 0
	}
	return p.ended, now.Sub(p.unacknowledgedSince)
}

// readAcknowledgements reads the acknowledgements of a session's listener until the session ends.
func readAcknowledgements(s *session, p *progress) {
	defer p.recordEnd()
	for {
		body, err := s.readFrameUntil(time.Time{})
		if err != nil || len(body) != acknowledgementBytes {
			return
		}
		p.recordAcknowledgement(time.Now(), binary.BigEndian.Uint32(body))
	}
}
