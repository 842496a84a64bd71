package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Limits of the case.
const (
	cutTime     = 5500 * time.Millisecond // for_s of node_cut
	servesOn    = 3 * time.Second         // of an upstream after its DELETE: drain_s and a little longer
	deniedLimit = 10                      // answers with 404 by machines out of touch
)

// playDenied cuts an edge machine off over the first config, after an upstream has left.
func playDenied(s *site, trouble bool) ([]string, error) {
	var upstreams []*upstream
	for i := range 2 * zoneCount {
		u, err := s.startUpstream(fmt.Sprintf("i-payments-%d", i), "payments", i%zoneCount)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	if err := s.awaitRegistered(upstreams); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	leaving := upstreams[0]
	leaving.stopHeartbeats()
	if err := s.order(http.MethodDelete, "/api/instances/"+leaving.id, nil); err != nil {
		return nil, err
	}
	time.Sleep(servesOn)
	leaving.end()
	if trouble {
		cut := s.machinesOf(false)[0]
		s.setCut(cut)
		s.record.note("%s is cut off from all other machines", cut.name)
	}
	cutAt := time.Now()
	if err := s.order(http.MethodPut, "/api/config", []byte(twoServices)); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	c := s.newClient("pay")
	c.openEach()
	var group sync.WaitGroup
	var told []string
	var askedAt time.Time
	stop := repeat(20*time.Millisecond, func(i int) {
		if time.Since(askedAt) >= directoryAt {
			if a := s.resolve(s.machinesOf(true)[1], "region-1", "zone-1"); len(a) > 0 {
				told, askedAt = a, time.Now()
				s.record.note("directory: %v", told)
			}
		}
		if len(told) == 0 {
			return
		}
		m := s.machineAt(told[rand.IntN(len(told))])
		group.Go(func() { c.sendTo(m, http.MethodPost, fmt.Sprintf("/pay/%d", i), fmt.Sprint(i%50)) })
	})
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		s.setCut(nil)
		s.record.note("the cut ends")
	}
	time.Sleep(8 * time.Second)
	stop()
	group.Wait()
	s.record.note("%s", c.summary())
	if denied := c.endedWith(http.StatusNotFound); denied > deniedLimit {
		return []string{fmt.Sprintf("DENIED: %d proper requests, on a route that every config has, were answered 404", denied)}, nil
	}
	return nil, nil
}
