package capacity

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// fleetVariable is the environment variable with which TestLimitHoldsOverTheFleet plays fleets of 510 VMs as well.
const fleetVariable = "HEATHERWOOD_FLEET"

// limitPlay sends requests through all VMs of a fleet to servers that entries choose.
type limitPlay struct {
	*Fleet
	random   *rand.Rand
	service  *document.Service
	route    document.Route
	servers  []*limitServer
	rate     float64 // requests a second of all VMs
	entries  []*vm   // that callers use
	refused  int
	answered int
}

// limitServer is a simulated server. Its announcements reach the first live VM of its
// failure domain.
type limitServer struct {
	record   roster.Record
	limit    routing.Limit
	arrivals []time.Time
}

const limitServiceTime = 100 * time.Millisecond

func newLimitPlay(t *testing.T, domains, perDomain int, rate float64) *limitPlay {
	t.Helper()
	f, err := New(Size{Domains: domains, VMsPerDomain: perDomain, Replicas: min(5, domains), Services: 1, Places: 1})
	if err != nil {
		t.Fatal(err)
	}
	p := &limitPlay{Fleet: f, random: rand.New(rand.NewPCG(uint64(domains), uint64(perDomain))), rate: rate}
	p.service = f.document.Services.ByName("s0")
	p.service.Placing = document.PlacingEntry
	p.route = document.Route{Name: "r0", To: []document.Target{{Service: "s0", Weight: 1}}, Target: document.Duration(500 * time.Millisecond)}
	for d := range domains {
		for i := range 2 {
			id := fmt.Sprintf("server-%02d-%d", d, i)
			p.servers = append(p.servers, &limitServer{record: roster.Record{
				ID: id, Service: "s0", Address: fmt.Sprintf("10.1.%d.%d:80", d, i), Domain: domainName(d), Slots: 8, Start: 1,
			}})
		}
	}
	p.entries = f.vms
	for _, v := range f.vms {
		f.loadDocument(v, reducer.LoadDocument{Position: v.documentPosition, Sections: v.sections})
	}
	p.announce()
	p.Run(3 * time.Second)
	p.arrive()
	p.Run(2 * time.Second)
	return p
}

// announce repeats the announcements of all servers.
func (p *limitPlay) announce() {
	for _, server := range p.servers {
		server.record.Sequence++
		for _, v := range p.vms {
			if v.settings.Domain == server.record.Domain && !v.cutOff {
				p.apply(v, reducer.ServerRecordAnnounced{Record: server.record})
				break
			}
		}
	}
	p.clock.Schedule(announceInterval, p.announce)
}

func (p *limitPlay) arrive() {
	p.send(p.entry(), fmt.Sprint(p.random.IntN(60)), 2)
	p.clock.Schedule(time.Duration(p.random.ExpFloat64()/p.rate*float64(time.Second)), p.arrive)
}

func (p *limitPlay) entry() *vm { return p.entries[p.random.IntN(len(p.entries))] }

// send sends a request of a caller who returns, when it is told to, at most so often.
func (p *limitPlay) send(v *vm, object string, returns int) {
	now := p.clock.Now()
	p.lastCall++
	call := p.lastCall
	p.handlers[call] = func(value any) {
		step, ok := value.(relay.Step)
		switch {
		case !ok:
		case step.Send != nil:
			p.serve(v, call, step.Send.Server)
		case step.Stream:
			p.answered++
			delete(p.handlers, call)
			p.apply(v, reducer.RequestEnded{Call: call, Result: routing.ResultOK, Latency: limitServiceTime})
		case step.Refuse != nil:
			p.refused++
			delete(p.handlers, call)
			p.apply(v, reducer.RequestEnded{Call: call})
			if returns > 0 {
				p.clock.Schedule(step.Refuse.RetryAfter, func() { p.send(p.entry(), object, returns-1) })
			}
		}
	}
	p.apply(v, reducer.RequestBegan{Call: call, Request: &relay.Request{
		ID: fmt.Sprint(call), Route: &p.route, Object: object, Fingerprint: uint64(call) * 0x9e3779b97f4a7c15,
		Deadline: now.Add(4 * time.Second), TargetTime: now.Add(500 * time.Millisecond), Replayable: true,
	}})
}

// serve runs a request and answers with the limit of the server.
func (p *limitPlay) serve(v *vm, call uint64, id string) {
	for _, server := range p.servers {
		if server.record.ID != id {
			continue
		}
		server.arrivals = append(server.arrivals, p.clock.Now())
		p.clock.Schedule(limitServiceTime, func() {
			p.apply(v, reducer.RequestSent{Call: call, Result: routing.ResultOK, Latency: limitServiceTime, Notice: routing.Notice{Limit: server.limit}})
		})
	}
}

// mostSince returns the highest number of requests at the server within any span of the
// length from a time on.
func (s *limitServer) mostSince(from time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= length || s.arrivals[first].Before(from) && first < i {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// All VMs together keep the limit of a server while some are lost or cut off from each other, and use most of it.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	const (
		perSecond = 6.0
		known     = time.Second // after the first answer that names it
		window    = 4 * time.Second
		outer     = int(1.5*perSecond*4) + 5
		used      = 0.85
	)
	tests := map[string]struct {
		domains, perDomain int
		all                bool // all servers name the limit
		oneDomain          bool // callers use the entries of the first failure domain only
		trouble            func(*limitPlay)
		loss               float64 // share of the messages that are lost
		byHand             bool    // only with fleetVariable
	}{
		"10 VMs":                                 {domains: 5, perDomain: 2},
		"10 VMs, all limited":                    {domains: 5, perDomain: 2, all: true},
		"81 VMs, all limited":                    {domains: 9, perDomain: 9, all: true},
		"10 VMs, callers in one domain":          {domains: 5, perDomain: 2, all: true, oneDomain: true},
		"81 VMs, callers in one domain":          {domains: 9, perDomain: 9, all: true, oneDomain: true},
		"81 VMs, callers in one domain, divided": {domains: 9, perDomain: 9, all: true, oneDomain: true, trouble: divide(4)},
		"10 VMs, lost messages":                  {domains: 5, perDomain: 2, all: true, loss: 0.2},
		"10 VMs, VM lost":                        {domains: 5, perDomain: 2, all: true, trouble: func(p *limitPlay) { p.byPeer["d00-000"].cutOff = true }},
		"81 VMs, VMs lost":                       {domains: 9, perDomain: 9, all: true, trouble: loseAndReturn("d00-000", "d00-001", "d00-002", "d00-003")},
		"10 VMs, divided domain":                 {domains: 5, perDomain: 2, all: true, trouble: divide(1)},
		"81 VMs, divided domains":                {domains: 9, perDomain: 9, all: true, trouble: divide(4)},
		"510 VMs, all limited":                   {domains: 10, perDomain: 51, all: true, byHand: true},
		"510 VMs, callers in one domain":         {domains: 10, perDomain: 51, all: true, oneDomain: true, byHand: true},
		"510 VMs, VMs lost":                      {domains: 10, perDomain: 51, all: true, trouble: loseAndReturn("d00-000", "d00-001", "d00-002", "d00-003"), byHand: true},
		"510 VMs, divided domains":               {domains: 10, perDomain: 51, all: true, trouble: divide(25), byHand: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.byHand && os.Getenv(fleetVariable) == "" {
				t.Skipf("runs only with %s", fleetVariable)
			}
			p := newLimitPlay(t, test.domains, test.perDomain, 20*float64(2*test.domains))
			if test.oneDomain {
				p.entries = p.vms[:test.perDomain]
			}
			limited := p.servers[:1]
			if test.all {
				limited = p.servers
			}
			for _, server := range limited {
				server.limit = routing.Limit{Named: true, PerSecond: perSecond}
			}
			if test.loss > 0 {
				p.blocked = func(*vm, *vm) bool { return p.random.Float64() < test.loss }
			}
			p.Run(known)
			from := p.clock.Now()
			p.Run(4 * time.Second)
			if test.trouble != nil {
				test.trouble(p)
			}
			p.Run(20 * time.Second)
			total := 0
			for _, server := range limited {
				if most := server.mostSince(from, window); most > outer {
					t.Errorf("%s got %d requests in %v, allowed %d", server.record.ID, most, window, outer)
				}
				all, allowed := server.mostSince(from, 24*time.Second), allowance.Most(server.limit, 24*time.Second)
				if all > allowed {
					t.Errorf("%s got %d requests in 24 s, allowed %d", server.record.ID, all, allowed)
				}
				total += all
			}
			share := float64(total) / (perSecond * 24 * float64(len(limited)))
			t.Logf("%.2f of the limits used, %d requests answered, %d refused", share, p.answered, p.refused)
			if test.trouble == nil && test.loss == 0 && test.all && share < used {
				t.Errorf("%.2f of the limits used, want %v", share, used)
			}
		})
	}
}

// loseAndReturn returns a trouble that cuts VMs off for some seconds.
func loseAndReturn(ids ...string) func(*limitPlay) {
	return func(p *limitPlay) {
		for _, id := range ids {
			v := p.byPeer[id]
			v.cutOff = true
			p.clock.Schedule(8*time.Second, func() { v.cutOff = false })
		}
	}
}

// divide returns a trouble that loses the messages within each failure domain between
// the first VMs and the others for some seconds; all other VMs reach both.
func divide(first int) func(*limitPlay) {
	return func(p *limitPlay) {
		inFirst := func(v *vm) bool { return v.settings.VM[4:] < fmt.Sprintf("%03d", first) }
		p.blocked = func(from, to *vm) bool {
			return from.settings.Domain == to.settings.Domain && inFirst(from) != inFirst(to)
		}
		p.clock.Schedule(10*time.Second, func() { p.blocked = nil })
	}
}
