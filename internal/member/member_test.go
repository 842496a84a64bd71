package member

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cluster is a few VMs whose gossip arrives at once unless blocked drops it.
type cluster struct {
	states  map[string]*State
	ids     []string
	now     time.Time
	blocked func(from, to string) bool
	sent    int
	stopped map[string]bool
}

func newCluster(domains, perDomain int) *cluster {
	c := &cluster{states: make(map[string]*State), now: start, stopped: make(map[string]bool)}
	var seeds []string
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%02d-vm%02d", d, i)
			c.ids = append(c.ids, id)
			if i == 0 {
				seeds = append(seeds, id)
			}
		}
	}
	for _, id := range c.ids {
		self := VM{ID: id, Peer: id, Entry: "e" + id, Domain: id[:3], Region: "r", Incarnation: 1}
		c.states[id] = New(self, seeds)
	}
	return c
}

func (c *cluster) run(length time.Duration) {
	end := c.now.Add(length)
	for ; c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, id := range c.ids {
			if !c.stopped[id] {
				c.deliver(id, c.states[id].Tick(c.now))
			}
		}
	}
}

// restart replaces all VMs by new ones that know only the first of the seeds.
func (c *cluster) restart(incarnation uint64, seeds int) {
	for _, id := range c.ids {
		self := c.states[id].Self
		self.Incarnation = incarnation
		c.states[id] = New(self, c.states[id].Seeds[:seeds])
	}
}

// expectNoneSilent lets the fleet settle, and then checks once a second that no VM
// holds a stale summary of a failure domain, or none.
func (c *cluster) expectNoneSilent(t *testing.T) {
	t.Helper()
	const checks = 10
	domains := len(c.states[c.ids[0]].Seeds)
	c.run(14 * time.Second)
	missed := 0
	for range checks {
		c.run(time.Second)
		for _, id := range c.ids {
			missed += domains - len(c.states[id].freshSummaries(c.now))
		}
	}
	if missed > 0 {
		t.Errorf("of %d checks of a domain %d took it for silent, want none", checks*domains*len(c.ids), missed)
	}
}

func (c *cluster) deliver(from string, sends []Outgoing) {
	for _, send := range sends {
		c.sent++
		if c.stopped[send.Address] || c.blocked != nil && c.blocked(from, send.Address) {
			continue
		}
		c.deliver(send.Address, c.states[send.Address].Receive(send.Gossip, c.now))
	}
}

func (c *cluster) alive(id string) int { return len(c.states[id].Alive()) }

func TestAllVMsFindEachOther(t *testing.T) {
	tests := map[string]struct{ domains, perDomain int }{
		"two domains of two": {2, 2},
		"six domains of two": {6, 2},
		"one domain of 50":   {1, 50},
		"ten domains of ten": {10, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(test.domains, test.perDomain)
			c.run(15 * time.Second)
			for _, id := range c.ids {
				if got := c.alive(id); got != test.perDomain {
					t.Errorf("%s sees %d VMs of its domain, want %d", id, got, test.perDomain)
				}
				if got := len(c.states[id].freshSummaries(c.now)); got != test.domains {
					t.Errorf("%s knows %d domains, want %d", id, got, test.domains)
				}
			}
		})
	}
}

func TestDeadVMIsDetectedAndReturns(t *testing.T) {
	c := newCluster(1, 5)
	c.run(5 * time.Second)
	c.stopped["d00-vm03"] = true
	c.run(4 * time.Second)
	if got := c.alive("d00-vm00"); got != 4 {
		t.Fatalf("%d VMs alive after one died, want 4", got)
	}
	c.stopped["d00-vm03"] = false
	c.run(4 * time.Second)
	if got := c.alive("d00-vm00"); got != 5 {
		t.Errorf("%d VMs alive after the VM came back, want 5", got)
	}
}

// A VM whose messages reach only one other VM is not marked dead by the rest.
func TestOneWayPartitionMarksNoVMDead(t *testing.T) {
	c := newCluster(1, 5)
	c.run(5 * time.Second)
	c.blocked = func(from, to string) bool { return from == "d00-vm01" && to != "d00-vm02" }
	c.run(20 * time.Second)
	for _, id := range c.ids {
		if died := c.states[id].TakeDead(); len(died) > 0 {
			t.Errorf("%s marked %v dead", id, died)
		}
	}
}

func TestPartitionedDomainIsSilent(t *testing.T) {
	c := newCluster(3, 2)
	c.run(5 * time.Second)
	c.blocked = func(from, to string) bool { return (from[:3] == "d01") != (to[:3] == "d01") }
	c.run(10 * time.Second)
	for _, view := range c.states["d00-vm00"].Domains(c.now) {
		if silent := view.SilentFor > DomainSilentAfter; silent != (view.Name == "d01") {
			t.Errorf("domain %s silent for %s", view.Name, view.SilentFor)
		}
	}
	if got := c.alive("d01-vm00"); got != 2 {
		t.Errorf("the partitioned domain sees %d of its VMs, want 2", got)
	}
	c.blocked = nil
	c.run(10 * time.Second)
	for _, view := range c.states["d00-vm00"].Domains(c.now) {
		if view.SilentFor > DomainSilentAfter {
			t.Errorf("domain %s still silent after the partition", view.Name)
		}
	}
}

// All VMs of a failure domain must name the same owner of a service, as they send
// it the slot requests.
func TestOwnersAgree(t *testing.T) {
	c := newCluster(1, 8)
	c.run(5 * time.Second)
	for i := range 20 {
		service := fmt.Sprint("service", i)
		want := c.states[c.ids[0]].Owner(service).ID
		for _, id := range c.ids {
			if got := c.states[id].Owner(service).ID; got != want {
				t.Errorf("%s names %s as the owner of %s, others %s", id, got, service, want)
			}
		}
	}
}

// Entries that change are known in all failure domains within the time in which
// callers must be able to learn of them.
func TestChangedEntriesAreKnownSoon(t *testing.T) {
	const bound = 3 * time.Second
	c := newCluster(6, 3)
	c.run(20 * time.Second)
	for _, id := range c.ids {
		c.states[id].Self.Document = 1
	}
	c.run(bound)
	for _, id := range c.ids {
		for _, domain := range c.states[id].Domains(c.now) {
			for _, entry := range domain.Entries {
				if !entry.Ready {
					t.Errorf("%s does not know that %s is ready", id, entry.ID)
				}
			}
		}
	}
}

// The entries of a summary may arrive after the summary itself, from another VM.
func TestEntriesArriveAfterTheirSummary(t *testing.T) {
	entries := []EntryRef{{ID: "b1", Peer: "p", Entry: "e"}}
	s := New(VM{ID: "a1", Domain: "a"}, nil)
	summary := Domain{Name: "b", Version: 4, Roster: hashEntries(nil)}
	s.Receive(Gossip{From: VM{ID: "b1", Domain: "b"}, Domains: []Domain{summary}}, start)
	summary.Version, summary.Roster = 5, hashEntries(entries)
	s.Receive(Gossip{From: VM{ID: "b1", Domain: "b"}, Domains: []Domain{summary}}, start)
	summary.Entries = entries
	s.Receive(Gossip{From: VM{ID: "c1", Domain: "c"}, Domains: []Domain{summary}}, start)
	for _, domain := range s.Domains(start) {
		if domain.Name == "b" && len(domain.Entries) != 1 {
			t.Errorf("domain b has entries %+v, want those of its summary", domain.Entries)
		}
	}
}

// VMs of a failure domain without a seed don't know each other at the start, so
// each sends its own summary of the domain. A summary that a seed holds leads
// one to the other.
func TestPartsOfADomainFindEachOther(t *testing.T) {
	const limit = 3 * time.Second // in which a change must take effect everywhere
	for incarnation := range uint64(40) {
		c := newCluster(6, 2)
		c.restart(incarnation+1, 3)
		c.run(limit)
		for _, id := range c.ids {
			if c.alive(id) != 2 {
				t.Errorf("start %d: %s knows %d live VMs of its failure domain after %v, want 2", incarnation, id, c.alive(id), limit)
			}
		}
	}
}

// When a VM begins or stops to take callers, its next gossip goes to all VMs of
// its failure domain, although gossip otherwise goes to two of many.
func TestReadyAndStoppingReachAllVMsAtOnce(t *testing.T) {
	tests := map[string]struct {
		change func(*VM)
		seen   func(VM) bool
	}{
		"ready":    {func(v *VM) { v.Document = 7 }, func(v VM) bool { return v.Document == 7 }},
		"stopping": {func(v *VM) { v.Stopping = true }, func(v VM) bool { return v.Stopping }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, 20)
			c.run(10 * time.Second)
			test.change(&c.states[c.ids[5]].Self)
			c.run(GossipInterval + 50*time.Millisecond)
			for _, id := range c.ids {
				for _, vm := range c.states[id].Alive() {
					if vm.ID == c.ids[5] && !test.seen(vm) {
						t.Errorf("%s does not know of the change", id)
					}
				}
			}
		})
	}
}

// After all VMs lost power, the VMs of a failure domain without a seed find each
// other through the one that stored their addresses, so that look-ups name all
// entries from then on.
func TestRestartedVMsFindEachOtherAtOnce(t *testing.T) {
	for incarnation := range uint64(20) {
		c := newCluster(9, 10)
		c.restart(incarnation+1, 3)
		for i := 0; i < len(c.ids); i += 10 {
			c.states[c.ids[i]].QueueGreetings(c.ids[i : i+10])
		}
		c.run(600 * time.Millisecond)
		for i := 0; i < len(c.ids); i += 10 {
			if alive := c.alive(c.ids[i]); alive != 10 {
				t.Errorf("start %d: %s knows %d live VMs of its failure domain, want 10", incarnation, c.ids[i], alive)
			}
		}
	}
}

// In a settled fleet the summaries of all failure domains reach every VM in time,
// so that no VM takes a live domain for silent.
func TestSettledDomainsAreHeard(t *testing.T) {
	for incarnation := range uint64(12) {
		c := newCluster(10, 10)
		c.restart(incarnation+1, 10)
		c.expectNoneSilent(t)
	}
}

// The same in a fleet of the size that the program is designed for.
func TestLargeSettledDomainsAreHeard(t *testing.T) {
	c := newCluster(10, 51)
	c.expectNoneSilent(t)
}
