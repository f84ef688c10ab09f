package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net"
	"time"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

const (
	challengeBytes = 32
	lengthBytes    = 4
	macBytes       = 16
	// frameOverhead is what a frame adds to its body.
	frameOverhead = lengthBytes + macBytes
	// readBufferBytes holds a few typical messages. Larger ones bypass the buffer. It is small
	// since a daemon of a large fleet has hundreds of connections.
	readBufferBytes = 512
	// freeFrameBytes is the size of a frame's first buffer, which is not taken from the memory budget.
	freeFrameBytes = 4 << 10
	// handshakeTimeout bounds the handshake.
	handshakeTimeout = 3 * time.Second
)

// Labels separate the two directions and the two uses of the key. Daemons whose sessions have
// another format, such as those without acknowledgements, have other labels.
const (
	labelDialer   = "wheatweir peer dialer 2"
	labelListener = "wheatweir peer listener 2"
	labelTunnel   = "wheatweir tunnel dialer"
	// labelFrames and labelAcknowledgements separate the keys of the two directions of a session.
	labelFrames           = "wheatweir peer frames"
	labelAcknowledgements = "wheatweir peer acknowledgements"
)

// unlimited is the memory budget of sessions that have no other one.
var unlimited = membudget.New(0)

// session is one connection after the handshake. Messages go from the dialer to the listener, and
// acknowledgements back.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	// out and in hold the MAC states of the two directions.
	out, in direction
	buffer  []byte
	// maxFrame bounds the bodies of the frames that are received, and memory what they occupy together with those of other
	// sessions.
	maxFrame int
	memory   membudget.Reservation
}

// direction is the MAC state of the frames of one direction, with the number of the next frame.
type direction struct {
	mac      hash.Hash
	sequence uint64
}

// openSession opens a session for messages.
func openSession(conn net.Conn, key []byte, dialer bool) (*session, error) {
	if dialer {
		opened, _, err := handshake(conn, key, labelDialer, labelListener)
		return opened, err
	}
	opened, _, err := handshake(conn, key, labelListener, labelDialer)
	return opened, err
}

// handshake exchanges challenges and proofs. The listener proves its key too, so that a dialer does
// not talk to a foreign process on a reused address. It returns which of remoteLabels the other
// side has proved.
func handshake(conn net.Conn, key []byte, localLabel string, remoteLabels ...string) (*session, string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	var localChallenge, remoteChallenge [challengeBytes]byte
	if _, err := rand.Read(localChallenge[:]); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	if _, err := conn.Write(localChallenge[:]); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	if _, err := io.ReadFull(conn, remoteChallenge[:]); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	dialerChallenge, listenerChallenge := localChallenge[:], remoteChallenge[:]
	if localLabel == labelListener {
		dialerChallenge, listenerChallenge = listenerChallenge, dialerChallenge
	}
	if _, err := conn.Write(proof(key, localLabel, dialerChallenge, listenerChallenge)); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	var remoteProof [sha256.Size]byte
	if _, err := io.ReadFull(conn, remoteProof[:]); err != nil {
		return nil, "", ErrProtocol.Wrap(err)
	}
	for _, label := range remoteLabels {
		if !hmac.Equal(remoteProof[:], proof(key, label, dialerChallenge, listenerChallenge)) {
			continue
		}
		if err := conn.SetDeadline(time.Time{}); err != nil {
			return nil, "", ErrProtocol.Wrap(err)
		}
		frames := direction{mac: hmac.New(sha256.New, proof(key, labelFrames, dialerChallenge, listenerChallenge))}
		acknowledgements := direction{mac: hmac.New(sha256.New, proof(key, labelAcknowledgements, dialerChallenge, listenerChallenge))}
		opened := &session{
			conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), out: frames, in: acknowledgements, maxFrame: acknowledgementBytes, memory: unlimited.Reserve(membudget.PeerFrame),
		}
		if localLabel == labelListener {
			opened.out, opened.in, opened.maxFrame = acknowledgements, frames, maxFrameBytes
		}
		return opened, label, nil
	}
	return nil, "", ErrProtocol.New("handshake failed: the other side does not have the deployment's key")
}

func proof(key []byte, label string, dialerChallenge, listenerChallenge []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(dialerChallenge)
	mac.Write(listenerChallenge)
	return mac.Sum(nil)
}

// nextMAC returns the MAC of the next frame and increments the frame number.
func (d *direction) nextMAC(body []byte) []byte {
	d.mac.Reset()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], d.sequence)
	d.sequence++
	d.mac.Write(number[:])
	d.mac.Write(body)
	return d.mac.Sum(nil)[:macBytes]
}

// writeFrame sends one frame: length of the body, MAC, body.
func (s *session) writeFrame(body []byte) error {
	if len(body) > maxFrameBytes {
		return ErrProtocol.New("frame of %d bytes exceeds the limit of %d bytes", len(body), maxFrameBytes)
	}
	s.buffer = binary.BigEndian.AppendUint32(s.buffer[:0], uint32(len(body)))
	s.buffer = append(s.buffer, s.out.nextMAC(body)...)
	s.buffer = append(s.buffer, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return ErrProtocol.Wrap(err)
	}
	_, err := s.conn.Write(s.buffer)
	return err
}

// readFrame returns the body of the next frame in a new slice. The frame before it no longer counts as memory in use.
func (s *session) readFrame() ([]byte, error) {
	return s.readFrameUntil(time.Now().Add(2 * idleTimeout))
}

// readFrameUntil returns the body of the next frame if it arrives before the deadline; the zero
// time means no deadline.
func (s *session) readFrameUntil(deadline time.Time) ([]byte, error) {
	s.memory.Release()
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	var header [frameOverhead]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:lengthBytes]))
	if length > int64(s.maxFrame) {
		return nil, ErrProtocol.New("frame of %d bytes exceeds the limit of %d bytes", length, s.maxFrame)
	}
	body, err := s.memory.ReadAll(io.LimitReader(s.reader, length), freeFrameBytes, length)
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) < length:
		return nil, io.ErrUnexpectedEOF
	}
	if !hmac.Equal(header[lengthBytes:], s.in.nextMAC(body)) {
		return nil, ErrProtocol.New("frame %d has an invalid MAC", s.in.sequence-1)
	}
	return body, nil
}
