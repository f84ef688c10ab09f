package messagehead

import "net"

// ResponseConn is a connection that carries one response. Reads fail once its bytes can no longer become the head of one.
type ResponseConn struct {
	net.Conn
	scanner ResponseScanner
}

// NewResponseConn returns a connection that nothing was read from yet.
func NewResponseConn(conn net.Conn) *ResponseConn { return &ResponseConn{Conn: conn} }

// Read implements net.Conn.
func (c *ResponseConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.scanner.Done() {
		return count, err
	}
	if _, malformed := c.scanner.Scan(buffer[:count]); malformed != nil {
		return 0, malformed
	}
	return count, err
}
