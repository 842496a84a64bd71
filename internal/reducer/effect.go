package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Effect is something the shell must do, in the order returned.
type Effect interface{ reducerEffect() }

// Transmit sends a one-way message to a peer address; it may be lost.
type Transmit struct {
	Peer    string
	Message Message
}

// SaveLog writes to the data folder, syncs, transmits what waits for it, and
// reports LogSaved or LogFailed.
type SaveLog struct{ Save quorum.Save }

// Answer ends a call of the shell.
type Answer struct {
	Call  uint64
	Value any
}

// LoadDocument parses the sections and reports DocumentLoaded.
type LoadDocument struct {
	Position ledger.Position
	Sections []ledger.Section
}

// PublishView replaces the snapshot that look-ups and requests read.
type PublishView struct{ View *View }

// RecordAudit is one entry of the audit trail.
type RecordAudit struct{ Entry Audit }

// Log is one numbered log event.
type Log struct {
	Code   Code
	Detail string
	Count  int64
}

// SaveRoster keeps the records in the data folder, as well as that is possible
// without waiting.
type SaveRoster struct {
	Records []roster.Record
	Peers   []string // host:port of the other VMs of the failure domain
}

// Decision is one log line about a request or a belief: what was decided, from
// which inputs of which age or version.
type Decision struct {
	Code    Code
	Request string // id of the request, if it touches one
	Outcome string
	Fields  []Field
}

// Field is one input of a decision; Value is a string, an int64, a float64, a
// bool or a time.Duration.
type Field struct {
	Name  string
	Value any
}

func (SaveRoster) reducerEffect()   {}
func (Decision) reducerEffect()     {}
func (Transmit) reducerEffect()     {}
func (SaveLog) reducerEffect()      {}
func (Answer) reducerEffect()       {}
func (LoadDocument) reducerEffect() {}
func (PublishView) reducerEffect()  {}
func (RecordAudit) reducerEffect()  {}
func (Log) reducerEffect()          {}

// View is what the shell reads without a lock: the document, the plan and the
// entries of each failure domain.
type View struct {
	Document     *document.Document
	Ranks        []document.Rank // by falling worth
	Position     ledger.Position
	Versions     ledger.Versions
	Sections     []ledger.Section // newest known, perhaps not parsed yet
	SectionsAt   ledger.Position  // of Sections
	Table        *plan.Table
	RecentTables []*plan.Table // that callers may still follow, Table last
	Domains      []ViewDomain  // by the numbers of Table.Domains
	Owners       []Owner
	Leader       Leader
	Domain       string
	Stale        bool // the document may be old
	Ready        bool
	StartedAt    time.Time // of the VM
	Leaving      bool      // the VM stops; callers are led elsewhere

	LocalControl []string // peer addresses of live control VMs of the own failure domain
}

// ViewDomain is a failure domain in a look-up.
type ViewDomain struct {
	Name    string
	Region  string
	Alive   bool
	Entries []string // host:port for callers

	Starting []string // entries that follow no document yet, as far as is known
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
	Lost     bool                // the leader changed; it may or may not commit
	Leader   Leader
}

// ReadResult answers ReadSection.
type ReadResult struct {
	Section  ledger.Section
	Document ledger.Position // last accepted change of any section
	Refused  quorum.RefuseReason
	Leader   Leader
}

// ServerRecordResult answers ServerSeen.
type ServerRecordResult struct {
	Closed   bool   // the log keeps new work from this start
	Outdated bool   // a later announcement is held; nothing changed
	Known    bool   // the server is in the roster
	Start    int64  // of the server, milliseconds since 1970
	Reason   string // why the announcement was refused, or ""
}

// AnnouncementResult answers Announced.
type AnnouncementResult struct {
	RenewAfter time.Duration
	Forward    string // peer address of the owner that should get it, if any
	Refused    string // why the announcement was refused
}

// Status answers StatusAsked.
type Status struct {
	VM        string           `json:"vm"`
	Domain    string           `json:"domain"`
	Region    string           `json:"region"`
	Role      string           `json:"role"`
	Term      uint64           `json:"term"`
	Commit    uint64           `json:"commit"`
	Leader    string           `json:"leader"`
	Document  ledger.Position  `json:"document"`
	Versions  ledger.Versions  `json:"versions"`
	Stale     bool             `json:"stale"`
	Claims    int              `json:"claims"`
	Replicas  []quorum.Replica `json:"replicas"`
	Learners  []quorum.Replica `json:"learners"`
	DiskOK    bool             `json:"diskOk"`
	VMs       []VMStatus       `json:"vms"`
	Domains   []DomainStatus   `json:"domains"`
	Services  []ServiceStatus  `json:"services"`
	Barred    []BarredStatus   `json:"barred"`
	LogLength uint64           `json:"logLength"`
}

// VMStatus is a VM of the own failure domain.
type VMStatus struct {
	ID       string `json:"id"`
	Entry    string `json:"entry"`
	Document uint64 `json:"document"`
}

// DomainStatus is a failure domain.
type DomainStatus struct {
	Name   string        `json:"name"`
	Region string        `json:"region"`
	VMs    int           `json:"vms"`
	Silent time.Duration `json:"silent"`
}

// ServiceStatus is a service that this VM owns in its failure domain.
type ServiceStatus struct {
	Service string                `json:"service"`
	Owner   string                `json:"owner"`
	Summary dispatch.Summary      `json:"summary"`
	Servers []dispatch.ServerView `json:"servers"`
}

// BarredStatus is a suspected or quarantined fingerprint.
type BarredStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Phase       string    `json:"phase"`
	Deaths      int       `json:"deaths"`
	Until       time.Time `json:"until"`
}
