package capacity

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	routesPerChange = 1400
	maxDelay        = 2500 * time.Millisecond // from acceptance until a change is in force on a VM
	maxBusy         = time.Second             // of a link, between two pauses
	maxReceived     = 250_000                 // bytes that one entry receives in receiveWindow
	receiveWindow   = 10 * time.Second
	closureInterval = 500 * time.Millisecond
	cutDuration     = 2 * time.Second
)

// Entries follow changes of a large document in time though their links are slow.
func TestLargeChangeReachesEntriesInTime(t *testing.T) {
	twice := []step{
		{at: 0, change: (*configuration).addRoutes},
		{at: 400 * time.Millisecond, change: (*configuration).changeWeights},
		{at: 10 * time.Second, change: (*configuration).addRoutes},
		{at: 10*time.Second + 400*time.Millisecond, change: (*configuration).changeWeights},
	}
	var storm []step
	for i := range 10 {
		storm = append(storm, step{at: time.Duration(i) * 330 * time.Millisecond, change: (*configuration).changeRoute})
	}
	tests := map[string]struct {
		perDomain int // VMs
		routes    int // before the first step
		steps     []step
		windows   []time.Duration // starts of the times in which received bytes count
		closures  int             // of servers, one each closureInterval
		cutOff    []string        // VMs whose messages are lost in the first cutDuration
	}{
		"many routes and weights, twice": {
			perDomain: 9,
			steps:     twice,
			windows:   []time.Duration{0, 10 * time.Second},
			closures:  30,
		},
		"the first VM of a domain and one of another are cut off": {
			perDomain: 4,
			steps:     twice[:2],
			windows:   []time.Duration{0},
			closures:  10,
			cutOff:    []string{"d07-000", "d08-003"},
		},
		"ten changes of one route in a long document": {
			perDomain: 4,
			routes:    3 * routesPerChange,
			steps:     storm,
			windows:   []time.Duration{0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, err := New(Size{Domains: 9, VMsPerDomain: test.perDomain, Replicas: 5, Services: 4, Places: 1, Servers: 4})
			if err != nil {
				t.Fatal(err)
			}
			p := &play{Fleet: f, configuration: configuration{random: rand.New(rand.NewPCG(1, 2))}}
			for len(p.configuration.routes) < test.routes {
				p.configuration.addRoutes()
			}
			if test.routes > 0 {
				p.changeRoutes(func(*configuration) {})
				p.Run(maxDelay)
			}
			// The links are limited only now, since the start is not measured.
			p.Size.EntryLink = 250_000
			p.startedAt, p.routeChanges, p.deaths = p.clock.Now(), nil, nil
			for _, start := range test.windows {
				p.clock.Schedule(start, p.measureReceived)
			}
			for _, step := range test.steps {
				p.clock.Schedule(step.at, func() { p.changeRoutes(step.change) })
			}
			for i := range test.closures {
				p.clock.Schedule(closureInterval/2+time.Duration(i)*closureInterval, func() { p.closeServer(i) })
			}
			for _, name := range test.cutOff {
				p.cutOff(name)
			}
			p.Run(test.steps[len(test.steps)-1].at + receiveWindow + time.Second)

			p.checkInForce(t, document.SectionRoutes, p.routeChanges)
			p.checkInForce(t, document.SectionClosures, p.closures)
			p.checkTexts(t)
			p.checkBusy(t)
			p.checkDeaths(t)
			if len(p.received) != len(test.windows) {
				t.Errorf("%d windows measured, want %d", len(p.received), len(test.windows))
			}
			for i, most := range p.received {
				t.Logf("window %d: %s received the most, %d bytes", i+1, most.vm, most.bytes)
				if most.bytes >= maxReceived {
					t.Errorf("window %d: %s received %d bytes in %v, want less than %d", i+1, most.vm, most.bytes, receiveWindow, maxReceived)
				}
			}
		})
	}
}

// step changes the routes at a time after the start.
type step struct {
	at     time.Duration
	change func(*configuration)
}

// configuration holds the routes of which the section consists.
type configuration struct {
	random *rand.Rand
	routes []document.Route
}

func (c *configuration) word() string {
	word := make([]byte, 7)
	for i := range word {
		word[i] = byte('a' + c.random.IntN(26))
	}
	return string(word)
}

func (c *configuration) weight() float64 { return float64(c.random.IntN(1000)) / 100 }

func (c *configuration) addRoutes() {
	for range routesPerChange {
		c.routes = append(c.routes, document.Route{
			Name: c.word(),
			Host: c.word() + ".example",
			Path: "/" + c.word(),
			To:   []document.Target{{Service: fmt.Sprint("s", c.random.IntN(4)), Weight: c.weight()}},
		})
	}
}

// changeWeights changes the weights of a third of the routes.
func (c *configuration) changeWeights() {
	for i := range c.routes {
		if i%3 == 0 {
			c.routes[i].To[0].Weight = c.weight()
		}
	}
}

func (c *configuration) changeRoute() {
	c.routes[c.random.IntN(len(c.routes))].Path = "/" + c.word()
}

func (c *configuration) text() []byte {
	var text bytes.Buffer
	for _, r := range c.routes {
		fmt.Fprintf(&text, "[[route]]\nname = %q\nhost = %q\npath = %q\n", r.Name, r.Host, r.Path)
		text.WriteString("kind = \"repeat\"\nrank = \"browsing\"\ntimeout = \"2s\"\ntarget = \"600ms\"\n")
		text.WriteString("tries = 2\naffinity = false\nregions = []\n\n")
		fmt.Fprintf(&text, "[[route.to]]\nservice = %q\nweight = %.2f\n\n", r.To[0].Service, r.To[0].Weight)
	}
	return text.Bytes()
}

// play is a fleet while changes are made.
type play struct {
	*Fleet
	configuration configuration
	startedAt     time.Time
	cutVMs        []string
	healedAt      time.Time // when the messages of cutVMs got through again
	text          []byte    // of the routes, as proposed last
	routeChanges  []proposed
	closures      []proposed
	received      []received // most of each window
}

// proposed is a change that was proposed.
type proposed struct {
	call    uint64
	version uint64 // of the section with the change
}

// received is what a VM received in a window.
type received struct {
	vm    string
	bytes int64
}

func (p *play) changeRoutes(change func(*configuration)) {
	change(&p.configuration)
	p.text = p.configuration.text()
	base := p.leaderVersions().Routes
	p.ProposeChange(document.SectionRoutes, base, fmt.Sprint("routes-", base), p.text)
	p.routeChanges = append(p.routeChanges, proposed{call: p.lastCall, version: base + 1})
}

func (p *play) closeServer(number int) {
	closure := document.Closure{Kind: document.CloseServer, Name: fmt.Sprintf("d08-s0-%d", number), Start: int64(number)}
	version := uint64(len(p.closures) + 1)
	call := p.propose(ledger.Command{Close: &ledger.Close{Closure: closure}})
	p.closures = append(p.closures, proposed{call: call, version: version})
}

// cutOff loses the messages from and to a VM for cutDuration.
func (p *play) cutOff(name string) {
	v := p.byPeer[name]
	v.cutOff = true
	p.cutVMs, p.healedAt = append(p.cutVMs, name), p.clock.Now().Add(cutDuration)
	p.clock.Schedule(cutDuration, func() { v.cutOff = false })
}

// measureReceived finds the entry that receives the most in a window from now on.
func (p *play) measureReceived() {
	before := make(map[*vm]int64)
	for _, v := range p.vms {
		before[v] = v.cost.ReceivedBytes
	}
	p.clock.Schedule(receiveWindow, func() {
		var most received
		for _, v := range p.vms {
			if n := v.cost.ReceivedBytes - before[v]; !v.settings.Control && n > most.bytes {
				most = received{vm: v.settings.VM, bytes: n}
			}
		}
		p.received = append(p.received, most)
	})
}

// checkInForce checks when each change of a section was in force on each VM.
func (p *play) checkInForce(t *testing.T, section document.Section, changes []proposed) {
	t.Helper()
	for _, change := range changes {
		accepted, found := p.answers[change.call]
		if !found || !isAccepted(accepted.result) {
			t.Errorf("%s %d: answer %+v, want that it was accepted", section, change.version, accepted.result)
			continue
		}
		late, never := 0, 0
		var longest time.Duration
		for _, v := range p.vms {
			since := accepted.at
			if p.healedAt.After(since) && slices.Contains(p.cutVMs, v.settings.VM) {
				since = p.healedAt
			}
			at := slices.IndexFunc(v.loads, func(l load) bool { return l.versions.Get(section) >= change.version })
			if at < 0 {
				never++
				continue
			}
			delay := v.loads[at].at.Sub(since)
			longest = max(longest, delay)
			if delay > maxDelay {
				late++
			}
		}
		t.Logf("%s %d: accepted at %v, in force everywhere within %v", section, change.version, accepted.at.Sub(p.startedAt), longest)
		if late+never > 0 {
			t.Errorf("%s %d: on %d of %d VMs in force after more than %v, the last after %v, and on %d not at all", section, change.version, late, len(p.vms), maxDelay, longest, never)
		}
	}
}

func isAccepted(result reducer.ProposalResult) bool {
	switch {
	case result.Refused != 0 || result.Lost:
		return false
	case result.Result.Put != nil:
		return result.Result.Put.Code == ledger.PutAccepted
	default:
		return result.Result.Close != nil && result.Result.Close.Changed
	}
}

// checkTexts checks that each VM ends with the routes proposed last.
func (p *play) checkTexts(t *testing.T) {
	t.Helper()
	others := 0
	for _, v := range p.vms {
		at := slices.IndexFunc(v.sections, func(s ledger.Section) bool { return s.Name == document.SectionRoutes })
		if at < 0 || !bytes.Equal(v.sections[at].Text, p.text) {
			others++
		}
	}
	if others > 0 {
		t.Errorf("%d of %d VMs end with other routes than those proposed last", others, len(p.vms))
	}
}

// checkBusy checks that gossip never waits long for a link.
func (p *play) checkBusy(t *testing.T) {
	t.Helper()
	above := 0
	var longest time.Duration
	var name string
	for _, v := range p.vms {
		busy := max(v.outgoing.longest, v.incoming.longest)
		if busy >= maxBusy {
			above++
		}
		if busy > longest {
			longest, name = busy, v.settings.VM
		}
	}
	t.Logf("the link of %s was busy the longest, %v", name, longest)
	if above > 0 {
		t.Errorf("the links of %d VMs were busy without a pause for %v or more, that of %s for %v", above, maxBusy, name, longest)
	}
}

// checkDeaths checks that no VM took a connected one for dead.
func (p *play) checkDeaths(t *testing.T) {
	t.Helper()
	deaths := slices.DeleteFunc(slices.Clone(p.deaths), func(d death) bool {
		return slices.Contains(p.cutVMs, d.vm) || slices.Contains(p.cutVMs, d.observer)
	})
	if len(deaths) > 0 {
		first := deaths[0]
		t.Errorf("%d times a VM took a live one for dead, first %s %s after %v", len(deaths), first.observer, first.vm, first.at.Sub(p.startedAt))
	}
}
