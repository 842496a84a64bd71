package reducer

import "time"

// AuditKind tells what an audit record is about.
type AuditKind string

// The kinds of audit record.
const (
	AuditChange     AuditKind = "change"     // of a section, including refused ones
	AuditPlan       AuditKind = "plan"       // a change of the weights, or a share of traffic that moved
	AuditDrain      AuditKind = "drain"      // a server stops taking work or has drained; closures and planned stops
	AuditLease      AuditKind = "lease"      // slots lent to another failure domain
	AuditMember     AuditKind = "member"     // a VM, server or replica was added or lost
	AuditQuarantine AuditKind = "quarantine" // a fingerprint changed its phase or was lifted
	AuditClaim      AuditKind = "claim"      // a `once` operation: claim, send, outcome
	AuditTally      AuditKind = "tally"      // counts of sent and finished requests in one second, and of dropped records
	AuditAnchor     AuditKind = "anchor"     // chain, sequence and hash of the newest record of another VM's trail
)

// Audit is the content of one audit record; fields that do not apply are empty.
type Audit struct {
	Kind     AuditKind `json:"kind"`
	At       time.Time `json:"at"`
	Team     string    `json:"team,omitempty"`
	Section  string    `json:"section,omitempty"`
	Version  uint64    `json:"version,omitempty"`
	ChangeID string    `json:"changeId,omitempty"`
	Outcome  string    `json:"outcome,omitempty"`
	Service  string    `json:"service,omitempty"`
	Rank     string    `json:"rank,omitempty"`
	Key      string    `json:"key,omitempty"`
	Request  string    `json:"request,omitempty"`
	Server   string    `json:"server,omitempty"`
	From     string    `json:"from,omitempty"`
	To       string    `json:"to,omitempty"`
	Count    int64     `json:"count,omitempty"`
	Amount   float64   `json:"amount,omitempty"`
	Limit    float64   `json:"limit,omitempty"`
	Position uint64    `json:"position,omitempty"`
	Term     uint64    `json:"term,omitempty"`
	Hash     string    `json:"hash,omitempty"`
}
