package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func offerOf(peer string, index uint64) Event {
	return Received{Message{Offer: &DocumentOffer{From: peer, Position: ledger.Position{Term: 1, Index: index}}}}
}

// transmits returns the messages among effects.
func transmits(effects []Effect) []Transmit {
	var sent []Transmit
	for _, e := range effects {
		if m, ok := e.(Transmit); ok {
			sent = append(sent, m)
		}
	}
	return sent
}

// VMs that hold different documents fetch the newest one from one VM side by side.
func TestTransfersOfVMsWithDifferentDocumentsEnd(t *testing.T) {
	for _, n := range []int{maxServed, maxServedByControl} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			from := namedVM(t, "a0")
			from.Settings.Control = true
			holdRoutes(from, 100, 100, randomText(200<<10))
			vms := map[string]*State{"a0:1": from}
			type delivery struct {
				vm    *State
				event Event
			}
			var queue []delivery
			for i := range n {
				vm := namedVM(t, fmt.Sprintf("a%d", i+1))
				holdRoutes(vm, uint64(i+1), uint64(i+1), []byte(fmt.Sprintf("version %d\n", i+1)))
				vms[vm.Settings.Peer] = vm
				queue = append(queue, delivery{vm, offerOf("a0:1", 100)})
			}
			now, parts := testStart, 0
			for ; len(queue) > 0 && parts < 2000; queue = queue[1:] {
				now = now.Add(time.Millisecond)
				for _, m := range transmits(queue[0].vm.Apply(now, queue[0].event)) {
					to := vms[m.Peer]
					if to == nil || (m.Message.Part == nil && m.Message.Fetch == nil) {
						continue
					}
					if m.Message.Part != nil {
						parts++
					}
					queue = append(queue, delivery{to, Received{m.Message}})
				}
			}
			done := 0
			for _, vm := range vms {
				if vm.sectionsAt.Index == 100 {
					done++
				}
			}
			if done != n+1 {
				t.Errorf("%d of %d VMs hold the document after %d parts", done-1, n, parts)
			}
		})
	}
}

// Parts take 600 ms to arrive, because other messages stand before them.
func TestTransferOverASlowPathEnds(t *testing.T) {
	const delay = 600 * time.Millisecond
	text := randomText(100 << 10)
	vms := make(map[string]*State)
	for _, id := range []string{"b1", "c1", "d1"} {
		vms[id+":1"] = namedVM(t, id)
		holdRoutes(vms[id+":1"], 9, 1, text)
	}
	to := namedVM(t, "a1")
	type arrival struct {
		at    time.Time
		event Event
	}
	var inTransit []arrival
	received, requests := 0, 0
	handle := func(now time.Time, event Event) {
		for _, m := range transmits(to.Apply(now, event)) {
			source := vms[m.Peer]
			if source == nil || m.Message.Fetch == nil {
				continue
			}
			requests++
			for _, answer := range transmits(source.Apply(now, Received{m.Message})) {
				if answer.Message.Part != nil {
					inTransit = append(inTransit, arrival{now.Add(delay), Received{answer.Message}})
				}
			}
		}
	}
	for step := time.Duration(0); step < 30*time.Second && to.sectionsAt.Index != 9; step += 50 * time.Millisecond {
		now := testStart.Add(step)
		if step%time.Second == 0 { // as gossip does
			for peer := range vms {
				handle(now, offerOf(peer, 9))
			}
		}
		for len(inTransit) > 0 && !now.Before(inTransit[0].at) {
			arrived := inTransit[0]
			inTransit = inTransit[1:]
			received += arrived.event.(Received).Message.DocumentBytes()
			handle(now, arrived.event)
		}
		handle(now, Tick{})
	}
	if to.sectionsAt.Index != 9 {
		t.Errorf("after 30 s, %d requests and %d bytes of parts the document (%d bytes of text) is not here; %d bytes are kept", requests, received, len(text), len(to.transfers.incoming.data))
	}
}

// A control VM is asked by the leader to relay document 12. Its log applies 11 while it
// fetches 12; the transfer then ends before its log applies 12.
func TestControlVMOffersWhatItWasAskedToRelay(t *testing.T) {
	for name, applied11 := range map[string]bool{"without an entry before it": false, "with an entry before it": true} {
		t.Run(name, func(t *testing.T) {
			base, large := randomText(20<<10), randomText(60<<10)
			leader, control := namedVM(t, "b1"), namedVM(t, "a1")
			control.Settings.Control = true
			f := newFleet(leader, control)
			holdRoutes(leader, 10, 1, base)
			holdRoutes(control, 10, 1, base)
			control.quorum = &quorum.State{Role: quorum.RoleFollower}
			control.ledger = ledger.New()
			knowNeighbor(control)
			holdRoutes(leader, 11, 2, append(slices.Clone(base), "x\n"...))
			eleven := slices.Clone(leader.sections)
			holdRoutes(leader, 12, 3, large)
			twelve := slices.Clone(leader.sections)

			request := transmits(control.Apply(testStart, Received{Message{Offer: &DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 1, Index: 12}, Relay: true}}}))
			if applied11 {
				control.ledger.Document, control.ledger.Sections = ledger.Position{Term: 1, Index: 11}, eleven
				control.sendChange(document.SectionRoutes)
				control.takeEffects()
			}
			offers := 0
			count := func(sent []Transmit) {
				for _, m := range sent {
					if o := m.Message.Offer; o != nil && o.Position.Index == 12 {
						offers++
					}
				}
			}
			for queue := request; len(queue) > 0; queue = queue[1:] {
				to := f.vms[queue[0].Peer]
				if to == nil || (queue[0].Message.Fetch == nil && queue[0].Message.Part == nil) {
					continue
				}
				sent := transmits(to.Apply(testStart.Add(time.Millisecond), Received{queue[0].Message}))
				count(sent)
				queue = append(queue, sent...)
			}
			control.ledger.Document, control.ledger.Sections = ledger.Position{Term: 1, Index: 12}, twelve
			control.sendChange(document.SectionRoutes)
			count(transmits(control.takeEffects()))
			if control.sectionsAt.Index != 12 || offers == 0 {
				t.Errorf("holds index %d and sent %d offers of 12 to its failure domain, want at least one", control.sectionsAt.Index, offers)
			}
		})
	}
}

// An entry that learned of the document by gossip is then asked to relay it.
func TestRelayThatAlreadyHoldsTheDocumentOffersIt(t *testing.T) {
	relay := namedVM(t, "a1")
	knowNeighbor(relay)
	holdRoutes(relay, 9, 1, randomText(20<<10))
	sent := transmits(relay.Apply(testStart, Received{Message{Offer: &DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 1, Index: 9}, Relay: true}}}))
	sent = append(sent, transmits(relay.Apply(testStart.Add(time.Second), Tick{}))...)
	if !slices.ContainsFunc(sent, func(m Transmit) bool { return m.Message.Offer != nil }) {
		t.Error("the relay offered nothing to its failure domain")
	}
}

// A VM that is named instead of a busy one may not have the document yet.
func TestVMThatIsNamedTooEarlyAnswers(t *testing.T) {
	named := namedVM(t, "a2")
	holdRoutes(named, 1, 1, randomText(20<<10))
	sent := transmits(named.Apply(testStart, Received{Message{Fetch: &DocumentRequest{Peer: "a3:1", Have: named.sectionsAt, Versions: named.Versions(), Parts: true}}}))
	if len(sent) == 0 {
		t.Errorf("no answer: the VM that asks is idle for %v", partTimeout)
	}
}

// knowNeighbor makes another VM of the failure domain known.
func knowNeighbor(s *State) {
	gossip := member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Domain: "a", Region: "north", Incarnation: 1}}
	s.Apply(testStart, Received{Message{Gossip: &gossip}})
}

// VMs of the previous release answer with whole sections. While the first answer is in
// transit, no second one is asked for.
func TestOneWholeCopyIsFetchedFromVMsOfThePreviousRelease(t *testing.T) {
	to := namedVM(t, "a1")
	requests := 0
	for step := time.Duration(0); step < 2400*time.Millisecond; step += 50 * time.Millisecond { // 600 KB on a link of 2 Mbit/s
		now := testStart.Add(step)
		var effects []Effect
		if step%time.Second == 0 {
			for _, id := range []string{"b1", "c1", "d1", "e1"} {
				gossip := member.Gossip{From: member.VM{ID: id, Peer: id + ":1", Domain: id[:1], Document: 9}}
				effects = append(effects, to.Apply(now, Received{Message{Gossip: &gossip}})...)
			}
		}
		effects = append(effects, to.Apply(now, Tick{})...)
		requests += len(documentRequests(effects))
	}
	if requests > 1 {
		t.Errorf("%d whole copies were asked for while the first was in transit", requests)
	}
}

// A document changes while a VM that takes 20 parts fetches it, and others begin to.
func TestTransferEndsWhileTheDocumentChanges(t *testing.T) {
	from := namedVM(t, "a0")
	from.Settings.Control = true
	text := randomText(800 << 10)
	holdRoutes(from, 100, 100, text)
	slow := namedVM(t, "a1")
	starter := 2
	restarts, lastOffset := 0, -1
	pending := transmits(slow.Apply(testStart, offerOf("a0:1", 100)))
	step := 0
	for ; step < 400 && slow.sectionsAt.Index == 0; step++ {
		now := testStart.Add(time.Duration(step) * 100 * time.Millisecond) // a part each 100 ms
		if step%5 == 4 {                                                   // a change each 500 ms, and a VM that starts
			index := uint64(101 + step)
			holdRoutes(from, index, index, append(slices.Clone(text), fmt.Sprintf("change %d\n", step)...))
			starting := namedVM(t, fmt.Sprintf("a%d", starter))
			starter++
			for _, m := range transmits(starting.Apply(now, offerOf("a0:1", index))) {
				if m.Message.Fetch != nil {
					from.Apply(now, Received{m.Message})
				}
			}
		}
		var next []Transmit
		for _, m := range pending {
			if m.Message.Fetch == nil {
				continue
			}
			if m.Message.Fetch.Offset < lastOffset {
				restarts++
			}
			lastOffset = m.Message.Fetch.Offset
			for _, answer := range transmits(from.Apply(now, Received{m.Message})) {
				if answer.Peer == "a1:1" && answer.Message.Part != nil {
					if answer.Message.Part.Offset == 0 && lastOffset > 0 {
						restarts++
					}
					next = append(next, transmits(slow.Apply(now.Add(50*time.Millisecond), Received{answer.Message}))...)
				}
			}
		}
		pending = next
	}
	if slow.sectionsAt.Index == 0 {
		t.Errorf("after %d parts and %d restarts the VM has no document", step, restarts)
	}
}

// Parts of the previous release's kind, whole sections, leave an entry for two VMs at a
// time as parts do.
func TestEntryLimitsWholeSections(t *testing.T) {
	from := namedVM(t, "a0")
	holdRoutes(from, 9, 1, randomText(600<<10))
	sent := 0
	for i := range 8 {
		for range 3 { // each asks again every 300 ms
			request := DocumentRequest{Peer: fmt.Sprintf("a%d:1", i+1)}
			for _, m := range transmits(from.Apply(testStart.Add(time.Duration(i)*time.Millisecond), Received{Message{Fetch: &request}})) {
				sent += m.Message.DocumentBytes()
			}
		}
	}
	if limit := maxServed * 700 << 10; sent > limit {
		t.Errorf("%d bytes of text were queued on the link at once, want at most %d", sent, limit)
	}
}

// An entry that has begun to serve others names a VM although small changes go on.
func TestBusyVMNamesAServedOneAfterASmallChange(t *testing.T) {
	from := namedVM(t, "a0")
	holdRoutes(from, 9, 1, randomText(100<<10))
	fetch := func(peer string, offset int) []Transmit {
		return transmits(from.Apply(testStart, Received{Message{Fetch: &DocumentRequest{Peer: peer, Parts: true, Target: from.sectionsAt, Offset: offset}}}))
	}
	offset := 0
	for range 100 { // a1 fetches everything
		sent := fetch("a1:1", offset)
		if len(sent) == 0 {
			break
		}
		part := sent[0].Message.Part
		if offset = part.Offset + len(part.Data); offset == part.Total {
			break
		}
	}
	fetch("a2:1", 0)
	fetch("a3:1", 0)
	if part := fetch("a4:1", 0)[0].Message.Part; part.Instead != "a1:1" {
		t.Fatalf("names %q before the small change, want a1:1", part.Instead)
	}
	holdRoutes(from, 10, 2, append(randomText(100<<10), "x\n"...))
	if part := fetch("a4:1", 0)[0].Message.Part; part.Instead != "a1:1" {
		t.Errorf("names %q after a small change, want a1:1, which has the large one", part.Instead)
	}
}

// A transfer that waited for a document that had come another way kept the VM from fetching the next one.
func TestDocumentThatCameAnotherWayEndsTheTransfer(t *testing.T) {
	older, newer := []byte("older\n"), []byte("newer\n")
	whole := SectionPatch{Name: document.SectionRoutes, Version: 2, Middle: newer}
	difference := NewPatch(ledger.Section{Name: document.SectionRoutes, Version: 1, Text: older}, ledger.Section{Name: document.SectionRoutes, Version: 2, Text: newer})
	tests := map[string]struct {
		from  string // sender of the update; b1:1 was asked
		patch SectionPatch
	}{
		"whole sections from the VM asked, of an earlier release": {"b1:1", whole},
		"a change pushed by the VM asked":                         {"b1:1", difference},
		"a change pushed by another VM":                           {"d1:1", difference},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := namedVM(t, "a1")
			holdRoutes(s, 1, 1, older)
			gossip := member.Gossip{From: member.VM{ID: "b1", Peer: "b1:1", Domain: "b", Document: 9}}
			s.Apply(testStart, Received{Message{Gossip: &gossip}})
			versions := s.Versions()
			versions.Routes = 2
			s.Apply(testStart, Received{Message{Spread: &DocumentUpdate{
				From: tt.from, Position: ledger.Position{Term: 1, Index: 9}, Versions: versions, Sections: []SectionPatch{tt.patch},
			}}})
			if got := documentRequests(s.Apply(testStart, offerOf("c1:1", 12))); !slices.Equal(got, []string{"c1:1"}) {
				t.Errorf("asked %v for the next document, want c1:1", got)
			}
		})
	}
}

// A VM of an earlier release that is dead must not hold up a document that another one offers.
func TestVMThatSendsPartsIsAskedBeforeOneOfAnEarlierRelease(t *testing.T) {
	s := namedVM(t, "a1")
	gossip := member.Gossip{From: member.VM{ID: "b1", Peer: "b1:1", Domain: "b", Document: 9}}
	s.Apply(testStart, Received{Message{Gossip: &gossip}})
	if got := documentRequests(s.Apply(testStart, offerOf("c1:1", 9))); !slices.Equal(got, []string{"c1:1"}) {
		t.Errorf("asked %v, want the VM that offers", got)
	}
	if got := documentRequests(s.Apply(testStart, offerOf("d1:1", 9))); len(got) > 0 {
		t.Errorf("asked %v while that transfer is in progress", got)
	}
}
