package dispatch

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// SlotRequest requests a slot on a server for one request.
type SlotRequest struct {
	ID          uint64 // chosen by the asking VM
	From        string // asking VM
	Service     string
	Rank        int
	Remaining   time.Duration // until the deadline
	Fingerprint uint64        // of service, method, path and body
	Exclude     []string      // servers tried before
}

// Grant allows one request on one server.
type Grant struct {
	Ticket  uint64
	Server  string
	Address string // host:port
	Domain  string
	Shifted bool // the server is in another failure domain
}

// Reason tells why a request got no slot.
type Reason string

// The reasons; each is shown in problem documents, metrics and the audit trail.
const (
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadline         Reason = "deadline"
	ReasonNoServers        Reason = "no-servers"
	ReasonShiftCap         Reason = "shift-cap"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspected        Reason = "suspected"
	ReasonNotOwner         Reason = "not-owner"
	ReasonCancelled        Reason = "cancelled"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonStarting         Reason = "starting"
	ReasonOwnerUnreachable Reason = "owner-unreachable"
)

// Denial tells that no slot is given; nothing was run.
type Denial struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Answer is a Grant or a Denial.
type Answer struct {
	Grant  *Grant
	Denial *Denial
}

// Finish ends a grant.
type Finish struct {
	Service string
	Ticket  uint64
	Result  routing.Result
	Latency time.Duration
}

// LoanRequest asks another failure domain for slots, and reports those in use.
type LoanRequest struct {
	Service string
	Lessee  string // VM that will use the slots
	Peer    string // its host:port for calls between VMs
	Domain  string // its failure domain
	Region  string
	Sent    uint64 // sequence of this message
	Seen    uint64 // sequence of the last Loan received
	Slots   int    // wanted in all, those held included
	Held    []HeldSlots
}

// HeldSlots are slots of one server in use by a lessee.
type HeldSlots struct {
	Server string
	InUse  int
}

// Loan answers a Want: what the lessee may use until TTL after it sent the Want.
type Loan struct {
	Service  string
	Lender   string // VM
	Domain   string // its failure domain
	Region   string
	Sequence uint64
	Answers  uint64 // sequence of the Want
	TTL      time.Duration
	Slots    []LoanSlots
}

// LoanSlots are the slots of one server in a Loan.
type LoanSlots struct {
	Server  string
	Address string
	Slots   int
}

// Handover passes a pool to its next owner.
type Handover struct {
	Service string
	Servers []HandedServer
	Tickets []HandedTicket

	// Running marks a list of tickets from an entry that still uses them, after
	// the owner before is gone without a word; it does not speak for that owner.
	Running bool
}

// HandedServer is a server with its remaining announcement.
type HandedServer struct {
	Announcement routing.Announcement
	Remaining    time.Duration
	Reserved     int // slots lent elsewhere that may still be in use
}

// HandedTicket is a grant still running.
type HandedTicket struct {
	Ticket      uint64
	Server      string
	From        string
	Rank        int
	Remaining   time.Duration
	Fingerprint uint64
}
