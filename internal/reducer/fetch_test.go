package reducer

import (
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entryVM(t *testing.T) *State {
	t.Helper()
	s, err := New(Settings{VM: "a1", Peer: "a1:1", Entry: "a1:2", Domain: "a", Region: "north", Seeds: []string{"b1:1"}}, nil, begin)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fetches returns where the VM asks for a document.
func fetches(effects []Effect) []string {
	var peers []string
	for _, effect := range effects {
		if transmit, ok := effect.(Transmit); ok && transmit.Message.Fetch != nil {
			peers = append(peers, transmit.Peer)
		}
	}
	return peers
}

// Who tells of a newer document is alive; the entries that its summaries name
// may be dead.
func TestNewerDocumentIsFetchedFromItsTeller(t *testing.T) {
	s := entryVM(t)
	gossip := member.Gossip{
		From: member.VM{ID: "b2", Peer: "b2:1", Domain: "b", Document: 9},
		Domains: []member.Domain{{
			Name: "b", Version: 3, Document: 9,
			Entries: []member.EntryRef{{ID: "b1", Peer: "dead:1"}, {ID: "b2", Peer: "b2:1"}},
		}},
	}
	got := fetches(s.Apply(begin, Received{Message{Gossip: &gossip}}))
	if len(got) != 1 || got[0] != "b2:1" {
		t.Errorf("asked %v for the document, want the VM that told of it", got)
	}
}

// routesSpread changes the section of routes from one version to the next.
func routesSpread(version uint64) Spread {
	return Spread{
		From:     "c1:1",
		Position: ledger.Position{Term: 2, Index: version},
		Versions: ledger.Versions{Routes: version},
		Sections: []SectionPatch{{Name: document.SectionRoutes, Base: version - 1, Version: version, Middle: []byte(strings.Repeat("#\n", int(version)))}},
	}
}

// Changes that arrive out of order are followed without a fetch.
func TestChangesOutOfOrder(t *testing.T) {
	s := entryVM(t)
	for _, version := range []uint64{1, 4, 3, 2, 5} {
		spread := routesSpread(version)
		if got := fetches(s.Apply(begin, Received{Message{Spread: &spread}})); got != nil {
			t.Errorf("asked %v for the document at version %d", got, version)
		}
	}
	if s.copyAt.Index != 5 || s.Versions().Routes != 5 {
		t.Errorf("holds index %d, routes version %d, want 5", s.copyAt.Index, s.Versions().Routes)
	}
}

// Where a change stays missing, the document is fetched from the VM that sent the
// newest one: the leader that is known here may be gone.
func TestMissingChangeIsFetchedFromTheSender(t *testing.T) {
	s := entryVM(t)
	spread := routesSpread(3)
	s.Apply(begin, Received{Message{Spread: &spread}})
	got := fetches(s.Apply(begin.Add(holdTime), Tick{}))
	if len(got) != 1 || got[0] != "c1:1" {
		t.Errorf("asked %v for the document, want the sender of the change", got)
	}
	if again := fetches(s.Apply(begin.Add(holdTime+50*time.Millisecond), Tick{})); again != nil {
		t.Errorf("asked %v again within the interval", again)
	}
}

// A VM that lacks one section gets that one only.
func TestFetchBringsWhatIsMissing(t *testing.T) {
	s := entryVM(t)
	s.copyAt = ledger.Position{Term: 1, Index: 9}
	for _, name := range document.Sections() {
		s.copies = append(s.copies, ledger.Section{Name: name, Version: 2, Text: []byte(name)})
	}
	have := s.Versions()
	have.Closures = 1
	for _, effect := range s.Apply(begin, Received{Message{Fetch: &Fetch{Peer: "b1:1", Versions: have}}}) {
		transmit, ok := effect.(Transmit)
		if !ok {
			continue
		}
		if sections := transmit.Message.Spread.Sections; len(sections) != 1 || sections[0].Name != document.SectionClosures {
			t.Errorf("sent %d sections, want the closures only", len(sections))
		}
	}
}

// Entries of the log that are applied together reach other VMs as one change.
func TestEntriesAppliedTogetherAreSpreadOnce(t *testing.T) {
	s := entryVM(t)
	s.ledger = ledger.New()
	for i := range 20 {
		command := ledger.Command{Close: &ledger.Close{Closure: document.Closure{Kind: document.CloseServer, Name: "s", Start: int64(i)}}}
		data, err := ledger.Encode(command)
		if err != nil {
			t.Fatal(err)
		}
		s.applyCommand(ledger.Position{Term: 1, Index: uint64(i + 1)}, data)
	}
	if got := len(s.changedSections); got != 1 {
		t.Errorf("%d sections wait to be spread, want the closures once", got)
	}
	for _, effect := range s.take() {
		if _, ok := effect.(LoadDocument); ok {
			t.Error("a document was loaded before the last entry was applied")
		}
	}
}

// Servers of a failure domain that is opened may be cold; they are spared until
// they announce themselves, also by a VM that started meanwhile.
func TestReopenedDomainCountsAsCold(t *testing.T) {
	record := roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "b", Slots: 4, Start: 5, Sequence: 1}
	reopened := document.Closures{Reopened: []document.Reopened{{Name: "b", At: begin.UnixMilli()}}}
	tests := map[string]struct {
		before *document.Document
		age    time.Duration
		cold   bool
	}{
		"seen to open":             {&document.Document{}, time.Hour, true},
		"opened before":            {&document.Document{Closures: reopened}, time.Second, false},
		"started just after":       {nil, time.Second, true},
		"started long after":       {nil, time.Hour, false},
		"started, clock is behind": {nil, -2 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.roster.Announce(record, begin)
			s.document = test.before
			s.now = begin.Add(test.age)
			s.presumeCold(reopened)
			if cold := s.now.Before(s.roster.Find("s1").ColdUntil); cold != test.cold {
				t.Errorf("cold %v, want %v", cold, test.cold)
			}
		})
	}
}

// When many servers die at once, the suspicions of what they ran are not told to all
// VMs one by one; a quarantine always is.
func TestSuspicionsAreBounded(t *testing.T) {
	s := entryVM(t)
	for fingerprint := range uint64(20) {
		s.quarantine.RecordDeath(fingerprint, 0, begin)
		s.spreadBar(fingerprint)
	}
	if s.barsTold != barsPerTick {
		t.Errorf("%d suspicions told in one tick, want %d", s.barsTold, barsPerTick)
	}
	s.quarantine.BeginTrial(7, 1)
	s.quarantine.RecordDeath(7, 1, begin)
	s.spreadBar(7)
	if s.barsTold != barsPerTick+1 {
		t.Error("a quarantine was not told")
	}
	s.Apply(begin.Add(time.Second), Tick{})
	if s.barsTold != 0 {
		t.Error("the bound did not begin anew with the tick")
	}
}

// Entries take turns at cold servers only where each gets less than one request a
// second.
func TestEntriesTakeTurnsWhereTheRateIsSmall(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		turns int
	}{
		"less than one each": {12.5, 76},
		"one each":           {76, 0},
		"no limit":           {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.Settings.Entry = "10.0.0.9:80"
			s.entries, s.entriesBefore = 76, 5
			service := document.Service{Name: "web", Placing: document.PlacingEntry, ColdRate: test.rate}
			s.document = &document.Document{Services: document.Services{Services: []document.Service{service}}}
			s.updatePlaces()
			policy := s.places["web"].Policy
			if policy.ColdEntries != test.turns || policy.ColdEntryIndex != 5 {
				t.Errorf("turn %d of %d, want 5 of %d", policy.ColdEntryIndex, policy.ColdEntries, test.turns)
			}
			if test.rate == 0 && policy.ColdRate != 0 {
				t.Errorf("a rate of %v for a service without one", policy.ColdRate)
			}
		})
	}
}
