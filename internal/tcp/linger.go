package tcp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// Limits on how long a connection stays open after it was closed here.
const (
	lingerIdleTimeout = 5 * time.Second        // once all bytes were delivered; the other end's close is on its way
	lingerTimeout     = 30 * time.Second       // for a slow reader to take the end of its answer
	deliveryInterval  = 20 * time.Millisecond  // between two looks at whether all bytes were delivered
	endInterval       = 100 * time.Millisecond // between two looks at whether the other end has closed
)

// Lingerer closes connections without a reset. The kernel resets a connection that is closed
// while received bytes are unread, or that receives more later, and with that discards what the
// other end has not received yet. A Lingerer ends the sending side first, and closes the
// connection once the other end does. After an answer it discards what is received meanwhile. On
// an idle connection that would be a request, which is either served or not read at all.
type Lingerer struct {
	Clock clock.Clock

	closingIdle atomic.Int32 // calls under way that make net/http close idle connections

	mutex sync.Mutex
	conns map[*LingeringConn]struct{} // closed here, open at the other end
}

// phase is what a connection is used for.
type phase uint8

const (
	phaseIdle    phase = iota // no byte of the next request was read
	phaseStarted              // the next request is being read
	phaseActive               // a request is served
)

// LingeringConn is a connection that its Lingerer closes.
type LingeringConn struct {
	net.Conn
	lingerer *Lingerer
	socket   net.Conn // beneath Conn, or Conn itself

	reading sync.Mutex // held by the goroutine that reads

	mutex     sync.Mutex // guards the fields below, and is held while deadlines are set
	phase     phase
	readError error // of the last read
	deferred  bool  // the connection was to be closed when a request had arrived
	closed    bool
	abortive  bool // it is closed with a reset
	reopens   bool // it is open after all if the read under way has taken a request
	reopened  int  // how often it was
}

// Wrap returns the connection with a Close that does not reset it; socket is the one beneath it.
func (l *Lingerer) Wrap(conn, socket net.Conn) *LingeringConn {
	return &LingeringConn{Conn: conn, lingerer: l, socket: socket}
}

// Listen returns a listener whose connections are wrapped.
func (l *Lingerer) Listen(listener net.Listener) net.Listener {
	return lingeringListener{Listener: listener, lingerer: l}
}

type lingeringListener struct {
	net.Listener
	lingerer *Lingerer
}

// Accept implements net.Listener.
func (l lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.lingerer.Wrap(conn, conn), nil
}

// DisableKeepAlives closes the idle connections of a server, and has it close the others after their
// requests. net/http looks whether a connection is idle before it closes it: one whose request it has read
// meanwhile stays open.
func (l *Lingerer) DisableKeepAlives(server *http.Server) {
	l.closingIdle.Add(1)
	defer l.closingIdle.Add(-1)
	server.SetKeepAlivesEnabled(false)
}

// Shutdown shuts a server down. Requests that it reads meanwhile get no answer.
func (l *Lingerer) Shutdown(ctx context.Context, server *http.Server) error {
	l.closingIdle.Add(1)
	defer l.closingIdle.Add(-1)
	return server.Shutdown(ctx)
}

// AwaitDelivery waits until the other ends have received what was written to connections before
// they were closed, or the context ends.
func (l *Lingerer) AwaitDelivery(ctx context.Context) {
	for l.anyUndelivered() {
		select {
		case <-ctx.Done():
			return
		case <-l.Clock.After(deliveryInterval):
		}
	}
}

func (l *Lingerer) anyUndelivered() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		if c.undelivered() {
			return true
		}
	}
	return false
}

func (l *Lingerer) add(c *LingeringConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conns == nil {
		l.conns = make(map[*LingeringConn]struct{})
	}
	l.conns[c] = struct{}{}
}

func (l *Lingerer) remove(c *LingeringConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}

// SetIdle tells whether the connection waits for a request, or serves one.
func (c *LingeringConn) SetIdle(idle bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = phaseActive
	if idle {
		c.phase = phaseIdle
	}
}

// Read implements net.Conn.
func (c *LingeringConn) Read(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed // without a wait for linger
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	n, err := c.Conn.Read(b)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readError = err
	if n > 0 && c.phase == phaseIdle {
		c.phase = phaseStarted
		if c.closed && c.reopens {
			c.reopen()
		}
	}
	if err != nil && c.closed {
		err = net.ErrClosed
	}
	return n, err
}

func (c *LingeringConn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// HasRequest reports whether bytes of a request have arrived on an idle connection.
func (c *LingeringConn) HasRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hasRequest()
}

func (c *LingeringConn) hasRequest() bool {
	if c.phase != phaseIdle {
		return c.phase == phaseStarted
	}
	readable, err := SocketOf(c.socket).Readable()
	return err == nil && readable
}

// SetAbortive sets whether the end of the connection resets it, whoever ends it: a close here, or the
// kernel when the process dies. An orderly end would tell the other end that an answer without length or
// chunks is complete.
func (c *LingeringConn) SetAbortive(abortive bool) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	socket, ok := c.socket.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errNoSocket
	}
	seconds := -1 // the kernel's default: data is delivered in the background
	if abortive {
		seconds = 0
	}
	if err := socket.SetLinger(seconds); err != nil {
		return fmt.Errorf("set how the connection ends: %w", err)
	}
	c.abortive = abortive
	return nil
}

// CloseWrite ends the sending side.
func (c *LingeringConn) CloseWrite() error {
	if closer, ok := c.socket.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errNoSocket
}

// Close implements net.Conn. Reads and writes end at once; the connection itself is closed in the
// background. The first call does nothing when a request has arrived on an idle connection:
// net/http closes idle connections from another goroutine than the one that is about to read it, or has
// just done so.
func (c *LingeringConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wasIdle := c.phase == phaseActive && c.lingerer.closingIdle.Load() > 0
	if !c.closed && (wasIdle || c.readError == nil && !c.deferred && c.hasRequest()) {
		c.deferred = true
		return nil
	}
	c.reopens = c.phase == phaseIdle
	return c.close()
}

// reopen undoes the close of a connection whose request was being read.
func (c *LingeringConn) reopen() {
	c.closed, c.deferred, c.reopens = false, true, false
	c.reopened++
	c.Conn.SetDeadline(time.Time{}) // an error shows at the next use
	c.lingerer.remove(c)
}

// CloseNow closes the connection also when a request has arrived.
func (c *LingeringConn) CloseNow() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reopens = false
	return c.close()
}

func (c *LingeringConn) close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	atEnd := c.readError != nil && !errors.Is(c.readError, os.ErrDeadlineExceeded)
	if atEnd || c.abortive || c.Conn.SetDeadline(time.Unix(1, 0)) != nil {
		c.reopens = false
		return c.Conn.Close()
	}
	c.lingerer.add(c)
	go c.linger(c.phase == phaseActive, c.reopened)
	return nil
}

// linger ends the sending side and closes the connection when the other end does, or a timeout
// passes, unless it was reopened since.
func (c *LingeringConn) linger(discard bool, reopened int) {
	c.reading.Lock() // the deadline has ended a read that was under way
	defer c.reading.Unlock()
	if c.wasReopened(reopened) {
		return
	}
	defer c.lingerer.remove(c)
	defer c.Conn.Close() // an error means that the other end closed it first
	if c.CloseWrite() != nil {
		return
	}
	end := c.lingerer.Clock.Now().Add(lingerTimeout)
	for now := c.lingerer.Clock.Now(); now.Before(end); now = c.lingerer.Clock.Now() {
		until := now.Add(lingerIdleTimeout)
		ended := false
		if discard {
			ended = c.discard(until)
		} else {
			ended = c.awaitEnd(until)
		}
		if ended || !c.undelivered() {
			return
		}
	}
}

func (c *LingeringConn) wasReopened(since int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reopens = false
	return c.reopened != since
}

// discard discards received bytes until the time, and reports whether the other end has closed.
func (c *LingeringConn) discard(until time.Time) bool {
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return true
	}
	_, err := io.Copy(io.Discard, c.Conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitEnd waits until the time, without a read, and reports whether the other end has closed.
func (c *LingeringConn) awaitEnd(until time.Time) bool {
	socket := SocketOf(c.socket)
	for c.lingerer.Clock.Now().Before(until) {
		if closed, err := socket.PeerClosed(); closed || err != nil {
			return true
		}
		<-c.lingerer.Clock.After(endInterval)
	}
	return false
}

// IsDeferred reports whether the connection is to be closed after a request that has arrived, or may have.
func (c *LingeringConn) IsDeferred() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.deferred && !c.closed || c.closed && c.reopens
}

// undelivered reports whether the other end has not received all that was written, as far as the
// kernel tells.
func (c *LingeringConn) undelivered() bool {
	count, err := SocketOf(c.socket).Unacknowledged()
	return err == nil && count > 0
}

// SetDeadline implements net.Conn.
func (c *LingeringConn) SetDeadline(t time.Time) error { return c.set(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *LingeringConn) SetReadDeadline(t time.Time) error { return c.set(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *LingeringConn) SetWriteDeadline(t time.Time) error { return c.set(c.Conn.SetWriteDeadline, t) }

// set sets a deadline, unless the deadlines are those of Close.
func (c *LingeringConn) set(deadline func(time.Time) error, t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return deadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *LingeringConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.socket.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

var errNoSocket = errors.New("the connection has no socket")
