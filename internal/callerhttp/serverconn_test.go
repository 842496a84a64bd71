package callerhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A request whose caller leaves while it waits for a connection was written to the server.
func TestNothingIsWrittenOnceTheCallerLeft(t *testing.T) {
	tests := map[string]struct {
		method string
		body   io.Reader
		reused bool
		left   bool
	}{
		"new connection":                         {method: http.MethodGet, left: true},
		"new connection, with a body":            {method: http.MethodPost, body: strings.NewReader("body"), left: true},
		"idle connection":                        {method: http.MethodGet, reused: true, left: true},
		"idle connection, with a body":           {method: http.MethodPost, body: strings.NewReader("body"), reused: true, left: true},
		"new connection, the caller is there":    {method: http.MethodGet},
		"idle connection, the caller is there":   {method: http.MethodGet, reused: true},
		"with a body, and the caller is there":   {method: http.MethodPost, body: strings.NewReader("body")},
		"idle, with a body, the caller is there": {method: http.MethodPost, body: strings.NewReader("body"), reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
			defer server.Close()
			transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				return newServerConn(countingConn{Conn: conn, written: &written}, err)
			}}
			defer transport.CloseIdleConnections()
			send := func(mayWrite bool) (*connectAttempt, error) {
				request, err := http.NewRequest(test.method, server.URL, test.body)
				if err != nil {
					t.Fatal(err)
				}
				attempt := &connectAttempt{now: time.Now, timeout: &ConnectTimeout{}, mayWrite: func() bool { return mayWrite }}
				response, err := attempt.roundTrip(transport, request)
				if err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				return attempt, err
			}
			if test.reused {
				if _, err := send(true); err != nil {
					t.Fatal(err)
				}
			}
			before := written.Load()
			attempt, err := send(!test.left)
			if wrote := written.Load() > before; wrote == test.left || (err != nil) != test.left || attempt.refused.Load() != test.left {
				t.Errorf("written: %v, error: %v, refused: %v; the caller left: %v", wrote, err, attempt.refused.Load(), test.left)
			}
		})
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// A request that got its connection at the moment of its timeout was written and then cut off.
func TestNothingIsWrittenAfterTheConnectTimeout(t *testing.T) {
	tests := map[string]struct {
		timeoutFirst bool
	}{
		"the timeout is first":    {timeoutFirst: true},
		"the connection is first": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			go io.Copy(io.Discard, far)
			var written atomic.Int64
			conn, err := newServerConn(countingConn{Conn: near, written: &written}, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			attempt := &connectAttempt{now: time.Now, timeout: &ConnectTimeout{}}
			connected := func() { attempt.trace().GotConn(httptrace.GotConnInfo{Conn: conn}) }
			if !test.timeoutFirst {
				connected()
			}
			attempt.expire(func() {})
			if test.timeoutFirst {
				connected()
			}
			_, err = conn.Write([]byte("GET"))
			if wrote := written.Load() > 0; wrote == test.timeoutFirst || attempt.timedOut.Load() != test.timeoutFirst || attempt.refused.Load() != test.timeoutFirst {
				t.Errorf("written: %v, %v; timed out: %v, refused: %v", wrote, err, attempt.timedOut.Load(), attempt.refused.Load())
			}
		})
	}
}
