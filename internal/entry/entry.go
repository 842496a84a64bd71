package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"github.com/heatherwood/heatherwood/internal/backendhttp"
	"github.com/heatherwood/heatherwood/internal/callerhttp"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/operatorhttp"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Bounds on connections and headers; callerhttp.Guard bounds their time.
const (
	maxHeaderBytes = 32 << 10
	maxConnections = 20_000
	answerTimeout  = time.Minute // of an answer of the system itself
)

// Server is the HTTP side of a VM.
type Server struct {
	Node     *node.Node
	guard    *callerhttp.Guard
	http     *http.Server
	relay    *callerhttp.Relay
	listener net.Listener
}

// New returns the HTTP side of a VM.
func New(n *node.Node) *Server {
	s := &Server{Node: n, relay: callerhttp.NewRelay(n, callerhttp.DefaultDialect()), guard: callerhttp.NewGuard(n)}
	s.http = &http.Server{
		Handler:        s.handler(),
		ConnState:      s.guard.TrackState,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// handler sends a request for a service to the relay, and all else to the
// system's own paths.
func (s *Server) handler() http.Handler {
	lookup := &callerhttp.Lookup{Node: s.Node}
	backends := &backendhttp.Handler{Node: s.Node}
	operators := operatorhttp.New(s.Node)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers that read slowly do not hold an answer for ever; the relay sets a
		// deadline of its own.
		http.NewResponseController(w).SetWriteDeadline(s.Node.Clock.Now().Add(answerTimeout))
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

// Listen opens the listener for callers.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.Node.Settings.Entry)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = s.guard.WrapListener(netutil.LimitListener(listener, maxConnections))
	return nil
}

// Serve answers until Stop; it returns nil after Stop.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain leads callers elsewhere and goes on answering for as long as they may
// keep a look-up that names this VM, or until the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.Node.Apply(reducer.Leave{})
	select {
	case <-s.Node.Clock.After(reducer.LookupTTL):
	case <-ctx.Done():
	}
}

// Stop ends the VM: it waits for running requests as long as the context lasts.
func (s *Server) Stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.Node.LogError(reducer.CodeRequestsCutOff, err)
	}
	s.close()
	s.relay.Transport.CloseIdleConnections()
	s.Node.Stop()
}

// Kill ends the VM at once, cutting off whatever runs.
func (s *Server) Kill() {
	s.close()
	s.Node.Stop()
}

func (s *Server) close() {
	if err := s.http.Close(); err != nil {
		s.Node.LogError(reducer.CodeListenerFailed, err)
	}
}
