package tcp

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket is the kernel's side of a connection; the zero value knows nothing about it.
type Socket struct{ raw syscall.RawConn }

// SocketOf returns the socket of a connection, or the zero value for one without a socket.
func SocketOf(conn net.Conn) Socket {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Socket{}
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Socket{} // the connection is wrapped around one without a socket
	}
	return Socket{raw: raw}
}

// PeerClosed reports whether the other end has closed the connection, or it was reset or closed
// here. Unlike a read, it finds the end behind data that is not read yet.
func (s Socket) PeerClosed() (bool, error) {
	events, err := s.poll()
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0, err
}

// Readable reports whether received bytes, or the other end's close, wait to be read.
func (s Socket) Readable() (bool, error) {
	events, err := s.poll()
	return events&unix.POLLIN != 0, err
}

// WasReset reports whether the connection was reset.
func (s Socket) WasReset() (bool, error) {
	events, err := s.poll()
	return events&unix.POLLERR != 0, err
}

// HungUp reports whether both directions have ended: the connection was reset, timed out or was
// closed here. The close of the other end alone leaves one direction.
func (s Socket) HungUp() (bool, error) {
	events, err := s.poll()
	return events&unix.POLLHUP != 0, err
}

// poll returns what has happened to the connection; one that was closed here counts as hung up.
func (s Socket) poll() (int16, error) {
	if s.raw == nil {
		return 0, nil
	}
	fds := []unix.PollFd{{Events: unix.POLLRDHUP | unix.POLLIN}}
	var pollErr error
	err := s.raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for {
			_, pollErr = unix.Poll(fds, 0)
			if !errors.Is(pollErr, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case errors.Is(err, net.ErrClosed):
		return unix.POLLHUP, nil
	case err != nil:
		return 0, fmt.Errorf("poll connection: %w", err)
	case pollErr != nil:
		return 0, fmt.Errorf("poll connection: %w", pollErr)
	}
	return fds[0].Revents, nil
}

// SinceData returns how long ago the last bytes of the other end arrived, whether they have been
// read or not; 0 if the kernel does not say.
func (s Socket) SinceData() (time.Duration, error) {
	info, err := s.info()
	return time.Duration(info.Last_data_recv) * time.Millisecond, err
}

// Unacknowledged returns the number of bytes and segments that the other end has not received
// yet; 0 if the kernel does not say.
func (s Socket) Unacknowledged() (uint32, error) {
	info, err := s.info()
	return info.Notsent_bytes + info.Unacked, err
}

func (s Socket) info() (unix.TCPInfo, error) {
	if s.raw == nil {
		return unix.TCPInfo{}, nil
	}
	var info *unix.TCPInfo
	var optionErr error
	err := s.raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return unix.TCPInfo{}, fmt.Errorf("read state of connection: %w", err)
	}
	return *info, nil
}
