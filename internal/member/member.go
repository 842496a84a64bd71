package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/quarantine"
)

// VM describes one VM of the system. Of two descriptions the one with the higher
// incarnation is newer, then the one with the higher counter. Both fit into 32
// bits.
type VM struct {
	ID          string
	Peer        string // host:port for calls between VMs
	Entry       string // host:port for callers
	Domain      string
	Region      string
	Incarnation uint64
	Counter     uint64 // heartbeats since the start
	Control     bool   // holds a control replica
	Stopping    bool   // takes no new callers
	Document    uint64 // log index of its steering document, 0 for none
	Starting    bool   // it takes no callers yet, though it may have a document; VMs of earlier releases do not tell
	Parts       bool   // it sends documents in parts; VMs of earlier releases do not
	Services    []dispatch.Summary

	Cut []string // failure domains whose servers it cannot connect to
}

// status says whether a VM takes callers. A change is sent to all VMs of its
// domain at once, because their answers to look-ups depend on it.
type status struct {
	ready, stopping bool
	cut             int // failure domains
}

// Ready reports whether the VM takes callers, unless it stops.
func (v VM) Ready() bool { return v.Document > 0 && !v.Starting }

func (v VM) status() status {
	return status{ready: v.Ready(), stopping: v.Stopping, cut: len(v.Cut)}
}

func (v VM) newer(other VM) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Counter > other.Counter
}

// Domain is the summary of a failure domain that its relays send to the others.
type Domain struct {
	Name     string
	Region   string
	Version  uint64 // higher is newer
	VMs      int
	EntryVMs int        // VMs that take callers, among them those lost within forgetAfter; 0 from earlier releases
	Roster   uint64     // hash of Entries, also where these are left out
	Entries  []EntryRef // left out of most messages; Roster tells whether they changed
	Services []dispatch.Summary
	Barred   []quarantine.Entry // suspected and quarantined requests
	Document uint64             // highest log index of a steering document
}

// EntryRef holds the addresses of an entry VM.
type EntryRef struct {
	ID    string
	Peer  string // host:port for calls between VMs
	Entry string // host:port for callers; empty for a VM that takes none
	Ready bool   // it takes callers

	Control bool // it holds a control replica

	Cut []string // as in VM
}

// Heartbeat is the newest known heartbeat of a VM.
type Heartbeat struct {
	IDHash      uint32 // of the VM's id
	Incarnation uint32 // seconds since 1970
	Counter     uint32
}

// Gossip is a message between VMs.
type Gossip struct {
	From    VM
	Greet   bool       // the sender wants a reply if the receiver knows more
	Known   int        // other live VMs of its failure domain known to the sender of a greeting
	Beats   Heartbeats // of all live VMs of the sender's failure domain
	VMs     []VM       // full descriptions of some of these
	Domains []Domain   // summaries of failure domains

	Versions Versions // of the summaries of all failure domains
}

// Outgoing is a Gossip that the caller must send to a peer address.
type Outgoing struct {
	Address string
	Gossip  Gossip
}

// Timings and limits of the gossip.
const (
	GossipInterval         = 250 * time.Millisecond
	domainInterval         = 500 * time.Millisecond
	fanout                 = 2                // VMs that get one round of gossip; also entries of another domain among which a relay chooses
	summariesPerMessage    = 2                // in one message between VMs of a domain
	summariesInSmallDomain = 4                // the same in a small domain, whose heartbeats take less space
	smallDomainVMs         = 16               // a domain with fewer other VMs is small
	entriesEvery           = 16               // one of so many messages with summaries names all entries, changed or not
	entriesNewFor          = 4 * time.Second  // every message names changed entries for so long
	vmsPerMessage          = 1                // full descriptions in one message
	vmsPerReply            = 64               // full descriptions in the reply to a greeting
	maxEntryRefs           = 24               // entries in a summary; also VMs waiting to be greeted
	maxBarred              = 32               // quarantine entries in a summary
	unreachableAfter       = 1 * time.Second  // as deadAfter, for a VM that refused a connection
	deadAfter              = 3 * time.Second  // age of the newest heartbeat from which a VM counts as dead
	forgetAfter            = 10 * time.Minute // age of the newest heartbeat beyond which a VM is forgotten
	fullGreetingHeartbeats = 20               // since the start; parts of a domain that formed apart should have merged by then
	revivalHeartbeats      = 3                // new ones after which a VM marked dead counts as live again
	DomainSilentAfter      = 5 * time.Second  // age from which a summary is stale
)

// vmRecord holds what is known of one VM of the own failure domain.
type vmRecord struct {
	VM
	heartbeat           Heartbeat // newest known; VM may be older
	heartbeatAt         time.Time // when heartbeat arrived
	unreachable         bool      // it refused a connection since its last heartbeat
	dead                bool
	heartbeatsWhileDead int // received since it was marked dead
}

// domainRecord holds what is known of one failure domain.
type domainRecord struct {
	Domain
	summaryAt        time.Time // when this version of the summary arrived, or a first entry of a domain without one
	entriesChangedAt time.Time
	timesSent        int       // since this version arrived
	heardVersion     uint64    // highest version known to exist; Version may be older
	heardAt          time.Time // when heardVersion became known
	formerEntries    int       // entry VMs before all VMs of the domain restarted
	formerUntil      time.Time // until which formerEntries counts
}

// State is the membership known to one VM.
type State struct {
	Self  VM
	Seeds []string // peer addresses to contact after the start

	records         []vmRecord // by id, without the VM itself
	domains         []domainRecord
	random          *rand.Rand
	gossipDue       time.Time
	domainDue       time.Time
	newlyDead       []string  // ids of VMs for TakeDead
	summaryMessages int       // number of messages with summaries sent
	toGreet         []string  // peer addresses of VMs of the own domain to greet
	lastDomainIndex int       // in domains; the one that this VM, as a relay, sent to last
	announcedStatus status    // the one last sent to all VMs of the domain
	startedAt       time.Time // of the VM, or the end of a pause in which it forgot the others
	tickedAt        time.Time
	toldEntries     int // entry VMs of the own domain, the most that another VM's summary counted since startedAt
}

// New returns the membership of a VM that knows only its seeds.
func New(self VM, seeds []string) *State {
	return &State{
		Self:   self,
		Seeds:  seeds,
		random: rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), self.Incarnation)),
	}
}

func compareRecord(r vmRecord, id string) int { return strings.Compare(r.ID, id) }

func compareDomain(d domainRecord, name string) int { return strings.Compare(d.Name, name) }

// Tick returns the gossip that is due and marks VMs dead whose heartbeats are
// overdue.
func (s *State) Tick(now time.Time) []Outgoing {
	switch {
	case s.startedAt.IsZero():
		s.startedAt = now
	case now.Sub(s.tickedAt) > forgetAfter:
		s.startedAt, s.toldEntries = now, 0
	}
	s.tickedAt = now
	s.updateLiveness(now)
	var sends []Outgoing
	if !now.Before(s.gossipDue) {
		s.gossipDue = now.Add(GossipInterval)
		s.Self.Counter++
		sends = s.gossipVMs(now)
	}
	if !now.Before(s.domainDue) {
		s.domainDue = now.Add(domainInterval)
		sends = append(sends, s.gossipDomains(now)...)
	}
	return sends
}

// updateLiveness marks VMs dead whose heartbeats are overdue and forgets those
// without a heartbeat for forgetAfter.
func (s *State) updateLiveness(now time.Time) {
	for i := range s.records {
		r := &s.records[i]
		age := now.Sub(r.heartbeatAt)
		limit := deadAfter
		if r.unreachable {
			limit = unreachableAfter
		}
		if !r.dead && age >= limit {
			r.dead = true
			r.heartbeatsWhileDead = 0
			s.newlyDead = append(s.newlyDead, r.ID)
		}
	}
	s.records = slices.DeleteFunc(s.records, func(r vmRecord) bool { return now.Sub(r.heartbeatAt) > forgetAfter })
}

// TakeDead returns the ids of VMs that died or restarted since the last call.
func (s *State) TakeDead() []string {
	died := s.newlyDead
	s.newlyDead = nil
	return died
}

// gossipVMs returns the messages to VMs of the own failure domain, and
// greetings.
func (s *State) gossipVMs(now time.Time) []Outgoing {
	alive := s.alive()
	message := Gossip{
		From:    s.Self,
		Beats:   s.liveHeartbeats(),
		VMs:     s.sample(alive, vmsPerMessage),
		Domains: s.pickSummaries(now),

		Versions: s.versions(now),
	}
	targets := s.gossipTargets(alive)
	if status := s.Self.status(); status != s.announcedStatus {
		targets, s.announcedStatus = alive, status
	}
	var sends []Outgoing
	for _, vm := range targets {
		sends = append(sends, Outgoing{Address: vm.Peer, Gossip: message})
	}
	if addresses := s.takeGreetingAddresses(alive); len(addresses) > 0 {
		greeting := Gossip{From: s.Self, Greet: true, Known: len(alive), Domains: s.greetingSummaries(now)}
		for _, address := range addresses {
			sends = append(sends, Outgoing{Address: address, Gossip: greeting})
		}
	}
	return sends
}

// liveHeartbeats returns the newest heartbeats of the other live VMs.
func (s *State) liveHeartbeats() Heartbeats {
	var heartbeats Heartbeats
	for _, r := range s.records {
		if !r.dead {
			heartbeats = heartbeats.add(r.heartbeat)
		}
	}
	return heartbeats
}

// sample returns a random choice of at most limit VMs.
func (s *State) sample(vms []VM, limit int) []VM {
	chosen := make([]VM, 0, limit)
	for _, at := range s.random.Perm(len(vms)) {
		if len(chosen) == limit {
			break
		}
		chosen = append(chosen, vms[at])
	}
	return chosen
}

// gossipTargets returns the VMs that get this round's gossip: some at random,
// and from an owner of services also the first relay, which summarises these.
func (s *State) gossipTargets(alive []VM) []VM {
	chosen := s.sample(alive, fanout)
	if len(s.Self.Services) == 0 || len(alive) == 0 {
		return chosen
	}
	relay := slices.MinFunc(alive, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	if relay.ID < s.Self.ID && !slices.ContainsFunc(chosen, func(vm VM) bool { return vm.ID == relay.ID }) {
		chosen = append(chosen, relay)
	}
	return chosen
}

// alive returns the other live VMs of the own failure domain by id.
func (s *State) alive() []VM {
	var vms []VM
	for _, r := range s.records {
		if !r.dead {
			vms = append(vms, r.VM)
		}
	}
	return vms
}

// Alive returns the live VMs of the own failure domain by id, the VM itself
// included.
func (s *State) Alive() []VM {
	vms := append(s.alive(), s.Self)
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Receive merges what a peer knows. It replies to a VM that was unknown and to a
// greeting whose sender knows less.
func (s *State) Receive(g Gossip, now time.Time) []Outgoing {
	otherPart := s.otherPartSummary(g)
	unknown := s.mergeVM(g.From, now)
	for _, vm := range g.VMs {
		s.mergeVM(vm, now)
	}
	if g.From.Domain == s.Self.Domain {
		s.mergeHeartbeats(g.Beats, now)
	}
	for _, domain := range g.Domains {
		s.mergeDomain(domain, now)
	}
	s.mergeVersions(g.Versions, now)
	if !unknown && len(otherPart) == 0 && !s.knowsMore(g, now) {
		return nil
	}
	reply := Gossip{From: s.Self, Domains: append(s.freshSummaries(now), otherPart...)}
	if g.From.Domain == s.Self.Domain {
		reply.VMs = s.sample(s.alive(), vmsPerReply)
	}
	return []Outgoing{{Address: g.From.Peer, Gossip: reply}}
}

// mergeVM merges the description of one VM and reports whether the VM, or its
// failure domain, was unknown.
func (s *State) mergeVM(vm VM, now time.Time) bool {
	if vm.Domain != s.Self.Domain {
		return s.mergeForeignVM(vm, now)
	}
	heartbeat := heartbeatOf(vm)
	if vm.ID == s.Self.ID {
		s.refute(heartbeat)
		return false
	}
	at, found := slices.BinarySearchFunc(s.records, vm.ID, compareRecord)
	if !found {
		s.records = slices.Insert(s.records, at, vmRecord{VM: vm, heartbeat: heartbeat, heartbeatAt: now})
		return true
	}
	if vm.newer(s.records[at].VM) {
		s.records[at].VM = vm
	}
	s.recordHeartbeat(&s.records[at], heartbeat, now)
	return false
}

// mergeHeartbeats merges heartbeats of VMs that are known in full.
func (s *State) mergeHeartbeats(heartbeats Heartbeats, now time.Time) {
	own := heartbeatOf(s.Self)
	for heartbeat := range heartbeats.all() {
		if heartbeat.IDHash == own.IDHash {
			s.refute(heartbeat)
			continue
		}
		for i := range s.records {
			if s.records[i].heartbeat.IDHash == heartbeat.IDHash {
				s.recordHeartbeat(&s.records[i], heartbeat, now)
			}
		}
	}
}

// recordHeartbeat notes a heartbeat if it is new. A VM marked dead must send
// revivalHeartbeats before it counts as live again, so that a flapping VM does
// not move work each time.
func (s *State) recordHeartbeat(r *vmRecord, heartbeat Heartbeat, now time.Time) {
	restarted := heartbeat.Incarnation > r.heartbeat.Incarnation
	if !restarted && (heartbeat.Incarnation < r.heartbeat.Incarnation || heartbeat.Counter <= r.heartbeat.Counter) {
		return
	}
	r.heartbeat = heartbeat
	r.heartbeatAt = now
	r.unreachable = false
	if !r.dead {
		if restarted {
			s.newlyDead = append(s.newlyDead, r.ID)
		}
		return
	}
	r.heartbeatsWhileDead++
	if restarted || r.heartbeatsWhileDead >= revivalHeartbeats {
		r.dead = false
	}
}

// refute raises the own incarnation above that of a newer heartbeat of this VM,
// left by an earlier start whose clock was ahead.
func (s *State) refute(heartbeat Heartbeat) {
	own := heartbeatOf(s.Self)
	newer := heartbeat.Incarnation == own.Incarnation && heartbeat.Counter > own.Counter
	if newer || heartbeat.Incarnation > own.Incarnation {
		s.Self.Incarnation = uint64(heartbeat.Incarnation) + 1
	}
}

// MarkUnreachable notes that a peer address refused a connection; its VM is
// marked dead earlier than one that only sends no heartbeats.
func (s *State) MarkUnreachable(peer string) {
	for i := range s.records {
		if s.records[i].Peer == peer {
			s.records[i].unreachable = true
		}
	}
}

// IsRelay reports whether this VM exchanges summaries with other failure
// domains: the two live VMs with the lowest ids do.
func (s *State) IsRelay() bool {
	const relays = 2
	return s.countLowerIDs() < relays
}

// countLowerIDs returns the number of live VMs with a lower id than this one.
func (s *State) countLowerIDs() int {
	lower := 0
	for _, r := range s.records {
		if !r.dead && r.ID < s.Self.ID {
			lower++
		}
	}
	return lower
}
