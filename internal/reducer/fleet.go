package reducer

import (
	"fmt"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

func (s *State) tickMembers() {
	s.members.Self.Services = nil
	for _, pool := range s.pools {
		s.members.Self.Services = append(s.members.Self.Services, pool.Summary())
	}
	s.members.Self.Stopping = s.leaving || s.plannedStop()
	s.updateReadiness()
	for _, send := range s.members.Tick(s.now) {
		s.sendGossip(send)
	}
	for _, vm := range s.members.TakeDead() {
		s.log(CodeVMDied, vm, 0)
		s.record(Audit{Kind: AuditMember, From: vm, Outcome: "dead"})
		for _, pool := range s.pools {
			s.applyPoolEffects(pool, pool.EndVMGrants(vm, s.now))
		}
	}
}

// updateReadiness tells the other VMs once this one takes callers.
func (s *State) updateReadiness() {
	wasStarting := s.members.Self.Starting
	s.members.Self.Starting = !s.isReady()
	if wasStarting && !s.members.Self.Starting {
		s.publish()
	}
}

// plannedStop reports whether a planned stop covers this VM.
func (s *State) plannedStop() bool {
	return s.document != nil && s.document.Stops.Stopped(document.StopVM, s.Settings.VM, s.now, 0)
}

// leaderReplicasEvery is the number of gossip messages of which one lists the
// control replicas.
const leaderReplicasEvery = 8

func (s *State) sendGossip(send member.Outgoing) {
	gossip := send.Gossip
	leader := s.leader
	s.gossipSends++
	if s.gossipSends%leaderReplicasEvery != 0 {
		leader.Replicas = nil
	}
	s.transmit(send.Address, Message{Gossip: &gossip, Leader: &leader, Roster: s.roster.Digests()})
}

func (s *State) receiveGossip(gossip member.Gossip, leader *Leader) {
	if leader != nil {
		s.updateLeader(*leader)
	}
	for _, send := range s.members.Receive(gossip, s.now) {
		s.sendGossip(send)
	}
	s.followVMs()
	for _, domain := range gossip.Domains {
		if domain.Name != s.Settings.Domain {
			s.quarantine.Merge(domain.Barred, s.now)
		}
	}
	if gossip.From.Document > s.sectionsAt.Index {
		s.wantDocument(documentSource{peer: gossip.From.Peer, position: gossip.From.Document, inParts: gossip.From.Parts})
	}
	for _, domain := range gossip.Domains {
		if domain.Document > s.sectionsAt.Index && len(domain.Entries) > 0 {
			s.fetchTurn++
			s.wantDocument(documentSource{peer: domain.Entries[s.fetchTurn%len(domain.Entries)].Peer, position: domain.Document, inParts: gossip.From.Parts})
		}
	}
}

// applyPoolEffects turns effects of a pool into effects of the VM.
func (s *State) applyPoolEffects(pool *dispatch.Pool, effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Reply:
			s.handleReply(e)
		case dispatch.SendLoanRequest:
			s.sendLoanRequest(e)
		case dispatch.SendLoan:
			loan := e.Loan
			s.transmit(e.Peer, Message{Loan: &loan})
		case dispatch.SendNotice:
			notice := e.Notice
			s.transmitToDomain(e.Domain, 0, Message{Notice: &notice})
		case dispatch.QuarantineChange:
			s.handleQuarantineChange(e)
		case dispatch.LoanChange:
			s.record(Audit{
				Kind:    AuditLease,
				Service: e.Service,
				From:    s.Settings.Domain,
				To:      e.Domain,
				Server:  e.Lessee,
				Outcome: loanOutcome(e),
				Count:   int64(e.Slots),
				Amount:  float64(e.Reserved + e.InUse),
				Limit:   float64(e.Capacity),
			})
		case dispatch.SpillReport:
			s.recordShift("spill", e.Service, e.Stats)
		case dispatch.ServerDrained:
			s.log(CodeServerDrained, e.Service+" "+e.Server, e.Took.Milliseconds())
			s.record(Audit{Kind: AuditDrain, Service: e.Service, Server: e.Server, Amount: e.Took.Seconds(), Outcome: "drained"})
		}
	}
}

func loanOutcome(e dispatch.LoanChange) string {
	if e.Slots > e.Before {
		return "raised"
	}
	return "lowered"
}

// recordShift records how much of an interval's traffic moved to another failure
// domain; mechanism names what moved it.
func (s *State) recordShift(mechanism, service string, stats shift.IntervalStats) {
	s.record(Audit{
		Kind:    AuditPlan,
		Outcome: mechanism,
		Service: service,
		From:    s.Settings.Domain,
		Count:   int64(stats.Requests),
		Amount:  stats.Share(),
		Limit:   stats.Limit(),
	})
}

func (s *State) sendLoanRequest(e dispatch.SendLoanRequest) {
	request := e.Request
	s.transmitToDomain(e.Domain, request.Sent, Message{Want: &request})
}

// transmitToDomain sends a message to one VM of another failure domain, which forwards
// it to the owner of its service; turn selects the VM.
func (s *State) transmitToDomain(name string, turn uint64, message Message) {
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == name && len(domain.Entries) > 0 {
			s.transmit(domain.Entries[turn%uint64(len(domain.Entries))].Peer, message)
		}
	}
}

func (s *State) handleQuarantineChange(e dispatch.QuarantineChange) {
	phase := "suspected"
	if e.Phase == quarantine.Quarantined {
		phase = "quarantined"
	}
	s.log(CodeQuarantine, phase+" "+hex(e.Fingerprint), 0)
	s.record(Audit{Kind: AuditQuarantine, Service: e.Service, Server: e.Server, Key: hex(e.Fingerprint), Outcome: phase})
	s.members.SetBarred(s.quarantine.Entries)
	s.sendSuspicion(e.Fingerprint)
}

// maxSuspicionsPerTick limits the suspicions that a VM sends to others in one
// tick. A request that crashes servers takes down one at a time; when many
// servers fail together, every request that they ran is suspected, nearly
// always wrongly.
const maxSuspicionsPerTick = 4

// sendSuspicion sends a suspicion or quarantine to all failure domains, because
// the caller may retry the request at once and in another domain.
func (s *State) sendSuspicion(fingerprint uint64) {
	entry, found := s.quarantine.Find(fingerprint)
	if !found || s.suspicionsSent >= maxSuspicionsPerTick && entry.Phase != quarantine.Quarantined {
		return
	}
	s.suspicionsSent++
	entries := []quarantine.Entry{entry}
	s.sendToDomain(Message{Bar: &QuarantineUpdate{Entries: entries}})
	s.sendToOtherDomains(Message{Bar: &QuarantineUpdate{Entries: entries, Relay: true}})
}

func (s *State) receiveQuarantine(update QuarantineUpdate) {
	s.quarantine.Merge(update.Entries, s.now)
	if update.Relay {
		s.sendToDomain(Message{Bar: &QuarantineUpdate{Entries: update.Entries}})
	}
}

// sendToDomain sends a message to the other VMs of the failure domain.
func (s *State) sendToDomain(message Message) {
	for _, vm := range s.members.Alive() {
		if vm.ID != s.Settings.VM {
			s.transmit(vm.Peer, message)
		}
	}
}

// sendToOtherDomains sends a message to a few VMs of each other failure domain.
func (s *State) sendToOtherDomains(message Message) {
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == s.Settings.Domain {
			continue
		}
		for _, entry := range domain.Entries[:min(relaysPerDomain, len(domain.Entries))] {
			s.transmit(entry.Peer, message)
		}
	}
}

// sendToRelays sends a message to VMs of each other failure domain that forward
// it within their domain: to one control VM, whose link has the capacity for
// it, or, where there is none, to a few other VMs.
func (s *State) sendToRelays(message Message) {
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == s.Settings.Domain {
			continue
		}
		relays := domain.Entries[:min(relaysPerDomain, len(domain.Entries))]
		for i, entry := range domain.Entries {
			if entry.Control {
				relays = domain.Entries[i : i+1]
				break
			}
		}
		for _, entry := range relays {
			s.transmit(entry.Peer, message)
		}
	}
}

const maxHops = 2 // times that a message is forwarded

// deliverToPool passes a message to the pool of its service, or forwards it to
// the owner.
func (s *State) deliverToPool(m Message) {
	service := m.service()
	pool := s.pool(service)
	if pool == nil {
		owner := s.ownerOf(service)
		if m.Hops < maxHops && owner.Peer != "" && m.Cancel == nil {
			m.Hops++
			s.transmit(owner.Peer, m)
		}
		return
	}
	switch {
	case m.Want != nil:
		s.applyPoolEffects(pool, pool.Lend(*m.Want, s.linkSlots(pool, m.Want.Region), s.now))
	case m.Loan != nil:
		oneWay := s.document.Places.OneWay(s.Settings.Region, m.Loan.Region)
		s.applyPoolEffects(pool, pool.AcceptLoan(*m.Loan, oneWay, s.now))
	case m.Handover != nil:
		s.applyPoolEffects(pool, pool.TakeOver(*m.Handover, s.now))
	case m.Finish != nil:
		s.applyPoolEffects(pool, pool.Finish(*m.Finish, s.now))
	case m.Notice != nil:
		s.applyPoolEffects(pool, pool.Note(*m.Notice, s.now))
	case m.Cancel != nil:
		pool.Cancel(m.Cancel.From, m.Cancel.Ask)
		delete(s.slotWaiters, slotRequestKey{m.Cancel.From, m.Cancel.Ask})
	}
}

func (m Message) service() string {
	switch {
	case m.Want != nil:
		return m.Want.Service
	case m.Loan != nil:
		return m.Loan.Service
	case m.Handover != nil:
		return m.Handover.Service
	case m.Finish != nil:
		return m.Finish.Service
	case m.Notice != nil:
		return m.Notice.Service
	case m.Cancel != nil:
		return m.Cancel.Service
	default:
		return ""
	}
}

// linkSlots returns how many slots another region may borrow, limited by the
// share of the link between the regions that this failure domain and service
// may use.
func (s *State) linkSlots(pool *dispatch.Pool, region string) int {
	bits := LinkShare(s.document, s.Settings.Region, region)
	if bits == 0 {
		return routing.MaxServers * routing.MaxSlots
	}
	return pool.LinkSlots(bits)
}

// LinkShare returns the share of the link between two regions that one service
// in one failure domain may use, in bits per second; 0 means no limit.
func LinkShare(d *document.Document, from, to string) float64 {
	limit, found := d.Places.Limit(from, to)
	if !found || from == to {
		return 0
	}
	domains := 0
	for _, domain := range d.Places.Domains {
		if domain.Region == from {
			domains++
		}
	}
	return float64(limit) / float64(max(1, domains)*len(d.Services.Services))
}
