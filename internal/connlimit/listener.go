package connlimit

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

// Listener accepts at most a number of connections. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options

	mutex sync.Mutex
	// most is the number of connections that may be open.
	most int
	// fresh holds connections that have had no request served, kept those that have and wait for another, each in the order in
	// which they began to wait; serving those with a request in service. Others that are open are about to be closed.
	fresh, kept, serving list.List
	// leaving is the number of connections that were told to give way.
	leaving   int
	lingering int
	counts    Counts
}

// Options of a listener.
type Options struct {
	// Most is the number of connections that may be open.
	Most int
	// Limits returns the limits of a request that begins.
	Limits func() Limits
	// Refusals has clients told why their request is not received. Without it, connections are closed.
	Refusals bool
	// Memory bounds the heads of all connections together.
	Memory *membudget.Budget
}

// Counts are totals since the start, and the connections that are open now.
type Counts struct {
	Open, Limit, Accepted int64
	// GaveWay counts connections that were closed for others, Refused those that were closed as all others had requests in service.
	GaveWay, Refused int64
	// HeadsTooLarge, HeadsWithoutRoom and TimedOut count requests that were not received.
	HeadsTooLarge, HeadsWithoutRoom, TimedOut int64
	// AcceptFailures counts connections that the kernel could not give.
	AcceptFailures int64
}

// Listen opens a listener whose connections have small receive buffers.
func Listen(address string, options Options) (*Listener, error) {
	configuration := net.ListenConfig{Control: LimitReceiveBuffer(ReceiveBufferBytes)}
	raw, err := configuration.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: raw, options: options, most: options.Most}, nil
}

// LimitReceiveBuffer returns a control function that bounds what the kernel buffers of a connection. Kernels that refuse are left as they are.
func LimitReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
	}
}

// SetOptions replaces the options. It must be called before the first Accept.
func (l *Listener) SetOptions(options Options) {
	l.options = options
	l.SetMost(options.Most)
}

// SetMost changes the number of connections that may be open. Those that are stay.
func (l *Listener) SetMost(most int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.most = most
}

// Counts returns the current totals.
func (l *Listener) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.counts
	counts.Limit = int64(l.most)
	return counts
}

// Accept implements net.Listener. It fails only when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.acceptFailed()
			time.Sleep(acceptRetry)
		default:
			l.awaitEnds()
			if conn := l.admit(accepted); conn != nil {
				return conn, nil
			}
		}
	}
}

// endsPending reports whether too many connections that were told to give way have not ended yet. The mutex must be held.
func (l *Listener) endsPending() bool { return int(l.counts.Open) >= l.most+l.places() }

// awaitEnds waits for a while until connections that were told to give way have ended. Others wait in the kernel meanwhile.
func (l *Listener) awaitEnds() {
	for until := time.Now().Add(endTimeout); ; time.Sleep(endInterval) {
		l.mutex.Lock()
		pending := l.endsPending()
		l.mutex.Unlock()
		if !pending || time.Now().After(until) {
			return
		}
	}
}

// acceptFailed makes room when the kernel has no descriptor left.
func (l *Listener) acceptFailed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.AcceptFailures++
	l.giveWay(time.Now())
}

// admit takes a connection in, or refuses it if all others have requests in service.
func (l *Listener) admit(accepted net.Conn) *Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Accepted++
	now := time.Now()
	if l.endsPending() {
		l.counts.Refused++
		_ = accepted.Close()
		return nil
	}
	if int(l.counts.Open)-l.leaving >= l.most && !l.giveWay(now) {
		l.counts.Refused++
		l.refuse(accepted)
		return nil
	}
	l.counts.Open++
	conn := &Conn{Conn: accepted, listener: l, since: now, placed: now}
	if l.options.Memory != nil {
		conn.memory = l.options.Memory.Reserve(membudget.RequestHead)
	}
	conn.element = l.fresh.PushBack(conn)
	conn.place = &l.fresh
	return conn
}

// refuse closes a connection that was not taken in, after it was told so.
func (l *Listener) refuse(accepted net.Conn) {
	if !l.options.Refusals || !l.mayLinger() {
		_ = accepted.Close()
		return
	}
	go func() {
		defer l.endLinger()
		_ = accepted.SetWriteDeadline(time.Now().Add(refusalTimeout))
		if _, err := accepted.Write(refusalOf(statusUnavailable, "connections")); err == nil {
			linger(accepted)
		}
		_ = accepted.Close()
	}()
}

// mayLinger takes one of the places for connections that linger. The mutex must be held.
func (l *Listener) mayLinger() bool {
	if l.lingering >= l.places() {
		return false
	}
	l.lingering++
	return true
}

// places is how many connections may linger, and how many may be open beyond the limit until others that give way have ended.
func (l *Listener) places() int { return max(1, l.most/lingerShare) }

func (l *Listener) endLinger() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lingering--
}

// giveWay has a connection without a request in service closed, and reports whether there is one. The mutex must be held.
func (l *Listener) giveWay(now time.Time) bool {
	conn := l.nextToLeave(now)
	if conn == nil {
		return false
	}
	l.dismiss(conn)
	return true
}

// dismiss has a connection closed. The mutex must be held.
func (l *Listener) dismiss(conn *Conn) {
	l.counts.GaveWay++
	l.remove(conn)
	l.leaving++
	conn.leaving = true
	conn.wake()
}

// nextToLeave returns the connection that gives way. One that has never had a request served and is not young goes first. Among
// others, those with and those without such a request each keep half of the places. At last one whose client does not read goes.
func (l *Listener) nextToLeave(now time.Time) *Conn {
	fresh, kept := oldest(&l.fresh), oldest(&l.kept)
	switch {
	case fresh != nil && now.Sub(fresh.placed) >= youngConnection:
		return fresh
	case kept != nil && (fresh == nil || l.fresh.Len() <= l.most/2):
		return kept
	case fresh != nil:
		return fresh
	default:
		return l.mostStalled(now)
	}
}

func oldest(waiting *list.List) *Conn {
	if first := waiting.Front(); first != nil {
		return first.Value.(*Conn)
	}
	return nil
}

func (l *Listener) mostStalled(now time.Time) *Conn {
	var found *Conn
	longest := int64(stalledWrite)
	for element := l.serving.Front(); element != nil; element = element.Next() {
		conn := element.Value.(*Conn)
		begun := conn.writingSince.Load()
		if begun != 0 && now.UnixNano()-begun > longest {
			found, longest = conn, now.UnixNano()-begun
		}
	}
	return found
}

// giveWayToHead has the largest head that is not in service give way to one of a size, and reports whether there is a larger one.
func (l *Listener) giveWayToHead(size int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found *Conn
	for _, waiting := range []*list.List{&l.fresh, &l.kept} {
		for element := waiting.Front(); element != nil; element = element.Next() {
			conn := element.Value.(*Conn)
			if held := conn.headMemory.Load(); held > size {
				found, size = conn, held
			}
		}
	}
	if found == nil {
		return false
	}
	l.dismiss(found)
	return true
}

// remove takes a connection out of its list. The mutex must be held.
func (l *Listener) remove(conn *Conn) {
	if conn.place != nil {
		conn.place.Remove(conn.element)
		conn.place, conn.element = nil, nil
	}
}

// move puts a connection at the end of a list. The mutex must be held.
func (l *Listener) move(conn *Conn, to *list.List) {
	l.remove(conn)
	conn.place, conn.element, conn.placed = to, to.PushBack(conn), time.Now()
}

// count changes a total.
func (l *Listener) count(change func(*Counts)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change(&l.counts)
}

// Group is the listeners of a process.
type Group struct {
	mutex     sync.Mutex
	listeners map[Name]*Listener
}

// Add adds a listener under a name.
func (g *Group) Add(name Name, listener *Listener) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.listeners == nil {
		g.listeners = map[Name]*Listener{}
	}
	g.listeners[name] = listener
}

// Counts returns the totals of each listener.
func (g *Group) Counts() map[Name]Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := map[Name]Counts{}
	for name, listener := range g.listeners {
		all[name] = listener.Counts()
	}
	return all
}
