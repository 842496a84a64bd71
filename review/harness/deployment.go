package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Bounds of the settings.
const (
	contact  = 4 * time.Second
	drain    = 2500 * time.Millisecond
	evacuate = 5 * time.Second
	outer    = 6 * time.Second // by which an unstable core stretches the bound of an evacuation
)

const configFormat = `{"version":%d,"services":[{"name":"orders","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0,"warmup_per_s":0},{"name":"pages","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0,"warmup_per_s":0}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},` +
	`"hosts":[{"hostname":"shop.example","paths":[` +
	`{"name":"r-read","path_prefix":"/read/","type":"safe","timeout_s":2.0,"target_latency_s":0.5,"priority":1,"backend":"orders","max_attempts":2,"session_affinity":false,"allowed_regions":[]},` +
	`{"name":"r-pages","path_prefix":"/pages/","type":"safe","timeout_s":2.0,"target_latency_s":0.5,"priority":1,"backend":"pages","max_attempts":2,"session_affinity":false,"allowed_regions":[]},` +
	`{"name":"r-store","path_prefix":"/store/","type":"unsafe","timeout_s":6.0,"target_latency_s":1.0,"priority":0,"backend":"orders","max_attempts":2,"session_affinity":false,"allowed_regions":[]}]}]}`

func config(version int) []byte { return fmt.Appendf(nil, configFormat, version) }

// begin starts the machines, which stand in some of the zones, and sends the first config.
func begin(r *record, program string, zones, staffed []zone, edgesPerZone int) (*cluster, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	c, err := newCluster(r, path, zones)
	if err != nil {
		return nil, err
	}
	for i, z := range staffed {
		c.add(fmt.Sprint("core-", i+1), z.name, true)
	}
	for n := range edgesPerZone {
		for i, z := range staffed {
			c.add(fmt.Sprintf("edge-%d-%d", i+1, n+1), z.name, false)
		}
	}
	if err := c.startAll(); err != nil {
		return c, err
	}
	for _, m := range c.cores() {
		if err := waitListening(c.controlAddress(m), 10*time.Second); err != nil {
			return c, err
		}
	}
	if err := c.order(http.MethodPut, "/api/config", config(1), c.cores()...); err != nil {
		return c, err
	}
	return c, c.waitReady()
}

var threeZones = []zone{{"zone-a", "region-1"}, {"zone-b", "region-2"}, {"zone-c", "region-3"}}

func loopback() string { return fmt.Sprintf("127.%d.2.1", network()) }

// settle is the time after the start until all machines know each other and the upstreams.
const settle = 6 * time.Second

var errNothingServed = errors.New("no request was served")

// collect waits for all answers and returns the requests by id, and how many were answered
// with 200.
func collect(clients []*client) (requests map[string]sent, answered int) {
	requests = make(map[string]sent)
	for _, client := range clients {
		for _, s := range client.wait() {
			requests[s.id] = s
			if s.status == http.StatusOK {
				answered++
			}
		}
	}
	return requests, answered
}
