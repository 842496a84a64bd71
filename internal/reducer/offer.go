package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Large changes of the document are not pushed: a VM offers them, and each VM that lacks
// them fetches the difference to what it holds, in parts and from one VM at a time. So one
// copy of it crosses a VM's link, and other messages pass between the parts.
const (
	maxPushedBytes = 4 << 10                // text of an update that is pushed; a VM may get it from three others
	relayDelay     = 300 * time.Millisecond // after which an entry offers a document that a control VM of its failure domain should have offered
)

// DocumentOffer says that a VM holds a document.
type DocumentOffer struct {
	From     string // peer address of the VM
	Position ledger.Position
	Closed   []document.Closure // those that the change added and that are still closed after it
	Relay    bool               // the receiver offers it to the other VMs of its failure domain once it has it
}

// offerChange offers the newest document to the failure domain, and from the leader also
// to some VMs of the others.
func (s *State) offerChange(closed []document.Closure, isLeader bool) {
	offer := DocumentOffer{From: s.Settings.Peer, Position: s.sectionsAt, Closed: closed}
	s.transfers.offered = s.sectionsAt
	s.sendToDomain(Message{Offer: &offer})
	if !isLeader {
		return
	}
	relayed := offer
	relayed.Relay = true
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == s.Settings.Domain {
			continue
		}
		for _, entry := range offerTargets(domain.Entries) {
			s.transmit(entry.Peer, Message{Offer: &relayed})
		}
	}
}

// offerTargets returns the VMs of another failure domain that get an offer: control VMs
// first, whose links have the capacity to send the document to the others.
func offerTargets(entries []member.EntryRef) []member.EntryRef {
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b member.EntryRef) int {
		switch {
		case a.Control == b.Control:
			return 0
		case a.Control:
			return -1
		default:
			return 1
		}
	})
	return ordered[:min(relaysPerDomain, len(ordered))]
}

func (s *State) receiveOffer(offer DocumentOffer) {
	if s.closeEarly(offer.Position, offer.Closed) && offer.Relay {
		s.sendToDomain(Message{Closures: &ClosureUpdate{Position: offer.Position, Closures: offer.Closed}})
	}
	if offer.Relay && offer.Position.After(s.transfers.relaying) && offer.Position.After(s.transfers.offered) {
		s.transfers.relaying, s.transfers.relayDue = offer.Position, s.now
		if !s.Settings.Control && s.hasControlVM() {
			s.transfers.relayDue = s.now.Add(relayDelay)
		}
	}
	s.offerRelayed()
	s.wantDocument(documentSource{peer: offer.From, position: offer.Position.Index, inParts: true})
}

// hasControlVM reports whether another live VM of the failure domain is a control VM.
func (s *State) hasControlVM() bool {
	return slices.ContainsFunc(s.members.Alive(), func(vm member.VM) bool { return vm.Control && vm.ID != s.Settings.VM })
}

// offerRelayed offers the document within the failure domain once it is here, if the
// leader asked for it.
func (s *State) offerRelayed() {
	t := &s.transfers
	if t.relaying.Index == 0 || t.relaying.After(s.sectionsAt) || s.now.Before(t.relayDue) {
		return
	}
	t.relaying = ledger.Position{}
	s.offerChange(nil, false)
}
