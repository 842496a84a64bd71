package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond // heartbeat_s of the settings

// run is one run of a request at an upstream.
type run struct {
	request string // id
	at      time.Time
	method  string
	host    string
	uri     string
	bytes   int
	digest  string // of the body
}

// upstream is a sound backend server that runs what it gets and echoes the request's id.
type upstream struct {
	cluster *cluster
	id      string
	service string
	zone    string
	born    int64  // milliseconds since 1970
	address string // that it announces
	work    time.Duration
	link    *link // between it and the machines of other zones, or nil

	running  atomic.Int64
	sequence atomic.Uint64
	server   *http.Server
	stopBeat chan struct{}

	mutex sync.Mutex
	home  string // heartbeat_address of the last answer
	runs  []run
}

// slots of each upstream.
const slots = 8

func (c *cluster) newUpstream(id, service, zoneName, listen string, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	u := &upstream{
		cluster: c, id: id, service: service, zone: zoneName, born: time.Now().UnixMilli(),
		address: listener.Addr().String(), work: work, stopBeat: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(listener)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get("Request-Id")
	if id != "" {
		header.Set("Request-Id", id)
	}
	header.Set("Instance-Id", u.id)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, slots), max(0, running-slots), slots))
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		header.Set("Not-Executed", "other instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("Not-Executed", "no id")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.cluster.record.write("upstream %s: request %s broke off after %d bytes of its body", u.id, id, len(body))
		return
	}
	done := run{request: id, at: arrived, method: r.Method, host: r.Host, uri: r.RequestURI, bytes: len(body), digest: digest(body)}
	u.mutex.Lock()
	u.runs = append(u.runs, done)
	u.mutex.Unlock()
	u.cluster.record.write("upstream %s (%s) runs %s: %s %s%s, body of %d bytes, %s", u.id, u.zone, id, r.Method, r.Host, r.RequestURI, done.bytes, done.digest)
	time.Sleep(u.work)
	answer := []byte("answer to " + id + "\n")
	header.Set("Response-Seal", digest(answer))
	header.Set("Content-Length", fmt.Sprint(len(answer)))
	w.Write(answer)
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func (u *upstream) runsSoFar() []run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]run(nil), u.runs...)
}

// beat sends one heartbeat to the address that the last answer named, or to the control
// machines in turn, until one acknowledges it.
func (u *upstream) beat(state string) bool {
	text, err := json.Marshal(map[string]any{
		"backend": u.service, "address": u.address, "zone": u.zone, "version": "v1", "concurrency": slots,
		"state": state, "warmup_left_s": 0, "sequence": u.sequence.Add(1), "born": u.born,
	})
	if err != nil {
		return false
	}
	for _, address := range u.controls() {
		status, answer := call(http.MethodPut, address, "/api/instances/"+u.id, text, time.Second)
		if status != http.StatusOK {
			u.cluster.record.write("heartbeat %s (%s) to %s: %d", u.id, state, address, status)
			continue
		}
		var named struct {
			Address string `json:"heartbeat_address"`
		}
		u.mutex.Lock()
		if before := u.home; json.Unmarshal(answer, &named) == nil && named.Address != "" {
			u.home = named.Address
			if before != u.home {
				u.cluster.record.write("heartbeat %s (%s) to %s: 200, later ones go to %s", u.id, state, address, u.home)
			}
		}
		u.mutex.Unlock()
		return true
	}
	return false
}

// controls returns where to send a call: the heartbeat address first, then the control
// machines.
func (u *upstream) controls() []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var list []string
	if u.home != "" {
		list = append(list, u.home)
	}
	cores := u.cluster.cores()
	first := int(u.born) % len(cores)
	for i := range cores {
		if address := u.cluster.controlAddress(cores[(first+i)%len(cores)]); address != u.home {
			list = append(list, address)
		}
	}
	return list
}

// setHome makes the upstream send its first heartbeat to a machine.
func (u *upstream) setHome(m *machine) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.home = u.cluster.controlAddress(m)
}

// announce sends heartbeats until stopHeartbeats.
func (u *upstream) announce() {
	go func() {
		for {
			if u.link != nil {
				u.link.waitOpen()
			}
			u.beat("ready")
			select {
			case <-u.stopBeat:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

func (u *upstream) stopHeartbeats() { close(u.stopBeat) }

// leave sends DELETE until it is acknowledged, and returns when and by whom.
func (u *upstream) leave() (time.Time, string) {
	for _, address := range u.controls() {
		status, _ := call(http.MethodDelete, address, "/api/instances/"+u.id, nil, time.Second)
		u.cluster.record.write("upstream %s leaves: DELETE to %s: %d", u.id, address, status)
		if status == http.StatusOK {
			return time.Now(), address
		}
	}
	return time.Time{}, ""
}
