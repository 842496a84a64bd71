package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherwood/heatherwood/internal/problem"
)

// Settings configure one simulated server.
type Settings struct {
	ID               string
	Service          string
	Slots            int           // announced number of requests that it runs at once; not enforced
	Delay            time.Duration // time that each request takes
	Entries          []string      // host:port of the entries in its failure domain
	AnnounceInterval time.Duration // between two announcements; 500 ms if 0
	PaddingBytes     int           // length of the padding in each answer
}

// Server is a running simulated backend server.
type Server struct {
	Settings Settings
	Address  string // host:port

	state      atomic.Value // string: serving or leaving
	running    atomic.Int64
	maxRunning atomic.Int64
	served     atomic.Int64
	listener   net.Listener
	http       *http.Server
	closed     chan struct{}
	closeOnce  sync.Once

	mutex     sync.Mutex
	runsByKey map[string]int // by Idempotency-Key
	begun     []string       // paths of requests that began to run, the last maxBegun
	limit     string         // value of the header by which its answers name a limit; empty without one
	arrivals  []time.Time    // of requests since the limit was named
}

// Start listens on a free port of the IP address and begins to announce the server.
func Start(ip string, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for relayed requests: %w", err)
	}
	if settings.AnnounceInterval == 0 {
		settings.AnnounceInterval = 500 * time.Millisecond
	}
	s := &Server{
		Settings:  settings,
		Address:   listener.Addr().String(),
		listener:  listener,
		closed:    make(chan struct{}),
		runsByKey: make(map[string]int),
	}
	s.state.Store("serving")
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(listener)
	go s.announce()
	return s, nil
}

// reply is the JSON body of an answer.
type reply struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
	Pad     string `json:"pad,omitempty"`

	Customer string `json:"customer,omitempty"` // that the request is said to be from
	Key      string `json:"key,omitempty"`      // that a server should not see
}

// serve answers a request after Settings.Delay. Some paths differ: /crash kills the
// server without an answer, /slow-stream sends the answer in parts, and one that ends in
// the name of a Fault gets that.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for highest := s.maxRunning.Load(); running > highest && !s.maxRunning.CompareAndSwap(highest, running); highest = s.maxRunning.Load() {
	}
	s.nameLimit(w)
	s.noteBegun(r.URL.Path)
	const maxBody = 1 << 20
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	if r.URL.Path == "/crash" {
		s.Kill()
		panic(http.ErrAbortHandler)
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.mutex.Lock()
		s.runsByKey[key]++
		s.mutex.Unlock()
	}
	select {
	case <-time.After(s.Settings.Delay):
	case <-r.Context().Done():
		return
	}
	if fault := FaultOf(r.URL.Path); fault != "" {
		fault.Answer(w, http.Header{problem.HeaderRequest: {r.Header.Get(problem.HeaderRequest)}}, "")
		return
	}
	s.served.Add(1)
	w.Header().Set(problem.HeaderRequest, r.Header.Get(problem.HeaderRequest))
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/slow-stream" {
		s.streamSlowly(w, r)
		return
	}
	json.NewEncoder(w).Encode(reply{
		Server:  s.Settings.ID,
		Service: s.Settings.Service,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Body:    string(body),
		Pad:     string(bytes.Repeat([]byte("x"), s.Settings.PaddingBytes)),

		Customer: strings.Join(r.Header.Values(problem.HeaderCustomer), "|"),
		Key:      r.Header.Get("Authorization"),
	})
}

// nameLimit names the limit of the server, if it has one, in the answer.
func (s *Server) nameLimit(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit == "" {
		return
	}
	s.arrivals = append(s.arrivals, time.Now())
	w.Header().Set(problem.HeaderLimit, s.limit)
}

const maxBegun = 1000

func (s *Server) noteBegun(path string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.begun = append(s.begun, path)
	s.begun = s.begun[max(0, len(s.begun)-maxBegun):]
}

// Begun returns how many of the last 1,000 requests that began to run had a path that begins so.
func (s *Server) Begun(prefix string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, path := range s.begun {
		if strings.HasPrefix(path, prefix) {
			count++
		}
	}
	return count
}

// SetLimit makes later answers name a limit in requests a second, in the text that the
// header will hold; "" ends it. It is not enforced.
func (s *Server) SetLimit(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit, s.arrivals = text, nil
}

// Arrivals returns the times of the requests that arrived since the limit was set.
func (s *Server) Arrivals() []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.arrivals)
}

// streamSlowly sends an answer of 50 KiB in 50 parts, with a pause after each.
func (s *Server) streamSlowly(w http.ResponseWriter, r *http.Request) {
	const parts, partBytes, pause = 50, 1 << 10, 50 * time.Millisecond
	w.Header().Set("Content-Length", fmt.Sprint(parts*partBytes))
	for range parts {
		if _, err := w.Write(bytes.Repeat([]byte("y"), partBytes)); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

// announce sends announcements until the server is closed.
func (s *Server) announce() {
	client := &http.Client{Timeout: 2 * time.Second}
	for failures := 0; ; {
		if !s.announceOnce(client, failures) {
			failures++
		}
		select {
		case <-s.closed:
			return
		case <-time.After(s.Settings.AnnounceInterval):
		}
	}
}

// announceOnce sends one announcement and reports whether the entry accepted it. The
// caller counts failures, so that the server keeps to one entry while that accepts.
func (s *Server) announceOnce(client *http.Client, failures int) bool {
	if len(s.Settings.Entries) == 0 {
		return false
	}
	body, _ := json.Marshal(map[string]any{
		"address":     s.Address,
		"service":     s.Settings.Service,
		"slots":       s.Settings.Slots,
		"connections": 360,
		"load":        s.running.Load(),
		"state":       s.state.Load(),
	})
	entry := s.Settings.Entries[failures%len(s.Settings.Entries)]
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/backends/%s", entry, s.Settings.ID), bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// Drain makes later announcements say that the server takes no new requests.
func (s *Server) Drain() { s.state.Store("leaving") }

// Running returns the number of requests that run now.
func (s *Server) Running() int64 { return s.running.Load() }

// MaxRunning returns the highest number of requests that ran at once.
func (s *Server) MaxRunning() int64 { return s.maxRunning.Load() }

// Served returns the number of requests that were answered.
func (s *Server) Served() int64 { return s.served.Load() }

// RunsByKey returns how often a request with each Idempotency-Key ran.
func (s *Server) RunsByKey() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runsByKey))
	for key, n := range s.runsByKey {
		runs[key] = n
	}
	return runs
}

// Kill stops the server at once, cutting off running requests.
func (s *Server) Kill() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.http.Close()
	})
}

// Stopped reports whether Kill or Stop was called, or a request crashed the server.
func (s *Server) Stopped() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Stop stops the server once its running requests end, or the context does.
func (s *Server) Stop(ctx context.Context) {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.http.Shutdown(ctx)
	})
}
