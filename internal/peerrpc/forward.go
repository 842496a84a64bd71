package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/heatherwood/heatherwood/internal/tcp"
)

// DialForward opens a connection to a peer on which callers' requests are passed on by HTTP.
// An error means that nothing was sent on it.
func (n *Network) DialForward(ctx context.Context, address string) (net.Conn, error) {
	conn, err := forwardDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	_, err = handshake(conn, n.Key, roleForwarder, roleServer)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	return conn, nil
}

// RequestListener returns the listener whose connections are those on which peers pass
// callers' requests on. They are refused until its first call.
func (s *Server) RequestListener(address string) net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.requests == nil {
		s.requests = &requestListener{address: peerAddress(address), conns: make(chan net.Conn), done: make(chan struct{})}
	}
	return s.requests
}

func (s *Server) requestListener() *requestListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// requestListener hands over connections after their handshake.
type requestListener struct {
	address   peerAddress
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// offer passes a connection on to Accept; it returns false if nobody accepts any.
func (l *requestListener) offer(conn net.Conn) bool {
	if l == nil {
		return false
	}
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

var errListenerClosed = errors.New("listener for requests of peers")

// Accept implements net.Listener.
func (l *requestListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, fmt.Errorf("%w: %w", errListenerClosed, net.ErrClosed)
	}
}

// Close implements net.Listener; open connections stay open.
func (l *requestListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *requestListener) Addr() net.Addr { return l.address }

type peerAddress string

// Network implements net.Addr.
func (peerAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a peerAddress) String() string { return string(a) }

// requestConn is a connection of a peer that passes requests on.
type requestConn struct {
	*tcp.LingeringConn
	server *Server
}

// Close closes the connection and forgets it.
func (c *requestConn) Close() error {
	c.server.track(c.Conn, false)
	return c.LingeringConn.Close()
}
