package dispatch

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/shift"
)

// Effect is an action that the caller of a Pool must carry out.
type Effect interface{ dispatchEffect() }

// Reply answers a SlotRequest.
type Reply struct {
	To        string // VM that sent the request
	RequestID uint64
	Answer    Answer
}

// SendLoanRequest sends a LoanRequest to the owner of the service in a failure
// domain.
type SendLoanRequest struct {
	Domain  string
	Request LoanRequest
}

// SendLoan sends a Loan to a lessee.
type SendLoan struct {
	Peer string // host:port
	Loan Loan
}

// SendNotice passes a ServerNotice on to the owner of the service in the failure domain
// of a borrowed server.
type SendNotice struct {
	Domain string
	Notice ServerNotice
}

// QuarantineChange reports that a fingerprint changed its quarantine phase.
type QuarantineChange struct {
	Service     string
	Fingerprint uint64
	Phase       quarantine.Phase
	Server      string // the server that died
}

// LoanChange reports a loan granted, changed or ended, for the audit trail.
type LoanChange struct {
	Service  string
	Lessee   string // VM that uses the slots
	Domain   string // its failure domain
	Slots    int
	Before   int // slots of the loan before the change
	Capacity int // usable slots of own servers
	Reserved int // slots lent to all lessees
	InUse    int // slots used by the own domain
}

// SpillReport reports how much of an interval's traffic went to borrowed slots,
// for the audit trail.
type SpillReport struct {
	Service string
	Stats   shift.IntervalStats
}

// ServerDrained reports that a leaving server has no running requests.
type ServerDrained struct {
	Service string
	Server  string
	Took    time.Duration
}

func (Reply) dispatchEffect()            {}
func (SendLoanRequest) dispatchEffect()  {}
func (SendLoan) dispatchEffect()         {}
func (SendNotice) dispatchEffect()       {}
func (QuarantineChange) dispatchEffect() {}
func (LoanChange) dispatchEffect()       {}
func (ServerDrained) dispatchEffect()    {}
func (SpillReport) dispatchEffect()      {}
