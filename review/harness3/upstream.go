package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

// ran is one run of a request at an upstream.
type ran struct {
	id, method, path string
	at               time.Time
}

// upstream is a sound upstream: it tells the registry of itself, runs what is sent to it under its own
// id, and answers 421 to what is meant for another one.
type upstream struct {
	site          *site
	id, service   string
	zone, address string
	born          int64
	work          time.Duration
	slots         int
	server        *http.Server
	stop          chan struct{} // closed when it sends no more heartbeats
	stopOnce      sync.Once

	crashes func(*http.Request) bool // whether a request crashes the upstream that runs it; nil for none

	mutex    sync.Mutex
	sequence int
	running  int

	acknowledged int // heartbeats
	runs         []ran
	crashedAt    time.Time
	coldUntil    time.Time
}

// startUpstream starts an upstream that is warm, as those that start before the traffic are.
func (s *site) startUpstream(id, service string, zone int) (*upstream, error) {
	return s.startUpstreamAt(s.address(90, zone+1)+":0", &upstream{id: id, service: service, zone: zoneName(zone)})
}

// startUpstreamAt starts an upstream at an address.
func (s *site) startUpstreamAt(address string, u *upstream) (*upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", u.id, err)
	}
	u.site, u.address, u.born = s, listener.Addr().String(), time.Now().UnixMilli()
	u.work, u.slots, u.stop = 10*time.Millisecond, 4, make(chan struct{})
	u.server = &http.Server{Handler: u}
	go u.server.Serve(listener)
	go u.sendHeartbeats()
	s.mutex.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mutex.Unlock()
	s.record.note("upstream %s of %s started at %s, born %d", u.id, u.service, u.address, u.born)
	return u, nil
}

// Times of an upstream that a request has crashed.
const (
	backAfter = 3 * time.Second
	coldTime  = 3 * time.Second // warmup_s of the config
)

// crash ends the upstream at once; it comes back at its address under another id, cold.
func (u *upstream) crash(id string) {
	u.mutex.Lock()
	first := u.crashedAt.IsZero()
	if first {
		u.crashedAt = time.Now()
	}
	u.mutex.Unlock()
	if !first {
		return
	}
	u.site.record.note("upstream %s crashes while it runs %s", u.id, id)
	u.end()
	time.AfterFunc(backAfter, func() {
		next := &upstream{id: u.id + "b", service: u.service, zone: u.zone, crashes: u.crashes, coldUntil: time.Now().Add(coldTime)}
		if _, err := u.site.startUpstreamAt(u.address, next); err != nil {
			u.site.record.note("upstream %s does not come back: %v", u.id, err)
		}
	})
}

// coldFor returns how long the upstream stays cold.
func (u *upstream) coldFor() time.Duration { return max(0, time.Until(u.coldUntil)) }

// stopHeartbeats lets the upstream serve on without telling the registry of itself.
func (u *upstream) stopHeartbeats() { u.stopOnce.Do(func() { close(u.stop) }) }

// end ends the upstream at once.
func (u *upstream) end() {
	u.stopHeartbeats()
	u.server.Close()
}

// ServeHTTP answers a request or a health check.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Server-Load", u.load())
	if r.URL.Path == "/health" && id == "" {
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Warmup-Ms", fmt.Sprint(u.coldFor().Milliseconds()))
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		u.site.record.note("upstream %s: 421 to %s %s %s, which is meant for %s", u.id, r.Method, r.URL.Path, id, expected)
		w.Header().Set("Not-Executed", "other instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mutex.Lock()
	u.runs = append(u.runs, ran{id: id, method: r.Method, path: r.URL.Path, at: time.Now()})
	u.running++
	u.mutex.Unlock()
	u.site.record.note("upstream %s of %s runs %s %s %s", u.id, u.service, r.Method, r.URL.Path, id)
	if u.crashes != nil && u.crashes(r) {
		u.crash(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(u.work)
	u.mutex.Lock()
	u.running--
	u.mutex.Unlock()
	w.Header().Set("Server-Load", u.load())
	w.Header().Set("Response-Seal", fmt.Sprintf("%s.%d", id, len(body)))
	fmt.Fprintf(w, "%s %s by %s of %s\n", r.Method, r.URL.Path, u.id, u.service)
}

func (u *upstream) load() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", u.running, u.slots)
}

// runsOf returns a copy of the runs so far.
func (u *upstream) runsOf() []ran {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]ran(nil), u.runs...)
}

// heartbeat is what an upstream says of itself.
type heartbeat struct {
	Service     string  `json:"backend"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Concurrency int     `json:"concurrency"`
	State       string  `json:"state"`
	WarmupLeft  float64 `json:"warmup_left_s"`
	Sequence    int     `json:"sequence"`
	Born        int64   `json:"born"`
}

// sendHeartbeats stays with one core machine until a heartbeat fails there.
func (u *upstream) sendHeartbeats() {
	cores := u.site.machinesOf(true)
	for i := int(u.born) % len(cores); ; {
		if u.sendHeartbeat(cores[i]) != http.StatusOK {
			i = (i + 1) % len(cores)
			select {
			case <-u.stop:
				return
			case <-time.After(100 * time.Millisecond):
				continue
			}
		}
		select {
		case <-u.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (u *upstream) sendHeartbeat(m *machine) int {
	u.mutex.Lock()
	u.sequence++
	text, err := json.Marshal(heartbeat{
		Service: u.service, Address: u.address, Zone: u.zone, Version: "v1", Concurrency: u.slots,
		State: "ready", WarmupLeft: u.coldFor().Seconds(), Sequence: u.sequence, Born: u.born,
	})
	u.mutex.Unlock()
	if err != nil {
		return 0
	}
	status := u.site.call(m, http.MethodPut, "/api/instances/"+u.id, text)
	u.site.record.note("upstream %s: heartbeat %s to %s: %d", u.id, text, m.name, status)
	if status == http.StatusOK {
		u.mutex.Lock()
		u.acknowledged++
		u.mutex.Unlock()
	}
	return status
}

var errNotRegistered = errors.New("a heartbeat is not acknowledged")

// awaitRegistered waits until a heartbeat of each upstream is acknowledged.
func (s *site) awaitRegistered(upstreams []*upstream) error {
	for _, u := range upstreams {
		end := time.Now().Add(startTime)
		for u.countAcknowledged() == 0 {
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", u.id, errNotRegistered)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (u *upstream) countAcknowledged() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.acknowledged
}
