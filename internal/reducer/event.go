package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Event is something that happened; the time comes beside it.
type Event interface{ reducerEvent() }

// Tick lets time pass.
type Tick struct{}

// Received is a message from another VM.
type Received struct{ Message Message }

// LogSaved tells that saves up to the sequence are synced.
type LogSaved struct{ Sequence uint64 }

// LogWriteFailed tells that the disk failed.
type LogWriteFailed struct{}

// LogReopened tells that the disk takes writes again, and what it holds.
type LogReopened struct{ Restart quorum.DurableState }

// Propose asks the leader to replicate a command; answered by Proposed.
type Propose struct {
	Call    uint64
	Command ledger.Command
}

// ReadSection asks for a linearizable read; answered by SectionRead.
type ReadSection struct {
	Call    uint64
	Section document.Section
}

// ChangeReplica asks the leader for a replica change; answered by Proposed.
type ChangeReplica struct {
	Call   uint64
	Change quorum.Change
}

// DocumentLoaded brings a parsed document back after LoadDocument.
type DocumentLoaded struct {
	Position ledger.Position
	Document *document.Document
	Blocks   *plan.Blocks
}

// ServerRecordAnnounced is an announcement of a server that entries choose by themselves;
// answered by ServerTaken.
type ServerRecordAnnounced struct {
	Call      uint64
	Record    roster.Record
	Withdrawn bool
}

// ServerAnnounced is a backend server's announcement; answered by Announcement.
type ServerAnnounced struct {
	Call         uint64
	Announcement routing.Announcement
	Withdrawn    bool
	Forwarded    bool // by another VM, which took this one for the owner
}

// SlotRequested asks for a slot; answered by dispatch.Answer.
type SlotRequested struct {
	Call uint64
	Ask  dispatch.SlotRequest
}

// RequestBegan brings a caller's request; answered by relay.Step.
type RequestBegan struct {
	Call              uint64
	Request           *relay.Request
	AssignedElsewhere bool // the client's block is placed in another failure domain
}

// RequestClaimed reports a claim; answered by relay.Step.
type RequestClaimed struct {
	Call   uint64
	Result *ledger.ClaimResult
	Err    error
}

// RequestWaited reports the end of a wait; answered by relay.Step.
type RequestWaited struct{ Call uint64 }

// RequestSlotAnswered reports the owner's answer; answered by relay.Step.
type RequestSlotAnswered struct {
	Call   uint64
	Answer dispatch.Answer
	Err    error
}

// RequestSent reports the head of an answer or a failed send; answered by
// relay.Step.
type RequestSent struct {
	Call          uint64
	Result        routing.Result
	Latency       time.Duration
	Load          placing.Load  // what the server said of itself
	ConnectTime   time.Duration // time to connect, if the send opened a connection
	AddressReused bool          // the address is another server's by now
	ServerDied    bool          // after the failed send the server refuses connections
	Cause         string        // cause of a failed send, for the log
}

// RequestEnded tells that the shell is done with a request; after a Stream step
// it carries how the body ended.
type RequestEnded struct {
	Call    uint64
	Result  routing.Result
	Latency time.Duration
}

// PeerUnreachable tells that a peer address refused a connection.
type PeerUnreachable struct{ Peer string }

// LiftQuarantine clears a fingerprint at an operator's request.
type LiftQuarantine struct{ Fingerprint uint64 }

// Leave tells that this VM will stop: callers are led elsewhere and its services
// go to other VMs of the failure domain.
type Leave struct{}

// SeedsChanged brings the seeds of changed settings.
type SeedsChanged struct{ Seeds []string }

// StatusAsked asks for the status; answered by Status.
type StatusAsked struct{ Call uint64 }

// HistoryAsked asks for the versions of a section; answered by []ledger.Version.
type HistoryAsked struct {
	Call    uint64
	Section document.Section
}

func (Tick) reducerEvent()                  {}
func (Received) reducerEvent()              {}
func (LogSaved) reducerEvent()              {}
func (LogWriteFailed) reducerEvent()        {}
func (LogReopened) reducerEvent()           {}
func (Propose) reducerEvent()               {}
func (ReadSection) reducerEvent()           {}
func (ChangeReplica) reducerEvent()         {}
func (DocumentLoaded) reducerEvent()        {}
func (ServerRecordAnnounced) reducerEvent() {}
func (ServerAnnounced) reducerEvent()       {}
func (SlotRequested) reducerEvent()         {}
func (RequestBegan) reducerEvent()          {}
func (RequestClaimed) reducerEvent()        {}
func (RequestWaited) reducerEvent()         {}
func (RequestSlotAnswered) reducerEvent()   {}
func (RequestSent) reducerEvent()           {}
func (RequestEnded) reducerEvent()          {}
func (PeerUnreachable) reducerEvent()       {}
func (LiftQuarantine) reducerEvent()        {}
func (Leave) reducerEvent()                 {}
func (SeedsChanged) reducerEvent()          {}
func (StatusAsked) reducerEvent()           {}
func (HistoryAsked) reducerEvent()          {}

// Message is a one-way message between VMs; exactly one field is set.
type Message struct {
	Hops     int // times that the message was forwarded
	Quorum   *quorum.Message
	Gossip   *member.Gossip
	Leader   *Leader         // rides with Gossip
	Roster   []roster.Digest // rides with Gossip
	Servers  *ServerNews
	Index    *ServerIndex
	Join     *Join
	Spread   *Spread
	Fetch    *Fetch
	Want     *dispatch.LoanRequest
	Loan     *dispatch.Loan
	Handover *dispatch.Handover
	Finish   *dispatch.Finish
	Cancel   *CancelSlotRequest
	Lift     *LiftQuarantine
	Bar      *Bar
}

// ServerNews carries records of backend servers.
type ServerNews struct {
	Records []roster.Record
	Relay   bool // hand them on to the other VMs of the failure domain
}

// ServerIndex lists what a VM holds of a failure domain; the receiver sends what the
// VM lacks, and its own index if that is wanted.
type ServerIndex struct {
	Peer   string
	Domain string
	Known  []roster.IndexEntry
	Answer bool // send an index in return
}

// Join asks the leader to take a control VM into the replica set.
type Join struct{ Replica quorum.Replica }

// Bar carries news of crash-causing requests at once, ahead of the gossip.
type Bar struct {
	Entries []quarantine.Entry
	Relay   bool // hand it on to the other VMs of the failure domain
}

// Leader is the newest word of who leads the control replicas.
type Leader struct {
	ID       string
	Peer     string // host:port for calls between VMs
	Term     uint64
	Beat     uint64 // rises every second while the leader has its quorum
	Replicas []quorum.Replica
}

func (l Leader) newer(other Leader) bool {
	if l.Term != other.Term {
		return l.Term > other.Term
	}
	return l.Beat > other.Beat
}

// Spread carries a document, whole or as the part that changed.
type Spread struct {
	From     string // peer address of a VM that holds the document
	Position ledger.Position
	Versions ledger.Versions // of all sections, those that did not change included
	Sections []SectionPatch
	Relay    bool // hand it on to the other VMs of the failure domain
}

// SectionPatch turns version Base of a section into Version: it keeps Prefix
// bytes at the start and Suffix bytes at the end around Middle. Base 0 replaces
// the whole text.
type SectionPatch struct {
	Name     document.Section
	Base     uint64
	Version  uint64
	Position ledger.Position
	Prefix   int
	Suffix   int
	Middle   []byte
}

// Fetch asks for a whole document later than Have.
type Fetch struct {
	Peer string // where to send the Spread
	Have ledger.Position

	Versions ledger.Versions // of the sections held
}

// CancelSlotRequest withdraws an Ask at the owner.
type CancelSlotRequest struct {
	Service string
	From    string
	Ask     uint64
}
