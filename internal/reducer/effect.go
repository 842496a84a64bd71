package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Effect is an action that package node must carry out, in the order returned.
type Effect interface{ reducerEffect() }

// Transmit sends a one-way message to a peer address; it may be lost.
type Transmit struct {
	Peer    string
	Message Message
}

// SaveLog writes to the replicated log in the data folder, syncs it, transmits
// the messages that must follow the sync, and reports LogSaved or
// LogWriteFailed.
type SaveLog struct{ Save quorum.Save }

// Answer returns the result of a call of package node.
type Answer struct {
	Call  uint64
	Value any
}

// LoadDocument parses the sections and reports DocumentLoaded.
type LoadDocument struct {
	Position ledger.Position
	Sections []ledger.Section
}

// PublishView replaces the view that look-ups and requests read.
type PublishView struct{ View *View }

// RecordAudit appends one record to the audit trail.
type RecordAudit struct{ Entry Audit }

// Log writes one numbered log event.
type Log struct {
	Code   Code
	Detail string
	Count  int64
}

// SaveRoster writes the records to the data folder, best effort and without
// waiting.
type SaveRoster struct {
	Records []roster.Record
	Peers   []string // host:port of the other VMs of the failure domain
}

// ProbeServer opens a connection to a server, closes it, and reports ServerProbed.
type ProbeServer struct{ Probe reach.Probe }

// AskServer asks a server by a health check which one it is, how long it stays cold and what load
// it has, and reports ServerAnswered; twice if the answer comes after the Wait of the question.
type AskServer struct{ Question ServerQuestion }

// ServerQuestion is a health check of a server.
type ServerQuestion struct {
	Server  string // id
	Service string
	Start   int64  // milliseconds since 1970, as far as known
	Address string // host:port
	Path    string
	AskedAt time.Time

	Call uint64        // request that waits for the load that the server reports; 0 for none
	Wait time.Duration // after which that request goes on without an answer
}

// CheckContacts looks to which servers connections are open that were opened before a time, and
// reports ContactsOpen.
type CheckContacts struct{ At, Before time.Time }

// AbandonSend gives up the send of a request to a server; the failed send is reported as
// RequestSent.
type AbandonSend struct{ Call uint64 }

// Decision writes one log line about a decision: its outcome, and the inputs
// with their age or version.
type Decision struct {
	Code    Code
	Request string // id of the request, if it concerns one
	Outcome string
	Fields  []Field
}

// Field is one input of a decision; Value is a string, an int64, a float64, a
// bool or a time.Duration.
type Field struct {
	Name  string
	Value any
}

func (SaveRoster) reducerEffect()    {}
func (Decision) reducerEffect()      {}
func (ProbeServer) reducerEffect()   {}
func (AskServer) reducerEffect()     {}
func (CheckContacts) reducerEffect() {}
func (AbandonSend) reducerEffect()   {}
func (Transmit) reducerEffect()      {}
func (SaveLog) reducerEffect()       {}
func (Answer) reducerEffect()        {}
func (LoadDocument) reducerEffect()  {}
func (PublishView) reducerEffect()   {}
func (RecordAudit) reducerEffect()   {}
func (Log) reducerEffect()           {}

// View is an immutable snapshot that package node reads without a lock: the
// document, the plan and the entries of each failure domain.
type View struct {
	Document     *document.Document
	Ranks        []document.Rank  // by descending worth
	Position     ledger.Position  // of Document
	Versions     ledger.Versions  // of Sections
	Sections     []ledger.Section // newest known; may not be parsed yet
	SectionsAt   ledger.Position  // of Sections
	Table        *plan.Table
	RecentTables []*plan.Table // tables that callers may still use; Table is the last
	Domains      []ViewDomain  // in the order of Table.Domains
	Owners       []Owner
	Leader       Leader
	Domain       string
	Stale        bool      // no recent heartbeat of the leader; the document may be outdated
	Ready        bool      // a written document is in force, documentSearchTime has passed since the start, and the servers are known
	StartedAt    time.Time // start of the VM
	Leaving      bool      // the VM stops and takes no new callers

	LocalControl []string // peer addresses of live control VMs of the own failure domain
}

// ViewDomain is a failure domain as look-ups see it.
type ViewDomain struct {
	Name    string
	Region  string
	Alive   bool
	Entries []string // host:port for callers

	Starting []string // entries that take no callers yet
}

// Owner is the VM that grants the slots of a service.
type Owner struct {
	Service string
	VM      string
	Peer    string // host:port; empty for this VM
}

// OwnerOf returns the owner of a service.
func (v *View) OwnerOf(service string) (Owner, bool) {
	for _, owner := range v.Owners {
		if owner.Service == service {
			return owner, true
		}
	}
	return Owner{}, false
}

// ProposalResult answers Propose and ChangeReplica.
type ProposalResult struct {
	Result   ledger.Result
	Position ledger.Position
	Refused  quorum.RefuseReason // 0 when committed
	Lost     bool                // leadership changed; the proposal may or may not commit
	Leader   Leader

	Superseded bool // the fence is not the last one; nothing was proposed
}

// ReadResult answers ReadSection.
type ReadResult struct {
	Section  ledger.Section
	Document ledger.Position // last accepted change of any section
	Refused  quorum.RefuseReason
	Leader   Leader
	Fence    ledger.Fence // for a closure that is based on this read
}

// ServerRecordResult answers ServerRecordAnnounced.
type ServerRecordResult struct {
	Closed   bool    // the replicated log closes this start of the server to new requests
	Outdated bool    // the roster holds a later announcement; nothing changed
	Unknown  bool    // the server that withdraws is not known here; another VM may know it
	Close    []int64 // starts of the server that withdraws, to be closed in the log; milliseconds since 1970
	Reason   string  // why the announcement was refused, or ""
}

// AnnouncementResult answers ServerAnnounced.
type AnnouncementResult struct {
	RenewAfter time.Duration
	Forward    string  // peer address of the owner, which must get it instead; else empty
	Refused    string  // why the announcement was refused, or ""
	Unknown    bool    // the server that withdraws is not known here; another VM may know it
	Close      []int64 // starts of the server that withdraws, to be closed in the log; milliseconds since 1970
}

// Status answers StatusAsked.
type Status struct {
	VM        string             `json:"vm"`
	Domain    string             `json:"domain"`
	Region    string             `json:"region"`
	Role      string             `json:"role"`
	Term      uint64             `json:"term"`
	Commit    uint64             `json:"commit"`
	Leader    string             `json:"leader"`
	Document  ledger.Position    `json:"document"`
	Versions  ledger.Versions    `json:"versions"`
	Stale     bool               `json:"stale"`
	Claims    int                `json:"claims"`
	Replicas  []quorum.Replica   `json:"replicas"`
	Learners  []quorum.Replica   `json:"learners"`
	DiskOK    bool               `json:"diskOk"`
	VMs       []VMStatus         `json:"vms"`
	Domains   []DomainStatus     `json:"domains"`
	Services  []ServiceStatus    `json:"services"`
	Barred    []QuarantineStatus `json:"barred"`
	Limits    []LimitStatus      `json:"limits"`
	Shares    []ShareStatus      `json:"shares"`
	Slots     []SlotStatus       `json:"slots"`
	LogLength uint64             `json:"logLength"`

	Customers []CustomerStatus `json:"customers"` // the largest, those refused most, and the rest as one

	Ways    []WayStatus    `json:"ways"`    // to the servers of each failure domain that this VM used
	Helpers map[string]int `json:"helpers"` // requests that other VMs serve for this one now, by VM
	Helped  int            `json:"helped"`  // requests that this VM serves for others now
}

// ShareStatus is the fair share of one rank of requests of a service.
type ShareStatus struct {
	Service string  `json:"service"`
	Rank    int     `json:"rank"`
	Level   float64 `json:"level"`   // demand of a customer in this failure domain, in requests a second, above which some are refused; 0 if none are
	Refused int64   `json:"refused"` // requests since the start
}

// SlotStatus tells of a service on whose servers this VM reserves slots for short work.
type SlotStatus struct {
	Service  string   `json:"service"`
	Long     []string `json:"long"`     // places of the routes of long work in the document
	Reserved int      `json:"reserved"` // slots of each server, at most
	Waiting  int      `json:"waiting"`  // requests that wait here for a slot now
	Bytes    int      `json:"bytes"`    // that this VM holds for them
	Waited   int64    `json:"waited"`   // requests that waited, since the start
	Placed   int64    `json:"placed"`   // of these, those that got a slot
	Refused  int64    `json:"refused"`  // and those that were refused
}

// WayStatus is the way to the servers of a failure domain.
type WayStatus struct {
	Domain string        `json:"domain"`
	Way    string        `json:"way"` // open, doubt, kept or lost
	For    time.Duration `json:"for"` // how long it has been so; -1 if always
	Why    string        `json:"why"` // how the last connection failed; empty if none counts
}

// LimitStatus is the limit of a server that entries choose themselves, and the part of it
// that this VM may use.
type LimitStatus struct {
	Server     string        `json:"server"`
	Service    string        `json:"service"`
	PerSecond  float64       `json:"perSecond"`  // requests, of all VMs together
	Version    uint64        `json:"version"`    // rises with each change since the start of the server
	Allocator  string        `json:"allocator"`  // VM that hands out the allowances, as far as this VM knows it
	Allowances int           `json:"allowances"` // that this VM holds
	Age        time.Duration `json:"age"`        // since this VM asked for allowances last; -1 if it never did
}

// CustomerStatus is what this VM counted of a customer since its start, and what it holds of
// the allowance.
type CustomerStatus struct {
	Customer  string  `json:"customer"`  // empty for the rest
	Rate      float64 `json:"rate"`      // requests a second over all VMs; 0 for no limit
	Burst     float64 `json:"burst"`     // requests beyond the rate
	Allocator string  `json:"allocator"` // VM of this failure domain that hands out the allowances
	Held      int     `json:"held"`      // allowances that this VM holds
	Demand    float64 `json:"demand"`    // requests a second in this failure domain
	Tokens    float64 `json:"tokens"`    // in the bucket, if this VM is the allocator; else -1
	Borrowed  int     `json:"borrowed"`  // from other failure domains
	customer.Count
}

// VMStatus is a VM of the own failure domain.
type VMStatus struct {
	ID       string `json:"id"`
	Entry    string `json:"entry"`
	Document uint64 `json:"document"`
}

// DomainStatus is a failure domain; Silent is the time since its last new
// summary.
type DomainStatus struct {
	Name   string        `json:"name"`
	Region string        `json:"region"`
	VMs    int           `json:"vms"`
	Silent time.Duration `json:"silent"`
}

// ServiceStatus is a service in the own failure domain; Summary and Servers are
// empty unless this VM owns the service.
type ServiceStatus struct {
	Service string                `json:"service"`
	Owner   string                `json:"owner"`
	Summary dispatch.Summary      `json:"summary"`
	Servers []dispatch.ServerView `json:"servers"`
}

// QuarantineStatus is a suspected or quarantined fingerprint.
type QuarantineStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Phase       string    `json:"phase"`
	Deaths      int       `json:"deaths"`
	Until       time.Time `json:"until"`
}
