package callerhttp

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Bounds of callers' connections where the steering document sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	sweepEvery           = 500 * time.Millisecond // a connection is closed at most so much later than its bound
)

// Quiet tells why a connection was closed.
type Quiet string

// The reasons.
const (
	QuietHeader Quiet = "header" // a request's header began and did not end
	QuietIdle   Quiet = "idle"   // no request began
)

// Guard closes callers' connections on which nothing arrives for longer than the
// steering document in force allows. The timeouts of net/http are fixed when a server
// starts; these follow the document.
type Guard struct {
	Clock  clock.Clock
	Limits func() document.Limits                                 // in force now; zero values mean the defaults
	Closed func(reason Quiet, caller string, after time.Duration) // told of each closed connection

	mu    sync.Mutex
	conns map[*guarded]struct{}
}

// NewGuard returns a Guard that follows the document of a VM, counts what it closes,
// and logs the callers whose header did not end.
func NewGuard(n *node.Node) *Guard {
	return &Guard{
		Clock: n.Clock,
		Limits: func() document.Limits {
			if view := n.View(); view != nil && view.Document != nil {
				return view.Document.Routes.Limits
			}
			return document.Limits{}
		},
		Closed: func(reason Quiet, caller string, after time.Duration) {
			n.Metrics.CountConnectionTimeout(string(reason))
			if reason == QuietHeader {
				n.LogDecision(reducer.Decision{Code: reducer.CodeHeaderTimeout, Outcome: "closed", Fields: []reducer.Field{
					{Name: "caller", Value: caller},
					{Name: "after", Value: after},
				}})
			}
		},
	}
}

// guarded is a connection with what it waits for.
type guarded struct {
	net.Conn
	guard *Guard
	busy  bool // a whole request was read and is not answered yet
	began bool // the first bytes of a request arrived
	since time.Time
}

// WrapListener returns a listener whose connections are watched until it is closed; the
// http.Server that serves it needs Track as its ConnState.
func (g *Guard) WrapListener(l net.Listener) net.Listener {
	g.conns = make(map[*guarded]struct{})
	watched := &guardedListener{Listener: l, guard: g, done: make(chan struct{})}
	go g.watch(watched.done)
	return watched
}

// TrackState follows the state of a connection.
func (g *Guard) TrackState(conn net.Conn, state http.ConnState) {
	c, known := conn.(*guarded)
	if !known {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.busy, c.began, c.since = false, false, g.Clock.Now()
		g.conns[c] = struct{}{}
	case http.StateActive:
		c.busy = true
	default:
		delete(g.conns, c)
	}
}

// Read implements net.Conn.
func (c *guarded) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.guard.mu.Lock()
		if !c.busy && !c.began {
			c.began, c.since = true, c.guard.Clock.Now()
		}
		c.guard.mu.Unlock()
	}
	return n, err
}

// CloseWrite lets net/http end an answer before a body that nobody reads, without a
// reset that would destroy the answer.
func (c *guarded) CloseWrite() error {
	if half, known := c.Conn.(interface{ CloseWrite() error }); known {
		return half.CloseWrite()
	}
	return nil
}

func (g *Guard) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-g.Clock.After(sweepEvery):
			g.sweep()
		}
	}
}

// sweep closes the connections that were quiet for too long.
func (g *Guard) sweep() {
	limits, now := g.Limits(), g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		reason, allowed := QuietIdle, bound(limits.IdleTimeout, defaultIdleTimeout)
		if c.began {
			reason, allowed = QuietHeader, bound(limits.HeaderTimeout, defaultHeaderTimeout)
		}
		if quiet := now.Sub(c.since); !c.busy && quiet > allowed {
			delete(g.conns, c)
			c.Conn.Close() // an error means that the caller closed it first
			g.Closed(reason, c.RemoteAddr().String(), quiet)
		}
	}
}

func bound(limit document.Duration, otherwise time.Duration) time.Duration {
	if limit > 0 {
		return limit.Std()
	}
	return otherwise
}

// guardedListener hands out watched connections.
type guardedListener struct {
	net.Listener
	guard *Guard
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: conn, guard: l.guard}, nil
}

// Close implements net.Listener and ends the watch.
func (l *guardedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
