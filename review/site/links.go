package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// innerPort is where a process listens for peers behind its proxy.
const innerPort = peerPort + 4

// links carries the connections between machines, and holds their bytes back while the machines are
// cut off from each other.
type links struct {
	site  *site
	mutex sync.Mutex
	ended *sync.Cond
	cut   *machine // cut off from all other machines; nil for none
}

// startLinks puts a proxy before the port for peers of every machine; the processes start afterwards.
func (s *site) startLinks() (*links, error) {
	l := &links{site: s}
	l.ended = sync.NewCond(&l.mutex)
	s.behindProxies = true
	for _, m := range s.machines {
		listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(peerPort)))
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", m.name, err)
		}
		go l.serve(listener, m)
	}
	return l, nil
}

// setCut cuts a machine off, or ends the cut.
func (l *links) setCut(m *machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = m
	l.ended.Broadcast()
}

// await returns once bytes may pass between two machines.
func (l *links) await(a, b *machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.cut != nil && a != b && (l.cut == a || l.cut == b) {
		l.ended.Wait()
	}
}

func (l *links) serve(listener net.Listener, to *machine) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn, to)
	}
}

func (l *links) carry(conn net.Conn, to *machine) {
	defer conn.Close()
	from := l.site.ownerOf(conn.RemoteAddr().(*net.TCPAddr))
	if from == nil {
		return // the other end has gone again
	}
	l.await(from, to)
	inner, err := net.Dial("tcp", net.JoinHostPort(to.ip, strconv.Itoa(innerPort)))
	if err != nil {
		return
	}
	defer inner.Close()
	go l.pass(inner, conn, from, to)
	l.pass(conn, inner, from, to)
}

// pass copies bytes until the connection ends, and closes both ends then.
func (l *links) pass(source, sink net.Conn, from, to *machine) {
	defer source.Close()
	defer sink.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		l.await(from, to)
		if n > 0 {
			if _, err := sink.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// ownerOf returns the machine whose process has the local address, nil if none has. The kernel's
// table may lack an entry for a moment while others change.
func (s *site) ownerOf(address *net.TCPAddr) *machine {
	const tries = 100
	for range tries {
		if inode := inodeOf(address); inode != "" {
			for _, m := range s.machines {
				if m.hasSocket(inode) {
					return m
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.record.printf("links: nobody has %v", address)
	return nil
}

// inodeOf returns the inode of the socket with the local address, "" if there is none.
func inodeOf(address *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	four := address.IP.To4()
	local := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString([]byte{four[3], four[2], four[1], four[0]})), address.Port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		const inodeField = 9
		if fields := strings.Fields(lines.Text()); len(fields) > inodeField && fields[1] == local && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}

// hasSocket reports whether the process of the machine has the socket open.
func (m *machine) hasSocket(inode string) bool {
	entries, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.command.Process.Pid))
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(entry); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
