package callerhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/tcp"
)

// serverConn is a connection to a server or another VM. It asks the request that it was given to
// whether that may still be sent, at the last moment before its first byte is written. If it is
// closed before the answer has begun, what the other end has not received yet is not delivered.
type serverConn struct {
	net.Conn
	attempt    atomic.Pointer[connectAttempt] // whose first byte is not written yet; nil for none
	unanswered atomic.Bool                    // a request was given to it, and no byte of its answer has come
	socket     tcp.Socket

	answering     sync.Mutex  // held until an answer was checked
	answerRefused atomic.Bool // an answer on it was no HTTP

	writing    sync.Mutex // held during a write
	writeError error      // of the first write that failed; guarded by writing

	contacts    *contacts // that follow it; nil for a connection to another VM
	contact     *contact
	openedAt    time.Time
	used        bool         // a request was given to it; guarded by contacts
	lastByteAt  atomic.Int64 // nanoseconds after the base of the contacts; the opening counts
	closeStated atomic.Bool  // the other end said that it closes the connection

	mutex   sync.Mutex
	refused []string // ids of the requests that were refused on it last, at most maxRefused
}

const maxRefused = 16 // a copy of a refusal comes soon after it, if any comes

// noteRefusal keeps the request from being sent on the connection again: the other end may repeat
// its refusal there, which would look like that of the later send.
func (c *serverConn) noteRefusal(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refused = append(c.refused, id)
	c.refused = c.refused[max(0, len(c.refused)-maxRefused):]
}

func (c *serverConn) hasRefused(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.refused, id)
}

// begin gives a request to the connection.
func (c *serverConn) begin(a *connectAttempt) {
	c.attempt.Store(a)
	c.unanswered.Store(true)
}

var (
	errNotSent       = errors.New("the request was given up before it was sent")
	errRefusedBefore = errors.New("the request was refused on this connection before")
	errWithheld      = errors.New("the server may have started again since it was chosen")
	errAnswerRefused = errors.New("an answer before on this connection was refused")
)

// newServerConn wraps what a dial returned.
func newServerConn(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return followConn(conn), nil
}

func followConn(conn net.Conn) *serverConn {
	return &serverConn{Conn: conn, socket: tcp.SocketOf(conn)}
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if a := c.attempt.Swap(nil); a != nil {
		if err := a.check(c); err != nil {
			return 0, err
		}
	}
	n, err := c.write(b)
	c.noteEnd(err)
	return n, err
}

func (c *serverConn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.contacts != nil {
		c.noteByte(c.contacts.clock.Now())
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	c.noteEnd(err)
	return n, err
}

// endOfStream returns the error of a read that found the end of the stream: io.EOF only if the
// other end closed it. The kernel reports a reset once, and if a write gets the report, a
// read finds the same end as after a close. An answer without a length would look complete.
func (c *serverConn) endOfStream() error {
	hungUp, err := c.socket.HungUp()
	if err != nil {
		return fmt.Errorf("look how the connection ended: %w", err)
	}
	if !hungUp {
		return io.EOF // closed by the other end alone
	}
	c.writing.Lock() // does not wait for long: no write can block any more
	defer c.writing.Unlock()
	if c.writeError == nil || errors.Is(c.writeError, syscall.EPIPE) {
		return io.EOF // closed by the other end before the reset
	}
	return fmt.Errorf("the connection broke off: %w", c.writeError)
}

// noteEnd tells the contacts if the error shows that the other end has ended the connection.
func (c *serverConn) noteEnd(err error) {
	if err != nil && c.contacts != nil && !errors.Is(err, net.ErrClosed) {
		c.contacts.ended(c, endOf(err))
	}
}

func endOf(err error) string {
	if errors.Is(err, io.EOF) {
		return "closed"
	}
	return "reset"
}

// Close implements net.Conn. An orderly close would let the request arrive first, however long
// it still waits on the way, and a server would run it for nobody.
func (c *serverConn) Close() error {
	if c.contacts != nil {
		c.contacts.remove(c)
	}
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && c.unanswered.Load() {
		if err := socket.SetLinger(0); err != nil {
			return errors.Join(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}
