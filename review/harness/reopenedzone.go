package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["reopened-zone"] = playReopenedZone }

// playReopenedZone freezes a control machine while the operator takes a zone back and
// empties it again, and looks for requests in the zone after the second evacuation.
func playReopenedZone(r *record, program string) error {
	c, err := begin(r, program, threeZones, threeZones, 1)
	if c != nil {
		defer c.stopAll(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return err
	}
	var upstreams []*upstream
	for i, z := range c.zones {
		for n := range 2 {
			u, err := c.newUpstream(fmt.Sprintf("i-upstream-%d-%d", i+1, n+1), "orders", z.name, loopback()+":0", 10*time.Millisecond)
			if err != nil {
				return err
			}
			u.announce()
			upstreams = append(upstreams, u)
		}
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var clients []*client
	for _, m := range c.edges() {
		client := c.newClient(m)
		clients = append(clients, client)
		client.stream("read", 50*time.Millisecond, stop, func(id string, n int) {
			client.send(id, http.MethodGet, "/read/"+id, fmt.Sprint("object-", n%60), nil, false, 2*time.Second)
		})
	}
	time.Sleep(time.Second)
	const path = "/api/evacuations/zone-b"
	var frozen *machine
	var others []*machine
	for _, m := range c.cores() {
		if frozen == nil && !c.leads(m) {
			frozen = m
		} else {
			others = append(others, m)
		}
	}
	if err := c.order(http.MethodPost, path, nil, others...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		c.signal(frozen, syscall.SIGSTOP)
	}
	if err := c.order(http.MethodDelete, path, nil, frozen, others[0], others[1]); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := c.order(http.MethodPost, path, nil, others...); err != nil {
		return err
	}
	acknowledged := time.Now()
	time.Sleep(time.Second)
	if trouble() {
		c.signal(frozen, syscall.SIGCONT)
	}
	thawed := time.Now()
	const watch = 18 * time.Second
	time.Sleep(watch)
	close(stop)
	from := acknowledged.Add(evacuate)
	if trouble() {
		from = from.Add(outer)
	}
	if inTouch := thawed.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	_, answered := collect(clients)
	late := 0
	for _, u := range upstreams {
		for _, done := range u.runsSoFar() {
			if u.zone == "zone-b" && done.at.After(from) {
				late++
			}
		}
	}
	r.write("second evacuation of zone-b acknowledged at %.3f, machines in touch and bound from %.3f, %d requests answered, %d requests reached zone-b after that", acknowledged.Sub(r.started).Seconds(), from.Sub(r.started).Seconds(), answered, late)
	fmt.Printf("%d requests answered, %d reached the evacuated zone\n", answered, late)
	if answered == 0 {
		return errNothingServed
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached the evacuated zone", errBroken, late)
	}
	return nil
}
