package reducer

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entryVM(t *testing.T) *State {
	t.Helper()
	s, err := New(Settings{VM: "a1", Peer: "a1:1", Entry: "a1:2", Domain: "a", Region: "north", Seeds: []string{"b1:1"}}, nil, testStart)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// documentRequests returns the peers that the VM asks for a document.
func documentRequests(effects []Effect) []string {
	var peers []string
	for _, effect := range effects {
		if transmit, ok := effect.(Transmit); ok && transmit.Message.Fetch != nil {
			peers = append(peers, transmit.Peer)
		}
	}
	return peers
}

// The document is fetched from the sender of the gossip that names a newer one:
// it is alive, while the entries listed in its summaries may be dead.
func TestNewerDocumentIsFetchedFromGossipSender(t *testing.T) {
	s := entryVM(t)
	gossip := member.Gossip{
		From: member.VM{ID: "b2", Peer: "b2:1", Domain: "b", Document: 9},
		Domains: []member.Domain{{
			Name: "b", Version: 3, Document: 9,
			Entries: []member.EntryRef{{ID: "b1", Peer: "dead:1"}, {ID: "b2", Peer: "b2:1"}},
		}},
	}
	got := documentRequests(s.Apply(testStart, Received{Message{Gossip: &gossip}}))
	if len(got) != 1 || got[0] != "b2:1" {
		t.Errorf("asked %v for the document, want the sender of the gossip", got)
	}
}

// routesUpdate returns an update of the routes section from version-1 to
// version.
func routesUpdate(version uint64) DocumentUpdate {
	return DocumentUpdate{
		From:     "c1:1",
		Position: ledger.Position{Term: 2, Index: version},
		Versions: ledger.Versions{Routes: version},
		Sections: []SectionPatch{{Name: document.SectionRoutes, Base: version - 1, Version: version, Middle: []byte(strings.Repeat("#\n", int(version)))}},
	}
}

// Changes that arrive out of order are held and applied in order, without a
// fetch.
func TestChangesOutOfOrderNeedNoFetch(t *testing.T) {
	s := entryVM(t)
	for _, version := range []uint64{1, 4, 3, 2, 5} {
		update := routesUpdate(version)
		if got := documentRequests(s.Apply(testStart, Received{Message{Spread: &update}})); got != nil {
			t.Errorf("asked %v for the document at version %d", got, version)
		}
	}
	if s.sectionsAt.Index != 5 || s.Versions().Routes != 5 {
		t.Errorf("holds index %d, routes version %d, want 5", s.sectionsAt.Index, s.Versions().Routes)
	}
}

// When a change stays missing, the document is fetched from the VM that sent
// the newest one, because the known leader may be dead.
func TestMissingChangeIsFetchedFromSender(t *testing.T) {
	s := entryVM(t)
	update := routesUpdate(3)
	s.Apply(testStart, Received{Message{Spread: &update}})
	got := documentRequests(s.Apply(testStart.Add(maxHoldTime), Tick{}))
	if len(got) != 1 || got[0] != "c1:1" {
		t.Errorf("asked %v for the document, want the sender of the change", got)
	}
	if again := documentRequests(s.Apply(testStart.Add(maxHoldTime+50*time.Millisecond), Tick{})); again != nil {
		t.Errorf("asked %v again within the interval", again)
	}
}

// A VM that lacks one section is sent only that one.
func TestFetchReturnsOnlyMissingSections(t *testing.T) {
	s := entryVM(t)
	s.sectionsAt = ledger.Position{Term: 1, Index: 9}
	for _, name := range document.Sections() {
		s.sections = append(s.sections, ledger.Section{Name: name, Version: 2, Text: []byte(name)})
	}
	have := s.Versions()
	have.Closures = 1
	for _, effect := range s.Apply(testStart, Received{Message{Fetch: &DocumentRequest{Peer: "b1:1", Versions: have}}}) {
		transmit, ok := effect.(Transmit)
		if !ok {
			continue
		}
		if sections := transmit.Message.Spread.Sections; len(sections) != 1 || sections[0].Name != document.SectionClosures {
			t.Errorf("sent %d sections, want the closures only", len(sections))
		}
	}
}

// Log entries that are applied together are sent to other VMs as one change.
func TestEntriesAppliedTogetherAreSentOnce(t *testing.T) {
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
		t.Errorf("%d sections are marked as changed, want the closures once", got)
	}
	for _, effect := range s.takeEffects() {
		if _, ok := effect.(LoadDocument); ok {
			t.Error("a document was loaded before the last entry was applied")
		}
	}
}

// Servers of a reopened failure domain may be cold. They count as cold until
// they announce themselves, also on a VM that started after the reopening.
func TestReopenedDomainIsPresumedCold(t *testing.T) {
	record := roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "b", Slots: 4, Start: 5, Sequence: 1}
	const coldTime = 5 * time.Second
	reopened := document.Closures{Reopened: []document.Reopened{{Name: "b", At: testStart.UnixMilli()}}}
	tests := map[string]struct {
		before *document.Document
		age    time.Duration
		cold   bool
	}{
		"reopened by the new document":        {&document.Document{}, time.Hour, true},
		"reopened by an earlier document":     {&document.Document{Closures: reopened}, time.Second, false},
		"VM started just after the reopening": {nil, time.Second, true},
		"VM started long after the reopening": {nil, time.Hour, false},
		"VM started with its clock behind":    {nil, -2 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.roster.Announce(record, testStart)
			s.document = test.before
			s.now = testStart.Add(test.age)
			s.presumeCold(&document.Document{Closures: reopened, Services: document.Services{Services: []document.Service{{Name: "web", Cold: document.Duration(coldTime)}}}})
			if cold := s.now.Before(s.roster.Find("s1").ColdUntil); cold != test.cold {
				t.Errorf("cold %v, want %v", cold, test.cold)
			}
			if left := s.roster.Find("s1").ColdUntil.Sub(s.now); test.cold && left != coldTime {
				t.Errorf("cold for %v, want %v as any server of the service after a start", left, coldTime)
			}
		})
	}
}

// When many servers die at once, only maxSuspicionsPerTick of the resulting
// suspicions are sent to other VMs in a tick; a quarantine is always sent.
func TestSuspicionsPerTickAreBounded(t *testing.T) {
	s := entryVM(t)
	for fingerprint := range uint64(20) {
		s.quarantine.RecordDeath(fingerprint, 0, testStart)
		s.sendSuspicion(fingerprint)
	}
	if s.suspicionsSent != maxSuspicionsPerTick {
		t.Errorf("%d suspicions sent in one tick, want %d", s.suspicionsSent, maxSuspicionsPerTick)
	}
	s.quarantine.BeginTrial(7, 1)
	s.quarantine.RecordDeath(7, 1, testStart)
	s.sendSuspicion(7)
	if s.suspicionsSent != maxSuspicionsPerTick+1 {
		t.Error("a quarantine was not sent")
	}
	s.Apply(testStart.Add(time.Second), Tick{})
	if s.suspicionsSent != 0 {
		t.Error("the limit was not reset by the tick")
	}
}

// Entries take turns at cold servers unless the rate allows each one request a second
// and leaves some for those that others do not know yet.
func TestEntriesStaggerAtLowColdRate(t *testing.T) {
	tests := map[string]struct {
		rate    float64
		entries int // that stagger their requests
	}{
		"less than one each": {12.5, 76},
		"one each, no spare": {76, 76},
		"one each":           {95, 0},
		"no limit":           {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.Settings.Entry = "10.0.0.9:80"
			s.entryCount, s.entryIndex = 76, 5
			service := document.Service{Name: "web", Placing: document.PlacingEntry, ColdRate: test.rate}
			s.document = &document.Document{Services: document.Services{Services: []document.Service{service}}}
			s.updatePlacingPools()
			policy := s.placingPools["web"].Policy
			if policy.ColdEntries != test.entries || policy.ColdEntryIndex != 5 {
				t.Errorf("index %d of %d entries, want 5 of %d", policy.ColdEntryIndex, policy.ColdEntries, test.entries)
			}
			if test.rate == 0 && policy.ColdRate != 0 {
				t.Errorf("cold rate %v for a service without one", policy.ColdRate)
			}
		})
	}
}

// A withdrawal names no start: all until now are closed, and the known one by itself for earlier
// builds. A VM that has just started can't name that one, and confirms nothing.
func TestWithdrawalClosesEveryStartThatItMayMean(t *testing.T) {
	record := roster.Record{ID: "w1", Service: "web", Address: "10.0.0.9:1", Domain: "a", Slots: 2, Start: 5, Sequence: 3}
	later := record
	later.Start, later.Sequence = 9, 1
	now := testStart.UnixMilli()
	tests := map[string]struct {
		saved   []roster.Record
		heard   *roster.Record // from another VM
		learned bool
		after   time.Duration // since the start of the VM
		id      string        // instead of w1
		want    []int64       // starts to close; nil for unknown
	}{
		"empty roster":                     {},
		"empty roster, started long ago":   {after: rosterLearnTime, want: []int64{now + rosterLearnTime.Milliseconds()}},
		"compared, never heard of":         {learned: true},
		"never heard of, started long ago": {learned: true, after: rosterLearnTime, want: []int64{now + rosterLearnTime.Milliseconds()}},
		"saved only":                       {saved: []roster.Record{record}},
		"saved only, started long ago":     {saved: []roster.Record{record}, after: rosterLearnTime, want: []int64{now + rosterLearnTime.Milliseconds(), 5}},
		"saved and compared":               {saved: []roster.Record{record}, learned: true, want: []int64{now, 5}},
		"saved, later start heard":         {saved: []roster.Record{record}, heard: &later, want: []int64{now, 9}},
		"heard from another VM":            {heard: &record, want: []int64{now, 5}},
		"saved, heard of once more":        {saved: []roster.Record{record}, heard: &roster.Record{ID: "w1", Service: "web", Address: "10.0.0.9:1", Domain: "a", Slots: 2, Start: 5, Sequence: 4}, want: []int64{now, 5}},
		"not an id of a server":            {id: "w 1", learned: true, after: rosterLearnTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := New(Settings{VM: "a1", Peer: "a1:1", Domain: "a", Region: "north", SavedServers: test.saved}, nil, testStart)
			if err != nil {
				t.Fatal(err)
			}
			s.rosterLearned = test.learned
			if test.heard != nil {
				s.Apply(testStart, Received{Message{Servers: &ServerUpdate{Records: []roster.Record{*test.heard}}}})
			}
			var got ServerRecordResult
			event := ServerRecordAnnounced{Call: 1, Record: roster.Record{ID: cmp.Or(test.id, "w1")}, Withdrawn: true}
			for _, effect := range s.Apply(testStart.Add(test.after), event) {
				if answer, ok := effect.(Answer); ok {
					got = answer.Value.(ServerRecordResult)
				}
			}
			if got.Unknown != (test.want == nil) || !slices.Equal(got.Close, test.want) {
				t.Errorf("unknown %v, closes %v, want %v", got.Unknown, got.Close, test.want)
			}
		})
	}
}

// The leave of a server that had drained closed nothing, whichever start it meant.
func TestWithdrawalAfterADrainClosesLaterStarts(t *testing.T) {
	s := closuresVM(t)
	s.Apply(testStart, loaded(8, closedServer))
	result := s.withdrawServer(closedServer.Name)
	if want := []int64{testStart.UnixMilli()}; !slices.Equal(result.Close, want) {
		t.Errorf("closes %v, want %v", result.Close, want)
	}
}

// The project's own interface told a server that it had left while a later start of it was in use.
func TestWithdrawalOnOwnInterfaceClosesLaterStarts(t *testing.T) {
	tests := map[string]struct {
		start int64
		want  []int64
	}{
		"with a start":    {start: 7, want: []int64{testStart.UnixMilli(), 7}},
		"without a start": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := closuresVM(t)
			s.Apply(testStart, loaded(5))
			s.roster.Announce(roster.Record{ID: "s2", Service: "web", Address: "10.0.0.2:80", Domain: "a", Slots: 4, Start: test.start, Sequence: 1}, testStart)
			for _, effect := range s.Apply(testStart, ServerAnnounced{Call: 1, Announcement: routing.Announcement{ID: "s2", Service: "web"}, Withdrawn: true}) {
				if answer, ok := effect.(Answer); ok && !slices.Equal(answer.Value.(AnnouncementResult).Close, test.want) {
					t.Errorf("got %+v, want it to close %v", answer.Value, test.want)
				}
			}
		})
	}
}
