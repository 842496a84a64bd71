package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
)

// A server that starts again is cold before anybody has heard of it. What a VM itself sees of
// that are its connections, which break. It then takes the server for cold until a health check,
// an announcement or time has shown whether it is.

// Limits of the health checks that a VM begins.
const (
	maxQuestions          = 16 // in one tick
	maxQuestionsOfRequest = 2  // when a server is chosen for a request
)

// loseContact limits a server that may have started again to the rate of a cold one.
func (s *State) loseContact(e ContactLost) {
	for _, pool := range s.placingPools {
		doubt := pool.LoseContact
		if e.Renewed {
			doubt = pool.RenewContact
		}
		server := doubt(e.Address, s.now)
		if server == nil {
			continue
		}
		s.logContact(server, "lost", Field{"why", e.Why})
		if e.Renewed {
			s.askServers(pool, maxQuestionsOfRequest)
		}
	}
}

// doubtAll takes all servers for cold until it is known to which of them connections are open since
// before the pause: while this VM stood still it heard nothing.
func (s *State) doubtAll(pause time.Duration) {
	for _, pool := range s.placingPools {
		pool.DoubtAll(s.now)
	}
	s.emit(CheckContacts{At: s.now, Before: s.now.Add(-pause)})
}

func (s *State) keepContacts(e ContactsOpen) {
	for _, pool := range s.placingPools {
		pool.KeepContacts(e.Addresses, e.At)
	}
}

// isolatedAfter is the time without gossip after which this VM counts as cut off from all others.
const isolatedAfter = 8 * member.GossipInterval

// hasOlderPeer reports whether another entry of the failure domain started a cold time or more
// before this VM: it has connections to servers and tells what becomes of them.
func (s *State) hasOlderPeer(coldTime time.Duration) bool {
	age := uint64(coldTime / time.Second)
	return slices.ContainsFunc(s.members.Alive(), func(vm member.VM) bool {
		return vm.ID != s.Settings.VM && vm.Entry != "" && vm.Incarnation+age <= s.members.Self.Incarnation
	})
}

// tickQuestions asks servers that may be cold, and that requests would go to, whether they are.
func (s *State) tickQuestions() {
	s.endLateQuestions()
	left := maxQuestions
	for _, pool := range s.placingPools {
		pool.Policy.Isolated = !s.heardAt.IsZero() && s.now.Sub(s.heardAt) > isolatedAfter
		pool.Policy.InformedAt = time.Time{}
		if s.now.Sub(s.startedAt) < pool.ColdTime() && !s.hasOlderPeer(pool.ColdTime()) {
			// Servers that started again before this VM did are warm a cold time later.
			pool.Policy.InformedAt = s.startedAt.Add(pool.ColdTime())
			pool.AskEarly(s.now)
		}
		left -= s.askServers(pool, left)
	}
}

// askServers asks at most so many servers of a pool, and returns how many it asked.
func (s *State) askServers(pool *placing.Pool, limit int) int {
	due := pool.Questions(limit, s.now)
	for _, server := range due {
		path := s.roster.HealthPath(server.ID)
		if path == "" {
			continue
		}
		s.emit(AskServer{Question: s.question(pool, server, path)})
	}
	return len(due)
}

// takeAnswer takes what a server itself says about its cold time, and tells the other VMs that
// it is cold.
func (s *State) takeAnswer(e ServerAnswered) {
	defer s.goOn(e.Question.Call, e.Why == "")
	q := e.Question
	pool := s.placingPools[q.Service]
	if pool == nil || e.Why != "" {
		return
	}
	server := pool.Find(q.Server)
	if server == nil || server.Start != q.Start || server.Address != q.Address {
		return
	}
	if e.ID != q.Server {
		s.endReplaced(server)
		return
	}
	if e.Load.Pace > 0 {
		pool.RecordReport(server, e.Load, s.now)
	}
	heardCold := q.Call != 0 && pool.HearCold(server, e.ColdFor, s.now)
	if !pool.TakeAnswer(server, q.AskedAt, e.ColdFor, s.now) && !heardCold {
		return
	}
	outcome := "warm"
	if e.ColdFor > 0 {
		outcome = "cold"
		s.roster.TurnCold(q.Server, q.Start, e.ColdFor, s.now)
		s.markRosterChange()
	}
	s.logContact(server, outcome, Field{"cold_for", e.ColdFor})
}

func (s *State) logContact(server *placing.Server, outcome string, f Field) {
	s.emit(Decision{Code: CodeContact, Outcome: outcome, Fields: []Field{
		{"server", server.ID},
		{"address", server.Address},
		{"start", server.Start},
		f,
	}})
}
