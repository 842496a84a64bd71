package callerhttp

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the connect timeout, and the weights of its estimate. The weights are
// those of TCP's retransmission timer (RFC 6298).
const (
	minConnectTimeout = 300 * time.Millisecond // several round trips between the most distant regions
	maxConnectTimeout = time.Second            // callers wait as long for their own connections
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	deviationsAllowed = 4                     // mean deviations above the mean that the timeout allows
	lateTimer         = 5 * time.Millisecond  // by which a timer is late on a VM that lacks the processor, at least
	connectGrace      = 50 * time.Millisecond // within it, a VM that has the processor again notices its connections
	maxConnectGraces  = 4                     // of one wait
)

// ConnectTimeout estimates how long a request should wait for a connection before
// it tries another server. The estimate includes connections that came after the
// timeout: on a congested link all servers are slow to connect, and none of them is
// down.
type ConnectTimeout struct {
	mu        sync.Mutex
	mean      float64 // seconds
	deviation float64 // seconds, mean absolute
	observed  bool    // a connection has been observed
}

// Observe adds the time that one connection took to the estimate.
func (t *ConnectTimeout) Observe(connectTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds := connectTime.Seconds()
	if !t.observed {
		t.mean, t.deviation, t.observed = seconds, seconds/2, true
		return
	}
	t.deviation += deviationWeight * (math.Abs(seconds-t.mean) - t.deviation)
	t.mean += meanWeight * (seconds - t.mean)
}

// Current returns the timeout of the next connection.
func (t *ConnectTimeout) Current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := time.Duration((t.mean + deviationsAllowed*t.deviation) * float64(time.Second))
	return min(max(limit, minConnectTimeout), maxConnectTimeout)
}

// connectAttempt is one send while it waits for a connection. The transport may
// dial in another goroutine, and use a connection that became idle meanwhile.
type connectAttempt struct {
	id            string // of the request
	now           func() time.Time
	timeout       *ConnectTimeout
	limit         time.Duration // timeout of this attempt
	headerWritten atomic.Bool   // a part of the request's header may have been written
	waitEnded     atomic.Bool   // the request has a connection or has timed out
	timedOut      atomic.Bool
	connected     atomic.Bool  // a connection came before the timeout
	onConnected   func()       // called once the request has a connection; may be nil
	mayWrite      func() bool  // asked before the first byte is written; nil for always
	refused       atomic.Bool  // nothing was written; see check
	chosen        choice       // of the server; the zero value for another VM
	withheld      atomic.Bool  // refused, because of what became known of the server or the connection since it was chosen
	dialStarted   atomic.Int64 // nanoseconds since 1970; 0 without a dial
	dialTook      atomic.Int64 // nanoseconds; 0 without a new connection

	conn atomic.Pointer[net.Conn] // that the request is sent on; nil before it has one
}

// closeConn closes the connection that the request was sent on, so that no other request
// uses it.
func (c *connectAttempt) closeConn() {
	if conn := c.conn.Load(); conn != nil {
		(*conn).Close()
	}
}

// localAddress returns the address of this VM's end of the connection that the request was sent
// on, which identifies the connection in the log; empty without one, and for a nil attempt.
func (c *connectAttempt) localAddress() string {
	if c == nil {
		return ""
	}
	if conn := c.conn.Load(); conn != nil {
		return (*conn).LocalAddr().String()
	}
	return ""
}

// check returns why the first byte of the request may not be written to the connection, or nil.
// Where a connection comes at the moment of its timeout, as on a VM that lacked the processor,
// only one of the two counts.
func (c *connectAttempt) check(conn *serverConn) error {
	var err error
	switch {
	case conn.answerRefused.Load():
		err = errAnswerRefused
	case conn.hasRefused(c.id):
		err = errRefusedBefore
	case !c.connected.Load() || c.mayWrite != nil && !c.mayWrite():
		err = errNotSent
	case conn.contacts != nil && conn.contacts.withholds(conn, c.chosen):
		err = errWithheld
	}
	c.withheld.Store(errors.Is(err, errWithheld) || errors.Is(err, errAnswerRefused))
	c.refused.Store(err != nil)
	return err
}

// noteRefusal notes that the request was refused on the connection that it was sent on.
func (c *connectAttempt) noteRefusal() {
	if conn := c.conn.Load(); conn != nil {
		if conn, ok := (*conn).(*serverConn); ok {
			conn.noteRefusal(c.id)
		}
	}
}

// noteAnswer tells the connection what the header of an answer says about it; nil for none.
func (c *connectAttempt) noteAnswer(response *http.Response) {
	if conn := c.conn.Load(); conn != nil && response != nil {
		if conn, ok := (*conn).(*serverConn); ok {
			conn.noteAnswer(response)
		}
	}
}

// roundTrip sends the request, and cancels it when no connection comes within the
// timeout. The dial then goes on, so that its time is observed and later requests
// can use the connection.
func (c *connectAttempt) roundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	c.limit = c.timeout.Current()
	ctx, cancel := context.WithCancel(request.Context())
	due := c.now().Add(c.limit)
	timer := time.AfterFunc(c.limit, func() {
		graceUntilOnTime(ctx, due, c.now)
		c.expire(cancel)
	})
	defer timer.Stop()
	return readAnswer(ctx, transport, request, c.trace())
}

// graceUntilOnTime waits a little longer each time that this VM gets the processor late for the end of
// a wait that was due: the connection may have come meanwhile, and is only not noticed yet.
func graceUntilOnTime(ctx context.Context, due time.Time, now func() time.Time) {
	for range maxConnectGraces {
		if ctx.Err() != nil || now().Sub(due) < lateTimer {
			return
		}
		due = now().Add(connectGrace)
		time.Sleep(connectGrace)
	}
}

// expire ends the wait for a connection, unless the request has one.
func (c *connectAttempt) expire(cancel func()) {
	if c.waitEnded.CompareAndSwap(false, true) {
		c.timedOut.Store(true)
		cancel()
	}
}

// mayHaveWritten reports whether the other end may have got a part of the request.
func (c *connectAttempt) mayHaveWritten() bool { return c.headerWritten.Load() && !c.refused.Load() }

func (c *connectAttempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c.conn.Store(&info.Conn)
			if conn, ok := info.Conn.(*serverConn); ok {
				conn.begin(c)
			}
			if c.waitEnded.CompareAndSwap(false, true) {
				c.connected.Store(true)
			}
			if c.onConnected != nil {
				c.onConnected()
			}
		},
		GotFirstResponseByte: func() {
			if conn := c.conn.Load(); conn != nil {
				if conn, ok := (*conn).(*serverConn); ok {
					conn.unanswered.Store(false)
				}
			}
		},
		WroteHeaderField: func(string, []string) { c.headerWritten.Store(true) },
		ConnectStart:     func(string, string) { c.dialStarted.Store(c.now().UnixNano()) },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				took := c.now().UnixNano() - c.dialStarted.Load()
				c.dialTook.Store(took)
				c.timeout.Observe(time.Duration(took))
			}
		},
	}
}
