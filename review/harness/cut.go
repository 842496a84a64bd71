package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// backlog is the queue of a proxy's listener; a cut fills it, so that further connections
// hang as they do behind a partition.
const backlog = 16

// link is a proxy before an upstream. While it is cut, new connections hang, and the bytes of
// open ones are held up.
type link struct {
	address string // to listen on
	target  string

	listener net.Listener
	mutex    sync.Mutex
	changed  *sync.Cond
	cut      bool
	fillers  []net.Conn
}

func newLink(ip, target string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("create socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "link")
	defer file.Close()
	local := &syscall.SockaddrInet4{}
	copy(local.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, local); err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("use socket: %w", err)
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener}
	l.changed = sync.NewCond(&l.mutex)
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		l.waitOpen()
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.waitOpen()
		go l.serve(conn)
	}
}

// waitOpen waits while the link is cut.
func (l *link) waitOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.cut {
		l.changed.Wait()
	}
}

func (l *link) serve(conn net.Conn) {
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		conn.Close()
		return
	}
	go l.forward(target, conn)
	l.forward(conn, target)
}

func (l *link) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.waitOpen()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setCut cuts the link or heals it.
func (l *link) setCut(cut bool) {
	l.mutex.Lock()
	l.cut = cut
	l.mutex.Unlock()
	l.changed.Broadcast()
	if !cut {
		for _, conn := range l.fillers {
			conn.Close()
		}
		l.fillers = nil
		return
	}
	const full = 100 * time.Millisecond // without an answer: the queue is full
	for range 2 * backlog {
		conn, err := net.DialTimeout("tcp", l.address, full)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, conn)
	}
}
