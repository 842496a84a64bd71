package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["unknown-leave"] = playUnknownLeave }

// playUnknownLeave takes a few upstreams away while the control machine that has their
// heartbeats comes back with an empty disk, and looks for requests that they get later.
func playUnknownLeave(r *record, program string) error {
	c, err := begin(r, program, threeZones, threeZones, 1)
	if c != nil {
		defer c.stopAll(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return err
	}
	const (
		perZone  = 10
		leavers  = 4                      // of 30 upstreams
		gap      = 100 * time.Millisecond // between two that leave
		downTime = 300 * time.Millisecond
		servesOn = 9 * time.Second // of an upstream after the acknowledgement
	)
	home := c.cores()[1]
	var leaving []*upstream
	for i, z := range c.zones {
		for n := range perZone {
			u, err := c.newUpstream(fmt.Sprintf("i-upstream-%d-%d", i+1, n+1), "orders", z.name, loopback()+":0", 10*time.Millisecond)
			if err != nil {
				return err
			}
			if z.name == home.zone {
				u.setHome(home)
				if len(leaving) < leavers {
					leaving = append(leaving, u)
				}
			}
			u.announce()
		}
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var clients []*client
	for _, m := range c.edges() {
		client := c.newClient(m)
		clients = append(clients, client)
		client.stream("read", 20*time.Millisecond, stop, func(id string, n int) {
			client.send(id, http.MethodGet, "/read/"+id, fmt.Sprint("object-", n%200), nil, false, 2*time.Second)
		})
	}
	time.Sleep(2 * time.Second)
	restarted := time.Now()
	if trouble() {
		c.kill(home)
		if err := os.RemoveAll(filepath.Join(home.dir, "data")); err != nil {
			return err
		}
		r.write("%s lost its disk", home.name)
		time.Sleep(downTime)
		if err := c.start(home, false); err != nil {
			return err
		}
		restarted = time.Now()
		if err := waitListening(c.controlAddress(home), 5*time.Second); err != nil {
			return err
		}
	}
	from := make(map[*upstream]time.Time)
	for _, u := range leaving {
		u.stopHeartbeats()
		acknowledged, by := u.leave()
		if acknowledged.IsZero() {
			return fmt.Errorf("the leave of %s was not acknowledged", u.id)
		}
		bound := acknowledged.Add(drain)
		if inTouch := restarted.Add(contact); trouble() && inTouch.After(bound) {
			bound = inTouch
		}
		r.write("leave of %s acknowledged by %s; no request may reach it from %.3f", u.id, by, bound.Sub(r.started).Seconds())
		from[u] = bound
		time.Sleep(gap)
	}
	time.Sleep(servesOn)
	close(stop)
	_, answered := collect(clients)
	late := 0
	for _, u := range leaving {
		n := 0
		for _, done := range u.runsSoFar() {
			if done.at.After(from[u]) {
				n++
			}
		}
		late += n
		r.write("%s got %d requests after that", u.id, n)
	}
	fmt.Printf("%d requests answered, %d reached upstreams that had left\n", answered, late)
	if answered == 0 {
		return errNothingServed
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached upstreams whose leave was acknowledged", errBroken, late)
	}
	return nil
}
