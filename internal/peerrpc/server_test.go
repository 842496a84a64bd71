package peerrpc

import (
	"net"
	"testing"
	"time"
)

// A VM whose other port is taken stops before its peer server has begun to serve.
func TestServeEndsAfterEarlierClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var s Server
	s.Close()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(listener) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the server accepts connections after Close")
		listener.Close()
	}
}
