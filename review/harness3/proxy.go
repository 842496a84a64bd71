package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// peerProxy stands in front of the port on which a machine listens for the others, and passes bytes
// on. It can cut off machines: their bytes are lost in both directions without a reset.
type peerProxy struct {
	site     *site
	target   string
	listener net.Listener

	mutex sync.Mutex
	conns map[net.Conn]bool
}

func (s *site) startProxy(address, target string) (*peerProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen as a proxy: %w", err)
	}
	p := &peerProxy{site: s, target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *peerProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *peerProxy) serve(conn net.Conn) {
	defer p.forget(conn)
	p.remember(conn)
	from := p.site.ownerOf(conn)
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.forget(target)
	p.remember(target)
	var group sync.WaitGroup
	group.Go(func() { p.pass(target, conn, from) })
	group.Go(func() { p.pass(conn, target, from) })
	group.Wait()
}

func (p *peerProxy) remember(conn net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.conns[conn] = true
}

func (p *peerProxy) forget(conn net.Conn) {
	conn.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, conn)
}

// pass copies bytes until either connection ends; while the connection crosses the cut, they are lost.
func (p *peerProxy) pass(to, from net.Conn, owner *machine) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.site.isCut(owner, p) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// close ends the proxy and its connections.
func (p *peerProxy) close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		conn.Close()
	}
}

// setCut cuts a machine off from all others, or nobody for nil. The connections across a cut that ends
// are closed, since bytes are missing on them.
func (s *site) setCut(m *machine) {
	s.mutex.Lock()
	ended := s.cut != nil && m == nil
	s.cut = m
	s.mutex.Unlock()
	if !ended {
		return
	}
	for _, m := range s.machines {
		m.proxy.mutex.Lock()
		for conn := range m.proxy.conns {
			conn.Close()
		}
		m.proxy.mutex.Unlock()
	}
}

// isCut reports whether a connection that a machine opened through a proxy crosses the cut.
func (s *site) isCut(owner *machine, p *peerProxy) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cut != nil && (owner == s.cut || s.cut.proxy == p)
}

// ownerOf returns the machine whose process has opened a connection to a proxy, or nil.
func (s *site) ownerOf(conn net.Conn) *machine {
	inode := inodeOf(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return nil
	}
	for _, m := range s.machines {
		if m.command == nil || m.command.Process == nil {
			continue
		}
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.command.Process.Pid))
		if err != nil {
			continue
		}
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket with a local and a remote address on this machine, or "".
func inodeOf(local, remote *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadString('\n')
		const localField, remoteField, inodeField = 1, 2, 9
		if fields := strings.Fields(line); len(fields) > inodeField && portOf(fields[localField]) == local.Port && portOf(fields[remoteField]) == remote.Port && strings.HasPrefix(fields[remoteField], hexOf(remote.IP)) {
			return fields[inodeField]
		}
		if err == io.EOF || err != nil {
			return ""
		}
	}
}

// portOf returns the port of an address in /proc/net/tcp.
func portOf(field string) int {
	_, port, _ := strings.Cut(field, ":")
	number, err := strconv.ParseInt(port, 16, 32)
	if err != nil {
		return 0
	}
	return int(number)
}

// hexOf returns an IPv4 address as /proc/net/tcp has it.
func hexOf(ip net.IP) string {
	v4 := ip.To4()
	return fmt.Sprintf("%02X%02X%02X%02X", v4[3], v4[2], v4[1], v4[0])
}
