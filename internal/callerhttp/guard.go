package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/tcp"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Timeouts of callers' connections where the steering document sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	sweepInterval        = 500 * time.Millisecond // a connection is closed at most so much after its timeout
)

// CloseReason tells why a connection was closed.
type CloseReason string

// The reasons, as the metric of closed connections names them.
const (
	CloseHeaderTimeout CloseReason = "header" // part of a request's header arrived, but not the whole in time
	CloseIdleTimeout   CloseReason = "idle"   // no request arrived in time
)

// Guard closes callers' connections that stay idle, or on which a request's header
// stays incomplete, for longer than the steering document in force allows. The
// timeouts of net/http are fixed when a server starts; these follow the document.
type Guard struct {
	Clock          clock.Clock
	Limits         func() document.Limits                                       // returns those in force; zero values mean the defaults
	OnClose        func(reason CloseReason, caller string, after time.Duration) // called for each closed connection
	MaxConnections int                                                          // open at a time, others wait to be accepted; 0 for no limit

	lingerer tcp.Lingerer
	mu       sync.Mutex
	conns    map[*guardedConn]struct{}
}

// NewGuard returns a Guard that follows the document of a VM, counts the connections
// that it closes, and logs those with an incomplete header.
func NewGuard(n *node.Node) *Guard {
	return &Guard{
		Clock: n.Clock,
		Limits: func() document.Limits {
			if view := n.View(); view != nil && view.Document != nil {
				return view.Document.Routes.Limits
			}
			return document.Limits{}
		},
		OnClose: func(reason CloseReason, caller string, after time.Duration) {
			n.Metrics.CountConnectionTimeout(string(reason))
			if reason == CloseHeaderTimeout {
				n.LogDecision(reducer.Decision{Code: reducer.CodeHeaderTimeout, Outcome: "closed", Fields: []reducer.Field{
					{Name: "caller", Value: caller},
					{Name: "after", Value: after},
				}})
			}
		},
	}
}

// guardedConn is a connection with the state that its timeout depends on.
type guardedConn struct {
	*tcp.LingeringConn
	guard         *Guard
	reading       atomic.Bool // a read waits for bytes
	serving       bool        // a request's header has been read, and its answer is not complete
	headerStarted bool        // the first bytes of a request have arrived
	waitingSince  time.Time   // start of the current timeout
}

// WrapListener returns a listener whose connections are watched until it is closed;
// the http.Server that serves it needs TrackState as its ConnState.
func (g *Guard) WrapListener(l net.Listener) net.Listener {
	g.conns = make(map[*guardedConn]struct{})
	g.lingerer.Clock = g.Clock
	sockets := &socketListener{Listener: l}
	watched := &guardedListener{Listener: sockets, sockets: sockets, guard: g, done: make(chan struct{})}
	if g.MaxConnections > 0 {
		watched.Listener = netutil.LimitListener(sockets, g.MaxConnections)
	}
	go g.sweepUntil(watched.done)
	return watched
}

// TrackState records the state of a connection; it is the ConnState of the server.
func (g *Guard) TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.SetIdle(true)
		c.serving, c.headerStarted, c.waitingSince = false, false, g.Clock.Now()
		g.conns[c] = struct{}{}
	case http.StateActive:
		c.SetIdle(false)
		c.serving = true
		g.conns[c] = struct{}{} // its idle timeout may have passed just before
	default:
		delete(g.conns, c)
		c.CloseNow() // nobody reads a request that a deferred close has left; an error means that it is closed
	}
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.LingeringConn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.guard.mu.Lock()
		if !c.serving && !c.headerStarted {
			c.headerStarted, c.waitingSince = true, c.guard.Clock.Now()
		}
		c.guard.mu.Unlock()
	}
	return n, err
}

// sweepUntil closes timed out connections at each interval until done is closed.
func (g *Guard) sweepUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-g.Clock.After(sweepInterval):
			g.closeTimedOut()
		}
	}
}

// closeTimedOut closes the connections whose timeout has passed.
func (g *Guard) closeTimedOut() {
	limits, now := g.Limits(), g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		reason, allowed := CloseIdleTimeout, limitOrDefault(limits.IdleTimeout, defaultIdleTimeout)
		if c.headerStarted {
			reason, allowed = CloseHeaderTimeout, limitOrDefault(limits.HeaderTimeout, defaultHeaderTimeout)
		}
		waited := now.Sub(c.waitingSince)
		if c.serving || waited <= allowed {
			continue
		}
		closeConn := c.CloseNow
		if !c.headerStarted {
			closeConn = c.Close
		}
		// A request that has arrived in time may not have been read yet.
		if c.headerStarted || !c.HasRequest() {
			delete(g.conns, c)
			closeConn() // an error means that net/http closed it first
			g.OnClose(reason, c.RemoteAddr().String(), waited)
		}
	}
}

// AwaitDelivery waits until callers have received what was written to their connections before
// these were closed, or the context ends.
func (g *Guard) AwaitDelivery(ctx context.Context) { g.lingerer.AwaitDelivery(ctx) }

// DisableKeepAlives is that of a Lingerer.
func (g *Guard) DisableKeepAlives(server *http.Server) { g.lingerer.DisableKeepAlives(server) }

// isEmpty reports whether no connection is open.
func (g *Guard) isEmpty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) == 0
}

// countServing returns the number of connections with a request that is not answered yet.
func (g *Guard) countServing() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for c := range g.conns {
		if c.serving || c.IsDeferred() {
			count++
		}
	}
	return count
}

// closeIdle closes the connections without a request.
func (g *Guard) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if !c.serving {
			c.Close() // an error means that it is closed
		}
	}
}

// TrackIdle tells a connection whether it serves a request; it is the ConnState of servers
// without a Guard.
func TrackIdle(conn net.Conn, state http.ConnState) {
	c, ok := conn.(interface {
		SetIdle(bool)
		CloseNow() error
	})
	switch {
	case !ok:
	case state == http.StateClosed:
		c.CloseNow() // as in TrackState
	default:
		c.SetIdle(state == http.StateNew || state == http.StateIdle)
	}
}

func limitOrDefault(limit document.Duration, fallback time.Duration) time.Duration {
	if limit > 0 {
		return limit.Std()
	}
	return fallback
}

// socketListener remembers the socket that it accepted last: the limit on connections hides it.
type socketListener struct {
	net.Listener
	latest net.Conn
}

// Accept implements net.Listener; it is called by one goroutine.
func (l *socketListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.latest = conn
	return conn, err
}

// guardedListener wraps the connections that it accepts in guardedConn.
type guardedListener struct {
	net.Listener
	sockets   *socketListener
	guard     *Guard
	closeOnce sync.Once
	done      chan struct{}
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{LingeringConn: l.guard.lingerer.Wrap(conn, l.sockets.latest), guard: l.guard}, nil
}

// Close implements net.Listener and ends the sweeps.
func (l *guardedListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
