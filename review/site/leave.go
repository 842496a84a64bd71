package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["leave"] = caseSpec{cores: 3, edges: 3, play: playLeave, proxied: true}
}

// Times of the case, as its site and the pages have them.
const (
	cutLength   = 5500 * time.Millisecond // core_cut of the site file
	drainBound  = 2500 * time.Millisecond
	contactTime = 3 * time.Second
	servesOn    = 9 * time.Second // an upstream after its leave was acknowledged
)

// traffic sends unsafe requests through all entries until stop is set.
func (s *site) traffic(stop *atomic.Bool) *sync.WaitGroup {
	var wait sync.WaitGroup
	for worker := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{Timeout: 3 * time.Second}
			for i := 0; !stop.Load(); i++ {
				id := fmt.Sprintf("t%d-%d", worker, i)
				request, err := http.NewRequest(http.MethodPost, "http://"+s.edges()[worker%3].front()+"/once/"+id, strings.NewReader("body of "+id))
				if err != nil {
					return
				}
				request.Host = "shop.example"
				request.Header.Set("Request-Id", id)
				request.Header.Set("Affinity-Key", fmt.Sprint(worker*1000+i%40))
				request.Header.Set("Deadline-Ms", "2500")
				if response, err := client.Do(request); err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	return &wait
}

// playLeave has an upstream start again under its id at a core machine that is cut off, and leave at
// another one.
func playLeave(s *site, trouble bool) ([]string, error) {
	if err := s.operate(http.MethodPut, "/api/config", config(3, 15, "")); err != nil {
		return nil, err
	}
	for i := range 6 {
		if _, err := s.startUpstream(fmt.Sprintf("i-orders-%d", i), "orders", zoneName(i%3), "", nil); err != nil {
			return nil, err
		}
	}
	cores := s.cores()
	far, near := cores[0], cores[1]
	first, err := s.startUpstream("i-returning", "orders", far.zone, "", nil)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var stop atomic.Bool
	wait := s.traffic(&stop)
	defer wait.Wait()
	defer stop.Store(true)
	time.Sleep(3 * time.Second)
	cutAt := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(cutAt.Add(after))) }
	if trouble {
		s.record.printf("%s is cut off from all other machines", far.name)
		s.links.setCut(far)
	}
	first.kill()
	s.record.printf("upstream i-returning crashes")
	at(400 * time.Millisecond)
	second, err := s.startUpstream("i-returning", "orders", far.zone, first.address, func(u *upstream) {
		u.heartbeatAddress = fmt.Sprintf("%s:%d", far.ip, controlPort)
	})
	if err != nil {
		return nil, err
	}
	s.record.printf("upstream i-returning starts again; its heartbeats go to %s", far.name)
	at(5 * time.Second)
	second.stopAnnouncing()
	status, _ := s.call(http.MethodDelete, fmt.Sprintf("%s:%d", near.ip, controlPort), "/api/instances/i-returning", nil)
	acknowledged := time.Now()
	s.record.printf("upstream i-returning leaves: %s answers its DELETE with %d", near.name, status)
	if status/100 != 2 {
		return nil, fmt.Errorf("the leave is not acknowledged: %w", errTimeout)
	}
	at(cutLength)
	s.links.setCut(nil)
	s.record.printf("the cut ends")
	from := acknowledged.Add(drainBound)
	if inTouch := cutAt.Add(cutLength + contactTime); inTouch.After(from) {
		from = inTouch
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	second.kill()
	late := second.runsAfter(from)
	s.record.printf("upstream i-returning ran %d requests later than drain_s after the acknowledgement and contact_s after the cut", late)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached i-returning too late", late)}, nil
	}
	return nil, nil
}
