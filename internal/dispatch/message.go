package dispatch

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// SlotRequest asks the owner for a slot on a server for one request.
type SlotRequest struct {
	ID          uint64 // chosen by the requesting VM
	From        string // requesting VM
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

	OpenOnly bool // send on an open connection only: no new one can be opened

	ChosenAt time.Time // by the entry itself; zero for a slot of an owner
	Cold     bool      // the server counts as cold
	Word     string    // on whose word it counts as cold or warm

	Limit routing.Limit // of the server, as the owner knows it

	HedgeAfter time.Duration // after the send, a second try is due; 0 for never
	MayStall   bool          // set by the entry: if its way is lost, the send goes on beside the next try
}

// Reason states why a request got no slot.
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
	ReasonStopping         Reason = "stopping" // the VM stops before an answer is expected
	ReasonUnknownService   Reason = "unknown-service"
	ReasonStarting         Reason = "starting"
	ReasonOwnerUnreachable Reason = "owner-unreachable"
	ReasonFairShare        Reason = "fair-share" // servers are short, and the customer had its share of them
	ReasonNoWay            Reason = "no-way"     // to the servers, from a VM that was to serve the request for another
)

// Denial refuses a slot; the request was not run.
type Denial struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Answer holds either a Grant or a Denial.
type Answer struct {
	Grant  *Grant
	Denial *Denial
}

// Finish ends a grant and reports how its request ended.
type Finish struct {
	Service string
	Ticket  uint64
	Result  routing.Result
	Latency time.Duration
}

// ServerNotice reports to the owner of a service what a server said about itself in
// an answer.
type ServerNotice struct {
	Service string
	Server  string
	routing.Notice
}

// LoanRequest asks another failure domain for slots and reports those in use.
type LoanRequest struct {
	Service string
	Lessee  string // VM that will use the slots
	Peer    string // its host:port for calls between VMs
	Domain  string // its failure domain
	Region  string
	Sent    uint64 // sequence number of this request
	Seen    uint64 // sequence number of the last Loan received
	Slots   int    // requested in total, including those already held
	Held    []HeldSlots
}

// HeldSlots counts the slots of one server that a lessee has in use.
type HeldSlots struct {
	Server string
	InUse  int
}

// Loan answers a LoanRequest: the lessee may use the slots until TTL after it
// sent the request.
type Loan struct {
	Service  string
	Lender   string // VM
	Domain   string // its failure domain
	Region   string
	Sequence uint64
	Answers  uint64 // sequence number of the LoanRequest; 0 in a revocation
	TTL      time.Duration
	Slots    []LoanSlots
}

// LoanSlots counts the slots of one server in a Loan.
type LoanSlots struct {
	Server  string
	Address string
	Slots   int
}

// Handover passes the state of a pool to its next owner.
type Handover struct {
	Service string
	Servers []HandedServer
	Tickets []HandedTicket

	// Running marks a list of tickets that an entry still uses, sent after the
	// previous owner failed. It does not mean that this owner gave up the pool.
	Running bool
}

// HandedServer is a server with the remaining lifetime of its announcement.
type HandedServer struct {
	Announcement routing.Announcement
	Remaining    time.Duration
	Reserved     int // slots lent to other failure domains that may still be in use
	Limit        routing.Limit
}

// HandedTicket is a grant whose request is still running.
type HandedTicket struct {
	Ticket      uint64
	Server      string
	From        string
	Rank        int
	Remaining   time.Duration
	Fingerprint uint64
}
