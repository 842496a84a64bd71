package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/heatherwood/heatherwood/internal/backendhttp"
	"github.com/heatherwood/heatherwood/internal/callerhttp"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/operatorhttp"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Limits on connections and headers; callerhttp.Guard bounds their time.
const (
	maxHeaderBytes      = 32 << 10
	maxConnections      = 20_000
	defaultWriteTimeout = time.Minute // for answers that do not come from a backend server
)

// Server is the HTTP server of a VM.
type Server struct {
	Node     *node.Node
	guard    *callerhttp.Guard
	http     *http.Server
	peers    *http.Server // of requests that other VMs pass on
	relay    *callerhttp.Relay
	listener net.Listener
	stopping atomic.Bool // the listener was closed to stop the VM
}

// New returns the HTTP server of a VM.
func New(n *node.Node) *Server {
	s := &Server{Node: n, relay: callerhttp.NewRelay(n, callerhttp.DefaultDialect()), guard: callerhttp.NewGuard(n)}
	s.guard.MaxConnections = maxConnections
	s.http = &http.Server{
		Handler:        s.handler(),
		ConnState:      s.guard.TrackState,
		ConnContext:    callerhttp.ConnContext,
		MaxHeaderBytes: maxHeaderBytes,
	}
	s.peers = s.relay.PeerServer()
	return s
}

// handler routes requests for a service to the relay, and all others to the paths of
// heatherwood itself.
func (s *Server) handler() http.Handler {
	lookup := &callerhttp.Lookup{Node: s.Node}
	backends := &backendhttp.Handler{Node: s.Node}
	operators := operatorhttp.New(s.Node)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A caller that reads slowly may not hold a connection for ever. The relay
		// replaces this deadline by one of its own.
		http.NewResponseController(w).SetWriteDeadline(s.Node.Clock.Now().Add(defaultWriteTimeout))
		switch path := r.URL.Path; {
		case s.relay.IsForService(r):
			s.relay.ServeHTTP(w, r)
		case path == "/v1/entries" && r.Method == http.MethodGet:
			lookup.ServeHTTP(w, r)
		case strings.HasPrefix(path, backendhttp.PathPrefix):
			backends.ServeHTTP(w, r)
		case strings.HasPrefix(path, "/v1/") || path == "/metrics":
			operators.ServeHTTP(w, r)
		default:
			s.relay.ServeHTTP(w, r)
		}
	})
}

// Listen opens the listener for callers, backend servers and operators.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.Node.Settings.Entry)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = s.guard.WrapListener(listener)
	return nil
}

// Serve answers requests until Stop, and then returns nil.
func (s *Server) Serve() error {
	go func() {
		if err := s.peers.Serve(s.Node.RequestListener()); !errors.Is(err, http.ErrServerClosed) {
			s.Node.LogError(reducer.CodeListenerFailed, err)
		}
	}()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || (s.stopping.Load() && errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// Drain directs callers to other VMs and continues to answer until look-ups that name
// this VM have expired, or until the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.leave(ctx, reducer.LookupTTL)
	select {
	case <-s.Node.Clock.After(reducer.LookupTTL):
	case <-ctx.Done():
	}
}

// leave tells the VM that it will stop when the context ends, and that it refuses callers'
// requests after the time.
func (s *Server) leave(ctx context.Context, accept time.Duration) {
	stopAt, _ := ctx.Deadline()
	s.Node.Apply(reducer.Leave{AcceptUntil: s.Node.Clock.Now().Add(accept), StopAt: stopAt})
}

// Stop waits for running requests until the context ends and then stops the VM. Requests that
// come on open connections meanwhile are refused.
func (s *Server) Stop(ctx context.Context) {
	s.leave(ctx, 0)
	s.stopping.Store(true)
	if s.listener != nil {
		s.relay.FinishServing(ctx, s.http, s.listener, s.guard)
	}
	if err := s.peers.Shutdown(ctx); err != nil {
		s.Node.LogError(reducer.CodeRequestsCutOff, err)
	}
	s.closeHTTP()
	s.relay.CloseIdleConnections()
	s.Node.Stop()
}

// Kill stops the VM at once and cuts off running requests.
func (s *Server) Kill() {
	s.closeHTTP()
	s.Node.Stop()
}

func (s *Server) closeHTTP() {
	for _, server := range []*http.Server{s.http, s.peers} {
		if err := server.Close(); err != nil {
			s.Node.LogError(reducer.CodeListenerFailed, err)
		}
	}
}
