package callerhttp

import (
	"context"
	"math"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds and weights of the time that a request waits for a new connection. The
// weights are those of TCP's retransmission timer (RFC 6298).
const (
	leastPatience     = 300 * time.Millisecond // several round trips between the farthest regions
	mostPatience      = time.Second            // callers wait as long for a connection of their own
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	deviationsAllowed = 4
)

// Patience is how long a request waits for a connection before it goes to another
// server. It follows the times that connections took, however late they came: on a
// full link all servers look far away, and none of them is down.
type Patience struct {
	mu        sync.Mutex
	mean      float64 // seconds
	deviation float64 // seconds, mean absolute
	known     bool
}

// Took adds the time that one connection took.
func (p *Patience) Took(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := took.Seconds()
	if !p.known {
		p.mean, p.deviation, p.known = seconds, seconds/2, true
		return
	}
	p.deviation += deviationWeight * (math.Abs(seconds-p.mean) - p.deviation)
	p.mean += meanWeight * (seconds - p.mean)
}

// Limit returns the time to wait for the next connection.
func (p *Patience) Limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Duration((p.mean + deviationsAllowed*p.deviation) * float64(time.Second))
	return min(max(limit, leastPatience), mostPatience)
}

// connecting is one send while it waits for a connection, and the time of the dial; the
// transport may dial in another goroutine and use a connection that became idle
// meanwhile.
type connecting struct {
	now      func() time.Time
	patience *Patience
	limit    time.Duration // of the wait
	wrote    atomic.Bool   // perhaps a part of the head
	ended    atomic.Bool   // there is a connection, or the request waits for it no longer
	late     atomic.Bool   // the latter
	began    atomic.Int64  // nanoseconds of the clock
	took     atomic.Int64
}

// trip sends the request; it gives up where no connection comes within the patience.
// The dial then goes on, so that its time is known and later requests use the
// connection.
func (c *connecting) trip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	c.limit = c.patience.Limit()
	ctx, cancel := context.WithCancel(request.Context())
	wait := time.AfterFunc(c.limit, func() {
		if c.ended.CompareAndSwap(false, true) {
			c.late.Store(true)
			cancel()
		}
	})
	defer wait.Stop()
	return transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, c.trace())))
}

func (c *connecting) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { c.ended.Store(true) },
		WroteHeaderField: func(string, []string) { c.wrote.Store(true) },
		ConnectStart:     func(string, string) { c.began.Store(c.now().UnixNano()) },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				took := c.now().UnixNano() - c.began.Load()
				c.took.Store(took)
				c.patience.Took(time.Duration(took))
			}
		},
	}
}
