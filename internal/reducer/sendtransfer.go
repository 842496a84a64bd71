package reducer

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"
	"github.com/heatherwood/heatherwood/internal/delta"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Limits of sending a document to VMs that fetch it.
const (
	partBytes          = 16 << 10         // takes 65 ms on a link of 2 Mbit/s
	maxServed          = 2                // VMs that an entry serves at a time: their parts stand before its own messages
	maxServedByControl = 64               // the same for a control VM, whose link has more capacity
	maxRemembered      = 128              // VMs remembered that were served
	keepTransfer       = 10 * time.Second // after its last part, for a VM that asks for a part again
	maxKeptBytes       = 32 << 20         // of kept transfers, beyond which VMs wait that need another one
	wholeServed        = 2 * time.Second  // for so long a VM that was sent whole sections counts as served now
	maxDifferences     = 16               // of single sections, kept for later transfers
	maxOlderBytes      = 2 << 20          // text of older versions of one section, kept to send differences from them
	minOlderTexts      = 2                // older versions of a section kept in any case
)

// servedVM is a VM that fetches a transfer from this one, or has fetched it.
type servedVM struct {
	peer   string
	key    transferKey
	data   []byte    // of the transfer; nil for whole sections
	sentAt time.Time // of its last part
	ended  bool      // that was the end of the transfer
}

// rememberOlder keeps the sections that were replaced, so that this VM can send the
// difference from them.
func (t *transferState) rememberOlder(before, now []ledger.Section) {
	if t.older == nil {
		t.older = make(map[document.Section][]ledger.Section)
	}
	for _, section := range now {
		for _, old := range before {
			if old.Name == section.Name && old.Version != section.Version && old.Version > 0 {
				t.older[old.Name] = limitOlder(append(t.older[old.Name], old))
			}
		}
	}
}

// limitOlder drops the oldest versions beyond maxOlderBytes.
func limitOlder(versions []ledger.Section) []ledger.Section {
	total, keep := 0, 0
	for i := len(versions) - 1; i >= 0; i-- {
		total += len(versions[i].Text)
		if total > maxOlderBytes && keep >= minOlderTexts {
			break
		}
		keep++
	}
	return slices.Clone(versions[len(versions)-keep:])
}

// olderText returns the text of an earlier version of a section.
func (t *transferState) olderText(name document.Section, version uint64) ([]byte, bool) {
	for _, old := range t.older[name] {
		if old.Version == version {
			return old.Text, true
		}
	}
	return nil, false
}

// sendPart answers a request for a part. If the transfer that it asks for is no longer
// kept, the answer is the first part of one to the newest document.
func (s *State) sendPart(request DocumentRequest) {
	t := &s.transfers
	t.dropServed(s.now)
	key, offset := transferKey{from: request.Versions, target: request.Target}, request.Offset
	data := t.keptFor(func(vm servedVM) bool { return vm.peer == request.Peer && vm.key == key })
	if data == nil || offset == 0 {
		key.target, offset = s.sectionsAt, 0
		data = t.keptFor(func(vm servedVM) bool { return vm.key == key })
	}
	if s.servesEnough(request.Peer) || data == nil && t.keptBytes() > maxKeptBytes {
		s.transmit(request.Peer, Message{Part: &DocumentPart{From: s.Settings.Peer, Instead: t.servedBefore(request.Have)}})
		return
	}
	if data == nil {
		built, err := s.buildTransfer(request.Versions)
		if err != nil {
			s.log(CodeDocumentNotSent, request.Peer+": "+err.Error(), 0)
			return
		}
		data = built
	}
	if offset >= len(data) {
		return
	}
	t.noteServed(servedVM{peer: request.Peer, key: key, data: data, sentAt: s.now, ended: offset+partBytes >= len(data)})
	s.transmit(request.Peer, Message{Part: &DocumentPart{
		From:   s.Settings.Peer,
		Target: key.target,
		Offset: offset,
		Total:  len(data),
		Data:   data[offset:min(offset+partBytes, len(data))],
	}})
}

// keptFor returns the transfer of a VM that was served, or nil.
func (t *transferState) keptFor(matches func(servedVM) bool) []byte {
	for _, vm := range t.served {
		if vm.data != nil && matches(vm) {
			return vm.data
		}
	}
	return nil
}

// keptBytes returns the bytes of all kept transfers; VMs share the same one.
func (t *transferState) keptBytes() int {
	total := 0
	counted := make(map[transferKey]bool)
	for _, vm := range t.served {
		if !counted[vm.key] {
			counted[vm.key] = true
			total += len(vm.data)
		}
	}
	return total
}

// dropServed forgets the transfers whose last part was sent keepTransfer ago. The VMs
// are remembered, since others can fetch from them.
func (t *transferState) dropServed(now time.Time) {
	for i := range t.served {
		if now.Sub(t.served[i].sentAt) > keepTransfer {
			t.served[i].data = nil
		}
	}
}

// servesEnough reports whether this VM serves so many others now that another one has to
// wait.
func (s *State) servesEnough(peer string) bool {
	limit := maxServed
	if s.Settings.Control {
		limit = maxServedByControl
	}
	serving := 0
	for _, vm := range s.transfers.served {
		if !vm.servedNow(s.now) {
			continue
		}
		if vm.peer == peer {
			return false
		}
		serving++
	}
	return serving >= limit
}

// servedNow reports whether parts for the VM may still be on this VM's link.
func (v servedVM) servedNow(now time.Time) bool {
	if v.key == wholeSections {
		return now.Sub(v.sentAt) <= wholeServed
	}
	return !v.ended && now.Sub(v.sentAt) <= partTimeout
}

// wholeSections is the key of VMs that were sent whole sections.
var wholeSections = transferKey{}

// servesWhole notes that a VM of an earlier release, which asks several times a second,
// is sent whole sections; it returns false if the VM has to wait.
func (s *State) servesWhole(peer string) bool {
	sentLately := slices.ContainsFunc(s.transfers.served, func(vm servedVM) bool {
		return vm.peer == peer && vm.key == wholeSections && vm.servedNow(s.now)
	})
	if sentLately || s.servesEnough(peer) {
		return false
	}
	s.transfers.noteServed(servedVM{peer: peer, key: wholeSections, sentAt: s.now})
	return true
}

// noteServed notes the last part that a VM was sent.
func (t *transferState) noteServed(vm servedVM) {
	t.served = slices.DeleteFunc(t.served, func(v servedVM) bool { return v.peer == vm.peer })
	t.served = append(t.served, vm)
	if len(t.served) > maxRemembered {
		t.served = t.served[1:]
	}
}

// servedBefore returns in turn the VMs that have fetched a document newer than the
// position.
func (t *transferState) servedBefore(position ledger.Position) string {
	for range t.served {
		t.turn = (t.turn + 1) % len(t.served)
		if vm := t.served[t.turn]; vm.ended && vm.key.target.After(position) {
			return vm.peer
		}
	}
	return ""
}

// buildTransfer encodes the difference between a VM's document and the newest one.
func (s *State) buildTransfer(from ledger.Versions) ([]byte, error) {
	content := transferContent{Versions: s.Versions()}
	for _, section := range s.sections {
		if section.Version == from.Get(section.Name) {
			continue
		}
		d, err := s.sectionDifference(section, from.Get(section.Name))
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", section.Name, err)
		}
		content.Sections = append(content.Sections, d)
	}
	data, err := codec.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode transfer: %w", err)
	}
	return data, nil
}

// sectionDifference returns the difference to a section from an older version of it, or
// from the empty text if that version is no longer held. All VMs of a site miss the same
// change, so the difference is kept.
func (s *State) sectionDifference(section ledger.Section, base uint64) (sectionDelta, error) {
	t := &s.transfers
	text, found := t.olderText(section.Name, base)
	if !found {
		base = 0
	}
	for _, d := range t.differences {
		if d.Name == section.Name && d.Base == base && d.Version == section.Version && d.Position == section.Position {
			return d, nil
		}
	}
	encoded, err := delta.Encode(text, section.Text)
	if err != nil {
		return sectionDelta{}, err
	}
	d := sectionDelta{Name: section.Name, Base: base, Version: section.Version, Position: section.Position, Delta: bytes.Clone(encoded)}
	if len(t.differences) == maxDifferences {
		t.differences = t.differences[1:]
	}
	t.differences = append(t.differences, d)
	return d, nil
}
