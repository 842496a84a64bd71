package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const homeConfig = `{"version":7,"services":[
{"name":"payments","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.8}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"hosts":[{"hostname":"shop.example","paths":[
{"name":"pay","path_prefix":"/pay/","type":"unsafe","timeout_s":1.2,"target_latency_s":0.3,"priority":0,"backend":"payments","max_attempts":2,"session_affinity":true,"allowed_regions":["region-0"]}]}]}`

// Limits of the rule and of the clients.
const (
	strayPart   = 20              // one request in so many may be sent to machines of other regions
	directoryAt = 2 * time.Second // between two questions to the directory, as ttl_s allows
)

// playHomes stops and starts the edge machines of a region in turn, whose route has its home there.
func playHomes(s *site, trouble bool) ([]string, error) {
	if err := s.order(http.MethodPut, "/api/config", []byte(homeConfig)); err != nil {
		return nil, err
	}
	for i := range 4 {
		if _, err := s.startUpstream(fmt.Sprintf("i-payments-%d", i), "payments", 0); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	c := s.newClient("pay")
	c.openEach()
	var told []string
	var askedAt time.Time
	stray, total := 0, 0
	example := ""
	stop := repeat(20*time.Millisecond, func(i int) {
		if time.Since(askedAt) >= directoryAt {
			if a := s.resolve(s.machinesOf(true)[0], "region-0", "zone-0"); len(a) > 0 {
				told, askedAt = a, time.Now()
				s.record.note("directory: %v", told)
			}
		}
		if len(told) == 0 {
			return
		}
		address := told[rand.IntN(len(told))]
		m := s.machineAt(address)
		total++
		id, _ := c.sendTo(m, http.MethodPost, fmt.Sprintf("/pay/%d", i), fmt.Sprint(i%50))
		if m.region != "region-0" {
			stray++
			example = fmt.Sprintf("%s was sent to %s of %s, which the directory named", id, m.name, m.region)
		}
	})
	time.Sleep(4 * time.Second)
	for _, m := range s.machinesOf(false) {
		if m.region != "region-0" {
			continue
		}
		if !trouble {
			time.Sleep(11 * time.Second)
			continue
		}
		s.record.note("SIGTERM to %s", m.name)
		m.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-m.done:
		case <-time.After(6 * time.Second):
			m.command.Process.Kill()
			<-m.done
		}
		s.record.note("%s has ended", m.name)
		time.Sleep(300 * time.Millisecond)
		if err := s.start(m, false); err != nil {
			return nil, err
		}
		time.Sleep(8 * time.Second)
	}
	time.Sleep(4 * time.Second)
	stop()
	s.record.note("%s", c.summary())
	s.record.note("%d of %d requests were sent to machines of other regions", stray, total)
	if stray*strayPart <= total {
		return nil, nil
	}
	return []string{fmt.Sprintf("HOME: %d of %d requests were sent to machines of other regions; %s", stray, total, example)}, nil
}

// machineAt returns the edge machine of a front address.
func (s *site) machineAt(address string) *machine {
	for _, m := range s.machinesOf(false) {
		if strings.HasPrefix(address, m.ip+":") {
			return m
		}
	}
	return nil
}

// resolve asks the directory at a machine for front addresses.
func (s *site) resolve(m *machine, region, zone string) []string {
	response, err := s.operator.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=%s&zone=%s", m.ip, directoryPort, siteHost, region, zone))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
