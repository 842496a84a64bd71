package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"
	"github.com/heatherwood/heatherwood/internal/delta"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Limits of fetching a document.
const (
	partTimeout    = 500 * time.Millisecond // without an answer, after which a part is asked for again; at least
	maxPartTimeout = 4 * time.Second        // the same at most: it doubles with each part that does not come
	wholeTimeout   = 5 * time.Second        // the same for VMs of earlier releases, which answer with whole sections
	busyRetry      = 50 * time.Millisecond  // before a VM that serves others is asked again
	maxRedirects   = 3                      // taken one after the other without a pause
	maxSources     = 4                      // VMs remembered that can be asked
)

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
