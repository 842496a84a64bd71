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
	To     string
	Ask    uint64
	Answer Answer
}

// SendWant sends a Want to the owner of the service in a failure domain.
type SendWant struct {
	Domain string
	Want   Want
}

// SendLoan answers a Want.
type SendLoan struct {
	Peer string // host:port
	Loan Loan
}

// Barring tells of a change of a fingerprint's phase.
type Barring struct {
	Service     string
	Fingerprint uint64
	Phase       quarantine.Phase
	Server      string
}

// Leased tells of a loan given, changed or returned, for the audit trail.
type Leased struct {
	Service  string
	Lessee   string
	Domain   string
	Slots    int
	Before   int // slots of the lease until now
	Capacity int // slots of own servers in working order
	Reserved int // slots lent to all lessees
	InUse    int // slots used by the own domain
}

// Spilled tells how much of an interval's traffic went to leased slots, for the
// audit trail.
type Spilled struct {
	Service string
	Closed  shift.IntervalStats
}

// Drained tells that a leaving server runs nothing any more.
type Drained struct {
	Service string
	Server  string
	Took    time.Duration
}

func (Reply) dispatchEffect()    {}
func (SendWant) dispatchEffect() {}
func (SendLoan) dispatchEffect() {}
func (Barring) dispatchEffect()  {}
func (Leased) dispatchEffect()   {}
func (Drained) dispatchEffect()  {}
func (Spilled) dispatchEffect()  {}
