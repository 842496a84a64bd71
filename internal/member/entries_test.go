package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// domains returns the names of all failure domains.
func (c *cluster) domains() []string {
	var names []string
	for _, id := range c.ids {
		if name := id[:3]; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// expectCount checks how many entries a VM counts, and how many of them before itself.
func (c *cluster) expectCount(t *testing.T, id string, all, before int) {
	t.Helper()
	if gotAll, gotBefore := c.states[id].CountEntries(c.domains(), c.now); gotAll != all || gotBefore != before {
		t.Errorf("%s counts %d entries, %d before itself, want %d and %d", id, gotAll, gotBefore, all, before)
	}
}

// restartVMs replaces VMs by new ones that know only the seeds.
func (c *cluster) restartVMs(ids ...string) {
	for _, id := range ids {
		self := c.states[id].Self
		self.Incarnation++
		self.Counter, self.Stopping = 0, false
		c.states[id] = New(self, c.states[id].Seeds)
		c.stopped[id] = false
	}
}

func TestEntriesOutOfSightStillCount(t *testing.T) {
	domainOf := func(id string) string { return id[:3] }
	tests := map[string]struct {
		domains, perDomain int      // 3 and 4 if 0
		entryLess          []string // VMs that take no callers
		event              func(*cluster)
		after              time.Duration
		viewer             string
		all, before        int
	}{
		"nothing happened": {event: func(*cluster) {}, after: time.Second, viewer: "d01-vm02", all: 12, before: 6},
		"a VM is cut off from all others": {event: func(c *cluster) {
			c.blocked = func(from, to string) bool { return from == "d01-vm02" || to == "d01-vm02" }
		}, after: 5 * time.Minute, viewer: "d01-vm02", all: 12, before: 6},
		"as others see it": {event: func(c *cluster) {
			c.blocked = func(from, to string) bool { return from == "d01-vm02" || to == "d01-vm02" }
		}, after: 5 * time.Minute, viewer: "d02-vm00", all: 12, before: 8},
		"its failure domain is cut off": {event: func(c *cluster) {
			c.blocked = func(from, to string) bool { return (domainOf(from) == "d01") != (domainOf(to) == "d01") }
		}, after: 20 * time.Minute, viewer: "d01-vm02", all: 12, before: 6},
		"VMs of its failure domain died": {event: func(c *cluster) {
			c.stopped["d01-vm00"], c.stopped["d01-vm03"] = true, true
		}, after: time.Minute, viewer: "d01-vm02", all: 12, before: 6},
		"VMs of another failure domain died": {event: func(c *cluster) {
			c.stopped["d00-vm00"], c.stopped["d00-vm03"] = true, true
		}, after: time.Minute, viewer: "d01-vm02", all: 12, before: 6},
		"VMs died long ago": {event: func(c *cluster) {
			c.stopped["d01-vm00"], c.stopped["d00-vm03"] = true, true
		}, after: forgetAfter + 10*time.Second, viewer: "d01-vm02", all: 10, before: 4},
		"VMs stopped as planned": {event: func(c *cluster) {
			for _, id := range []string{"d01-vm00", "d00-vm03"} {
				c.states[id].Self.Stopping = true
			}
			c.run(time.Second)
			c.stopped["d01-vm00"], c.stopped["d00-vm03"] = true, true
		}, after: 15 * time.Second, viewer: "d01-vm02", all: 10, before: 4},
		"the relays of another failure domain restarted": {event: func(c *cluster) {
			c.stopped["d00-vm03"] = true
			c.run(5 * time.Second)
			c.restartVMs("d00-vm00", "d00-vm01")
		}, after: 10 * time.Second, viewer: "d01-vm02", all: 12, before: 6},
		"another failure domain lost power and its VMs start one by one": {event: func(c *cluster) {
			for i := range 4 {
				c.stopped[fmt.Sprintf("d00-vm%02d", i)] = true
			}
			c.run(8 * time.Second)
			c.restartVMs("d00-vm01")
		}, after: 10 * time.Second, viewer: "d01-vm02", all: 12, before: 6},
		"a VM restarts cut off from its failure domain": {event: func(c *cluster) {
			c.restartVMs("d01-vm02")
			c.blocked = func(from, to string) bool {
				return domainOf(from) == domainOf(to) && (from == "d01-vm02" || to == "d01-vm02")
			}
		}, after: 10 * time.Second, viewer: "d01-vm02", all: 12, before: 4 + int(xxhash.Sum64String("d01-vm02")%4)},
		"as others see that": {event: func(c *cluster) {
			c.restartVMs("d01-vm02")
			c.blocked = func(from, to string) bool {
				return domainOf(from) == domainOf(to) && (from == "d01-vm02" || to == "d01-vm02")
			}
		}, after: 10 * time.Second, viewer: "d02-vm00", all: 12, before: 8},
		"summaries name only some VMs of large domains": {domains: 2, perDomain: 30, entryLess: []string{"d00-vm26", "d00-vm27", "d00-vm28", "d00-vm29"}, event: func(c *cluster) {
			c.stopped["d00-vm29"], c.stopped["d00-vm10"] = true, true
		}, after: 20 * time.Second, viewer: "d01-vm02", all: 56, before: 28},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.domains == 0 {
				test.domains, test.perDomain = 3, 4
			}
			c := newCluster(test.domains, test.perDomain)
			for _, id := range test.entryLess {
				c.states[id].Self.Entry = ""
			}
			c.run(15 * time.Second)
			test.event(c)
			c.run(test.after)
			c.expectCount(t, test.viewer, test.all, test.before)
		})
	}
}

// A count that is lower for a moment is enough for too many requests.
func TestEntryCountNeverDropsWhileVMsRestart(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(3, 4)
		c.restart(seed+1, 3)
		c.run(15 * time.Second)
		c.stopped["d00-vm03"] = true
		c.run(5 * time.Second)
		c.restartVMs("d00-vm00", "d01-vm00")
		for range 200 {
			c.run(50 * time.Millisecond)
			for _, id := range c.ids {
				if id == "d00-vm00" || id == "d01-vm00" || c.stopped[id] {
					continue
				}
				if all, _ := c.states[id].CountEntries(c.domains(), c.now); all < 12 {
					t.Fatalf("start %d: %s counts %d entries %v after two restarts, want 12", seed, id, all, c.now.Sub(start)-20*time.Second)
				}
			}
		}
	}
}

// With a part of the entries known, the share of one that has just started would be too large.
func TestEntryThatHasJustStartedCountsThoseItHasNotHeard(t *testing.T) {
	tests := map[string]struct {
		domains, perDomain int
		blocked            func(from, to string) bool
		after              time.Duration
		heard              bool
		all                int
	}{
		"all heard":                     {domains: 3, perDomain: 4, after: 4 * time.Second, heard: true, all: 12},
		"one failure domain not heard":  {domains: 3, perDomain: 4, blocked: func(from, to string) bool { return from[:3] == "d02" || to[:3] == "d02" }, after: 20 * time.Second, all: 12},
		"only its own domain heard":     {domains: 9, perDomain: 4, blocked: func(from, to string) bool { return from[:3] != to[:3] }, after: 20 * time.Second, all: 36},
		"nothing heard":                 {domains: 9, perDomain: 9, blocked: func(string, string) bool { return true }, after: 20 * time.Second, all: 9 * presumedEntries},
		"nothing heard for ten minutes": {domains: 3, perDomain: 4, blocked: func(string, string) bool { return true }, after: forgetAfter + time.Second, all: 1},
		"alone, without seeds":          {domains: 1, perDomain: 1, after: time.Second, heard: true, all: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(test.domains, test.perDomain)
			c.blocked = test.blocked
			c.run(test.after)
			id := c.ids[0]
			if heard := c.states[id].HeardEntries(c.domains()); heard != test.heard {
				t.Errorf("heard of all entries: %v, want %v", heard, test.heard)
			}
			if all, before := c.states[id].CountEntries(c.domains(), c.now); all != test.all || before >= all {
				t.Errorf("counts %d entries, %d before itself, want %d", all, before, test.all)
			}
		})
	}
}

func TestEntryThatStoodStillForLongDoesNotCountItselfAlone(t *testing.T) {
	c := newCluster(3, 4)
	c.run(15 * time.Second)
	s := c.states["d01-vm02"]
	now := c.now.Add(forgetAfter + time.Minute)
	s.Tick(now)
	if all, _ := s.CountEntries(c.domains(), now); all < 12 {
		t.Errorf("counts %d entries after a pause, want at least 12", all)
	}
}
