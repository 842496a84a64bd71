package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// twoServices is a config with a route to each of two services.
const twoServices = `{"version":7,"services":[
{"name":"catalog","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8},
{"name":"payments","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"hosts":[{"hostname":"shop.example","paths":[
{"name":"browse","path_prefix":"/browse/","type":"safe","timeout_s":1.2,"target_latency_s":0.3,"priority":1,"backend":"catalog","max_attempts":2,"session_affinity":true,"allowed_regions":[]},
{"name":"pay","path_prefix":"/pay/","type":"unsafe","timeout_s":1.2,"target_latency_s":0.3,"priority":0,"backend":"payments","max_attempts":2,"session_affinity":true,"allowed_regions":[]}]}]}`

// playOtherWriter sends heartbeats that lack fields and name a running upstream of another service.
func playOtherWriter(s *site, trouble bool) ([]string, error) {
	if err := s.order(http.MethodPut, "/api/config", []byte(twoServices)); err != nil {
		return nil, err
	}
	var upstreams []*upstream
	for _, service := range []string{"catalog", "payments"} {
		for zone := range zoneCount {
			u, err := s.startUpstream(fmt.Sprintf("i-%s-%d", service, zone), service, zone)
			if err != nil {
				return nil, err
			}
			upstreams = append(upstreams, u)
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	browsing, paying := s.newClient("browse"), s.newClient("pay")
	stopBrowsing := repeat(50*time.Millisecond, func(i int) { browsing.send(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprint(i%50)) })
	stopPaying := repeat(50*time.Millisecond, func(i int) { paying.send(http.MethodPost, fmt.Sprintf("/pay/%d", i), fmt.Sprint(i%50)) })
	time.Sleep(4 * time.Second)
	if trouble {
		named := upstreams[zoneCount] // the first one of payments
		text, err := json.Marshal(map[string]any{
			"backend": "catalog", "address": named.address, "zone": named.zone, "concurrency": 4, "state": "ready",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return nil, err
		}
		m := s.machinesOf(true)[0]
		status := s.call(m, http.MethodPut, "/api/instances/"+named.id, text)
		s.record.note("other writer: heartbeat without version and warmup_left_s for %s, %s to %s: %d", named.id, text, m.name, status)
	}
	time.Sleep(10 * time.Second)
	stopBrowsing()
	stopPaying()
	s.record.note("%s", browsing.summary())
	s.record.note("%s", paying.summary())
	var broken []string
	for _, u := range upstreams {
		for _, run := range u.runsOf() {
			if service := serviceOf(run.path); service != u.service {
				broken = append(broken, fmt.Sprintf("ROUTE: %s %s %s, whose route leads to %s, was run by %s of %s", run.method, run.path, run.id, service, u.id, u.service))
			}
		}
	}
	return broken, nil
}

// serviceOf returns the service to which the config sends a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/browse/") {
		return "catalog"
	}
	return "payments"
}
