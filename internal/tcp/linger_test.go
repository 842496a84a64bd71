package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// An idle connection was closed on a request that had arrived, or that arrived a moment later was
// read and not answered.
func TestRequestOnIdleConnectionIsServedOrLeftUnread(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	tests := map[string]struct {
		before bool // the request arrives before the connection is closed
		read   bool // and some of it was read
		now    bool // the connection is closed by CloseNow
		served bool
	}{
		"arrives before the close":                    {before: true, served: true},
		"arrives before the close, read in part":      {before: true, read: true, served: true},
		"arrives after the close":                     {},
		"arrives before, but the time for it is over": {before: true, now: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			lingerer := &Lingerer{Clock: clock.System{}}
			conn := lingerer.Wrap(accepted, accepted)
			send := func() {
				io.WriteString(caller, request)
				time.Sleep(20 * time.Millisecond)
			}
			var first [1]byte
			if test.before {
				send()
			}
			if test.read {
				io.ReadFull(conn, first[:])
			}
			if test.now {
				conn.CloseNow()
			} else {
				conn.Close()
			}
			if !test.before {
				send()
			}
			_, err := conn.Read(first[:])
			if served := !errors.Is(err, net.ErrClosed); served != test.served || conn.IsDeferred() != test.served {
				t.Fatalf("served: %v (%v), deferred: %v; want %v", served, err, conn.IsDeferred(), test.served)
			}
			if !test.served {
				if readable, _ := SocketOf(accepted).Readable(); !readable {
					t.Error("the request was read")
				}
				return
			}
			conn.SetIdle(false)
			io.WriteString(conn, "answer")
			conn.Close()
			if answer, err := io.ReadAll(caller); string(answer) != "answer" || err != nil {
				t.Errorf("answer %q, %v", answer, err)
			}
		})
	}
}

// A connection that its other end leaves open may not stay open for ever, nor one that it closes
// stay in memory.
func TestLingeringConnectionIsForgotten(t *testing.T) {
	tests := map[string]struct {
		idle  bool
		close bool // by the other end
		ended bool
	}{
		"idle, other end closes":                {idle: true, close: true, ended: true},
		"after an answer, other end closes":     {close: true, ended: true},
		"idle, other end stays open":            {idle: true},
		"after an answer, other end stays open": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, accepted := connect(t)
			lingerer := &Lingerer{Clock: clock.System{}}
			conn := lingerer.Wrap(accepted, accepted)
			conn.SetIdle(test.idle)
			conn.Close()
			if test.close {
				caller.Close()
			}
			count := func() int {
				lingerer.mutex.Lock()
				defer lingerer.mutex.Unlock()
				return len(lingerer.conns)
			}
			time.Sleep(time.Second)
			if ended := count() == 0; ended != test.ended {
				t.Errorf("ended after a second: %v, want %v", ended, test.ended)
			}
			time.Sleep(lingerIdleTimeout)
			if count() != 0 {
				t.Error("still open after the timeout")
			}
		})
	}
}

func TestAwaitDelivery(t *testing.T) {
	const answerBytes = 1 << 20
	caller, accepted := connect(t)
	caller.SetReadBuffer(16 << 10)
	lingerer := &Lingerer{Clock: clock.System{}}
	conn := lingerer.Wrap(accepted, accepted)
	conn.SetIdle(false)
	conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, _ := conn.Write(make([]byte, answerBytes))
	conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if lingerer.AwaitDelivery(ctx); ctx.Err() == nil {
		t.Fatal("counts as delivered before the other end has read anything")
	}
	go io.Copy(io.Discard, caller)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if lingerer.AwaitDelivery(ctx); ctx.Err() != nil {
		t.Errorf("%d bytes do not count as delivered", written)
	}
}

// hooks pause a connection in the middle of a read that has taken bytes, or before a close. Each is
// used once.
type hooks struct {
	onTaken, onClose chan func()
	idle             atomic.Bool   // net/http has answered a request
	waiting          chan struct{} // closed when it reads the next one then
	once             sync.Once
}

func newHooks() *hooks {
	return &hooks{onTaken: make(chan func(), 1), onClose: make(chan func(), 1), waiting: make(chan struct{})}
}

func runHook(hook chan func()) {
	select {
	case run := <-hook:
		run()
	default:
	}
}

type takingConn struct {
	net.Conn
	*hooks
}

func (c takingConn) Read(b []byte) (int, error) {
	if c.idle.Load() {
		c.once.Do(func() { close(c.waiting) })
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		runHook(c.onTaken)
	}
	return n, err
}

type closingConn struct {
	*LingeringConn
	*hooks
}

func (c closingConn) Close() error {
	runHook(c.onClose)
	return c.LingeringConn.Close()
}

type hookedListener struct {
	net.Listener
	lingerer *Lingerer
	*hooks
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return closingConn{LingeringConn: l.lingerer.Wrap(takingConn{conn, l.hooks}, conn), hooks: l.hooks}, nil
}

// A request that was read while its idle connection was being closed got no answer.
func TestRequestThatIsReadDuringTheCloseIsAnswered(t *testing.T) {
	disableKeepAlives := func(l *Lingerer, s *http.Server, _ *LingeringConn) { l.DisableKeepAlives(s) }
	tests := map[string]struct {
		taken  bool // the close comes when bytes were taken from the socket, else when the whole request was read
		close  func(*Lingerer, *http.Server, *LingeringConn)
		answer bool
	}{
		"bytes taken, keep-alives disabled":  {taken: true, close: disableKeepAlives, answer: true},
		"bytes taken, idle timeout":          {taken: true, close: func(_ *Lingerer, _ *http.Server, c *LingeringConn) { c.Close() }, answer: true},
		"bytes taken, closed for good":       {taken: true, close: func(_ *Lingerer, _ *http.Server, c *LingeringConn) { c.CloseNow() }},
		"request read, keep-alives disabled": {close: disableKeepAlives, answer: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			lingerer := &Lingerer{Clock: clock.System{}}
			h := newHooks()
			conns := make(chan *LingeringConn, 1)
			began, finish := make(chan struct{}), make(chan struct{})
			server := &http.Server{
				ConnState: func(conn net.Conn, state http.ConnState) {
					c := conn.(closingConn).LingeringConn
					switch state {
					case http.StateNew:
						c.SetIdle(true)
						conns <- c
					case http.StateClosed:
						c.CloseNow()
					default:
						c.SetIdle(state == http.StateIdle)
						h.idle.Store(state == http.StateIdle)
					}
				},
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/second" {
						close(began)
						<-finish
					}
					io.WriteString(w, "answer")
				}),
			}
			go server.Serve(hookedListener{listener, lingerer, h})
			defer server.Close()
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
			get := func(path string) (string, error) {
				request, _ := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+path, nil) // not sent again by net/http
				response, err := client.Do(request)
				if err != nil {
					return "", err
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				return string(body), err
			}
			if answer, err := get("/first"); answer != "answer" || err != nil {
				t.Fatal(answer, err)
			}
			conn := <-conns
			<-h.waiting // before that, net/http may close the connection itself
			closed := make(chan struct{})
			if test.taken {
				h.onTaken <- func() {
					test.close(lingerer, server, conn)
					close(closed)
				}
			} else {
				waits, release := make(chan struct{}), make(chan struct{})
				h.onClose <- func() {
					close(waits)
					<-release
				}
				go func() {
					test.close(lingerer, server, conn)
					close(closed)
				}()
				<-waits
				go func() {
					<-began
					close(release)
				}()
			}
			go func() {
				<-closed
				time.Sleep(20 * time.Millisecond) // for the goroutine that lingers
				close(finish)
			}()
			if answer, err := get("/second"); (answer == "answer" && err == nil) != test.answer {
				t.Errorf("answer %q (%v), want one: %v", answer, err, test.answer)
			}
		})
	}
}

// A connection whose end may not look like that of a whole answer is reset, also by the kernel when the
// process dies.
func TestAbortiveConnectionIsReset(t *testing.T) {
	tests := map[string]struct {
		abortive, cleared bool
		end               func(c *LingeringConn, socket net.Conn)
		reset             bool
	}{
		"Close":              {abortive: true, end: func(c *LingeringConn, _ net.Conn) { c.Close() }, reset: true},
		"CloseNow":           {abortive: true, end: func(c *LingeringConn, _ net.Conn) { c.CloseNow() }, reset: true},
		"socket closed":      {abortive: true, end: func(_ *LingeringConn, s net.Conn) { s.Close() }, reset: true},
		"not abortive":       {end: func(c *LingeringConn, _ net.Conn) { c.Close() }},
		"not any more":       {abortive: true, cleared: true, end: func(c *LingeringConn, _ net.Conn) { c.Close() }},
		"not, socket closed": {abortive: true, cleared: true, end: func(_ *LingeringConn, s net.Conn) { s.Close() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			conn := (&Lingerer{Clock: clock.System{}}).Wrap(accepted, accepted)
			conn.SetIdle(false)
			if test.abortive {
				if err := conn.SetAbortive(true); err != nil {
					t.Fatal(err)
				}
			}
			io.WriteString(conn, "part")
			if test.cleared {
				if err := conn.SetAbortive(false); err != nil {
					t.Fatal(err)
				}
			}
			test.end(conn, accepted)
			if _, err := io.ReadAll(caller); errors.Is(err, syscall.ECONNRESET) != test.reset {
				t.Errorf("the other end read %v; want a reset: %v", err, test.reset)
			}
		})
	}
}
