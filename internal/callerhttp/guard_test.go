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

// hand is a clock that a test moves; its timers never fire.
type hand struct {
	mu  sync.Mutex
	now time.Time
}

func (h *hand) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hand) After(time.Duration) <-chan time.Time { return nil }

func (h *hand) move(by time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(by)
}

// client is a connection to a guarded server.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) answered() {
	c.t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	response.Body.Close()
}

// cut reports whether the server closed the connection within the time; an open one
// says nothing.
func (c *client) cut(within time.Duration) bool {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(within))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.in.Peek(1)
	timeout, waited := err.(net.Error)
	return err != nil && (!waited || !timeout.Timeout())
}

const whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Callers' connections follow the bounds of the document in force, also those that
// change while a connection is open.
func TestGuardClosesQuietConnections(t *testing.T) {
	type world struct {
		*client
		guard  *Guard
		time   *hand
		limits *document.Limits
		inside chan struct{} // receives once a handler runs
		leave  chan struct{} // ends the handlers
	}
	pass := func(w world, by time.Duration) {
		w.time.move(by)
		w.guard.sweep()
	}
	await := func(w world, state string, reached func(*guarded) bool) {
		w.t.Helper()
		for range 2000 {
			w.guard.mu.Lock()
			found := false
			for c := range w.guard.conns {
				found = found || reached(c)
			}
			w.guard.mu.Unlock()
			if found {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		w.t.Fatalf("no connection %s", state)
	}
	started := func(w world) {
		w.t.Helper()
		await(w, "took the first bytes", func(c *guarded) bool { return c.began })
	}
	idle := func(w world) {
		w.t.Helper()
		await(w, "waits for a request", func(c *guarded) bool { return !c.busy })
	}
	ask := func(w world) {
		w.t.Helper()
		w.send(whole)
		<-w.inside
		w.leave <- struct{}{}
		w.answered()
		idle(w)
	}
	tests := map[string]struct {
		play   func(world)
		closed Quiet // empty for a connection that stays open
	}{
		"idle within the bound": {play: func(w world) { ask(w); pass(w, 14*time.Second) }},
		"idle beyond the bound": {play: func(w world) { ask(w); pass(w, 16*time.Second) }, closed: QuietIdle},
		"new and silent":        {play: func(w world) { idle(w); pass(w, 16*time.Second) }, closed: QuietIdle},
		"header in part": {
			play:   func(w world) { w.send("GET / HT"); started(w); pass(w, 4*time.Second) },
			closed: QuietHeader,
		},
		"header in part, within the bound": {
			play: func(w world) { w.send("GET / HT"); started(w); pass(w, 2*time.Second) },
		},
		"header in part on a kept connection": {
			play: func(w world) {
				ask(w)
				pass(w, 10*time.Second)
				w.send("GET / HT")
				started(w)
				pass(w, 4*time.Second)
			},
			closed: QuietHeader,
		},
		"running request": {play: func(w world) {
			w.send(whole)
			<-w.inside
			pass(w, time.Hour)
			w.leave <- struct{}{}
			w.answered()
		}},
		"shorter bound while open": {
			play: func(w world) {
				ask(w)
				pass(w, 10*time.Second)
				w.limits.IdleTimeout = document.Duration(8 * time.Second)
				pass(w, 0)
			},
			closed: QuietIdle,
		},
		"no bound set": {play: func(w world) {
			*w.limits = document.Limits{}
			ask(w)
			pass(w, 89*time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := world{time: &hand{now: time.Unix(1000, 0)}, inside: make(chan struct{}), leave: make(chan struct{})}
			w.limits = &document.Limits{
				HeaderTimeout: document.Duration(3 * time.Second),
				IdleTimeout:   document.Duration(15 * time.Second),
			}
			var closed Quiet
			w.guard = &Guard{
				Clock:  w.time,
				Limits: func() document.Limits { return *w.limits },
				Closed: func(reason Quiet, _ string, _ time.Duration) { closed = reason },
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{
				Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					w.inside <- struct{}{}
					<-w.leave
				}),
				ConnState: w.guard.TrackState,
			}
			go server.Serve(w.guard.WrapListener(listener))
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			w.client = &client{t: t, conn: conn, in: bufio.NewReader(conn)}
			test.play(w)
			within := 200 * time.Millisecond
			if test.closed != "" {
				within = 10 * time.Second
			}
			if cut := w.cut(within); cut != (test.closed != "") || closed != test.closed {
				t.Errorf("closed %t as %q, want %q", cut, closed, test.closed)
			}
		})
	}
}
