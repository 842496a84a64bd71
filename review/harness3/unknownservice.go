package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// playUnknownService sends heartbeats of a service that no config names, from addresses at which
// upstreams run, before the first config arrives.
func playUnknownService(s *site, trouble bool) ([]string, error) {
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
	if err := s.awaitRegistered(upstreams); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		for i, u := range upstreams {
			text, err := json.Marshal(heartbeat{
				Service: "inventory", Address: u.address, Zone: u.zone, Version: "v1", Concurrency: 4, State: "ready",
				Sequence: 1, Born: time.Now().UnixMilli(),
			})
			if err != nil {
				return nil, err
			}
			m, id := s.machinesOf(true)[i%zoneCount], fmt.Sprintf("inventory-%d", i)
			status := s.call(m, http.MethodPut, "/api/instances/"+id, text)
			s.record.note("other writer: heartbeat of a service that no config names, %s %s to %s: %d", id, text, m.name, status)
		}
	}
	time.Sleep(time.Second)
	if err := s.order(http.MethodPut, "/api/config", []byte(twoServices)); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	browsing, paying := s.newClient("browse"), s.newClient("pay")
	stopBrowsing := repeat(50*time.Millisecond, func(i int) { browsing.send(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprint(i%50)) })
	stopPaying := repeat(50*time.Millisecond, func(i int) { paying.send(http.MethodPost, fmt.Sprintf("/pay/%d", i), fmt.Sprint(i%50)) })
	time.Sleep(20 * time.Second)
	stopBrowsing()
	stopPaying()
	s.record.note("%s", browsing.summary())
	s.record.note("%s", paying.summary())
	if browsing.endedWith(http.StatusOK)+paying.endedWith(http.StatusOK) > 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("Fault: no request is served, of %s and %s; all upstreams run, and their heartbeats are acknowledged", browsing.summary(), paying.summary())}, nil
}
