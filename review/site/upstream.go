package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for one upstream: it announces itself, runs requests in its slots, echoes
// their ids and seals its answers.
type upstream struct {
	site              *site
	id, service, zone string
	born              int64
	address           string
	slots             int
	work              time.Duration
	serveRaw          func(listener net.Listener) // replaces the HTTP server, if set
	answer            func(u *upstream, w http.ResponseWriter, r *http.Request, body []byte)
	listener          net.Listener
	server            *http.Server
	slot              chan struct{}
	mutex             sync.Mutex
	state             string
	sequence          int
	heartbeatAddress  string
	runs              map[string]int // by request id
	ranAt             []time.Time    // of all runs
	done              chan struct{}
	doneOnce          sync.Once
	quiet             bool
}

func (s *site) startUpstream(id, service, zone, address string, configure func(u *upstream)) (*upstream, error) {
	if address == "" {
		address = s.ip(73, 1) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", id, err)
	}
	u := &upstream{
		site: s, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), address: listener.Addr().String(),
		slots: 5, work: 5 * time.Millisecond, listener: listener, state: "ready", runs: make(map[string]int), done: make(chan struct{}),
	}
	if configure != nil {
		configure(u)
	}
	u.slot = make(chan struct{}, u.slots)
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	if u.serveRaw != nil {
		go u.serveRaw(listener)
	} else {
		go u.server.Serve(listener)
	}
	go u.announceRegularly()
	s.mutex.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mutex.Unlock()
	return u, nil
}

// kill ends the upstream as a crash does.
func (u *upstream) kill() {
	u.doneOnce.Do(func() { close(u.done) })
	u.server.Close()
	u.listener.Close()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(u.slot), u.slots))
	if id == "" {
		u.mutex.Lock()
		ready := u.state == "ready"
		u.mutex.Unlock()
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Warmup-Ms", "0")
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slot <- struct{}{}:
		defer func() { <-u.slot }()
	default:
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mutex.Lock()
	u.runs[id]++
	u.ranAt = append(u.ranAt, time.Now())
	u.mutex.Unlock()
	u.site.record.printf("upstream %s: runs %s %s of %s, %s ms left", u.id, r.Method, r.RequestURI, id, r.Header.Get("Deadline-Ms"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(u.work)
	w.Header().Set("Response-Seal", "seal-of-"+id)
	if u.answer != nil {
		u.answer(u, w, r, body)
		return
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func (u *upstream) announceRegularly() {
	for {
		u.mutex.Lock()
		quiet := u.quiet
		u.mutex.Unlock()
		if !quiet {
			u.announce()
		}
		select {
		case <-u.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (u *upstream) stopAnnouncing() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.quiet = true
}

// runsAfter returns how many requests it began to run after a time.
func (u *upstream) runsAfter(after time.Time) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	count := 0
	for _, at := range u.ranAt {
		if at.After(after) {
			count++
		}
	}
	return count
}

// announce sends a heartbeat to the address of the last answer, and else to one core machine after
// the other; it returns the address that acknowledged it.
func (u *upstream) announce() string {
	u.mutex.Lock()
	u.sequence++
	text, err := json.Marshal(map[string]any{
		"backend": u.service, "address": u.address, "zone": u.zone, "version": "v1", "concurrency": u.slots,
		"state": u.state, "warmup_left_s": 0, "sequence": u.sequence, "born": u.born,
	})
	first := u.heartbeatAddress
	u.mutex.Unlock()
	if err != nil {
		return ""
	}
	addresses := []string{}
	if first != "" {
		addresses = append(addresses, first)
	}
	for _, m := range u.site.cores() {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	for _, address := range addresses {
		if u.announceTo(address, text) {
			return address
		}
	}
	return ""
}

func (u *upstream) announceTo(address string, text []byte) bool {
	status, body := u.site.call(http.MethodPut, address, "/api/instances/"+u.id, text)
	if status/100 != 2 {
		return false
	}
	var reply struct {
		Address string `json:"heartbeat_address"`
	}
	if json.Unmarshal(body, &reply) == nil {
		u.mutex.Lock()
		u.heartbeatAddress = reply.Address
		u.mutex.Unlock()
	}
	return true
}

// config returns a configuration of one host with the routes /read/ (safe), /once/ (unsafe) and
// /files/ (download).
func config(version int, idleTimeout int, more string) []byte {
	return []byte(`{"version":` + strconv.Itoa(version) + `,"services":[
{"name":"reads","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8},
{"name":"orders","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":` + strconv.Itoa(idleTimeout) + `},
"hosts":[{"hostname":"shop.example","paths":[
{"name":"read","path_prefix":"/read/","type":"safe","timeout_s":10,"target_latency_s":4,"priority":1,"backend":"reads","max_attempts":2,"session_affinity":true,"allowed_regions":[]},
{"name":"files","path_prefix":"/files/","type":"download","timeout_s":20,"target_latency_s":10,"priority":1,"backend":"reads","max_attempts":2,"session_affinity":true,"allowed_regions":[]},
{"name":"once","path_prefix":"/once/","type":"unsafe","timeout_s":10,"target_latency_s":4,"priority":0,"backend":"orders","max_attempts":2,"session_affinity":true,"allowed_regions":[]}` + more + `]}]}`)
}
