package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["prefix"] = caseSpec{cores: 3, edges: 3, play: playPrefix}
}

// rootConfig returns a configuration whose host has the route / (safe, to reads) and, if wanted, the
// route /orders/ (unsafe, to orders).
func rootConfig(version int, withOrders bool) []byte {
	orders := ""
	if withOrders {
		orders = `,{"name":"orders","path_prefix":"/orders/","type":"unsafe","timeout_s":10,"target_latency_s":4,"priority":0,"backend":"orders","max_attempts":2,"session_affinity":true,"allowed_regions":[]}`
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[
{"name":"reads","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8},
{"name":"orders","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"hosts":[{"hostname":"shop.example","paths":[
{"name":"root","path_prefix":"/","type":"safe","timeout_s":10,"target_latency_s":4,"priority":1,"backend":"reads","max_attempts":2,"session_affinity":true,"allowed_regions":[]}%s]}]}`, version, orders)
}

// prefixRuns keeps which service ran which request.
type prefixRuns struct {
	mutex   sync.Mutex
	service map[string]string // by request id
}

// playPrefix has clients read an object whose name holds an escaped slash, while a version adds a route
// whose prefix is the first part of the name and a slash.
func playPrefix(s *site, trouble bool) ([]string, error) {
	if err := s.operate(http.MethodPut, "/api/config", rootConfig(3, false)); err != nil {
		return nil, err
	}
	runs := &prefixRuns{service: make(map[string]string)}
	for i := range 6 {
		for _, service := range []string{"reads", "orders"} {
			if _, err := s.startUpstream(fmt.Sprintf("i-%s-%d", service, i), service, zoneName(i), "", func(u *upstream) { u.answer = runs.answer }); err != nil {
				return nil, err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	ids := readObject(s, "before", 2*time.Second)
	if trouble {
		if err := s.operate(http.MethodPut, "/api/config", rootConfig(5, true)); err != nil {
			return nil, err
		}
	}
	ids = append(ids, readObject(s, "after", 6*time.Second)...)
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	wrong := 0
	for _, id := range ids {
		if runs.service[id] == "orders" {
			wrong++
		}
	}
	s.record.printf("%d of %d requests ran by orders", wrong, len(ids))
	if wrong > 0 {
		return []string{fmt.Sprintf("ROUTE: %d requests for %s ran by orders, to which only the prefix /orders/ leads", wrong, objectPath)}, nil
	}
	return nil, nil
}

func (p *prefixRuns) answer(u *upstream, w http.ResponseWriter, r *http.Request, _ []byte) {
	p.mutex.Lock()
	p.service[r.Header.Get("Request-Id")] = u.service
	p.mutex.Unlock()
	fmt.Fprintf(w, "%s by %s", r.RequestURI, u.service)
}

const objectPath = "/orders%2F2026"

// readObject sends requests for the object for a time and returns their ids.
func readObject(s *site, name string, length time.Duration) []string {
	const interval = 100 * time.Millisecond
	var ids []string
	for i := range int(length / interval) {
		id := fmt.Sprintf("%s-%d", name, i)
		ids = append(ids, id)
		conn, err := net.Dial("tcp", s.edges()[i%3].front())
		if err != nil {
			continue
		}
		fmt.Fprint(conn, readRequest(objectPath, id))
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			text, _ := io.ReadAll(response.Body)
			s.record.printf("client: %s: %d %s", id, response.StatusCode, text)
		}
		conn.Close()
		time.Sleep(interval)
	}
	return ids
}
