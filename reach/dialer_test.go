package reach_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheatweir/wheatweir/reach"
)

// fakeDial replaces one of the two ways to connect. It counts the connections that were opened and closed.
type fakeDial struct {
	duration time.Duration
	err      error
	dialed   atomic.Int64
	opened   atomic.Int64
	closed   atomic.Int64
}

func (w *fakeDial) dial(ctx context.Context, _ string) (net.Conn, error) {
	w.dialed.Add(1)
	timer := time.NewTimer(w.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.err != nil {
		return nil, w.err
	}
	w.opened.Add(1)
	near, far := net.Pipe()
	_ = far.Close()
	return &countedConn{Conn: near, fakeDial: w}, nil
}

type countedConn struct {
	net.Conn
	fakeDial *fakeDial
}

func (c *countedConn) Close() error {
	c.fakeDial.closed.Add(1)
	return c.Conn.Close()
}

// TestDialer covers which connection is used, after how long, and that no connection is left open.
func TestDialer(t *testing.T) {
	never := time.Hour
	cases := []struct {
		name            string
		direct, relayed fakeDial
		failedEarlier   bool
		reachedByOthers bool
		duration        time.Duration
		wantRelayed     bool
		wantErr         error
		wantRelayDialed bool
	}{
		{name: "direct connection", direct: fakeDial{duration: 2 * time.Millisecond}, relayed: fakeDial{duration: never}, duration: 2 * time.Millisecond},
		{name: "direct attempt hangs", direct: fakeDial{duration: never}, relayed: fakeDial{duration: 10 * time.Millisecond}, duration: 160 * time.Millisecond, wantRelayed: true, wantRelayDialed: true},
		{name: "refused directly, relayed", direct: fakeDial{err: syscall.ECONNREFUSED}, relayed: fakeDial{duration: 10 * time.Millisecond}, duration: 10 * time.Millisecond, wantRelayed: true, wantRelayDialed: true},
		{name: "refused directly and through the relay", direct: fakeDial{err: syscall.ECONNREFUSED}, relayed: fakeDial{duration: 10 * time.Millisecond, err: errors.New("no answer")}, duration: 10 * time.Millisecond, wantErr: syscall.ECONNREFUSED, wantRelayDialed: true},
		{name: "direct slow, relay slower", direct: fakeDial{duration: 200 * time.Millisecond}, relayed: fakeDial{duration: 300 * time.Millisecond}, duration: 200 * time.Millisecond, wantRelayDialed: true},
		{name: "failed earlier, reached by other daemons", direct: fakeDial{duration: never}, relayed: fakeDial{duration: 10 * time.Millisecond}, failedEarlier: true, reachedByOthers: true, duration: 10 * time.Millisecond, wantRelayed: true, wantRelayDialed: true},
		{name: "failed earlier, not reached by other daemons", direct: fakeDial{err: syscall.ECONNREFUSED}, relayed: fakeDial{duration: 10 * time.Millisecond}, failedEarlier: true, wantErr: syscall.ECONNREFUSED},
		{name: "failed earlier, no relay available", direct: fakeDial{duration: 2 * time.Millisecond}, relayed: fakeDial{err: reach.ErrNoRelay.New("none")}, failedEarlier: true, reachedByOthers: true, duration: 2 * time.Millisecond, wantRelayDialed: true},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := reach.NewTracker()
				tracker.SetAddresses(20)
				if c.failedEarlier {
					tracker.Failed(time.Now(), "a", time.Now())
				}
				if c.reachedByOthers {
					tracker.ReachedByOthers(time.Now(), "a")
				}
				dialer := reach.NewDialer(tracker, time.Now, c.direct.dial, c.relayed.dial)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				began := time.Now()
				conn, err := dialer.Dial(ctx, "a")
				if took := time.Since(began); took != c.duration || !errors.Is(err, c.wantErr) {
					t.Errorf("took %v, error %v", took, err)
				}
				if err == nil {
					_ = conn.Close()
				}
				time.Sleep(2 * time.Second)
				for _, used := range []*fakeDial{&c.direct, &c.relayed} {
					if used.opened.Load() != used.closed.Load() {
						t.Errorf("%d connections are opened, %d closed", used.opened.Load(), used.closed.Load())
					}
				}
				if dialed := c.relayed.dialed.Load() > 0; dialed != c.wantRelayDialed {
					t.Errorf("relay dialed: %t", dialed)
				}
				if _, relayed := dialer.Counts(); (relayed == 1) != c.wantRelayed {
					t.Errorf("%d connections relayed", relayed)
				}
			})
		})
	}
}

// TestCallerThatLeavesProvesNothing guards against paths being taken for cut because callers canceled while they
// connected.
func TestCallerThatLeavesProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.NewTracker()
		direct, relayed := fakeDial{duration: 50 * time.Millisecond}, fakeDial{duration: time.Hour}
		dialer := reach.NewDialer(tracker, time.Now, direct.dial, relayed.dial)
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(10*time.Millisecond, cancel)
			if _, err := dialer.Dial(ctx, "a"); err == nil {
				t.Error("no error")
			}
			cancel()
		}
		time.Sleep(time.Second)
		if status := tracker.Status(time.Now()); status.Failed > 0 {
			t.Errorf("status %+v", status)
		}
		if direct.opened.Load() != direct.closed.Load() {
			t.Errorf("%d connections are opened, %d closed", direct.opened.Load(), direct.closed.Load())
		}
	})
}

// TestOthersAreUsedAgainAfterTheyHelped covers an own attempt that fails only after another daemon has connected.
// It guards against the address being tried over the own path alone from then on.
func TestOthersAreUsedAgainAfterTheyHelped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.NewTracker()
		tracker.SetAddresses(20)
		direct, relayed := fakeDial{duration: time.Hour}, fakeDial{duration: 10 * time.Millisecond}
		dialer := reach.NewDialer(tracker, time.Now, direct.dial, relayed.dial)
		for number, want := range []time.Duration{160 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond} {
			began := time.Now()
			conn, err := dialer.Dial(t.Context(), "a")
			if took := time.Since(began); err != nil || took != want {
				t.Fatalf("connection %d: after %v, %v", number, took, err)
			}
			_ = conn.Close()
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(time.Second)
	})
}
