package member

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// group is a few VMs whose gossip arrives at once unless a cut stops it.
type group struct {
	states  map[string]*State
	order   []string
	now     time.Time
	cut     func(from, to string) bool
	sent    int
	stopped map[string]bool
}

func newGroup(domains, perDomain int) *group {
	g := &group{states: make(map[string]*State), now: start, stopped: make(map[string]bool)}
	var seeds []string
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%02d-vm%02d", d, i)
			g.order = append(g.order, id)
			if i == 0 {
				seeds = append(seeds, id)
			}
		}
	}
	for _, id := range g.order {
		self := VM{ID: id, Peer: id, Entry: "e" + id, Domain: id[:3], Region: "r", Incarnation: 1}
		g.states[id] = New(self, seeds)
	}
	return g
}

func (g *group) run(length time.Duration) {
	end := g.now.Add(length)
	for ; g.now.Before(end); g.now = g.now.Add(50 * time.Millisecond) {
		for _, id := range g.order {
			if !g.stopped[id] {
				g.deliver(id, g.states[id].Tick(g.now))
			}
		}
	}
}

// restart makes all VMs anew, with the first of the seeds.
func (g *group) restart(incarnation uint64, seeds int) {
	for _, id := range g.order {
		self := g.states[id].Self
		self.Incarnation = incarnation
		g.states[id] = New(self, g.states[id].Seeds[:seeds])
	}
}

// expectAllHeard lets the fleet settle and looks at all VMs once a second.
func (g *group) expectAllHeard(t *testing.T) {
	t.Helper()
	const looks = 10
	domains := len(g.states[g.order[0]].Seeds)
	g.run(14 * time.Second)
	missed := 0
	for range looks {
		g.run(time.Second)
		for _, id := range g.order {
			missed += domains - len(g.states[id].known(g.now))
		}
	}
	if missed > 0 {
		t.Errorf("of %d looks at a domain %d took it for silent, want none", looks*domains*len(g.order), missed)
	}
}

func (g *group) deliver(from string, sends []Outgoing) {
	for _, send := range sends {
		g.sent++
		if g.stopped[send.Address] || g.cut != nil && g.cut(from, send.Address) {
			continue
		}
		g.deliver(send.Address, g.states[send.Address].Receive(send.Gossip, g.now))
	}
}

func (g *group) alive(id string) int { return len(g.states[id].Alive()) }

func TestAllVMsFindEachOther(t *testing.T) {
	tests := map[string]struct{ domains, perDomain int }{
		"two domains of two": {2, 2},
		"six domains of two": {6, 2},
		"one domain of 50":   {1, 50},
		"ten domains of ten": {10, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(test.domains, test.perDomain)
			g.run(15 * time.Second)
			for _, id := range g.order {
				if got := g.alive(id); got != test.perDomain {
					t.Errorf("%s sees %d VMs of its domain, want %d", id, got, test.perDomain)
				}
				if got := len(g.states[id].known(g.now)); got != test.domains {
					t.Errorf("%s knows %d domains, want %d", id, got, test.domains)
				}
			}
		})
	}
}

func TestDeadVMIsFoundAndReturns(t *testing.T) {
	g := newGroup(1, 5)
	g.run(5 * time.Second)
	g.stopped["d00-vm03"] = true
	g.run(4 * time.Second)
	if got := g.alive("d00-vm00"); got != 4 {
		t.Fatalf("%d VMs alive after one died, want 4", got)
	}
	g.stopped["d00-vm03"] = false
	g.run(4 * time.Second)
	if got := g.alive("d00-vm00"); got != 5 {
		t.Errorf("%d VMs alive after the return, want 5", got)
	}
}

// A VM whose messages reach only one other is not thought dead by the rest.
func TestOneWayCutsDoNotKill(t *testing.T) {
	g := newGroup(1, 5)
	g.run(5 * time.Second)
	g.cut = func(from, to string) bool { return from == "d00-vm01" && to != "d00-vm02" }
	g.run(20 * time.Second)
	for _, id := range g.order {
		if died := g.states[id].TakeDead(); len(died) > 0 {
			t.Errorf("%s thinks %v dead", id, died)
		}
	}
}

func TestCutDomainIsSilent(t *testing.T) {
	g := newGroup(3, 2)
	g.run(5 * time.Second)
	g.cut = func(from, to string) bool { return (from[:3] == "d01") != (to[:3] == "d01") }
	g.run(10 * time.Second)
	for _, view := range g.states["d00-vm00"].Domains(g.now) {
		if silent := view.SilentFor > DomainSilentAfter; silent != (view.Name == "d01") {
			t.Errorf("domain %s silent for %s", view.Name, view.SilentFor)
		}
	}
	if got := g.alive("d01-vm00"); got != 2 {
		t.Errorf("the cut domain sees %d of its VMs, want 2", got)
	}
	g.cut = nil
	g.run(10 * time.Second)
	for _, view := range g.states["d00-vm00"].Domains(g.now) {
		if view.SilentFor > DomainSilentAfter {
			t.Errorf("domain %s still silent after the cut", view.Name)
		}
	}
}

func TestOwnersAgree(t *testing.T) {
	g := newGroup(1, 8)
	g.run(5 * time.Second)
	for i := range 20 {
		service := fmt.Sprint("service", i)
		want := g.states[g.order[0]].Owner(service).ID
		for _, id := range g.order {
			if got := g.states[id].Owner(service).ID; got != want {
				t.Errorf("%s thinks %s owns %s, others %s", id, got, service, want)
			}
		}
	}
}

// Entries that become ready, or go, are known in all failure domains within the
// time in which callers are told of them.
func TestChangedEntriesAreKnownSoon(t *testing.T) {
	const bound = 3 * time.Second
	g := newGroup(6, 3)
	g.run(20 * time.Second)
	for _, id := range g.order {
		g.states[id].Self.Document = 1
	}
	g.run(bound)
	for _, id := range g.order {
		for _, domain := range g.states[id].Domains(g.now) {
			for _, entry := range domain.Entries {
				if !entry.Ready {
					t.Errorf("%s does not know that %s is ready", id, entry.ID)
				}
			}
		}
	}
}

func TestEntriesThatCameApartFromTheirSummary(t *testing.T) {
	entries := []EntryRef{{ID: "b1", Peer: "p", Entry: "e"}}
	s := New(VM{ID: "a1", Domain: "a"}, nil)
	summary := Domain{Name: "b", Version: 4, Roster: rosterHash(nil)}
	s.Receive(Gossip{From: VM{ID: "b1", Domain: "b"}, Domains: []Domain{summary}}, start)
	summary.Version, summary.Roster = 5, rosterHash(entries)
	s.Receive(Gossip{From: VM{ID: "b1", Domain: "b"}, Domains: []Domain{summary}}, start)
	summary.Entries = entries
	s.Receive(Gossip{From: VM{ID: "c1", Domain: "c"}, Domains: []Domain{summary}}, start)
	for _, domain := range s.Domains(start) {
		if domain.Name == "b" && len(domain.Entries) != 1 {
			t.Errorf("domain b has entries %+v, want those of its summary", domain.Entries)
		}
	}
}

// VMs of a failure domain without a seed each speak for it until they meet; what the
// seeds hold of the one leads the other to it.
func TestPartsOfADomainMeetSoon(t *testing.T) {
	const limit = 3 * time.Second // in which a change is to be in force everywhere
	for incarnation := range uint64(40) {
		g := newGroup(6, 2)
		g.restart(incarnation+1, 3)
		g.run(limit)
		for _, id := range g.order {
			if g.alive(id) != 2 {
				t.Errorf("start %d: %s knows %d live VMs of its failure domain after %v, want 2", incarnation, id, g.alive(id), limit)
			}
		}
	}
}

// A VM that begins or stops to take callers is known as such in its whole failure domain
// with its next message, also where each message otherwise reaches two of many.
func TestReadyAndStoppingAreToldAtOnce(t *testing.T) {
	tests := map[string]struct {
		change func(*VM)
		seen   func(VM) bool
	}{
		"ready":    {func(v *VM) { v.Document = 7 }, func(v VM) bool { return v.Document == 7 }},
		"stopping": {func(v *VM) { v.Stopping = true }, func(v VM) bool { return v.Stopping }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(1, 20)
			g.run(10 * time.Second)
			test.change(&g.states[g.order[5]].Self)
			g.run(GossipInterval + 50*time.Millisecond)
			for _, id := range g.order {
				for _, vm := range g.states[id].Alive() {
					if vm.ID == g.order[5] && !test.seen(vm) {
						t.Errorf("%s does not know of the change", id)
					}
				}
			}
		})
	}
}

// After a loss of all power the VMs of a failure domain without a seed meet through the
// one that kept their addresses: callers are named all entries from then on.
func TestRestartedDomainMeetsAtOnce(t *testing.T) {
	for incarnation := range uint64(20) {
		g := newGroup(9, 10)
		g.restart(incarnation+1, 3)
		for i := 0; i < len(g.order); i += 10 {
			g.states[g.order[i]].QueueGreetings(g.order[i : i+10])
		}
		g.run(600 * time.Millisecond)
		for i := 0; i < len(g.order); i += 10 {
			if alive := g.alive(g.order[i]); alive != 10 {
				t.Errorf("start %d: %s knows %d live VMs of its failure domain, want 10", incarnation, g.order[i], alive)
			}
		}
	}
}

// In a settled fleet no VM takes a failure domain for silent that is not.
func TestSettledDomainsAreHeard(t *testing.T) {
	for incarnation := range uint64(12) {
		g := newGroup(10, 10)
		g.restart(incarnation+1, 10)
		g.expectAllHeard(t)
	}
}

// The same in the fleet to design for.
func TestLargeSettledDomainsAreHeard(t *testing.T) {
	g := newGroup(10, 51)
	g.expectAllHeard(t)
}
