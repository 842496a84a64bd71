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
	"github.com/heatherwood/heatherwood/internal/seats"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Settings is what a VM knows of itself at the start.
type Settings struct {
	VM             string
	Peer           string // host:port for calls between VMs
	Entry          string // host:port for callers
	Domain         string
	Region         string
	Seeds          []string         // peer addresses of other VMs
	Replicas       []quorum.Replica // control replicas at the first start
	Incarnation    uint64           // rises with each start of the VM
	Control        bool             // this VM holds a control replica
	Replica        string           // id of that replica; empty means VM
	ManageReplicas bool             // the replica set grows and mends itself
	SavedServers   []roster.Record  // known before the start, from the data folder
	SavedPeers     []string         // peer addresses of VMs of the failure domain, likewise
}

func (s Settings) replica() quorum.ID {
	if s.Replica == "" {
		return quorum.ID(s.VM)
	}
	return quorum.ID(s.Replica)
}

// State is everything one VM decides from.
type State struct {
	Settings Settings

	quorum  *quorum.State
	ledger  *ledger.State
	members *member.State
	planner plan.State
	recent  plan.RecentTables

	copyAt ledger.Position
	copies []ledger.Section

	held      []Spread // changes of which one before is missing
	heldSince time.Time

	changedSections []document.Section // by entries that are being applied
	document        *document.Document
	loadedAt        ledger.Position
	blocks          *plan.Blocks

	pools      []*dispatch.Pool
	owners     []Owner
	reports    map[string]report // by service
	quarantine quarantine.Table
	requests   map[uint64]*relay.Request
	budgets    map[budgetKey]*relay.RetryBudget
	arrivals   map[string]*shift.Limiter
	asks       map[askKey]askTarget

	roster roster.State
	places map[string]*placing.Pool  // by service
	splits map[string]*placing.Split // by route

	closures map[document.Closure]bool // of the document in force
	runs     map[uint64]placedRun      // by ticket
	tickets  uint64
	seats    seats.State

	barsTold      int             // suspicions told since the last tick
	ownNews       []roster.Record // for all failure domains, at the next tick
	relayNews     []roster.Record // for the own failure domain, at the next tick
	compareTurn   int
	placesStale   bool      // the pools of placed services do not follow the newest servers or document yet
	rosterDue     time.Time // next save of the roster
	rosterHash    uint64    // of the roster saved last
	joinDue       time.Time
	entries       int // entries known alive, this VM included
	entriesBefore int // of them in the order of names

	pending     map[uint64]pendingProposal
	reads       map[uint64]pendingRead
	leader      Leader
	leaderSends int
	leaderHeard time.Time
	beatDue     time.Time
	stale       bool
	leaving     bool
	silent      map[string]bool
	stopping    map[string]bool
	planMoved   map[string]time.Time

	now       time.Time
	started   time.Time
	lastTick  time.Time
	planDue   time.Time
	fetchDue  time.Time
	fetchTurn int // entry of a failure domain that a document was asked of last
	logBytes  int
	snapBytes int
	sequence  uint64
	effects   []Effect
}

type budgetKey struct {
	service string
	rank    int
}

type askKey struct {
	from string
	id   uint64
}

// askTarget is who waits for the answer to an ask.
type askTarget struct {
	call  uint64
	local bool // a request of this VM
}

type pendingProposal struct {
	call uint64
	term uint64
}

type pendingRead struct {
	call    uint64
	section document.Section
}

// New returns the state of a VM that starts now; restart is nil on a VM without
// a data folder.
func New(settings Settings, restart *quorum.DurableState, now time.Time) (*State, error) {
	self := member.VM{
		ID:          settings.VM,
		Peer:        settings.Peer,
		Entry:       settings.Entry,
		Domain:      settings.Domain,
		Region:      settings.Region,
		Incarnation: settings.Incarnation,
		Control:     settings.Control,
	}
	s := &State{
		Settings:  settings,
		members:   member.New(self, settings.Seeds),
		requests:  make(map[uint64]*relay.Request),
		budgets:   make(map[budgetKey]*relay.RetryBudget),
		arrivals:  make(map[string]*shift.Limiter),
		asks:      make(map[askKey]askTarget),
		pending:   make(map[uint64]pendingProposal),
		reads:     make(map[uint64]pendingRead),
		reports:   make(map[string]report),
		silent:    make(map[string]bool),
		stopping:  make(map[string]bool),
		planMoved: make(map[string]time.Time),
		places:    make(map[string]*placing.Pool),
		splits:    make(map[string]*placing.Split),
		runs:      make(map[uint64]placedRun),
		recent:    plan.RecentTables{TTL: LookupTTL},
		started:   now,
		now:       now,
	}
	s.roster.Restore(settings.SavedServers, settings.Domain, now)
	s.members.QueueGreetings(settings.SavedPeers)
	if restart == nil {
		return s, nil
	}
	restored, err := ledger.Restore(restart.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	s.ledger = restored
	s.snapBytes = len(restart.Snapshot.Data)
	s.quorum = quorum.New(quorum.DefaultSettings(settings.replica()), *restart, now)
	s.adopt(s.ledger.Document, s.ledger.Sections)
	return s, nil
}

// Apply handles one event and returns what must follow. The returned effects
// are the caller's; the state keeps no reference to them.
func (s *State) Apply(now time.Time, event Event) []Effect {
	s.now = now
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e.Message)
	case LogSaved:
		s.fromQuorum(s.quorum.Saved(e.Sequence, now))
	case LogWriteFailed:
		s.log(CodeDiskFailed, "", 0)
		s.fromQuorum(s.quorum.DiskFailed(now))
	case LogReopened:
		s.logReopened(e.Restart)
	case Propose:
		s.propose(e)
	case ReadSection:
		s.readSection(e)
	case ChangeReplica:
		s.changeReplica(e)
	case DocumentLoaded:
		s.documentLoaded(e)
	case ServerAnnounced:
		s.announced(e)
	case ServerRecordAnnounced:
		s.serverSeen(e)
	case SlotRequested:
		s.asked(e)
	case PeerUnreachable:
		s.members.MarkUnreachable(e.Peer)
	case LiftQuarantine:
		s.lift(e)
	case Leave:
		s.leaving = true
		s.log(CodeStopping, "leaving", 0)
		s.tickMembers()
		s.tickOwners()
		s.publish()
	case SeedsChanged:
		s.Settings.Seeds, s.members.Seeds = e.Seeds, e.Seeds
	case StatusAsked:
		s.emit(Answer{Call: e.Call, Value: s.status()})
	case HistoryAsked:
		s.history(e)
	default:
		s.request(event)
	}
	return s.take()
}

func (s *State) take() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) log(code Code, detail string, count int64) {
	s.emit(Log{Code: code, Detail: detail, Count: count})
}

func (s *State) record(entry Audit) {
	entry.At = s.now
	s.emit(RecordAudit{Entry: entry})
}

func (s *State) transmit(peer string, message Message) {
	if peer != "" {
		s.emit(Transmit{Peer: peer, Message: message})
	}
}

const stallAfter = time.Second // without a tick: the VM stood still

func (s *State) tick() {
	elapsed := s.now.Sub(s.lastTick)
	if !s.lastTick.IsZero() && elapsed > stallAfter {
		s.stalled(elapsed)
	}
	s.lastTick = s.now
	if s.quorum != nil {
		s.fromQuorum(s.quorum.Tick(s.now))
		s.beat()
	}
	s.tickMembers()
	s.tickOwners()
	for _, pool := range s.pools {
		s.fromPool(pool, pool.Tick(s.now, elapsed))
	}
	s.barsTold = 0
	s.tickHeld()
	s.tickRoster()
	s.tickSeats()
	s.quarantine.RemoveExpired(s.now)
	s.checkStale()
	if !s.now.Before(s.planDue) {
		s.planDue = s.now.Add(plan.TickInterval)
		s.tickPlan()
	}
}

// stalled drops what may have changed while the VM stood still: another VM may
// own its services by now.
func (s *State) stalled(elapsed time.Duration) {
	s.log(CodeStalled, elapsed.String(), elapsed.Milliseconds())
	for _, pool := range s.pools {
		pool.ExpireServers(s.now)
	}
	s.roster.ResetTimeouts(s.now)
}

func (s *State) receive(m Message) {
	switch {
	case m.Quorum != nil:
		if s.quorum != nil {
			s.fromQuorum(s.quorum.Receive(*m.Quorum, s.now))
		}
	case m.Gossip != nil:
		s.receiveGossip(*m.Gossip, m.Leader)
		s.compareRoster(m)
	case m.Servers != nil:
		s.receiveServers(*m.Servers)
	case m.Index != nil:
		s.receiveIndex(*m.Index)
	case m.Join != nil:
		s.receiveJoin(m)
	case m.Spread != nil:
		s.receiveSpread(*m.Spread)
	case m.Fetch != nil:
		s.receiveFetch(*m.Fetch)
	case m.Bar != nil:
		s.receiveBar(*m.Bar)
	case m.Lift != nil:
		s.quarantine.Lift(m.Lift.Fingerprint)
	default:
		s.receivePool(m)
	}
}

func (s *State) lift(e LiftQuarantine) {
	if !s.quarantine.Lift(e.Fingerprint) {
		return
	}
	s.members.SetBarred(s.quarantine.Entries)
	s.tellDomain(Message{Lift: &e})
	s.tellOtherDomains(Message{Lift: &e})
	s.log(CodeQuarantine, "lifted "+hex(e.Fingerprint), 0)
	s.record(Audit{Kind: AuditQuarantine, Key: hex(e.Fingerprint), Outcome: "lifted"})
}

func (s *State) history(e HistoryAsked) {
	var versions []ledger.Version
	if s.ledger != nil {
		versions = s.ledger.HistoryOf(e.Section)
	}
	s.emit(Answer{Call: e.Call, Value: versions})
}
