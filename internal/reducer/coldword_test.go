package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// coldWords is a site of entries that know one server, s1 of failure domain a.
type coldWords struct {
	*session
	server   roster.Record
	sent     int // messages with records
	lastSent time.Time
	tellers  map[string]bool // VMs that sent records to all failure domains
}

const coldWordTime = 8 * time.Second // for which the server is cold

// newColdWords starts so many VMs in each of the failure domains a, b and c; c is in another region.
func newColdWords(perDomain int, older ...string) *coldWords {
	w := &coldWords{
		session: &session{clock: virtual.New(sessionStart), cuts: make(map[string]bool), answers: make(map[uint64]func(any)), warningsOnly: true},
		server:  roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 5, Sequence: 1},
	}
	w.tellers = make(map[string]bool)
	w.passing = func(from, to string, m Message) Message {
		if m.Servers == nil {
			return m
		}
		w.sent++
		w.lastSent = w.now()
		if m.Servers.Relay {
			w.tellers[from] = true
		}
		if !slices.Contains(older, from) && !slices.Contains(older, to) {
			return m
		}
		update := *m.Servers
		update.Records = slices.Clone(update.Records)
		for i := range update.Records {
			update.Records[i].ColdVersion, update.Records[i].Health = 0, ""
		}
		return Message{Servers: &update}
	}
	seeds := []string{"a0", "b0", "c0"}
	for i := range perDomain {
		for _, domain := range []string{"a", "b", "c"} {
			w.addVM(fmt.Sprint(domain, i), false, nil, seeds)
		}
	}
	w.run(3 * time.Second)
	for _, vm := range w.vms {
		w.apply(vm, DocumentLoaded{Position: ledger.Position{Term: 1, Index: 1}, Document: &document.Document{
			Places: document.Places{
				Regions: []document.Region{{Name: "north"}, {Name: "south"}},
				Domains: []document.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}},
			},
			Services: document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry, Cold: document.Duration(coldWordTime), ColdRate: 10}}},
		}})
	}
	w.heartbeat(0)
	w.run(time.Second)
	w.sent, w.tellers = 0, make(map[string]bool)
	return w
}

func (w *coldWords) heartbeat(cold time.Duration) {
	w.server.Sequence++
	w.server.Cold = cold
	w.apply(w.findVM("a0"), ServerRecordAnnounced{Record: w.server})
}

// check has a VM lose contact with the server and hear in the answer to a health check that it is cold.
func (w *coldWords) check(id string, cold time.Duration) {
	vm := w.findVM(id)
	w.apply(vm, ContactLost{Address: w.server.Address, Why: "reset"})
	question := ServerQuestion{Server: "s1", Service: "web", Start: w.server.Start, Address: w.server.Address, AskedAt: w.now()}
	w.apply(vm, ServerAnswered{Question: question, ID: "s1", ColdFor: cold})
}

func (w *coldWords) serverAt(id string) *placing.Server {
	return w.findVM(id).state.placingPools["web"].Find("s1")
}

// A VM that is not told that a server turned cold floods it.
func TestAllVMsLearnThatAServerTurnedCold(t *testing.T) {
	heartbeat := func(w *coldWords) { w.heartbeat(coldWordTime) }
	checkAt := func(id string) func(w *coldWords) {
		return func(w *coldWords) { w.check(id, coldWordTime) }
	}
	tests := map[string]struct {
		turn    func(w *coldWords)
		cut     string   // VM that is cut off while the server turns cold
		older   []string // VMs of an earlier build
		unaware []string // of these, such that are not told
	}{
		"heartbeat":                                   {turn: heartbeat},
		"heartbeat, a VM cut off":                     {turn: heartbeat, cut: "b1"},
		"heartbeat, the relay cut off":                {turn: heartbeat, cut: "c0"},
		"heartbeat, older relay":                      {turn: heartbeat, older: []string{"b0", "b1"}},
		"heartbeat to an older VM":                    {turn: heartbeat, older: []string{"a0"}},
		"health check in the domain of the server":    {turn: checkAt("a2")},
		"health check in another domain":              {turn: checkAt("c2")},
		"health check of the VM that gets heartbeats": {turn: checkAt("a0")},
		"health check, a VM cut off":                  {turn: checkAt("a2"), cut: "b1"},
		"health check, the relay cut off":             {turn: checkAt("b2"), cut: "c0"},
		"health check, older relay":                   {turn: checkAt("c2"), older: []string{"b0", "b1"}, unaware: []string{"b0", "b1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newColdWords(4, test.older...)
			if test.cut != "" {
				w.cutLinks(test.cut, "all", false)
			}
			turnedAt := w.now()
			test.turn(w)
			w.run(500 * time.Millisecond)
			w.cuts = make(map[string]bool)
			w.run(2 * time.Second)
			for _, vm := range w.vms {
				cold, word := w.serverAt(vm.settings.VM).Cold(w.now())
				if cold == slices.Contains(test.unaware, vm.settings.VM) {
					t.Errorf("%s takes it for cold: %v, on the word of %s", vm.settings.VM, cold, word.Source)
				}
				left := vm.state.roster.Find("s1").ColdUntil.Sub(turnedAt) - coldWordTime
				if cold && left.Abs() > 100*time.Millisecond {
					t.Errorf("%s takes it for cold for %v longer than it is", vm.settings.VM, left)
				}
			}
			if test.older == nil && w.now().Sub(w.lastSent) < time.Second {
				t.Errorf("records are still sent %v after the server turned cold", w.lastSent.Sub(turnedAt))
			}
		})
	}
}

// All VMs lose contact with a server that starts again, and ask it.
func TestVMsThatAskAtOnceSendTheWordFewTimes(t *testing.T) {
	const (
		perDomain = 28
		spread    = 100 * time.Millisecond // in which they ask
		most      = 4                      // VMs that tell all others
	)
	for phase := time.Duration(0); phase < sessionTick; phase += sessionTick / 5 {
		t.Run(phase.String(), func(t *testing.T) {
			w := newColdWords(perDomain)
			w.run(phase)
			started := w.now()
			ids := make([]string, 0, len(w.vms))
			for _, vm := range w.vms {
				ids = append(ids, vm.settings.VM)
			}
			slices.Sort(ids)
			for i, id := range ids {
				at := spread * time.Duration(i) / time.Duration(len(ids))
				w.after(at, func() { w.check(id, coldWordTime-at) })
			}
			w.run(3 * time.Second)
			if len(w.tellers) > most || w.sent > most*len(w.vms) || w.lastSent.Sub(started) > time.Second {
				t.Errorf("%d VMs told all others, %d messages, the last after %v", len(w.tellers), w.sent, w.lastSent.Sub(started))
			}
			for _, id := range ids {
				if cold, _ := w.serverAt(id).Cold(w.now()); !cold {
					t.Errorf("%s takes the server for warm", id)
				}
			}
		})
	}
}

// A VM asks a server only if it knows the path of its health checks.
func TestVMsKnowThePathOfHealthChecks(t *testing.T) {
	second := roster.Record{ID: "s2", Service: "web", Address: "10.0.0.2:80", Domain: "b", Slots: 4, Start: 5, Sequence: 1, Health: "/health"}
	tests := map[string]struct {
		older   []string
		second  bool     // another server announces itself to b2
		unaware []string // VMs that don't know the path
	}{
		"present builds":                    {},
		"older relay":                       {older: []string{"b0", "b1"}, unaware: []string{"b0", "b1", "b2", "b3"}},
		"older relay, a server of domain b": {older: []string{"b0", "b1"}, second: true, unaware: []string{"b0", "b1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newColdWords(4, test.older...)
			w.server.Health = "/health"
			for range 3 {
				w.heartbeat(0)
				w.run(300 * time.Millisecond)
			}
			if w.sent > 2*len(w.vms) {
				t.Errorf("%d messages for one path", w.sent)
			}
			if test.second {
				w.apply(w.findVM("b2"), ServerRecordAnnounced{Record: second})
				w.run(300 * time.Millisecond)
			}
			for _, vm := range w.vms {
				known := vm.state.roster.HealthPath("s1") == "/health"
				if known == slices.Contains(test.unaware, vm.settings.VM) {
					t.Errorf("%s knows the path: %v", vm.settings.VM, known)
				}
			}
		})
	}
}
