package peerrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/tcp"
)

// startForwardServer serves HTTP to peers that pass requests on, and returns the address of
// its listener.
func startForwardServer(t *testing.T, key string, serve bool) (address string, s *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Key: []byte(key), Handler: nil, Lingerer: tcp.Lingerer{Clock: clock.System{}}}
	if serve {
		web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			w.Write([]byte("got " + string(body)))
		})}
		go web.Serve(s.RequestListener(listener.Addr().String()))
		t.Cleanup(func() { web.Close() })
	}
	go s.Serve(listener)
	t.Cleanup(s.Close)
	return listener.Addr().String(), s
}

func forwardClient(key string) *http.Client {
	n := NewNetwork([]byte(key))
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.DialForward(ctx, address) },
	}}
}

// Only a VM that holds the site's key may pass requests on: a caller could claim anything.
func TestOnlyPeersPassRequestsOn(t *testing.T) {
	tests := map[string]struct {
		serve  bool
		client *http.Client
		want   string // answer; empty for an error
	}{
		"peer":                          {serve: true, client: forwardClient("key"), want: "got body"},
		"VM of another site":            {serve: true, client: forwardClient("other")},
		"caller":                        {serve: true, client: &http.Client{Timeout: time.Second}},
		"to a VM that takes no callers": {client: forwardClient("key")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startForwardServer(t, "key", test.serve)
			response, err := test.client.Post("http://"+address+"/", "text/plain", strings.NewReader("body"))
			if err != nil {
				if test.want != "" {
					t.Fatal(err)
				}
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || string(body) != test.want {
				t.Errorf("answer %q, %v; want %q", body, err, test.want)
			}
		})
	}
}

// A peer that accepts connections and says nothing holds nobody longer than the dial may take.
func TestDialForwardEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err = NewNetwork([]byte("key")).DialForward(ctx, listener.Addr().String())
	if err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("ended after %v with %v", time.Since(began), err)
	}
}

// Connections of peers that pass requests on end with the server, and are not left counted.
func TestForwardConnectionsAreTracked(t *testing.T) {
	address, s := startForwardServer(t, "key", true)
	conn, err := NewNetwork([]byte("key")).DialForward(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the connection outlives its server: %v", err)
	}
}
