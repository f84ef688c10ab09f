package drain

import (
	"net"
	"sync"
	"time"
)

// Connections holds the connections of a server that are busy: from the moment when it says that
// a request has begun to arrive until its answer was written. Its zero value is ready for use.
type Connections struct {
	mutex sync.Mutex
	busy  map[net.Conn]struct{}
}

// Note takes in whether a connection is busy. A closed one is not.
func (c *Connections) Note(conn net.Conn, busy bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !busy {
		delete(c.busy, conn)
		return
	}
	if c.busy == nil {
		c.busy = map[net.Conn]struct{}{}
	}
	c.busy[conn] = struct{}{}
}

// Count returns the number of busy connections.
func (c *Connections) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.busy)
}

// EndReads makes every read of a request that has not arrived whole fail now.
func (c *Connections) EndReads() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn := range c.busy {
		_ = conn.SetReadDeadline(time.Now())
	}
}
