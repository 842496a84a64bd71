package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["changed-body"] = playChangedBody }

// playChangedBody partitions a few upstreams, those of one service, from all machines while
// clients send long bodies in chunks, and compares the bodies that ran with those that were
// sent.
func playChangedBody(r *record, program string) error {
	c, err := begin(r, program, threeZones, threeZones, 3)
	if c != nil {
		defer c.stopAll(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return err
	}
	for i := range 20 { // of another service, in the other zones; they stay reachable
		other, err := c.newUpstream(fmt.Sprint("i-pages-", i+1), "pages", c.zones[1+i%2].name, loopback()+":0", 20*time.Millisecond)
		if err != nil {
			return err
		}
		other.announce()
	}
	var upstreams []*upstream
	for i := range 4 {
		u, err := c.newUpstream(fmt.Sprint("i-orders-", i+1), "orders", c.zones[0].name, loopback()+":0", 20*time.Millisecond)
		if err != nil {
			return err
		}
		if u.link, err = newLink(fmt.Sprintf("127.%d.3.1", network()), u.address); err != nil {
			return err
		}
		u.address = u.link.address
		u.announce()
		upstreams = append(upstreams, u)
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var clients []*client
	const (
		size     = 160 << 10 // bytes, within max_body_bytes of the config
		interval = 100 * time.Millisecond
		cuts     = 6
		cutTime  = 2500 * time.Millisecond
		pause    = 4 * time.Second
	)
	for _, m := range c.edges() {
		client := c.newClient(m)
		clients = append(clients, client)
		client.stream("store", interval, stop, func(id string, n int) {
			body := bytes.Repeat(fmt.Appendf(nil, "%s line %06d\n", id, n), size)[:size]
			client.send(id, http.MethodPost, "/store/"+id, fmt.Sprint("object-", n%50), body, true, 6*time.Second)
		})
	}
	for range cuts {
		time.Sleep(pause)
		if trouble() {
			r.write("the upstreams of orders are partitioned from all machines")
			for _, u := range upstreams {
				go u.link.setCut(true)
			}
		}
		time.Sleep(cutTime)
		if trouble() {
			r.write("the partition heals")
			for _, u := range upstreams {
				u.link.setCut(false)
			}
		}
	}
	time.Sleep(pause)
	close(stop)
	requests, answered := collect(clients)
	runs, changed := 0, 0
	for _, u := range upstreams {
		for _, done := range u.runsSoFar() {
			runs++
			s, found := requests[done.request]
			if found && (s.digest != done.digest || s.method != done.method || s.uri != done.uri) {
				changed++
				r.write("CHANGED: %s was sent with %d bytes (%s) and ran at %s with %d bytes (%s); its client was answered %d",
					done.request, s.bytes, s.digest, u.id, done.bytes, done.digest, s.status)
			}
		}
	}
	r.write("%d requests, %d answered 200, %d runs, %d with a changed body", len(requests), answered, runs, changed)
	fmt.Printf("%d requests, %d answered 200, %d runs, %d with a changed body\n", len(requests), answered, runs, changed)
	if answered == 0 {
		return errNothingServed
	}
	if changed > 0 {
		return fmt.Errorf("%w: %d upstream runs with another body than was sent", errBroken, changed)
	}
	return nil
}
