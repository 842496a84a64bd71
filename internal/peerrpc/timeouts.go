package peerrpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection that carries callers' requests to a peer counts as dead. On
// Linux the user time-out also decides when keep-alive probes give up, whatever their count.
const (
	forwardConnectTimeout = time.Second
	forwardUserTimeout    = 3 * time.Second // for bytes that are not acknowledged
	forwardKeepAliveIdle  = time.Second
	forwardKeepAliveEvery = time.Second
)

var forwardDialer = net.Dialer{
	Timeout: forwardConnectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     forwardKeepAliveIdle,
		Interval: forwardKeepAliveEvery,
		Count:    int(forwardUserTimeout / forwardKeepAliveEvery),
	},
	Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(forwardUserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	},
}
