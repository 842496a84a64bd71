package callerhttp

import (
	"net"
	"sync/atomic"
)

// serverConn is a connection to a server or another VM. It asks the request that it was given to
// whether that may still be sent, at the last moment before its first byte is written.
type serverConn struct {
	net.Conn
	attempt atomic.Pointer[connectAttempt] // whose first byte is not written yet; nil for none
}

// newServerConn wraps what a dial returned.
func newServerConn(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn}, nil
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if a := c.attempt.Swap(nil); a != nil && a.mayWrite != nil && !a.mayWrite() {
		a.refused.Store(true)
		return 0, errCallerLeft
	}
	return c.Conn.Write(b)
}
