package reducer

import (
	"maps"
	"slices"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
)

// A server may limit the requests a second of all VMs together. The entries that choose
// servers themselves then send it only as many requests as one VM of the server's failure
// domain, its allocator, has allowed.

// noteLimit applies the limit that a server named in an answer, and tells all VMs of a
// change.
func (s *State) noteLimit(r *relay.Request, run placedRun, e RequestSent) {
	server := run.server
	if e.BadLimit != server.BadLimit {
		server.BadLimit = e.BadLimit
		if e.BadLimit != "" {
			s.logNotice(r, "limit-invalid", Field{"text", e.BadLimit})
		}
	}
	if !e.Limit.Named && !(server.Limit.Named && endsLimit(e)) {
		return
	}
	if s.roster.NoteLimit(server.ID, server.Start, e.Limit, s.now) {
		s.logLimit(r, e.Limit)
		s.markRosterChange()
	}
	if entry := s.roster.Find(server.ID); entry != nil && entry.Start == server.Start {
		run.pool.SetLimit(server.ID, server.Start, entry.Limit)
	}
}

// tickAllowances asks for the allowances that this VM needs, and forgets the servers that
// it does not allocate.
func (s *State) tickAllowances() {
	for _, service := range slices.Sorted(maps.Keys(s.placingPools)) {
		for _, request := range s.placingPools[service].AllowanceRequests(s.now) {
			s.requestAllowances(service, request)
		}
	}
	s.allocator.Retain(func(server string) bool {
		return s.members.Owner(allocatorKey(server)).ID == s.Settings.VM
	}, s.now)
}

func allocatorKey(server string) string { return "allowance\x00" + server }

// requestAllowances sends a request to the allocator of the server, as far as this VM
// knows it.
func (s *State) requestAllowances(service string, request allowance.Request) {
	entry := s.roster.Find(request.Start.Server)
	if entry == nil || entry.Start != request.Start.Time {
		return
	}
	request.Peer = s.Settings.Peer
	request.LimitVersion = entry.LimitVersion
	message := Message{Allow: &AllowanceRequest{Service: service, Domain: entry.Domain, Request: request}}
	if entry.Domain == s.Settings.Domain {
		s.receiveAllowanceRequest(message)
		return
	}
	s.transmit(s.allocatorOf(entry).Peer, message)
}

// receiveAllowanceRequest answers a request for a server that this VM allocates, and
// forwards others.
func (s *State) receiveAllowanceRequest(m Message) {
	request := m.Allow.Request
	if m.Allow.Domain != s.Settings.Domain {
		return
	}
	if owner := s.members.Owner(allocatorKey(request.Start.Server)); owner.ID != s.Settings.VM {
		if m.Hops < maxHops {
			m.Hops++
			s.transmit(owner.Peer, m)
		}
		return
	}
	limit := request.Limit
	if entry := s.roster.Find(request.Start.Server); entry != nil && entry.Start == request.Start.Time && entry.LimitVersion >= request.LimitVersion {
		limit = entry.Limit
	}
	if s.now.Sub(s.startedAt) < membershipSettleTime || !limit.Named {
		return
	}
	grant := AllowanceGrant{Service: m.Allow.Service, Grant: s.allocator.Allow(request, limit, s.members.HeardShare(), s.now)}
	if request.Peer == s.Settings.Peer {
		s.receiveAllowances(grant)
		return
	}
	s.transmit(request.Peer, Message{Allowed: &grant})
}

func (s *State) receiveAllowances(grant AllowanceGrant) {
	if pool := s.placingPools[grant.Service]; pool != nil {
		pool.TakeAllowances(grant.Grant, s.now)
	}
}

// limitStatus lists the limited servers that entries choose themselves, by id.
func (s *State) limitStatus() []LimitStatus {
	var limits []LimitStatus
	for _, entry := range s.roster.Entries {
		if !entry.Limit.Named || entry.Gone || entry.Silent {
			continue
		}
		limit := LimitStatus{
			Server:    entry.ID,
			Service:   entry.Service,
			PerSecond: entry.Limit.PerSecond,
			Version:   entry.LimitVersion,
			Allocator: s.allocatorOf(entry).ID,
			Age:       -1,
		}
		if pool := s.placingPools[entry.Service]; pool != nil {
			limit.Allowances, limit.Age = pool.Allowances(entry.ID, s.now)
		}
		limits = append(limits, limit)
	}
	return limits
}

// allocatorOf returns the VM that most likely allocates the server, or the zero value if
// no VM of its failure domain is known.
func (s *State) allocatorOf(entry *roster.Entry) member.EntryRef {
	key := allocatorKey(entry.ID)
	if entry.Domain == s.Settings.Domain {
		vm := s.members.Owner(key)
		return member.EntryRef{ID: vm.ID, Peer: vm.Peer}
	}
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == entry.Domain {
			return domain.Owner(key)
		}
	}
	return member.EntryRef{}
}
