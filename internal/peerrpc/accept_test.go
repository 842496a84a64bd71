package peerrpc

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// crowdedListener fails a few times, as when the process has no descriptor left.
type crowdedListener struct {
	net.Listener
	failures int
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A VM that has no descriptor left for a while must not stop serving its peers.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failed := 0
	s := &Server{Key: []byte("key"), OnAcceptFailed: func(error) { failed++ }}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(&crowdedListener{Listener: listener, failures: 2}) }()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-time.After(3 * acceptRetryDelay):
	}
	s.Close()
	if err := <-ended; err != nil || failed != 2 {
		t.Errorf("ended with %v after %d failures, want nil after 2", err, failed)
	}
}
