package callerhttp

import (
	"context"
	"errors"
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

// Only an answer that its server ended is complete, whoever learns first that the connection is reset.
func TestReadTellsAResetFromTheEndOfTheStream(t *testing.T) {
	tests := map[string]struct {
		closes, resets bool // what the server does, in this order
		writeFirst     bool
		complete       bool
	}{
		"reset, read first":              {resets: true},
		"reset, write first":             {resets: true, writeFirst: true},
		"closed, then reset, read first": {closes: true, resets: true, complete: true},
		"closed, then reset, write first": {
			closes: true, resets: true, writeFirst: true, complete: true,
		},
		"closed, read first":  {closes: true, complete: true},
		"closed, write first": {closes: true, writeFirst: true, complete: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const wait = 50 * time.Millisecond // for the other end to learn of it
			near, far := tcpPair(t)
			conn := followConn(near)
			far.Write([]byte("part"))
			time.Sleep(wait)
			if test.closes {
				far.CloseWrite()
				time.Sleep(wait)
			}
			if test.resets {
				far.SetLinger(0)
				far.Close()
				time.Sleep(wait)
			}
			if test.writeFirst {
				conn.Write([]byte("body"))
			}
			got, err := io.ReadAll(conn)
			if string(got) != "part" || (err == nil) != test.complete {
				t.Errorf("read %q, %v; complete: %v", got, err, test.complete)
			}
		})
	}
}

// A read that finds the end of the stream does not wait for a write that goes on.
func TestEndOfStreamDoesNotWaitForAWrite(t *testing.T) {
	near, far := tcpPair(t)
	conn := followConn(near)
	go conn.Write(make([]byte, 64<<20)) // more than is buffered; the server reads nothing
	time.Sleep(50 * time.Millisecond)
	far.CloseWrite()
	near.SetReadDeadline(time.Now().Add(5 * time.Second))
	started := time.Now()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(started) > time.Second {
		t.Errorf("read ended with %v after %v", err, time.Since(started))
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}
