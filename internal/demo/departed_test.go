package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/standin"
	"github.com/heatherwood/heatherwood/internal/tcp"
)

// workplace stands for all backend servers of a site. It notes from when to when it works on a
// request: until it has worked for its time, or the request's connection ends.
type workplace struct {
	listener net.Listener
	work     time.Duration
	unread   bool // bodies are not read

	mutex sync.Mutex
	began map[string]time.Time // by path
	ended map[string]time.Time
}

func newWorkplace(t *testing.T) *workplace {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &workplace{listener: listener, began: make(map[string]time.Time), ended: make(map[string]time.Time)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p
}

const workplaceBuffer = 4 << 10 // bytes of a body that fit between VM and workplace, about

func (p *workplace) serve(conn *net.TCPConn) {
	defer conn.Close()
	conn.SetReadBuffer(workplaceBuffer)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.mutex.Lock()
		p.began[request.URL.Path] = time.Now()
		work, unread := p.work, p.unread
		p.mutex.Unlock()
		if !unread {
			io.Copy(io.Discard, request.Body)
		}
		socket := tcp.SocketOf(conn)
		closed := false
		for end := time.Now().Add(work); !closed && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			closed, _ = socket.PeerClosed()
		}
		p.mutex.Lock()
		p.ended[request.URL.Path] = time.Now()
		p.mutex.Unlock()
		if closed {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHeatherwood-Request: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Heatherwood-Request"))
		if unread {
			return
		}
	}
}

// start returns a site whose VMs send all requests to the workplace, and the address of one.
func (p *workplace) start(t *testing.T) (d *Demo, entry string) {
	t.Helper()
	d, err := Start(context.Background(), Options{
		Site: "plaques", DataDir: t.TempDir(), StartServers: true, Logger: zerolog.Nop(),
		DialServer: func(string) func(context.Context, string) (net.Conn, error) {
			return func(ctx context.Context, _ string) (net.Conn, error) {
				var dialer net.Dialer
				conn, err := dialer.DialContext(ctx, "tcp", p.listener.Addr().String())
				if err == nil {
					conn.(*net.TCPConn).SetWriteBuffer(workplaceBuffer)
				}
				return conn, err
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	entry = d.VMSettings[0].Entry
	sendUntilRun(t, "GET", entry, "proofs", "/warm-up", "", "")
	return d, entry
}

// A server worked on for a caller that had left where the entry did not read from its connection.
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	const (
		work     = 3 * time.Second
		patience = 300 * time.Millisecond
		bound    = 500 * time.Millisecond // after the caller left
		longBody = 100 << 10              // beyond what is kept in memory for retries
	)
	wire := func(method, path string, body int) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nHeatherwood-Service: proofs\r\nHeatherwood-Timeout: 10s\r\nContent-Length: %d\r\n\r\n%s", method, path, body, strings.Repeat("b", body))
	}
	tests := map[string]struct {
		wire   string
		later  string // sent behind it, while the server works
		unread bool
	}{
		"without a body":                {wire: wire("GET", "/1", 0)},
		"with a body":                   {wire: wire("POST", "/2", 100)},
		"another request behind it":     {wire: wire("GET", "/3", 0) + wire("GET", "/behind", 0)},
		"another one behind it, later":  {wire: wire("GET", "/4", 0), later: wire("GET", "/behind", 0)},
		"long body, read by the server": {wire: wire("POST", "/5", longBody)},
		"long body, not read":           {wire: wire("POST", "/6", longBody), unread: true},
	}
	p := newWorkplace(t)
	_, entry := p.start(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p.mutex.Lock()
			p.work, p.unread = work, test.unread
			p.mutex.Unlock()
			conn, err := net.Dial("tcp", entry)
			if err != nil {
				t.Fatal(err)
			}
			conn.Write([]byte(test.wire))
			time.Sleep(patience)
			conn.Write([]byte(test.later))
			time.Sleep(patience)
			conn.Close()
			left := time.Now()
			path := strings.Fields(test.wire)[1]
			waitUntil(t, "the end of the work", func() bool {
				p.mutex.Lock()
				defer p.mutex.Unlock()
				return !p.ended[path].IsZero()
			})
			p.mutex.Lock()
			defer p.mutex.Unlock()
			if after := p.ended[path].Sub(left); after > bound {
				t.Errorf("the server worked for %v after the caller had left", after)
			}
			if at, ran := p.began["/behind"]; ran {
				t.Errorf("the request behind it ran %v after the caller had left", at.Sub(left))
			}
		})
	}
}

// A request that waited on a way that hangs ran when that opened, after its caller had left.
func TestRequestsOnAWayThatHangsEndWithTheirCallers(t *testing.T) {
	const (
		callers  = 30
		patience = 300 * time.Millisecond
		hang     = time.Second // from the first request on
	)
	s := startCutSite(t)
	entry := s.VMSettings[0].Entry
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { sendUntilRun(t, "GET", entry, "proofs", fmt.Sprint("/warm-up/", i), "", "") })
	}
	group.Wait()
	s.setCut(standin.CutHang, 1)
	for i := range callers {
		group.Go(func() {
			conn, err := net.Dial("tcp", entry)
			if err != nil {
				t.Error(err)
				return
			}
			fmt.Fprintf(conn, "GET /departed/%d HTTP/1.1\r\nHost: a\r\nHeatherwood-Service: proofs\r\nHeatherwood-Timeout: 10s\r\n\r\n", i)
			time.Sleep(patience)
			conn.Close()
		})
	}
	group.Wait()
	time.Sleep(hang - patience)
	s.setCut(standin.CutNone, 1)
	time.Sleep(hang)
	begun := 0
	for _, server := range s.Backends {
		begun += server.Begun("/departed/")
	}
	if begun > 0 {
		t.Errorf("%d requests of %d callers that had left ran", begun, callers)
	}
}
