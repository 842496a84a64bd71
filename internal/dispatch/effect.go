package dispatch

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/shift"
)

// Effect is what must follow from an event.
type Effect interface{ dispatchEffect() }

// Reply answers an Ask.
type Reply struct {
	To        string
	RequestID uint64
	Answer    Answer
}

// SendLoanRequest sends a Want to the owner of the service in a failure domain.
type SendLoanRequest struct {
	Domain  string
	Request LoanRequest
}

// SendLoan answers a Want.
type SendLoan struct {
	Peer string // host:port
	Loan Loan
}

// QuarantineChange tells of a change of a fingerprint's phase.
type QuarantineChange struct {
	Service     string
	Fingerprint uint64
	Phase       quarantine.Phase
	Server      string
}

// LoanChange tells of a loan given, changed or returned, for the audit trail.
type LoanChange struct {
	Service  string
	Lessee   string
	Domain   string
	Slots    int
	Before   int // slots of the lease until now
	Capacity int // slots of own servers in working order
	Reserved int // slots lent to all lessees
	InUse    int // slots used by the own domain
}

// SpillReport tells how much of an interval's traffic went to leased slots, for the
// audit trail.
type SpillReport struct {
	Service string
	Closed  shift.IntervalStats
}

// ServerDrained tells that a leaving server runs nothing any more.
type ServerDrained struct {
	Service string
	Server  string
	Took    time.Duration
}

func (Reply) dispatchEffect()            {}
func (SendLoanRequest) dispatchEffect()  {}
func (SendLoan) dispatchEffect()         {}
func (QuarantineChange) dispatchEffect() {}
func (LoanChange) dispatchEffect()       {}
func (ServerDrained) dispatchEffect()    {}
func (SpillReport) dispatchEffect()      {}
