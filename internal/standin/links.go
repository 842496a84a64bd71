package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/tcp"
)

// Cut is a way in which connections to backend servers are lost.
type Cut string

// The cuts.
const (
	CutNone  Cut = ""
	CutHang  Cut = "hang"   // bytes of open connections stay on the way, new connections do not come
	CutReset Cut = "reset"  // open connections are reset, new ones refused
	CutNew   Cut = "no-new" // open connections live on, new ones are refused
)

// Cuts lists all cuts.
var Cuts = []Cut{CutHang, CutReset, CutNew}

// Links are the links of one VM to backend servers. Each connection goes through a
// forwarder of its own on the loopback interface, which a cut acts on.
type Links struct {
	mutex   sync.Mutex
	changed *sync.Cond
	cut     Cut
	conns   map[net.Conn]struct{}
}

// NewLinks returns links without a cut.
func NewLinks() *Links {
	l := &Links{conns: make(map[net.Conn]struct{})}
	l.changed = sync.NewCond(&l.mutex)
	return l
}

// SetCut cuts the links, or repairs them.
func (l *Links) SetCut(cut Cut) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	if cut == CutReset {
		for conn := range l.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
	l.changed.Broadcast()
}

func (l *Links) current() Cut {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut
}

const hangPollInterval = 10 * time.Millisecond // between looks at whether a cut has ended

// Dial opens a connection to a server, host:port.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	for l.current() == CutHang {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(hangPollInterval):
		}
	}
	if l.current() != CutNone {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	near, far, err := connectedPair()
	if err != nil {
		server.Close()
		return nil, fmt.Errorf("open forwarder to %s: %w", address, err)
	}
	l.mutex.Lock()
	l.conns[far], l.conns[server] = struct{}{}, struct{}{}
	l.mutex.Unlock()
	go l.forward(server, far)
	go l.forward(far, server)
	return near, nil
}

// connectedPair returns the two ends of a TCP connection on the loopback interface.
func connectedPair() (near, far net.Conn, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	if far, err = listener.Accept(); err != nil {
		near.Close()
		return nil, nil, err
	}
	return near, far, nil
}

// forward passes bytes and the end of the connection on, but holds both while the links
// hang.
func (l *Links) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mutex.Lock()
		for l.cut == CutHang {
			l.changed.Wait()
		}
		l.mutex.Unlock()
		if reset, resetErr := tcp.SocketOf(from).WasReset(); reset && resetErr == nil {
			n, err = 0, syscall.ECONNRESET // bytes on the way are lost with their connection
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			to.(*net.TCPConn).SetLinger(0)
		}
		to.Close()
		from.Close()
		l.mutex.Lock()
		delete(l.conns, to)
		delete(l.conns, from)
		l.mutex.Unlock()
		return
	}
}
