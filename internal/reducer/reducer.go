package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/detour"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/replicaset"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Settings describes a VM at its start.
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
	ManageReplicas bool             // the leader adds, promotes and removes replicas by itself
	SavedServers   []roster.Record  // from the data folder, as known before the start
	SavedPeers     []string         // peer addresses of VMs of the failure domain, from the data folder
}

func (s Settings) replica() quorum.ID {
	if s.Replica == "" {
		return quorum.ID(s.VM)
	}
	return quorum.ID(s.Replica)
}

// State is all that a VM bases its decisions on.
type State struct {
	Settings Settings

	quorum  *quorum.State
	ledger  *ledger.State
	members *member.State
	planner plan.State
	recent  plan.RecentTables

	sectionsAt ledger.Position
	sections   []ledger.Section // newest known; may not be parsed yet

	transfers transferState

	heldUpdates []DocumentUpdate // wait for an earlier update that is missing
	heldSince   time.Time        // first update held, or last attempt to apply the held ones

	changedSections []document.Section // by the log entries being applied
	newestIndex     uint64             // highest log index of a document that another VM said it holds
	newestHeardAt   time.Time
	document        *document.Document // in force; nil until the first one is loaded
	documentAt      ledger.Position    // of document
	blocks          *plan.Blocks

	pools           []*dispatch.Pool // of the services that this VM owns, by name
	owners          []Owner
	runningReports  map[string]runningReport // by service
	quarantine      quarantine.Table
	requests        map[uint64]*relay.Request // by call
	budgets         map[budgetKey]*relay.RetryBudget
	arrivalLimiters map[string]*shift.Limiter // by service
	slotWaiters     map[slotRequestKey]slotWaiter

	roster       roster.State
	placingPools map[string]*placing.Pool // by service
	formerPools  map[string]formerPool    // the same, of services that left the document
	routeSplits  map[*document.Route]*placing.Split

	closures      map[document.Closure]int64 // of the document in force: the latest start, by the closure of start 0
	earlyClosures []earlyClosure             // newer than the document in force, in order of arrival
	addedClosures []document.Closure         // by the log entries being applied
	placedRuns    map[uint64]placedRun       // by ticket
	lastTicket    uint64                     // of placedRuns
	hedges        map[uint64]*dispatch.Grant // of second tries that are under way, by call
	stalledWaits  map[uint64]time.Time       // since when requests wait for their stalled sends, by call
	loadQuestions map[uint64]loadQuestion    // by call of the request that waits, or was asked for
	askBudget     placing.AskBudget          // of loadQuestions
	entryWaits    map[uint64]entryWait       // by call
	slotCounts    map[string]*slotCounts     // by service
	replicaSet    replicaset.State
	allocator     allowance.Allocator // of servers that name a limit
	customers     customerState
	ways          reach.Tracker // to backend servers
	detours       detour.Chooser
	detourRuns    map[uint64]string // VM that serves a request for this one, by call
	takenOver     map[uint64]bool   // requests that this VM serves for others, by call

	shares    map[string]*serviceShares                    // by service placed here; empty without customers
	sharesDue time.Time                                    // next check of shares
	demandOf  func(customer string, now time.Time) float64 // in the failure domain, by the grants of allowances

	suspicionsSent    int                  // quarantine updates sent since the last tick
	learnedDomains    map[string]bool      // failure domains whose servers this VM has known as a control VM does
	rosterLearned     bool                 // all of them are learned
	recordsForAll     []roster.Record      // to send to all failure domains at the next tick
	recordsForDomain  []roster.Record      // to send within the own failure domain at the next tick
	rosterAskedAt     map[string]time.Time // last index sent, by failure domain
	rosterTurn        int                  // selects the failure domain to compare next
	placingPoolsStale bool                 // servers, entries or document changed since the last update of placingPools
	rosterSaveDue     time.Time            // next save of the roster
	savedRosterHash   uint64               // of the roster and peers saved last
	joinDue           time.Time            // next join request, or next check of the replica set
	liveEntries       int                  // entries known alive, this VM included
	entryCount        int                  // entries that may send, heard or not, this VM included
	entriesRoseAt     time.Time            // last rise of entryCount
	entriesKnown      bool                 // entryCount is complete, or this VM has waited long enough for it
	entryIndex        int                  // number of these that precede this VM by failure domain and id

	pendingProposals map[uint64]pendingProposal // by log index
	pendingReads     map[uint64]pendingRead     // by call
	fenceNumber      uint64                     // closures of failure domains that this VM took as the leader
	senders          []quorum.Replica           // of messages of the replicated log, the latest last
	leader           Leader
	gossipSends      int // gossip messages sent
	leaderHeardAt    time.Time
	leaderHeardSince time.Time // end of the last interruption of the leader's heartbeats
	resumedAt        time.Time // end of the last pause of this VM; zero for none
	regionSets       regionSets
	heartbeatDue     time.Time
	stale            bool // no heartbeat of the leader for leaderStaleAfter
	leaving          bool
	leave            Leave                // while leaving
	silentDomains    map[string]bool      // by failure domain
	activeStops      map[string]bool      // by planned stop
	planMovedAt      map[string]time.Time // last change of the weights, by service

	now           time.Time
	startedAt     time.Time
	heardAt       time.Time // last gossip of another VM; zero for none
	lastTickAt    time.Time
	planDue       time.Time
	fetchTurn     int // selects the entry of a failure domain to ask for a document
	logBytes      int // bytes of log entries applied since the last snapshot
	snapshotBytes int
	poolSequence  uint64 // pools opened since the start
	effects       []Effect
}

type budgetKey struct {
	service string
	rank    int
}

type slotRequestKey struct {
	from string
	id   uint64
}

// slotWaiter identifies who waits for the answer to a request for a slot.
type slotWaiter struct {
	call  uint64
	local bool // call is a request of this VM
}

type pendingProposal struct {
	call    uint64
	term    uint64
	command *ledger.Command // nil unless a repeat may wait for it
	repeats []uint64        // calls that proposed the command again, oldest first
}

type pendingRead struct {
	call    uint64
	section document.Section
}

// New returns the state of a VM that starts now. restart holds the saved log and
// snapshot; it is nil on a VM without a data folder.
func New(settings Settings, restart *quorum.DurableState, now time.Time) (*State, error) {
	self := member.VM{
		Starting:    true,
		ID:          settings.VM,
		Peer:        settings.Peer,
		Entry:       settings.Entry,
		Domain:      settings.Domain,
		Region:      settings.Region,
		Incarnation: settings.Incarnation,
		Control:     settings.Control,
		Parts:       true,
	}
	s := &State{
		Settings:         settings,
		members:          member.New(self, settings.Seeds),
		requests:         make(map[uint64]*relay.Request),
		budgets:          make(map[budgetKey]*relay.RetryBudget),
		arrivalLimiters:  make(map[string]*shift.Limiter),
		slotWaiters:      make(map[slotRequestKey]slotWaiter),
		pendingProposals: make(map[uint64]pendingProposal),
		pendingReads:     make(map[uint64]pendingRead),
		runningReports:   make(map[string]runningReport),
		silentDomains:    make(map[string]bool),
		activeStops:      make(map[string]bool),
		planMovedAt:      make(map[string]time.Time),
		placingPools:     make(map[string]*placing.Pool),
		formerPools:      make(map[string]formerPool),
		routeSplits:      make(map[*document.Route]*placing.Split),
		shares:           make(map[string]*serviceShares),
		placedRuns:       make(map[uint64]placedRun),
		hedges:           make(map[uint64]*dispatch.Grant),
		stalledWaits:     make(map[uint64]time.Time),
		loadQuestions:    make(map[uint64]loadQuestion),
		entryWaits:       make(map[uint64]entryWait),
		slotCounts:       make(map[string]*slotCounts),
		detourRuns:       make(map[uint64]string),
		takenOver:        make(map[uint64]bool),
		learnedDomains:   make(map[string]bool),
		rosterAskedAt:    make(map[string]time.Time),
		customers:        newCustomerState(settings, now),
		recent:           plan.RecentTables{TTL: LookupTTL},
		startedAt:        now,
		now:              now,
	}
	s.roster.Restore(settings.SavedServers, settings.Domain, now)
	s.demandOf = s.customers.credit.Demand
	s.members.QueueGreetings(settings.SavedPeers)
	if restart == nil {
		return s, nil
	}
	restored, err := ledger.Restore(restart.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	s.ledger = restored
	s.snapshotBytes = len(restart.Snapshot.Data)
	s.quorum = quorum.New(quorum.DefaultSettings(settings.replica()), *restart, now)
	s.adoptSections(s.ledger.Document, s.ledger.Sections)
	return s, nil
}

// Apply handles one event and returns the effects that follow from it. The
// caller owns the returned slice; the state keeps no reference to it.
func (s *State) Apply(now time.Time, event Event) []Effect {
	s.notePause(now)
	s.now = now
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e.Message)
	case LogSaved:
		s.applyQuorumEffects(s.quorum.Saved(e.Sequence, now))
	case LogWriteFailed:
		s.log(CodeDiskFailed, "", 0)
		s.applyQuorumEffects(s.quorum.DiskFailed(now))
	case LogReopened:
		s.reopenLog(e.Restart)
	case Propose:
		s.propose(e)
	case ReadSection:
		s.readSection(e)
	case ChangeReplica:
		s.changeReplica(e)
	case DocumentLoaded:
		s.applyDocument(e)
	case ServerAnnounced:
		s.handleAnnouncement(e)
	case ServerRecordAnnounced:
		s.handleServerRecord(e)
	case SlotRequested:
		s.handleSlotRequest(e)
	case ServerProbed:
		s.ways.Probed(e.Probe, e.Failure, now)
	case ContactLost:
		s.loseContact(e)
	case ContactsOpen:
		s.keepContacts(e)
	case ServerAnswered:
		s.takeAnswer(e)
	case PeerUnreachable:
		s.members.MarkUnreachable(e.Peer)
	case LiftQuarantine:
		s.liftQuarantine(e)
	case Leave:
		if !s.leaving {
			s.log(CodeStopping, "leaving", 0)
		}
		s.leaving, s.leave = true, e
		s.tickMembers()
		s.tickOwners()
		s.publish()
	case SeedsChanged:
		s.Settings.Seeds, s.members.Seeds = e.Seeds, e.Seeds
	case StatusAsked:
		s.emit(Answer{Call: e.Call, Value: s.status()})
	case OutdatedAsked:
		s.emit(Answer{Call: e.Call, Value: s.isOutdated()})
	case CertaintyAsked:
		s.emit(Answer{Call: e.Call, Value: s.isCertain(e.Document)})
	case HistoryAsked:
		s.answerHistory(e)
	default:
		s.handleRequestEvent(event)
	}
	return s.takeEffects()
}

func (s *State) takeEffects() []Effect {
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

const stallAfter = time.Second // time between ticks after which the VM counts as paused

func (s *State) tick() {
	elapsed := s.now.Sub(s.lastTickAt)
	if !s.lastTickAt.IsZero() && elapsed > stallAfter {
		s.handleStall(elapsed)
	}
	s.lastTickAt = s.now
	if s.quorum != nil {
		s.applyQuorumEffects(s.quorum.Tick(s.now))
		s.advanceHeartbeat()
	}
	s.tickMembers()
	s.tickOwners()
	for _, pool := range s.pools {
		s.applyPoolEffects(pool, pool.Tick(s.now, elapsed))
	}
	s.suspicionsSent = 0
	s.fetchMissing()
	s.tickTransfers()
	s.tickRoster()
	s.tickAllowances()
	s.tickCustomers()
	s.tickWays()
	s.tickQuestions()
	s.tickReplicaSet()
	s.quarantine.RemoveExpired(s.now)
	s.tickShares()
	s.tickWaits()
	s.checkStale()
	if !s.now.Before(s.planDue) {
		s.planDue = s.now.Add(plan.TickInterval)
		s.tickPlan()
	}
}

// handleStall expires the servers of the pools after a pause of this VM, since
// another VM may own the services by now, and restarts the silence timeouts of
// the roster.
func (s *State) handleStall(elapsed time.Duration) {
	s.log(CodeStalled, elapsed.String(), elapsed.Milliseconds())
	for _, pool := range s.pools {
		pool.ExpireServers(s.now)
	}
	s.roster.ResetTimeouts(s.now)
	s.allocator.Reset()
	s.ways.Restart(s.now)
	s.doubtAll(elapsed)
}

func (s *State) receive(m Message) {
	switch {
	case m.Quorum != nil:
		if s.quorum != nil {
			s.rememberSender(quorum.Replica{ID: m.Quorum.From, Address: m.ReplyTo})
			s.applyQuorumEffects(s.quorum.Receive(*m.Quorum, s.now))
		}
	case m.Gossip != nil:
		s.heardAt = s.now
		s.receiveGossip(*m.Gossip, m.Leader)
		s.compareRoster(m)
	case m.Servers != nil:
		s.receiveServers(*m.Servers)
	case m.Index != nil:
		s.receiveIndex(*m.Index)
	case m.Join != nil:
		s.receiveJoin(m)
	case m.Spread != nil:
		s.receiveUpdate(*m.Spread)
	case m.Closures != nil:
		s.closeEarly(m.Closures.Position, m.Closures.Closures)
	case m.Offer != nil:
		s.receiveOffer(*m.Offer)
	case m.Part != nil:
		s.receivePart(*m.Part)
	case m.Fetch != nil:
		s.receiveDocumentRequest(*m.Fetch)
	case m.Bar != nil:
		s.receiveQuarantine(*m.Bar)
	case m.Lift != nil:
		s.quarantine.Lift(m.Lift.Fingerprint)
	case m.Allow != nil:
		s.receiveAllowanceRequest(m)
	case m.Allowed != nil:
		s.receiveAllowances(*m.Allowed)
	case m.CustomerRequest != nil:
		s.receiveCustomerRequest(m)
	case m.CustomerGrant != nil:
		s.receiveCustomerGrant(*m.CustomerGrant)
	case m.CustomerLoanRequest != nil:
		s.receiveCustomerLoanRequest(m)
	case m.CustomerLoan != nil:
		s.receiveCustomerLoan(*m.CustomerLoan)
	default:
		s.deliverToPool(m)
	}
}

func (s *State) liftQuarantine(e LiftQuarantine) {
	if !s.quarantine.Lift(e.Fingerprint) {
		return
	}
	s.members.SetBarred(s.quarantine.Entries)
	s.sendToDomain(Message{Lift: &e})
	s.sendToOtherDomains(Message{Lift: &e})
	s.log(CodeQuarantine, "lifted "+hex(e.Fingerprint), 0)
	s.record(Audit{Kind: AuditQuarantine, Key: hex(e.Fingerprint), Outcome: "lifted"})
}

func (s *State) answerHistory(e HistoryAsked) {
	var versions []ledger.Version
	if s.ledger != nil {
		versions = s.ledger.HistoryOf(e.Section)
	}
	s.emit(Answer{Call: e.Call, Value: versions})
}
