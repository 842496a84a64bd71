package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Event is an input of State.Apply; its time is passed beside it.
type Event interface{ reducerEvent() }

// Tick reports that time has passed; package node sends it at short intervals.
type Tick struct{}

// Received is a message from another VM.
type Received struct{ Message Message }

// LogSaved reports that saves up to Sequence are synced to disk.
type LogSaved struct{ Sequence uint64 }

// LogWriteFailed reports that the data folder could not be written or synced.
type LogWriteFailed struct{}

// LogReopened reports that the data folder can be written again, and what it
// holds.
type LogReopened struct{ Restart quorum.DurableState }

// Propose asks the leader to replicate a command; answered by
// ProposalResult.
type Propose struct {
	Call    uint64
	Command ledger.Command
	Fence   ledger.Fence // of a closure of a failure domain
}

// ReadSection asks for a linearizable read; answered by ReadResult.
type ReadSection struct {
	Call    uint64
	Section document.Section
}

// ChangeReplica asks the leader for a change of the replica set; answered by
// ProposalResult.
type ChangeReplica struct {
	Call   uint64
	Change quorum.Change
}

// DocumentLoaded reports the document that LoadDocument parsed.
type DocumentLoaded struct {
	Position ledger.Position
	Document *document.Document
	Blocks   *plan.Blocks
}

// ServerRecordAnnounced is the announcement of a backend server whose slots each
// entry grants for itself; answered by ServerRecordResult.
type ServerRecordAnnounced struct {
	Call      uint64
	Record    roster.Record
	Withdrawn bool // the server has ended
}

// ServerAnnounced is a backend server's announcement; answered by
// AnnouncementResult.
type ServerAnnounced struct {
	Call         uint64
	Announcement routing.Announcement
	Withdrawn    bool // the server has ended
	Forwarded    bool // by another VM that takes this one for the owner
}

// SlotRequested is another VM's request for a slot; answered by dispatch.Answer.
type SlotRequested struct {
	Call    uint64
	Request dispatch.SlotRequest
}

// RequestBegan reports a new request of a caller; answered by relay.Step.
type RequestBegan struct {
	Call              uint64
	Request           *relay.Request
	AssignedElsewhere bool   // the plan sends the client's block to another failure domain
	From              string // VM that passed the request on; empty if the caller sent it
}

// RequestClaimed reports the result of a claim; answered by relay.Step.
type RequestClaimed struct {
	Call   uint64
	Result *ledger.ClaimResult
	Err    error
}

// RequestWaited reports the end of a wait; answered by relay.Step.
type RequestWaited struct{ Call uint64 }

// RequestSlotAnswered reports the owner's answer to a request for a slot;
// answered by relay.Step.
type RequestSlotAnswered struct {
	Call   uint64
	Answer dispatch.Answer
	Err    error
}

// RequestSent reports the status line and header of a server's answer, or a
// failed send; answered by relay.Step.
type RequestSent struct {
	Call           uint64
	Result         routing.Result
	Latency        time.Duration
	Load           placing.Load   // reported by the server in its answer
	ConnectTime    time.Duration  // time to connect, if the send opened a connection
	AddressReused  bool           // another server uses the address now
	ServerDied     bool           // after the failed send the server refuses connections
	BodyMissing    bool           // no answer came for want of the caller's body
	Cause          string         // of a failed send, for the log
	Evidence       relay.Evidence // of whether the request ran
	Status         int            // of the server's answer, 0 without one
	Conn           string         // this VM's end of the connection, for the log; empty without one
	Stalled        bool           // it goes on beside the next try, and its end is reported by RequestStalledEnded
	routing.Notice                // of the server about itself
}

// RequestLate reports that the HedgeAfter of a send has passed; answered by relay.Step, with a send if
// the request is to be tried on a second server as well.
type RequestLate struct{ Call uint64 }

// RequestHedged reports the end of the try of a request, of two, that does not bring the answer; the
// other one is reported by RequestSent.
type RequestHedged struct {
	Call  uint64
	Won   bool // the second try goes on
	Late  bool // the loser was cancelled because it was slower
	Loser RequestSent
}

// RequestStalledEnded reports the end of a stalled send, if it brought an answer or no other try is under way;
// answered by relay.Step.
type RequestStalledEnded struct {
	Call uint64
	Sent RequestSent
}

// RequestDetoured reports the header of the answer of a VM that a request was passed on to,
// or that this failed; answered by relay.Step.
type RequestDetoured struct {
	Call uint64
	relay.DetourResult
	Latency time.Duration
	Cause   string // of a failure, for the log
}

// ServerProbed reports the result of ProbeServer; Failure is empty if a connection came.
type ServerProbed struct {
	Probe   reach.Probe
	Failure reach.Failure
}

// ContactLost reports that this VM has no connection to an address left, of which the last one
// ended for no reason that the server stated, or that one was refused: the server may have started again.
type ContactLost struct {
	Address string
	Why     string
	Renewed bool // all ended as stated, and a request is sent on a new one
}

// ContactsOpen reports the addresses of the servers to which connections are open, in answer
// to the CheckContacts of a time.
type ContactsOpen struct {
	At        time.Time
	Addresses []string
}

// ServerAnswered reports the result of AskServer; Why is empty unless there was no answer.
type ServerAnswered struct {
	Question ServerQuestion
	ID       string        // of the server that answered
	ColdFor  time.Duration // for which it stays cold
	Load     placing.Load
	Why      string
	Late     bool // the Wait of the question has passed, and the answer may still come
}

// RequestEnded reports that package node has finished a request; after a
// Stream step Result tells how the body ended.
type RequestEnded struct {
	Call    uint64
	Result  routing.Result
	Latency time.Duration
}

// PeerUnreachable reports that a peer address refused a connection.
type PeerUnreachable struct{ Peer string }

// LiftQuarantine clears a fingerprint at an operator's request.
type LiftQuarantine struct{ Fingerprint uint64 }

// Leave reports that this VM will stop: look-ups no longer name it, and its
// services pass to other VMs of the failure domain. A later one replaces its times.
type Leave struct {
	AcceptUntil time.Time // from then on, callers' requests are refused; zero for never
	StopAt      time.Time // then, what still runs is cut off; zero for no such time
}

// SeedsChanged reports new seeds after a change of the settings.
type SeedsChanged struct{ Seeds []string }

// StatusAsked asks for the status; answered by Status.
type StatusAsked struct{ Call uint64 }

// OutdatedAsked asks whether this VM knows of a newer document than the one in force;
// answered by bool.
type OutdatedAsked struct{ Call uint64 }

// CertaintyAsked asks whether a request may be refused for good by the document of a log index:
// this VM follows that document, and is sure that none newer is in force; answered by bool.
type CertaintyAsked struct {
	Call     uint64
	Document uint64
}

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
func (ContactLost) reducerEvent()           {}
func (ContactsOpen) reducerEvent()          {}
func (ServerAnswered) reducerEvent()        {}
func (RequestEnded) reducerEvent()          {}
func (RequestLate) reducerEvent()           {}
func (RequestHedged) reducerEvent()         {}
func (RequestStalledEnded) reducerEvent()   {}
func (RequestDetoured) reducerEvent()       {}
func (ServerProbed) reducerEvent()          {}
func (PeerUnreachable) reducerEvent()       {}
func (LiftQuarantine) reducerEvent()        {}
func (Leave) reducerEvent()                 {}
func (SeedsChanged) reducerEvent()          {}
func (StatusAsked) reducerEvent()           {}
func (OutdatedAsked) reducerEvent()         {}
func (CertaintyAsked) reducerEvent()        {}
func (HistoryAsked) reducerEvent()          {}

// Message is a one-way message between VMs. Exactly one of the pointers is set,
// except that Leader accompanies Gossip.
type Message struct {
	Hops     int // number of times the message was forwarded
	Quorum   *quorum.Message
	ReplyTo  string // with Quorum: peer address of the sender, if the receiver may not know it
	Gossip   *member.Gossip
	Leader   *Leader         // sent with Gossip
	Roster   []roster.Digest // sent with Gossip
	Servers  *ServerUpdate
	Index    *ServerIndex
	Join     *JoinRequest
	Spread   *DocumentUpdate
	Offer    *DocumentOffer
	Part     *DocumentPart
	Fetch    *DocumentRequest
	Want     *dispatch.LoanRequest
	Loan     *dispatch.Loan
	Handover *dispatch.Handover
	Finish   *dispatch.Finish
	Notice   *dispatch.ServerNotice
	Cancel   *CancelSlotRequest
	Lift     *LiftQuarantine
	Bar      *QuarantineUpdate
	Closures *ClosureUpdate
	Allow    *AllowanceRequest
	Allowed  *AllowanceGrant

	CustomerRequest     *customer.Request
	CustomerGrant       *customer.Grant
	CustomerLoanRequest *customer.LoanRequest
	CustomerLoan        *customer.LoanGrant
}

// Kind returns what the message is, for metrics.
func (m Message) Kind() string {
	switch {
	case m.Quorum != nil:
		return "quorum"
	case m.Gossip != nil:
		return "gossip"
	case m.Servers != nil:
		return "servers"
	case m.Index != nil:
		return "server-index"
	case m.Join != nil:
		return "join"
	case m.Spread != nil, m.Part != nil:
		return "document"
	case m.Offer != nil:
		return "document-offer"
	case m.Closures != nil:
		return "closures"
	case m.Fetch != nil:
		return "document-request"
	case m.Bar != nil, m.Lift != nil:
		return "quarantine"
	case m.Allow != nil, m.Allowed != nil:
		return "allowances"
	case m.CustomerRequest != nil, m.CustomerGrant != nil:
		return "customer-allowances"
	case m.CustomerLoanRequest != nil, m.CustomerLoan != nil:
		return "customer-loans"
	default:
		return "slots"
	}
}

// DocumentBytes returns the bytes of document text in the message.
func (m Message) DocumentBytes() int {
	switch {
	case m.Spread != nil:
		return m.Spread.bytes()
	case m.Part != nil:
		return len(m.Part.Data)
	default:
		return 0
	}
}

// EstimatedBytes returns about how many bytes the message takes between VMs.
func (m Message) EstimatedBytes() int {
	const messageBytes, elementBytes, indexEntryBytes = 64, 48, 20
	data, elements := m.DocumentBytes(), len(m.Roster)
	switch {
	case m.Quorum != nil:
		data += len(m.Quorum.Piece.Data)
		elements += len(m.Quorum.Entries)
		for i := range m.Quorum.Entries {
			data += len(m.Quorum.Entries[i].Data)
		}
	case m.Gossip != nil:
		data += len(m.Gossip.Beats) + len(m.Gossip.Versions)
		elements += len(m.Gossip.VMs) + len(m.Gossip.Domains)
		for i := range m.Gossip.VMs {
			elements += len(m.Gossip.VMs[i].Services)
		}
		for i := range m.Gossip.Domains {
			d := &m.Gossip.Domains[i]
			elements += len(d.Entries) + len(d.Services) + len(d.Barred)
		}
	case m.Servers != nil:
		elements += len(m.Servers.Records)
	case m.Index != nil:
		data += indexEntryBytes * len(m.Index.Known)
	case m.Spread != nil:
		elements += len(m.Spread.Sections) + len(m.Spread.Closed)
	case m.Offer != nil:
		elements += len(m.Offer.Closed)
	case m.Handover != nil:
		elements += len(m.Handover.Servers) + len(m.Handover.Tickets)
	case m.Bar != nil:
		elements += len(m.Bar.Entries)
	case m.Closures != nil:
		elements += len(m.Closures.Closures)
	}
	return messageBytes + data + elementBytes*elements
}

// AllowanceRequest asks the allocator of a limited server for allowances.
type AllowanceRequest struct {
	Service string
	Domain  string // failure domain of the server
	Request allowance.Request
}

// AllowanceGrant answers an AllowanceRequest.
type AllowanceGrant struct {
	Service string
	Grant   allowance.Grant
}

// ServerUpdate carries records of backend servers.
type ServerUpdate struct {
	From    string // VM that sends it; empty from VMs of earlier releases
	Records []roster.Record
	Relay   bool // the receiver forwards them to the other VMs of its failure domain
}

// ServerIndex identifies the server records that a VM holds for a failure
// domain. The receiver sends the records that are missing in it or differ from
// it, and its own index if Answer is set.
type ServerIndex struct {
	Peer   string // peer address of the sender
	Domain string
	Known  []roster.IndexEntry
	Answer bool // the receiver replies with its own index
}

// JoinRequest asks the leader to add a control VM to the replica set, and tells it
// where the VM is.
type JoinRequest struct {
	Replica quorum.Replica
	Start   uint64 // incarnation of the VM; 0 from older versions
	Domain  string // failure domain; empty from older versions
	Region  string
}

// QuarantineUpdate carries changed entries of the quarantine table. It is sent
// at once, ahead of the gossip.
type QuarantineUpdate struct {
	Entries []quarantine.Entry
	Relay   bool // the receiver forwards it to the other VMs of its failure domain
}

// Leader identifies the leader of the control replicas, as far as the VM that
// holds or sends it knows.
type Leader struct {
	ID       string
	Peer     string // host:port for calls between VMs
	Term     uint64
	Beat     uint64 // heartbeat counter; rises every heartbeatInterval while the leader has its quorum
	Document uint64 // log index of the newest document at the heartbeat; 0 from a VM of an earlier release
	Replicas []quorum.Replica
}

func (l Leader) newer(other Leader) bool {
	if l.Term != other.Term {
		return l.Term > other.Term
	}
	return l.Beat > other.Beat
}

// DocumentUpdate carries the steering document, whole or as the sections that
// changed.
type DocumentUpdate struct {
	From     string // peer address of a VM that holds the document
	Position ledger.Position
	Versions ledger.Versions // of all sections, including unchanged ones
	Sections []SectionPatch
	Closed   []document.Closure // added by this change; in force before the patches are
	Parts    bool               // VM From also sends the document in parts; VMs of earlier releases do not
	Relay    bool               // the receiver forwards it to the other VMs of its failure domain
}

// bytes returns the bytes of text in the update.
func (u DocumentUpdate) bytes() int {
	total := 0
	for _, patch := range u.Sections {
		total += len(patch.Middle)
	}
	return total
}

// SectionPatch turns version Base of a section into Version: it keeps Prefix
// bytes at the start and Suffix bytes at the end, and replaces what lies
// between them by Middle. Base 0 replaces the whole text.
type SectionPatch struct {
	Name     document.Section
	Base     uint64
	Version  uint64
	Position ledger.Position
	Prefix   int
	Suffix   int
	Middle   []byte
}

// DocumentRequest asks for a document newer than Have; the answer is a
// DocumentPart, or without Parts a DocumentUpdate with the sections whose
// versions differ.
type DocumentRequest struct {
	Peer string // where to send the DocumentUpdate
	Have ledger.Position

	Versions ledger.Versions // of the sections that the sender holds

	Parts  bool            // the sender takes parts; VMs of earlier releases do not
	Target ledger.Position // of the transfer whose next part is wanted
	Offset int             // bytes of the transfer that the sender has
}

// CancelSlotRequest withdraws a request for a slot at the owner.
type CancelSlotRequest struct {
	Service string
	From    string // VM that sent the request
	Ask     uint64 // id of the request
}
