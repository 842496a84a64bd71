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

// VM describes one VM of the system; a higher incarnation, then a higher
// counter, is newer. Both count up to 32 bits.
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
	Document    uint64 // log index of its steering document
	Services    []dispatch.Summary
}

// status is whether a VM takes callers: all VMs of its domain are told of a change at
// once, as they name it to callers or name it no longer.
type status struct{ ready, stopping bool }

func (v VM) status() status { return status{ready: v.Document > 0, stopping: v.Stopping} }

func (v VM) newer(other VM) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Counter > other.Counter
}

// Domain summarises a failure domain for the others.
type Domain struct {
	Name     string
	Region   string
	Version  uint64 // higher is newer
	VMs      int
	Roster   uint64     // hash of Entries
	Entries  []EntryRef // left out of most messages; Roster tells whether they changed
	Services []dispatch.Summary
	Barred   []quarantine.Entry
	Document uint64
}

// EntryRef is how to reach an entry VM.
type EntryRef struct {
	ID    string
	Peer  string // host:port for calls between VMs
	Entry string // host:port for callers; empty for a VM that takes none
	Ready bool   // it follows a steering document

	Control bool // it holds a control replica
}

// Heartbeat is the newest heartbeat heard of a VM.
type Heartbeat struct {
	Name        uint32 // hash of the VM's id
	Incarnation uint32 // seconds since 1970
	Counter     uint32
}

// Gossip is a message between VMs.
type Gossip struct {
	From    VM
	Greet   bool       // the sender wants a reply if it knows less
	Known   int        // VMs of its failure domain that a greeting sender knows
	Beats   Heartbeats // of all live VMs of the sender's failure domain
	VMs     []VM       // a few of them in full
	Domains []Domain   // of all failure domains
}

// Outgoing tells the shell to send a Gossip to a peer address.
type Outgoing struct {
	Address string
	Gossip  Gossip
}

// Timings and bounds.
const (
	GossipInterval    = 250 * time.Millisecond
	domainInterval    = 500 * time.Millisecond
	fanout            = 2
	someSummaries     = 2               // domains in one message between VMs of a domain
	moreSummaries     = 4               // the same in a domain of few VMs, whose heartbeats leave room
	fewVMs            = 16              // in such a domain, at most
	rosterEvery       = 16              // messages with summaries, one of which names the entries; entries that change are named at once
	rosterNews        = 4 * time.Second // entries that changed are named in each message
	fullRecords       = 1               // VMs in full in one message
	greetRecords      = 64              // VMs in full in the reply to a greeting
	maxEntryRefs      = 24              // entries in a summary
	maxBarred         = 32              // quarantine entries in a summary
	unreachableAfter  = 1 * time.Second
	deadAfter         = 3 * time.Second
	forgetAfter       = 10 * time.Minute
	meetingBeats      = 20 // of a VM that started, in which the parts of all domains should have met
	returnHeartbeats  = 3  // that a VM thought dead must send to count again
	DomainSilentAfter = 5 * time.Second
)

// record is what is known of one VM of the own failure domain.
type record struct {
	VM
	beat        Heartbeat // newest heartbeat; the VM in full may be older
	heardAt     time.Time
	unreachable bool
	dead        bool
	returns     int
}

type domainRecord struct {
	Domain
	heardAt  time.Time
	rosterAt time.Time // when its entries changed
	sent     int       // times passed on since it changed
}

// State is the membership as one VM sees it.
type State struct {
	Self  VM
	Seeds []string // peer addresses to begin with

	records    []record // by id, without the VM itself
	domains    []domainRecord
	random     *rand.Rand
	due        time.Time
	domainDue  time.Time
	died       []string
	summaries  int      // messages with summaries sent
	strangers  []string // peer addresses of VMs of the own domain to greet
	domainTurn int      // failure domain that a relay wrote to last
	told       status   // that all VMs of the domain were told of
}

// New returns the membership of a VM that knows only its seeds.
func New(self VM, seeds []string) *State {
	return &State{
		Self:   self,
		Seeds:  seeds,
		random: rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), self.Incarnation)),
	}
}

func compareRecord(r record, id string) int { return strings.Compare(r.ID, id) }

func compareDomain(d domainRecord, name string) int { return strings.Compare(d.Name, name) }

// Tick sends gossip when due and marks VMs that went silent.
func (s *State) Tick(now time.Time) []Outgoing {
	s.judge(now)
	var sends []Outgoing
	if !now.Before(s.due) {
		s.due = now.Add(GossipInterval)
		s.Self.Counter++
		sends = s.gossip(now)
	}
	if !now.Before(s.domainDue) {
		s.domainDue = now.Add(domainInterval)
		sends = append(sends, s.gossipDomains(now)...)
	}
	return sends
}

func (s *State) judge(now time.Time) {
	for i := range s.records {
		r := &s.records[i]
		silent := now.Sub(r.heardAt)
		limit := deadAfter
		if r.unreachable {
			limit = unreachableAfter
		}
		if !r.dead && silent >= limit {
			r.dead = true
			r.returns = 0
			s.died = append(s.died, r.ID)
		}
	}
	s.records = slices.DeleteFunc(s.records, func(r record) bool { return now.Sub(r.heardAt) > forgetAfter })
}

// TakeDead returns the VMs that were found dead since the last call.
func (s *State) TakeDead() []string {
	died := s.died
	s.died = nil
	return died
}

func (s *State) gossip(now time.Time) []Outgoing {
	alive := s.alive()
	message := Gossip{
		From:    s.Self,
		Beats:   s.beats(),
		VMs:     s.some(alive, fullRecords),
		Domains: s.someDomains(now),
	}
	targets := s.targets(alive)
	if status := s.Self.status(); status != s.told {
		targets, s.told = alive, status
	}
	var sends []Outgoing
	for _, vm := range targets {
		sends = append(sends, Outgoing{Address: vm.Peer, Gossip: message})
	}
	if addresses := s.greeted(alive); len(addresses) > 0 {
		greeting := Gossip{From: s.Self, Greet: true, Known: len(alive), Domains: s.headlines(now)}
		for _, address := range addresses {
			sends = append(sends, Outgoing{Address: address, Gossip: greeting})
		}
	}
	return sends
}

func (s *State) beats() Heartbeats {
	var beats Heartbeats
	for _, r := range s.records {
		if !r.dead {
			beats = beats.add(r.beat)
		}
	}
	return beats
}

// some returns a random choice of the VMs.
func (s *State) some(vms []VM, most int) []VM {
	chosen := make([]VM, 0, most)
	for _, at := range s.random.Perm(len(vms)) {
		if len(chosen) == most {
			break
		}
		chosen = append(chosen, vms[at])
	}
	return chosen
}

// targets are the VMs that get this round's gossip; an owner of services also
// tells the first relay, which sums them up.
func (s *State) targets(alive []VM) []VM {
	chosen := s.some(alive, fanout)
	if len(s.Self.Services) == 0 || len(alive) == 0 {
		return chosen
	}
	relay := slices.MinFunc(alive, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	if relay.ID < s.Self.ID && !slices.ContainsFunc(chosen, func(vm VM) bool { return vm.ID == relay.ID }) {
		chosen = append(chosen, relay)
	}
	return chosen
}

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

// Receive takes over what a peer knows, and replies to a greeting.
func (s *State) Receive(g Gossip, now time.Time) []Outgoing {
	apart := s.otherPart(g)
	news := s.merge(g.From, now)
	for _, vm := range g.VMs {
		s.merge(vm, now)
	}
	if g.From.Domain == s.Self.Domain {
		s.mergeBeats(g.Beats, now)
	}
	for _, domain := range g.Domains {
		s.mergeDomain(domain, now)
	}
	if !news && len(apart) == 0 && !s.knowsMore(g, now) {
		return nil
	}
	reply := Gossip{From: s.Self, Domains: append(s.known(now), apart...)}
	if g.From.Domain == s.Self.Domain {
		reply.VMs = s.some(s.alive(), greetRecords)
	}
	return []Outgoing{{Address: g.From.Peer, Gossip: reply}}
}

// merge takes over one VM and returns true when nothing was known of it.
func (s *State) merge(vm VM, now time.Time) bool {
	if vm.Domain != s.Self.Domain {
		return s.mergeStranger(vm, now)
	}
	beat := beatOf(vm)
	if vm.ID == s.Self.ID {
		s.refute(beat)
		return false
	}
	at, found := slices.BinarySearchFunc(s.records, vm.ID, compareRecord)
	if !found {
		s.records = slices.Insert(s.records, at, record{VM: vm, beat: beat, heardAt: now})
		return true
	}
	if vm.newer(s.records[at].VM) {
		s.records[at].VM = vm
	}
	s.heard(&s.records[at], beat, now)
	return false
}

// mergeBeats takes over heartbeats of VMs that are known in full.
func (s *State) mergeBeats(beats Heartbeats, now time.Time) {
	own := beatOf(s.Self)
	for beat := range beats.all() {
		if beat.Name == own.Name {
			s.refute(beat)
			continue
		}
		for i := range s.records {
			if s.records[i].beat.Name == beat.Name {
				s.heard(&s.records[i], beat, now)
			}
		}
	}
}

// heard notes a new heartbeat. A VM thought dead must send a few before it
// counts again, so that one that comes and goes does not move work each time.
func (s *State) heard(r *record, beat Heartbeat, now time.Time) {
	restarted := beat.Incarnation > r.beat.Incarnation
	if !restarted && (beat.Incarnation < r.beat.Incarnation || beat.Counter <= r.beat.Counter) {
		return
	}
	r.beat = beat
	r.heardAt = now
	r.unreachable = false
	if !r.dead {
		if restarted {
			s.died = append(s.died, r.ID)
		}
		return
	}
	r.returns++
	if restarted || r.returns >= returnHeartbeats {
		r.dead = false
	}
}

// refute outlives a newer record of itself, left by an earlier start whose
// clock was ahead.
func (s *State) refute(beat Heartbeat) {
	own := beatOf(s.Self)
	newer := beat.Incarnation == own.Incarnation && beat.Counter > own.Counter
	if newer || beat.Incarnation > own.Incarnation {
		s.Self.Incarnation = uint64(beat.Incarnation) + 1
	}
}

// MarkUnreachable notes that a peer address refused a connection.
func (s *State) MarkUnreachable(peer string) {
	for i := range s.records {
		if s.records[i].Peer == peer {
			s.records[i].unreachable = true
		}
	}
}

// IsRelay reports whether this VM speaks for its failure domain: the two live
// VMs with the lowest ids do.
func (s *State) IsRelay() bool {
	const relays = 2
	return s.lowerRelays() < relays
}

// lowerRelays counts the live VMs with lower ids.
func (s *State) lowerRelays() int {
	lower := 0
	for _, r := range s.records {
		if !r.dead && r.ID < s.Self.ID {
			lower++
		}
	}
	return lower
}
