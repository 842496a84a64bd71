package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Settings describe one server.
type Settings struct {
	ID               string
	Service          string
	Slots            int
	Delay            time.Duration // of each request
	Entries          []string      // host:port of entries of its failure domain
	AnnounceInterval time.Duration // between announcements
	PaddingBytes     int           // of an answer's padding
}

// Server is a running stand-in.
type Server struct {
	Settings Settings
	Address  string

	state    atomic.Value // string
	running  atomic.Int64
	most     atomic.Int64
	served   atomic.Int64
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	closing  sync.Once

	mutex sync.Mutex
	runs  map[string]int // by Idempotency-Key
}

// Start listens on a free port of the address and begins to announce.
func Start(ip string, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for relayed requests: %w", err)
	}
	if settings.AnnounceInterval == 0 {
		settings.AnnounceInterval = 500 * time.Millisecond
	}
	s := &Server{
		Settings: settings,
		Address:  listener.Addr().String(),
		listener: listener,
		done:     make(chan struct{}),
		runs:     make(map[string]int),
	}
	s.state.Store("serving")
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(listener)
	go s.announce()
	return s, nil
}

// reply is the answer to a plain request.
type reply struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
	Pad     string `json:"pad,omitempty"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for most := s.most.Load(); running > most && !s.most.CompareAndSwap(most, running); most = s.most.Load() {
	}
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
		s.runs[key]++
		s.mutex.Unlock()
	}
	select {
	case <-time.After(s.Settings.Delay):
	case <-r.Context().Done():
		return
	}
	s.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/slow-stream" {
		s.slowStream(w, r)
		return
	}
	json.NewEncoder(w).Encode(reply{
		Server:  s.Settings.ID,
		Service: s.Settings.Service,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Body:    string(body),
		Pad:     string(bytes.Repeat([]byte("x"), s.Settings.PaddingBytes)),
	})
}

// slowStream sends a long answer in parts.
func (s *Server) slowStream(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) announce() {
	client := &http.Client{Timeout: 2 * time.Second}
	for turn := 0; ; {
		if !s.announceOnce(client, turn) {
			turn++
		}
		select {
		case <-s.done:
			return
		case <-time.After(s.Settings.AnnounceInterval):
		}
	}
}

// announceOnce stays with one entry of the domain while that answers.
func (s *Server) announceOnce(client *http.Client, turn int) bool {
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
	entry := s.Settings.Entries[turn%len(s.Settings.Entries)]
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

// Drain announces that the server takes no new work.
func (s *Server) Drain() { s.state.Store("leaving") }

// Running returns the requests in work.
func (s *Server) Running() int64 { return s.running.Load() }

// MaxRunning returns the highest number of requests in work at once.
func (s *Server) MaxRunning() int64 { return s.most.Load() }

// Served returns the number of requests that were answered.
func (s *Server) Served() int64 { return s.served.Load() }

// RunsByKey returns how often each Idempotency-Key ran.
func (s *Server) RunsByKey() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Kill ends the server at once.
func (s *Server) Kill() {
	s.closing.Do(func() {
		close(s.done)
		s.http.Close()
	})
}

// Stopped reports whether the server was killed or stopped.
func (s *Server) Stopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Stop ends the server after its running requests.
func (s *Server) Stop(ctx context.Context) {
	s.closing.Do(func() {
		close(s.done)
		s.http.Shutdown(ctx)
	})
}
