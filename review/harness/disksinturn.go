package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["disks-in-turn"] = playDisksInTurn }

// catchUp is catch_up_s of the settings: so long after its start a machine counts as lost.
const catchUp = 4 * time.Second

// playDisksInTurn takes the disk of one control machine after the other, each after the one
// before has had its time to catch up, and reads the config back.
func playDisksInTurn(r *record, program string) error {
	c, err := begin(r, program, threeZones, threeZones, 1)
	if c != nil {
		defer c.stopAll(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return err
	}
	const (
		rounds   = 14
		downTime = 500 * time.Millisecond
		margin   = 200 * time.Millisecond // beyond the time to catch up
		readTime = 15 * time.Second       // in which the operator asks for the config again and again
	)
	time.Sleep(settle)
	for n := range rounds {
		version := n + 2
		if err := c.order(http.MethodPut, "/api/config", config(version), c.cores()...); err != nil {
			return err
		}
		target := c.cores()[n%len(c.cores())]
		for _, m := range c.cores() {
			if c.leads(m) {
				target = m
			}
		}
		if trouble() {
			c.kill(target)
			if err := os.RemoveAll(filepath.Join(target.dir, "data")); err != nil {
				return err
			}
			r.write("%s lost its disk", target.name)
		}
		time.Sleep(downTime)
		if trouble() {
			if err := c.start(target, false); err != nil {
				return err
			}
		}
		time.Sleep(catchUp + margin)
		if !c.reads(version, readTime) {
			fmt.Printf("after %d disks lost in turn, version %d can't be read back\n", n+1, version)
			return fmt.Errorf("%w: version %d was acknowledged and no machine returns it for %v", errBroken, version, readTime)
		}
	}
	fmt.Printf("%d versions read back\n", rounds)
	return nil
}

// reads asks the control machines for the config in turn until one returns the version.
func (c *cluster) reads(version int, limit time.Duration) bool {
	want := string(config(version))
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, m := range c.cores() {
			status, text := call(http.MethodGet, c.controlAddress(m), "/api/config", nil, time.Second)
			c.record.write("operator GET /api/config from %s: %d, %d bytes", m.name, status, len(text))
			if status == http.StatusOK && string(text) == want {
				return true
			}
		}
	}
	return false
}
