package callerhttp

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// manualClock is a clock that a test advances; its timers never fire.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (m *manualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) After(time.Duration) <-chan time.Time { return nil }

func (m *manualClock) advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(by)
}

// testClient is a connection to a guarded server.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) readAnswer() {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	response.Body.Close()
}

// closedWithin reports whether the server closed the connection within the time;
// nothing may arrive on an open one.
func (c *testClient) closedWithin(within time.Duration) bool {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(within))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	netErr, ok := err.(net.Error)
	return err != nil && (!ok || !netErr.Timeout())
}

const fullRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Callers' connections are closed by the timeouts of the document in force, also
// when these change while a connection is open.
func TestGuardClosesTimedOutConnections(t *testing.T) {
	type fixture struct {
		*testClient
		guard          *Guard
		clock          *manualClock
		limits         *document.Limits
		handlerStarted chan struct{} // receives once a handler runs
		finishHandler  chan struct{} // lets a handler return
	}
	advance := func(f fixture, by time.Duration) {
		f.clock.advance(by)
		f.guard.closeTimedOut()
	}
	waitForConn := func(f fixture, state string, matches func(*guardedConn) bool) {
		f.t.Helper()
		for range 2000 {
			f.guard.mu.Lock()
			found := false
			for c := range f.guard.conns {
				found = found || matches(c)
			}
			f.guard.mu.Unlock()
			if found {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		f.t.Fatalf("no connection %s", state)
	}
	waitForHeaderStart := func(f fixture) {
		f.t.Helper()
		waitForConn(f, "has read the first bytes of a request", func(c *guardedConn) bool { return c.headerStarted })
	}
	waitForIdle := func(f fixture) {
		f.t.Helper()
		waitForConn(f, "is idle", func(c *guardedConn) bool { return !c.serving })
	}
	exchange := func(f fixture) {
		f.t.Helper()
		f.send(fullRequest)
		<-f.handlerStarted
		f.finishHandler <- struct{}{}
		f.readAnswer()
		waitForIdle(f)
	}
	tests := map[string]struct {
		act    func(fixture)
		closed CloseReason // empty for a connection that stays open
	}{
		"idle within the timeout": {act: func(f fixture) { exchange(f); advance(f, 14*time.Second) }},
		"idle beyond the timeout": {act: func(f fixture) { exchange(f); advance(f, 16*time.Second) }, closed: CloseIdleTimeout},
		"new without a request":   {act: func(f fixture) { waitForIdle(f); advance(f, 16*time.Second) }, closed: CloseIdleTimeout},
		"part of a header": {
			act:    func(f fixture) { f.send("GET / HT"); waitForHeaderStart(f); advance(f, 4*time.Second) },
			closed: CloseHeaderTimeout,
		},
		"part of a header, within the timeout": {
			act: func(f fixture) { f.send("GET / HT"); waitForHeaderStart(f); advance(f, 2*time.Second) },
		},
		"part of a header on a reused connection": {
			act: func(f fixture) {
				exchange(f)
				advance(f, 10*time.Second)
				f.send("GET / HT")
				waitForHeaderStart(f)
				advance(f, 4*time.Second)
			},
			closed: CloseHeaderTimeout,
		},
		"running request": {act: func(f fixture) {
			f.send(fullRequest)
			<-f.handlerStarted
			advance(f, time.Hour)
			f.finishHandler <- struct{}{}
			f.readAnswer()
		}},
		"timeout shortened while open": {
			act: func(f fixture) {
				exchange(f)
				advance(f, 10*time.Second)
				f.limits.IdleTimeout = document.Duration(8 * time.Second)
				advance(f, 0)
			},
			closed: CloseIdleTimeout,
		},
		"no timeout set": {act: func(f fixture) {
			*f.limits = document.Limits{}
			exchange(f)
			advance(f, 89*time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fixture{clock: &manualClock{now: time.Unix(1000, 0)}, handlerStarted: make(chan struct{}), finishHandler: make(chan struct{})}
			f.limits = &document.Limits{
				HeaderTimeout: document.Duration(3 * time.Second),
				IdleTimeout:   document.Duration(15 * time.Second),
			}
			var closed CloseReason
			f.guard = &Guard{
				Clock:   f.clock,
				Limits:  func() document.Limits { return *f.limits },
				OnClose: func(reason CloseReason, _ string, _ time.Duration) { closed = reason },
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{
				Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					f.handlerStarted <- struct{}{}
					<-f.finishHandler
				}),
				ConnState: f.guard.TrackState,
			}
			go server.Serve(f.guard.WrapListener(listener))
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			f.testClient = &testClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
			test.act(f)
			within := 200 * time.Millisecond
			if test.closed != "" {
				within = 10 * time.Second
			}
			if isClosed := f.closedWithin(within); isClosed != (test.closed != "") || closed != test.closed {
				t.Errorf("closed %t for reason %q, want %q", isClosed, closed, test.closed)
			}
		})
	}
}
