package reducer

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"
	"github.com/heatherwood/heatherwood/internal/delta"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Large changes of the document are not pushed: a VM offers them, and each VM that lacks
// them fetches the difference to what it holds, in parts and from one VM at a time. So one
// copy of it crosses a VM's link, and other messages pass between the parts.
const (
	maxPushedBytes     = 4 << 10                // text of an update that is pushed; a VM may get it from three others
	partBytes          = 16 << 10               // takes 65 ms on a link of 2 Mbit/s
	partTimeout        = 500 * time.Millisecond // without an answer, after which a part is asked for again; at least
	maxPartTimeout     = 4 * time.Second        // the same at most: it doubles with each part that does not come
	wholeTimeout       = 5 * time.Second        // the same for VMs of earlier releases, which answer with whole sections
	relayDelay         = 300 * time.Millisecond // after which an entry offers a document that a control VM of its failure domain should have offered
	busyRetry          = 50 * time.Millisecond  // before a VM that serves others is asked again
	maxRedirects       = 3                      // taken one after the other without a pause
	maxSources         = 4                      // VMs remembered that can be asked
	maxServed          = 2                      // VMs that an entry serves at a time: their parts stand before its own messages
	maxServedByControl = 64                     // the same for a control VM, whose link has more capacity
	maxRemembered      = 128                    // VMs remembered that were served
	keepTransfer       = 10 * time.Second       // after its last part, for a VM that asks for a part again
	maxKeptBytes       = 32 << 20               // of kept transfers, beyond which VMs wait that need another one
	wholeServed        = 2 * time.Second        // for so long a VM that was sent whole sections counts as served now
	maxDifferences     = 16                     // of single sections, kept for later transfers
	maxOlderBytes      = 2 << 20                // text of older versions of one section, kept to send differences from them
	minOlderTexts      = 2                      // older versions of a section kept in any case
)

// DocumentOffer says that a VM holds a document.
type DocumentOffer struct {
	From     string // peer address of the VM
	Position ledger.Position
	Closed   []document.Closure // those that the change added and that are still closed after it
	Relay    bool               // the receiver offers it to the other VMs of its failure domain once it has it
}

// DocumentPart is a part of a transfer, which brings the document of a DocumentRequest up
// to Target.
type DocumentPart struct {
	From   string // peer address of the sender
	Target ledger.Position
	Offset int // in the transfer, in bytes
	Total  int // bytes of the transfer; 0 from a VM that sends none now
	Data   []byte

	Behind  bool   // the sender holds no newer document; otherwise it serves others now
	Instead string // peer address of a VM that was served, which can be asked; may be empty
}

// transferContent is what all parts of a transfer hold together.
type transferContent struct {
	Versions ledger.Versions // of all sections, including unchanged ones
	Sections []sectionDelta
}

// sectionDelta turns version Base of a section into Version.
type sectionDelta struct {
	Name     document.Section
	Base     uint64 // 0 for the empty text
	Version  uint64
	Position ledger.Position
	Delta    []byte // of package delta
}

// transferKey identifies a transfer by the document it starts from and the one it ends at.
type transferKey struct {
	from   ledger.Versions
	target ledger.Position
}

// incomingTransfer is what this VM fetches now.
type incomingTransfer struct {
	source  string // peer address of the VM asked last; empty while nothing is fetched
	from    ledger.Versions
	target  ledger.Position // of the parts received
	data    []byte
	askedAt time.Time
	timeout time.Duration // from askedAt
	again   bool          // the part was asked for twice
	asked   []string      // VMs asked for the first part

	retryAt   time.Time // when to ask again, after an answer that the source serves others; else zero
	redirects int       // since the last pause
}

// servedVM is a VM that fetches a transfer from this one, or has fetched it.
type servedVM struct {
	peer   string
	key    transferKey
	data   []byte    // of the transfer; nil for whole sections
	sentAt time.Time // of its last part
	ended  bool      // that was the end of the transfer
}

// transferState holds the transfers of the document to and from this VM.
type transferState struct {
	incoming    incomingTransfer
	sources     []documentSource // VMs that hold a newer document, the last heard of last
	relaying    ledger.Position  // of the newest document to offer within the failure domain once it is here
	relayDue    time.Time        // not before
	offered     ledger.Position  // within the failure domain
	served      []servedVM       // those served last, the newest last
	turn        int              // selects one of the served VMs
	differences []sectionDelta
	older       map[document.Section][]ledger.Section // earlier versions, the newest last
}

// documentSource is a VM that holds a document.
type documentSource struct {
	peer     string
	position uint64 // log index of the document
	inParts  bool   // the VM is known to send parts; those of earlier releases do not
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

// wantDocument notes that a VM holds a document, and fetches it unless another transfer
// is in progress.
func (s *State) wantDocument(source documentSource) {
	s.noteNewer(source.position)
	if source.peer == "" || source.peer == s.Settings.Peer || source.position <= s.sectionsAt.Index {
		return
	}
	t := &s.transfers
	for _, known := range t.sources {
		source.inParts = source.inParts || known.peer == source.peer && known.inParts
	}
	t.dropSource(source.peer)
	t.sources = append(t.sources, source)
	if len(t.sources) > maxSources {
		t.sources = t.sources[1:]
	}
	waitsForWhole := t.incoming.timeout == wholeTimeout
	if t.incoming.source == "" || waitsForWhole && source.inParts {
		s.beginTransfer(source, partTimeout)
	}
}

// dropSource forgets a VM that does not send what it offered.
func (t *transferState) dropSource(peer string) {
	t.sources = slices.DeleteFunc(t.sources, func(d documentSource) bool { return d.peer == peer })
}

// alsoAsked returns the VMs asked for the first part, with one more.
func (in *incomingTransfer) alsoAsked(peer string) []string {
	if slices.Contains(in.asked, peer) {
		return in.asked
	}
	return append(in.asked, peer)
}

// beginTransfer asks a VM for the first part of the document.
func (s *State) beginTransfer(source documentSource, timeout time.Duration) {
	if !source.inParts {
		timeout = wholeTimeout
	}
	s.transfers.incoming = incomingTransfer{
		source:  source.peer,
		from:    s.Versions(),
		timeout: timeout,
		asked:   s.transfers.incoming.alsoAsked(source.peer),
	}
	s.requestPart()
}

func (s *State) requestPart() {
	in := &s.transfers.incoming
	in.askedAt = s.now
	s.transmit(in.source, Message{Fetch: &DocumentRequest{
		Peer:     s.Settings.Peer,
		Have:     s.sectionsAt,
		Versions: in.from,
		Parts:    true,
		Target:   in.target,
		Offset:   len(in.data),
	}})
}

// tickTransfers asks again, or another VM, when a part does not come, and offers what is
// due.
func (s *State) tickTransfers() {
	s.offerRelayed()
	in := &s.transfers.incoming
	if !in.retryAt.IsZero() && !s.now.Before(in.retryAt) {
		in.retryAt, in.redirects = time.Time{}, 0
		s.requestPart()
		return
	}
	if in.source == "" || s.now.Sub(in.askedAt) < in.timeout {
		return
	}
	timeout := min(2*in.timeout, maxPartTimeout)
	if len(in.data) > 0 && !in.again {
		in.again, in.timeout = true, timeout
		s.requestPart()
		return
	}
	s.transfers.dropSource(in.source)
	if !s.beginFromKnown(timeout) {
		s.transfers.incoming = incomingTransfer{}
	}
}

// beginFromKnown begins a transfer from the VM heard of last that holds a newer document;
// it reports whether there is one.
func (s *State) beginFromKnown(timeout time.Duration) bool {
	t := &s.transfers
	t.sources = slices.DeleteFunc(t.sources, func(d documentSource) bool { return d.position <= s.sectionsAt.Index })
	if len(t.sources) == 0 {
		return false
	}
	s.beginTransfer(t.sources[len(t.sources)-1], timeout)
	return true
}

// endFinished ends a transfer of a document that has come another way.
func (s *State) endFinished() {
	t := &s.transfers
	t.sources = slices.DeleteFunc(t.sources, func(d documentSource) bool { return d.position <= s.sectionsAt.Index })
	if len(t.sources) == 0 && !t.incoming.target.After(s.sectionsAt) {
		t.incoming = incomingTransfer{}
	}
}

// endTransfer ends the transfer and begins the next one if a VM is known to hold a newer
// document.
func (s *State) endTransfer() {
	s.transfers.incoming = incomingTransfer{}
	s.beginFromKnown(partTimeout)
}

// receivePart takes the next part of a transfer, and the first one also of another
// document than the one asked for: the sender may hold a newer one by now. The first part
// may also come late, from a VM that was asked before. A transfer from a document that was
// replaced meanwhile begins anew.
func (s *State) receivePart(part DocumentPart) {
	in := &s.transfers.incoming
	if part.From != in.source && part.Total > 0 && part.Offset == 0 && len(in.data) == 0 && slices.Contains(in.asked, part.From) {
		in.source, in.retryAt = part.From, time.Time{}
	}
	if in.source == "" || part.From != in.source || part.Total > maxTransferBytes {
		return
	}
	if part.Total == 0 {
		s.askElsewhere(part)
		return
	}
	if in.from != s.Versions() {
		s.transfers.incoming = incomingTransfer{}
		s.beginTransfer(documentSource{peer: part.From, inParts: true}, partTimeout)
		return
	}
	if part.Offset == 0 && part.Target != in.target {
		in.target, in.data = part.Target, nil
	}
	if part.Target != in.target || part.Offset != len(in.data) || len(part.Data) == 0 {
		return
	}
	in.data = append(in.data, part.Data...)
	in.again, in.timeout = false, min(max(2*s.now.Sub(in.askedAt), partTimeout), maxPartTimeout)
	if len(in.data) < part.Total {
		s.requestPart()
		return
	}
	if err := s.applyTransfer(*in); err != nil {
		s.logTransfer("refused: "+err.Error(), *in, 0)
		s.transfers.dropSource(part.From)
	}
	s.endTransfer()
}

// askElsewhere follows the answer of a VM that sends no part now: it asks a VM that was
// served, or another known one, after a pause if all may be busy.
func (s *State) askElsewhere(part DocumentPart) {
	t := &s.transfers
	if !t.incoming.retryAt.IsZero() {
		return
	}
	if part.Behind {
		t.dropSource(part.From)
		if !s.beginFromKnown(partTimeout) {
			t.incoming = incomingTransfer{}
		}
		return
	}
	next := part.Instead
	if next == s.Settings.Peer {
		next = ""
	}
	pause := next == ""
	if pause {
		at := slices.IndexFunc(t.sources, func(d documentSource) bool { return d.peer == part.From })
		if next = part.From; len(t.sources) > 0 {
			next = t.sources[(at+1)%len(t.sources)].peer
		}
	}
	t.incoming = incomingTransfer{
		source:    next,
		from:      s.Versions(),
		askedAt:   s.now,
		timeout:   partTimeout,
		asked:     t.incoming.alsoAsked(next),
		redirects: t.incoming.redirects + 1,
	}
	if pause || t.incoming.redirects > maxRedirects {
		t.incoming.retryAt = s.now.Add(busyRetry)
		return
	}
	s.requestPart()
}

const maxTransferBytes = 8 * document.MaxSectionBytes // a faulty VM may send parts without end

// applyTransfer replaces the sections by those of a complete transfer.
func (s *State) applyTransfer(in incomingTransfer) error {
	var content transferContent
	if err := codec.Unmarshal(in.data, &content); err != nil {
		return fmt.Errorf("decode transfer: %w", err)
	}
	sections := s.heldSections()
	for i := range sections {
		held := &sections[i]
		if held.Version == content.Versions.Get(held.Name) {
			continue
		}
		at := slices.IndexFunc(content.Sections, func(d sectionDelta) bool { return d.Name == held.Name })
		if at < 0 {
			return fmt.Errorf("section %s version %d is missing", held.Name, content.Versions.Get(held.Name))
		}
		d := content.Sections[at]
		base := held.Text
		if d.Base == 0 {
			base = nil
		} else if d.Base != held.Version {
			return fmt.Errorf("section %s is a difference from version %d, version %d is held", held.Name, d.Base, held.Version)
		}
		text, err := delta.Apply(base, d.Delta, document.MaxSectionBytes)
		if err != nil {
			return fmt.Errorf("section %s: %w", held.Name, err)
		}
		*held = ledger.Section{Name: d.Name, Version: d.Version, Position: d.Position, Text: text}
	}
	if s.adoptSections(in.target, sections) {
		s.logTransfer("fetched", in, len(content.Sections))
		s.applyHeld()
	}
	return nil
}

// heldSections returns a copy of the list of sections, with empty ones before the first
// document.
func (s *State) heldSections() []ledger.Section {
	if len(s.sections) > 0 {
		return slices.Clone(s.sections)
	}
	var sections []ledger.Section
	for _, name := range document.Sections() {
		sections = append(sections, ledger.Section{Name: name})
	}
	return sections
}

func (s *State) logTransfer(outcome string, in incomingTransfer, sections int) {
	s.emit(Decision{Code: CodeDocumentReceived, Outcome: outcome, Fields: []Field{
		{"index", int64(in.target.Index)},
		{"from", in.source},
		{"bytes", int64(len(in.data))},
		{"sections", int64(sections)},
		{"held_index", int64(s.sectionsAt.Index)},
	}})
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
