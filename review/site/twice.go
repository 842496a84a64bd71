package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["twice"] = caseSpec{cores: 3, edges: 3, play: playTwice}
}

// Dose of answer_lost with how = reset, and the traffic.
const (
	lostPart     = 20 // one of so many answers of a spoiled upstream is lost
	twiceClients = 12
	twiceLength  = 8 * time.Second
	lostLength   = 4 * time.Second // for which answers are lost
	orderPause   = 100 * time.Millisecond
)

// statusConfig is a configuration of one host: what is under /orders/ may run once, what is under
// /orders/status/ may be repeated.
const statusConfig = `{"version":3,"services":[
{"name":"orders","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"hosts":[{"hostname":"shop.example","paths":[
{"name":"orders","path_prefix":"/orders/","type":"unsafe","timeout_s":10,"target_latency_s":4,"priority":0,"backend":"orders","max_attempts":2,"session_affinity":false,"allowed_regions":[]},
{"name":"status","path_prefix":"/orders/status/","type":"safe","timeout_s":10,"target_latency_s":4,"priority":1,"backend":"orders","max_attempts":2,"session_affinity":false,"allowed_regions":[]}]}]}`

// playTwice has clients post orders whose names hold an escaped slash; some answers are lost.
func playTwice(s *site, trouble bool) ([]string, error) {
	if err := s.operate(http.MethodPut, "/api/config", []byte(statusConfig)); err != nil {
		return nil, err
	}
	var began atomic.Int64 // when the traffic began, in milliseconds since 1970; 0 before
	for i := range 6 {
		var ran atomic.Int64
		if _, err := s.startUpstream(fmt.Sprintf("i-orders-%d", i), "orders", zoneName(i), "", func(u *upstream) {
			u.slots, u.work = 9, 50*time.Millisecond
			u.answer = func(u *upstream, w http.ResponseWriter, r *http.Request, body []byte) {
				start := began.Load()
				lossy := trouble && i%2 == 0 && start > 0 && time.Since(time.UnixMilli(start)) < lostLength
				if lossy && ran.Add(1)%lostPart == 0 {
					s.record.printf("upstream %s: the answer to %s is lost", u.id, r.Header.Get("Request-Id"))
					resetConnection(w)
					return
				}
				fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
			}
		}); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	began.Store(time.Now().UnixMilli())
	var wait sync.WaitGroup
	for worker := range twiceClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i, end := 0, time.Now().Add(twiceLength); time.Now().Before(end); i++ {
				postOrder(s, s.edges()[worker%3], fmt.Sprintf("o%d-%d", worker, i))
				time.Sleep(orderPause)
			}
		}()
	}
	wait.Wait()
	time.Sleep(time.Second)
	runs := make(map[string]int)
	for _, u := range s.upstreams {
		u.mutex.Lock()
		for id, count := range u.runs {
			runs[id] += count
		}
		u.mutex.Unlock()
	}
	var broken []string
	for id, count := range runs {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: the unsafe request %s ran %d times", id, count))
		}
	}
	s.record.printf("%d requests ran, %d more than once", len(runs), len(broken))
	return broken, nil
}

// resetConnection resets the connection of an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func postOrder(s *site, entry *machine, id string) {
	conn, err := net.Dial("tcp", entry.front())
	if err != nil {
		return
	}
	defer conn.Close()
	body := "order " + id
	fmt.Fprintf(conn, "POST /orders/status%%2F%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.record.printf("client: %s: %v", id, err)
		return
	}
	io.Copy(io.Discard, response.Body)
	s.record.printf("client: %s: %d", id, response.StatusCode)
}
