package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// entryGossip returns gossip of an entry VM of the failure domain "a".
func entryGossip(id string, counter uint64, stopping bool) Received {
	return Received{Message{Gossip: &member.Gossip{From: member.VM{
		ID: id, Peer: id + ":1", Entry: id + ":2", Domain: "a", Region: "north", Incarnation: 1, Counter: counter, Stopping: stopping,
	}}}}
}

func TestShareOfAColdServerDoesNotGrowWhenOtherEntriesAreLost(t *testing.T) {
	tests := map[string]struct {
		stopping bool // the other entries stop as planned
		after    time.Duration
		entries  int // among which this VM shares the rate
		index    int
		live     int
	}{
		"heard":                 {after: time.Second, entries: 3, index: 1, live: 3},
		"lost":                  {after: 5 * time.Minute, entries: 3, index: 1, live: 1},
		"lost long ago":         {after: 11 * time.Minute, entries: 1, index: 0, live: 1},
		"stopped as planned":    {stopping: true, after: 10 * time.Second, entries: 1, index: 0, live: 1},
		"stopping, still heard": {stopping: true, after: time.Second, entries: 3, index: 1, live: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.Apply(testStart, Tick{})
			s.Apply(testStart, entryGossip("a0", 1, test.stopping))
			s.Apply(testStart, entryGossip("a2", 1, test.stopping))
			for at := time.Duration(0); at <= test.after; at += time.Second {
				s.Apply(testStart.Add(at), Tick{})
			}
			if s.entryCount != test.entries || s.entryIndex != test.index || s.liveEntries != test.live {
				t.Errorf("counts %d entries, %d before this VM, %d live, want %d, %d and %d", s.entryCount, s.entryIndex, s.liveEntries, test.entries, test.index, test.live)
			}
		})
	}
}

func TestNothingIsSentToAColdServerBeforeTheEntriesAreKnown(t *testing.T) {
	summary := func(domain string) Received {
		return Received{Message{Gossip: &member.Gossip{
			From:    member.VM{ID: domain + "1", Peer: domain + "1:1", Entry: domain + "1:2", Domain: domain, Region: "north", Incarnation: 1, Counter: 1},
			Domains: []member.Domain{{Name: domain, Region: "north", Version: 1, VMs: 4, EntryVMs: 4}},
		}}}
	}
	tests := map[string]struct {
		heard map[time.Duration]Event
		at    time.Duration
		held  bool
	}{
		"nothing heard":                     {at: 3900 * time.Millisecond, held: true},
		"nothing heard, waited too long":    {at: 4 * time.Second},
		"another failure domain is missing": {heard: map[time.Duration]Event{0: entryGossip("a0", 1, false)}, at: 3900 * time.Millisecond, held: true},
		"its own failure domain is missing": {heard: map[time.Duration]Event{0: summary("b")}, at: 3900 * time.Millisecond, held: true},
		"all heard just now":                {heard: map[time.Duration]Event{0: entryGossip("a0", 1, false), 500 * time.Millisecond: summary("b")}, at: 1400 * time.Millisecond, held: true},
		"all heard":                         {heard: map[time.Duration]Event{0: entryGossip("a0", 1, false), 500 * time.Millisecond: summary("b")}, at: 1600 * time.Millisecond},
		"more are heard of meanwhile": {heard: map[time.Duration]Event{
			0: entryGossip("a0", 1, false), 500 * time.Millisecond: summary("b"), time.Second: entryGossip("a2", 1, false),
		}, at: 1900 * time.Millisecond, held: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			service := document.Service{Name: "web", Placing: document.PlacingEntry, ColdRate: 9, Cold: document.Duration(3 * time.Second)}
			s.Apply(testStart, DocumentLoaded{Position: ledger.Position{Term: 2, Index: 5}, Document: &document.Document{
				Places:   document.Places{Domains: []document.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}},
				Services: document.Services{Services: []document.Service{service}},
			}})
			s.roster.Announce(roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 5, Sequence: 1, Cold: 9 * time.Second}, testStart)
			for at := time.Duration(0); at <= test.at; at += 50 * time.Millisecond {
				if event := test.heard[at]; event != nil {
					s.Apply(testStart.Add(at), event)
				}
				s.Apply(testStart.Add(at), Tick{})
			}
			if held := s.placingPools["web"].Policy.ColdHeld; held != test.held {
				t.Errorf("cold servers are left out: %v, want %v", held, test.held)
			}
		})
	}
}
