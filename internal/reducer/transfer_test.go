package reducer

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// randomText returns text that hardly compresses.
func randomText(size int) []byte {
	var text bytes.Buffer
	for x := uint64(1); text.Len() < size; {
		x = x*6364136223846793005 + 1442695040888963407
		fmt.Fprintf(&text, "%016x\n", x)
	}
	return text.Bytes()
}

// holdRoutes gives a VM a document with the routes section in a version.
func holdRoutes(s *State, index, version uint64, text []byte) {
	sections := s.heldSections()
	for i := range sections {
		if sections[i].Name == document.SectionRoutes {
			sections[i] = ledger.Section{Name: document.SectionRoutes, Version: version, Position: ledger.Position{Term: 1, Index: index}, Text: text}
		}
	}
	s.adoptSections(ledger.Position{Term: 1, Index: index}, sections)
	s.takeEffects()
}

func namedVM(t *testing.T, id string) *State {
	t.Helper()
	s, err := New(Settings{VM: id, Peer: id + ":1", Entry: id + ":2", Domain: id[:1], Region: "north"}, nil, testStart)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fleet connects VMs by their peer addresses and counts the messages of a kind.
type fleet struct {
	vms    map[string]*State
	counts map[string]int // by receiver and kind
	bytes  map[string]int // of document text, by receiver
}

// deliver applies an event to a VM, and all messages that follow from it.
func (f *fleet) deliver(to *State, at time.Time, event Event) {
	type delivery struct {
		vm    *State
		event Event
	}
	for queue := []delivery{{to, event}}; len(queue) > 0; queue = queue[1:] {
		for _, effect := range queue[0].vm.Apply(at, queue[0].event) {
			transmit, ok := effect.(Transmit)
			if !ok || f.vms[transmit.Peer] == nil {
				continue
			}
			f.counts[transmit.Peer+" "+transmit.Message.Kind()]++
			f.bytes[transmit.Peer] += transmit.Message.DocumentBytes()
			queue = append(queue, delivery{f.vms[transmit.Peer], Received{transmit.Message}})
		}
	}
}

func newFleet(vms ...*State) *fleet {
	f := &fleet{vms: make(map[string]*State), counts: make(map[string]int), bytes: make(map[string]int)}
	for _, s := range vms {
		f.vms[s.Settings.Peer] = s
	}
	return f
}

func TestOfferedDocumentIsFetchedInParts(t *testing.T) {
	base := randomText(100 << 10)
	changed := slices.Concat(base[:50<<10], []byte("changed\n"), base[50<<10:])
	tests := map[string]struct {
		held     []byte // routes of version 1 on the receiver; nil before its first document
		offered  []byte
		maxBytes int // of document text that the receiver gets
	}{
		"whole, by a VM without a document":  {nil, base, 80 << 10},
		"difference, by a VM that lacks one": {base, changed, 1 << 10},
		"much more":                          {base[:1<<10], base, 80 << 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			from, to := namedVM(t, "a1"), namedVM(t, "a2")
			f := newFleet(from, to)
			if tt.held != nil {
				holdRoutes(from, 1, 1, tt.held)
				holdRoutes(to, 1, 1, tt.held)
			}
			holdRoutes(from, 9, 2, tt.offered)
			f.deliver(to, testStart, Received{Message{Offer: &DocumentOffer{From: "a1:1", Position: ledger.Position{Term: 1, Index: 9}}}})
			at := slices.IndexFunc(to.sections, func(s ledger.Section) bool { return s.Name == document.SectionRoutes })
			if to.sectionsAt.Index != 9 || !bytes.Equal(to.sections[at].Text, tt.offered) {
				t.Errorf("holds index %d, want the offered document", to.sectionsAt.Index)
			}
			if got := f.bytes["a2:1"]; got > tt.maxBytes {
				t.Errorf("%d bytes of document text arrived, want at most %d", got, tt.maxBytes)
			}
			if parts := f.counts["a2:1 document"]; parts < (f.bytes["a2:1"]+partBytes-1)/partBytes {
				t.Errorf("%d bytes arrived in %d parts", f.bytes["a2:1"], parts)
			}
		})
	}
}

// Copies that VMs ask for while the first one is in transit fill their links.
func TestOneCopyOfADocumentIsFetchedAtATime(t *testing.T) {
	s := namedVM(t, "a1")
	offer := func(peer string, at time.Time) []string {
		return documentRequests(s.Apply(at, Received{Message{Offer: &DocumentOffer{From: peer, Position: ledger.Position{Term: 1, Index: 9}}}}))
	}
	if got := offer("b1:1", testStart); !slices.Equal(got, []string{"b1:1"}) {
		t.Fatalf("asked %v, want the VM that offers", got)
	}
	late := testStart.Add(partTimeout - time.Millisecond)
	gossip := member.Gossip{From: member.VM{ID: "c1", Peer: "c1:1", Domain: "c", Document: 9}}
	for name, effects := range map[string][]string{
		"the same offer again":         offer("b1:1", late),
		"an offer of another VM":       offer("d1:1", late),
		"gossip about the document":    documentRequests(s.Apply(late, Received{Message{Gossip: &gossip}})),
		"a tick before the time limit": documentRequests(s.Apply(late, Tick{})),
	} {
		if len(effects) > 0 {
			t.Errorf("%s: asked %v while a transfer is in progress", name, effects)
		}
	}
	if got := documentRequests(s.Apply(testStart.Add(partTimeout), Tick{})); len(got) != 1 || got[0] == "b1:1" {
		t.Errorf("asked %v after the first VM was silent, want another one", got)
	}
}

func TestTransferEndsWithTheNewestDocument(t *testing.T) {
	base := randomText(60 << 10)
	newer := slices.Concat(base, []byte("more\n"))
	update := func() Message {
		return Message{Spread: &DocumentUpdate{
			From: "b1:1", Position: ledger.Position{Term: 1, Index: 3}, Versions: ledger.Versions{Ranks: 1, Routes: 1},
			Sections: []SectionPatch{{Name: document.SectionRanks, Version: 1, Middle: []byte("# ranks\n")}},
		}}
	}
	tests := map[string]func(f *fleet, from, to *State, first Message){
		"the sender gets a newer one": func(f *fleet, from, to *State, first Message) {
			holdRoutes(from, 12, 3, newer)
			f.deliver(to, testStart, Received{first})
			gossip := member.Gossip{From: member.VM{ID: "a1", Peer: "a1:1", Domain: "a", Document: 12}}
			f.deliver(to, testStart, Received{Message{Gossip: &gossip}})
		},
		"a part is lost": func(f *fleet, _, to *State, _ Message) {
			f.deliver(to, testStart.Add(partTimeout), Tick{})
			gossip := member.Gossip{From: member.VM{ID: "a1", Peer: "a1:1", Domain: "a", Document: 9}}
			f.deliver(to, testStart.Add(partTimeout), Received{Message{Gossip: &gossip}})
		},
		"a part comes twice": func(f *fleet, _, to *State, first Message) {
			to.Apply(testStart, Received{first})
			f.deliver(to, testStart, Received{first})
			f.deliver(to, testStart.Add(partTimeout), Tick{})
		},
		"an update changes what the transfer starts from": func(f *fleet, _, to *State, first Message) {
			to.Apply(testStart, Received{update()})
			f.deliver(to, testStart, Received{first})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			from, to := namedVM(t, "a1"), namedVM(t, "a2")
			for _, s := range []*State{from, to} {
				holdRoutes(s, 1, 1, []byte("# routes\n"))
			}
			holdRoutes(from, 9, 2, base)
			f := newFleet(from, to)
			var first Message
			offer := DocumentOffer{From: "a1:1", Position: ledger.Position{Term: 1, Index: 9}}
			for _, effect := range to.Apply(testStart, Received{Message{Offer: &offer}}) {
				if transmit, ok := effect.(Transmit); ok {
					for _, answer := range from.Apply(testStart, Received{transmit.Message}) {
						first = answer.(Transmit).Message
					}
				}
			}
			if first.Part == nil || len(first.Part.Data) == first.Part.Total {
				t.Fatalf("the first answer is %+v, want one of several parts", first.Part)
			}
			run(f, from, to, first)
			if to.sectionsAt != from.sectionsAt {
				t.Errorf("holds index %d, want %d", to.sectionsAt.Index, from.sectionsAt.Index)
			}
		})
	}
}

func TestFaultyPartsChangeNothing(t *testing.T) {
	target := ledger.Position{Term: 1, Index: 9}
	tests := map[string]DocumentPart{
		"of a VM that was not asked": {From: "c1:1", Target: target, Total: 3, Data: []byte("abc")},
		"no transfer":                {From: "b1:1", Target: target, Total: 3, Data: []byte("abc")},
		"beyond the limit":           {From: "b1:1", Target: target, Total: maxTransferBytes + 1, Data: []byte("abc")},
		"from the middle":            {From: "b1:1", Target: target, Offset: 7, Total: 9, Data: []byte("abc")},
		"without data":               {From: "b1:1", Target: target, Total: 9},
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			s := namedVM(t, "a1")
			s.Apply(testStart, Received{Message{Offer: &DocumentOffer{From: "b1:1", Position: target}}})
			s.Apply(testStart, Received{Message{Part: &part}})
			if s.sectionsAt.Index != 0 {
				t.Errorf("holds index %d, want no document", s.sectionsAt.Index)
			}
			s.Apply(testStart.Add(time.Millisecond), Received{Message{Offer: &DocumentOffer{From: "d1:1", Position: target}}})
			s.Apply(testStart.Add(partTimeout), Tick{})
			if got := s.transfers.incoming.source; got != "d1:1" {
				t.Errorf("asks %q after that, want the next VM", got)
			}
		})
	}
}

func TestRelayOffersWhatItFetched(t *testing.T) {
	tests := map[string]struct {
		withControl bool
		after       time.Duration // of the offer to the VM of the own domain
	}{
		"no control VM in the failure domain": {false, 0},
		"a control VM offers it first":        {true, relayDelay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			leader, relay, other := namedVM(t, "b1"), namedVM(t, "a1"), namedVM(t, "a2")
			holdRoutes(leader, 9, 2, randomText(20<<10))
			f := newFleet(leader, relay, other)
			gossip := member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Domain: "a", Incarnation: 1, Control: tt.withControl}}
			relay.Apply(testStart, Received{Message{Gossip: &gossip}})
			f.deliver(relay, testStart, Received{Message{Offer: &DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 1, Index: 9}, Relay: true}}})
			if tt.after > 0 {
				if got := other.sectionsAt.Index; got != 0 {
					t.Errorf("offered index %d at once", got)
				}
				f.deliver(relay, testStart.Add(tt.after), Tick{})
			}
			if got := other.sectionsAt.Index; got != 9 {
				t.Errorf("the other VM holds index %d, want 9", got)
			}
		})
	}
}

func TestControlVMsAreOfferedADocumentFirst(t *testing.T) {
	entries := []member.EntryRef{{ID: "a1"}, {ID: "a2"}, {ID: "a3"}, {ID: "c1", Control: true}}
	got := offerTargets(entries)
	if len(got) != relaysPerDomain || got[0].ID != "c1" || got[1].ID != "a1" {
		t.Errorf("offered to %v, want the control VM and one entry", got)
	}
}

// Parts for many VMs at once stand before an entry's heartbeats on its link.
func TestEntryServesFewTransfersAtATime(t *testing.T) {
	tests := map[string]struct {
		control bool
		limit   int
	}{
		"entry":      {false, maxServed},
		"control VM": {true, maxServedByControl},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := namedVM(t, "a1")
			s.Settings.Control = tt.control
			holdRoutes(s, 9, 2, randomText(50<<10))
			ask := func(i, offset int, at time.Time) *DocumentPart {
				request := DocumentRequest{Peer: fmt.Sprintf("b%d:1", i), Parts: true, Offset: offset, Target: s.sectionsAt}
				for _, effect := range s.Apply(at, Received{Message{Fetch: &request}}) {
					if transmit, ok := effect.(Transmit); ok {
						return transmit.Message.Part
					}
				}
				return nil
			}
			for i := range tt.limit {
				if part := ask(i, 0, testStart); part.Total == 0 {
					t.Fatalf("VM %d of %d was sent elsewhere", i+1, tt.limit)
				}
			}
			if part := ask(tt.limit, 0, testStart); part.Total != 0 || part.Instead != "" {
				t.Errorf("one VM more got %d bytes and was sent to %q, want neither", len(part.Data), part.Instead)
			}
			if part := ask(0, partBytes, testStart); part.Total == 0 {
				t.Error("a VM in the middle of its transfer was sent elsewhere")
			}
			for part := ask(0, 0, testStart); part.Offset+len(part.Data) < part.Total; {
				part = ask(0, part.Offset+len(part.Data), testStart)
			}
			if part := ask(tt.limit, 0, testStart); part.Total == 0 {
				t.Error("sent elsewhere though a transfer has ended")
			}
			if part := ask(tt.limit+1, 0, testStart); part.Instead != "b0:1" {
				t.Errorf("sent to %q, want the VM that has the document", part.Instead)
			}
			if part := ask(tt.limit+1, 0, testStart.Add(2*partTimeout)); part.Total == 0 {
				t.Error("sent elsewhere though the others went silent")
			}
		})
	}
}

func TestVMSentElsewhereAsksThere(t *testing.T) {
	tests := map[string]struct {
		instead []string      // named by the answers, one after the other
		after   time.Duration // until the last VM is asked
		want    string
	}{
		"a VM that was served": {[]string{"d1:1"}, 0, "d1:1"},
		"none is known":        {[]string{""}, busyRetry, "b1:1"},
		"the VM itself":        {[]string{"a1:1"}, busyRetry, "b1:1"},
		"again and again":      {[]string{"d1:1", "d2:1", "d3:1", "d4:1"}, busyRetry, "d4:1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := namedVM(t, "a1")
			s.Apply(testStart, Received{Message{Offer: &DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 1, Index: 9}}}})
			source := "b1:1"
			var asked []string
			for _, instead := range tt.instead {
				asked = documentRequests(s.Apply(testStart, Received{Message{Part: &DocumentPart{From: source, Instead: instead}}}))
				source = s.transfers.incoming.source
			}
			if tt.after > 0 {
				if len(asked) > 0 {
					t.Errorf("asked %v at once", asked)
				}
				asked = documentRequests(s.Apply(testStart.Add(tt.after), Tick{}))
			}
			if !slices.Equal(asked, []string{tt.want}) {
				t.Errorf("asked %v, want %s", asked, tt.want)
			}
		})
	}
}

func TestOfferClosesServersAtOnce(t *testing.T) {
	tests := map[string]bool{"offered by the own domain": false, "offered to a relay": true}
	for name, relayed := range tests {
		t.Run(name, func(t *testing.T) {
			s := closuresVM(t)
			s.Apply(testStart, loaded(5))
			offer := DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 2, Index: 8}, Closed: []document.Closure{closedServer}, Relay: relayed}
			passedOn := false
			for _, effect := range s.Apply(testStart, Received{Message{Offer: &offer}}) {
				transmit, ok := effect.(Transmit)
				passedOn = passedOn || ok && transmit.Peer == "a2:1" && transmit.Message.Closures != nil
			}
			if passedOn != relayed {
				t.Errorf("closures passed on: %v, want %v", passedOn, relayed)
			}
			if getsRequest(s) {
				t.Error("the closed server gets a request")
			}
		})
	}
}
