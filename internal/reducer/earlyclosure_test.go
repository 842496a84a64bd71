package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var (
	closedServer = document.Closure{Kind: document.CloseServer, Name: "s1", Start: 5}
	closedDomain = document.Closure{Kind: document.CloseDomain, Name: "a"}
	closedRoute  = document.Route{Name: "all", To: []document.Target{{Service: "web", Weight: 1}}}
)

// closuresVM returns a VM that knows server s1 and the VM a2 of its failure domain,
// and holds the sections of index 5; no document is in force yet.
func closuresVM(t *testing.T) *State {
	t.Helper()
	s := entryVM(t)
	s.roster.Announce(roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 5, Sequence: 1}, testStart)
	gossip := member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Domain: "a", Region: "north"}}
	s.Apply(testStart, Received{Message{Gossip: &gossip}})
	s.Apply(testStart, Received{Message{Spread: &DocumentUpdate{
		From:     "c1:1",
		Position: ledger.Position{Term: 2, Index: 5},
		Versions: ledger.Versions{Routes: 1, Closures: 1},
		Sections: []SectionPatch{{Name: document.SectionRoutes, Version: 1}, {Name: document.SectionClosures, Version: 1}},
	}}})
	if s.sectionsAt.Index != 5 {
		t.Fatalf("holds the sections of index %d, want 5", s.sectionsAt.Index)
	}
	return s
}

// loaded returns the event that a document is parsed.
func loaded(index uint64, closures ...document.Closure) DocumentLoaded {
	return DocumentLoaded{Position: ledger.Position{Term: 2, Index: index}, Document: &document.Document{
		Places:   document.Places{Domains: []document.Domain{{Name: "a", Region: "north"}}},
		Services: document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry}}},
		Routes:   document.Routes{Routes: []document.Route{closedRoute}},
		Closures: document.Closures{Closures: closures},
	}}
}

// routesChange returns the change of index 7, of the routes.
func routesChange() Received {
	return Received{Message{Spread: &DocumentUpdate{
		From:     "c1:1",
		Position: ledger.Position{Term: 2, Index: 7},
		Versions: ledger.Versions{Routes: 2, Closures: 1},
		Sections: []SectionPatch{{Name: document.SectionRoutes, Base: 1, Version: 2, Middle: []byte("#\n")}},
	}}}
}

// closing returns the change of index 8, which adds closures and follows routesChange.
func closing(relayed bool, closures ...document.Closure) Received {
	return Received{Message{Spread: &DocumentUpdate{
		From:     "c1:1",
		Position: ledger.Position{Term: 2, Index: 8},
		Versions: ledger.Versions{Routes: 2, Closures: 2},
		Sections: []SectionPatch{{Name: document.SectionClosures, Base: 1, Version: 2, Middle: []byte("#\n")}},
		Closed:   closures,
		Relay:    relayed,
	}}}
}

// getsRequest reports whether a request that arrives now is sent to server s1.
func getsRequest(s *State) bool {
	now := testStart.Add(100 * time.Millisecond)
	s.Apply(now, Tick{})
	r := &relay.Request{ID: "r1", Route: &closedRoute, Deadline: now.Add(time.Second), TargetTime: now.Add(time.Second)}
	for _, effect := range s.Apply(now, RequestBegan{Call: 1, Request: r}) {
		if answer, ok := effect.(Answer); ok && answer.Value.(relay.Step).Send != nil {
			return true
		}
	}
	return false
}

// Requests went on to a server for as long as an earlier change, of another section, was in transit or being parsed.
func TestClosedServerGetsNoRequestWhileDocumentIsMissing(t *testing.T) {
	alone := Received{Message{Closures: &ClosureUpdate{Position: ledger.Position{Term: 2, Index: 8}, Closures: []document.Closure{closedServer}}}}
	otherStart := document.Closure{Kind: document.CloseServer, Name: "s1", Start: 4}
	laterStart := document.Closure{Kind: document.CloseServer, Name: "s1", Start: 6}
	tests := map[string]struct {
		events []Event
		want   bool // the server gets the request
	}{
		"not closed":                            {[]Event{loaded(5), routesChange()}, true},
		"an earlier change is missing":          {[]Event{loaded(5), closing(false, closedServer)}, false},
		"failure domain, change missing":        {[]Event{loaded(5), closing(false, closedDomain)}, false},
		"change applied but not parsed":         {[]Event{loaded(5), routesChange(), closing(false, closedServer)}, false},
		"older document is parsed later":        {[]Event{loaded(5), closing(false, closedServer), loaded(7)}, false},
		"first document is older":               {[]Event{closing(false, closedServer), loaded(5)}, false},
		"closure passed on without its change":  {[]Event{loaded(5), alone}, false},
		"document has the closure":              {[]Event{loaded(5), closing(false, closedServer), loaded(8, closedServer)}, false},
		"document of its position has it not":   {[]Event{loaded(5), closing(false, closedServer), loaded(8)}, true},
		"opened again by a later document":      {[]Event{loaded(5), closing(false, closedServer), loaded(9)}, true},
		"change older than the document":        {[]Event{loaded(9), closing(false, closedServer)}, true},
		"closure alone, older than document":    {[]Event{loaded(9), alone}, true},
		"told again after it was opened":        {[]Event{loaded(5), closing(false, closedServer), loaded(9), alone}, true},
		"an earlier start of the server closed": {[]Event{loaded(5), closing(false, otherStart)}, true},
		"a later start closed, no document":     {[]Event{loaded(5), closing(false, laterStart)}, false},
		"a later start closed by the document":  {[]Event{loaded(8, laterStart)}, false},
		"several starts closed":                 {[]Event{loaded(8, laterStart, otherStart)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := closuresVM(t)
			for _, event := range test.events {
				s.Apply(testStart, event)
			}
			got := getsRequest(s)
			if got != test.want {
				t.Errorf("server gets the request: %v, want %v", got, test.want)
			}
		})
	}
}

// A relay passes closures on once: with the change where it fits, else alone and at once.
func TestRelayPassesClosuresOnOnce(t *testing.T) {
	relayed, direct := closing(true, closedServer), closing(false, closedServer)
	tests := map[string]struct {
		events []Event
		whole  int // changes passed on with their closures
		alone  int // closures passed on without their change
	}{
		"change fits":                      {[]Event{loaded(5), routesChange(), relayed}, 1, 0},
		"an earlier change is missing":     {[]Event{loaded(5), relayed}, 0, 1},
		"the missing change arrives later": {[]Event{loaded(5), relayed, routesChange()}, 0, 1},
		"received twice":                   {[]Event{loaded(5), relayed, relayed}, 0, 1},
		"also received from another relay": {[]Event{loaded(5), direct, relayed}, 0, 0},
		"not a relay":                      {[]Event{loaded(5), direct}, 0, 0},
		"sections newer, not parsed":       {[]Event{loaded(5), routesChange(), closing(false), relayed}, 0, 1},
		"document newer":                   {[]Event{loaded(9), relayed}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := closuresVM(t)
			whole, alone := 0, 0
			for _, event := range test.events {
				for _, effect := range s.Apply(testStart, event) {
					transmit, ok := effect.(Transmit)
					switch {
					case !ok || transmit.Peer != "a2:1":
					case transmit.Message.Spread != nil && slices.Contains(transmit.Message.Spread.Closed, closedServer):
						whole++
					case transmit.Message.Closures != nil && transmit.Message.Closures.Position.Index == 8 && slices.Contains(transmit.Message.Closures.Closures, closedServer):
						alone++
					}
				}
			}
			if whole != test.whole || alone != test.alone {
				t.Errorf("passed on %d times with the change and %d times alone, want %d and %d", whole, alone, test.whole, test.alone)
			}
			if held := slices.ContainsFunc(s.heldUpdates, func(u DocumentUpdate) bool { return len(u.Sections) == 0 }); held {
				t.Error("closures without their change are held as a change")
			}
		})
	}
}

// logVM returns closuresVM as a VM that applies the replicated log.
func logVM(t *testing.T) *State {
	t.Helper()
	s := closuresVM(t)
	s.ledger = ledger.New()
	s.quorum = quorum.New(quorum.DefaultSettings("a1"), quorum.DurableState{}, testStart)
	return s
}

// sendCloses applies log entries together and returns the change sent to VM a2.
func sendCloses(t *testing.T, s *State, changes []ledger.Close) *DocumentUpdate {
	t.Helper()
	for _, change := range changes {
		data, err := ledger.Encode(ledger.Command{Close: &change})
		if err != nil {
			t.Fatal(err)
		}
		s.applyCommand(ledger.Position{Term: 2, Index: max(s.ledger.Position.Index, 9) + 1}, data)
	}
	s.applyQuorumEffects(nil)
	var sent *DocumentUpdate
	for _, effect := range s.takeEffects() {
		if transmit, ok := effect.(Transmit); ok && transmit.Peer == "a2:1" && transmit.Message.Spread != nil {
			sent = transmit.Message.Spread
		}
	}
	return sent
}

// A change carries the closures that it added and that are still closed after it.
func TestChangeCarriesItsClosures(t *testing.T) {
	server := func(name string) document.Closure {
		return document.Closure{Kind: document.CloseServer, Name: name, Start: 5}
	}
	tests := map[string]struct {
		earlier []ledger.Close // by the change before
		changes []ledger.Close
		want    []document.Closure
	}{
		"server":           {nil, []ledger.Close{{Closure: closedServer}}, []document.Closure{closedServer}},
		"failure domain":   {nil, []ledger.Close{{Closure: closedDomain}}, []document.Closure{closedDomain}},
		"two together":     {nil, []ledger.Close{{Closure: server("s2")}, {Closure: server("s3")}}, []document.Closure{server("s2"), server("s3")}},
		"opened in it":     {nil, []ledger.Close{{Closure: closedServer}, {Closure: server("s2")}, {Closure: closedServer, Open: true}}, []document.Closure{server("s2")}},
		"only opens":       {[]ledger.Close{{Closure: closedServer}}, []ledger.Close{{Closure: closedServer, Open: true}}, nil},
		"closed before it": {[]ledger.Close{{Closure: closedServer}}, []ledger.Close{{Closure: closedServer}, {Closure: server("s2")}}, []document.Closure{server("s2")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := logVM(t)
			sendCloses(t, s, test.earlier)
			sent := sendCloses(t, s, test.changes)
			if sent == nil || !slices.Equal(sent.Closed, test.want) {
				t.Errorf("sent %+v, want the closures %v", sent, test.want)
			}
		})
	}
}

// The VM that applies the log keeps requests from a closed server while it parses the document.
func TestClosureIsInForceBeforeOwnDocumentIsParsed(t *testing.T) {
	s := logVM(t)
	s.Apply(testStart, loaded(5))
	sendCloses(t, s, []ledger.Close{{Closure: closedServer}})
	if getsRequest(s) {
		t.Error("the closed server gets a request")
	}
}

// Only a document or the log tells a server that the log has its closure.
func TestEarlyClosureIsNotReportedAsInTheLog(t *testing.T) {
	s := closuresVM(t)
	s.Apply(testStart, loaded(5))
	s.Apply(testStart, closing(false, closedServer))
	if s.closedInLog("s1", 5) {
		t.Error("reported as in the log before the document is in force")
	}
	s.Apply(testStart, loaded(8, closedServer))
	if !s.closedInLog("s1", 5) {
		t.Error("not reported as in the log although the document has it")
	}
}

// Closures kept ahead of the document are bounded; the newest stay.
func TestEarlyClosuresAreBounded(t *testing.T) {
	tests := map[string]int{"one at a time": 1, "all in one message": 2 * maxEarlyClosures}
	for name, batch := range tests {
		t.Run(name, func(t *testing.T) {
			s := closuresVM(t)
			s.Apply(testStart, loaded(5))
			var closures []document.Closure
			for i := range 2*maxEarlyClosures - 1 {
				closures = append(closures, document.Closure{Kind: document.CloseServer, Name: fmt.Sprint("x", i)})
			}
			closures = append(closures, closedServer)
			index := uint64(10)
			for part := range slices.Chunk(closures, batch) {
				index++
				s.Apply(testStart, Received{Message{Closures: &ClosureUpdate{Position: ledger.Position{Term: 2, Index: index}, Closures: part}}})
			}
			if got := len(s.earlyClosures); got != maxEarlyClosures {
				t.Errorf("keeps %d closures, want %d", got, maxEarlyClosures)
			}
			if getsRequest(s) {
				t.Error("the server closed last gets a request")
			}
		})
	}
}
