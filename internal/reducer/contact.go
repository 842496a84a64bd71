package reducer

import (
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
)

// A server that starts again is cold before anybody has heard of it. What a VM itself sees of
// that are its connections, which break. It then takes the server for cold until a health check,
// an announcement or time has shown whether it is.

// maxQuestions limits the health checks that a VM begins in one tick.
const maxQuestions = 16

// loseContact limits a server that may have started again to the rate of a cold one.
func (s *State) loseContact(e ContactLost) {
	for _, pool := range s.placingPools {
		if server := pool.LoseContact(e.Address, s.now); server != nil {
			s.logContact(server, "lost", Field{"why", e.Why})
		}
	}
}

// doubtAll takes all servers for cold until it is known to which of them connections are open:
// while this VM stood still it heard nothing.
func (s *State) doubtAll() {
	for _, pool := range s.placingPools {
		pool.DoubtAll(s.now)
	}
	s.emit(CheckContacts{At: s.now})
}

func (s *State) keepContacts(e ContactsOpen) {
	for _, pool := range s.placingPools {
		pool.KeepContacts(e.Addresses, e.At)
	}
}

// isolatedAfter is the time without gossip after which this VM counts as cut off from all others.
const isolatedAfter = 8 * member.GossipInterval

func (s *State) isIsolated() bool {
	return !s.heardAt.IsZero() && s.now.Sub(s.heardAt) > isolatedAfter
}

// tickQuestions asks servers that may be cold, and that requests would go to, whether they are.
func (s *State) tickQuestions() {
	left := maxQuestions
	for _, pool := range s.placingPools {
		pool.Policy.Isolated = s.isIsolated()
		for _, server := range pool.Questions(left, s.now) {
			left--
			path := s.roster.HealthPath(server.ID)
			if path == "" {
				continue
			}
			s.emit(AskServer{Question: ServerQuestion{
				Server: server.ID, Service: pool.Policy.Service, Start: server.Start, Address: server.Address, Path: path, AskedAt: s.now,
			}})
		}
	}
}

// takeAnswer takes what a server itself says about its cold time.
func (s *State) takeAnswer(e ServerAnswered) {
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
	if !pool.TakeAnswer(server, q.AskedAt, e.ColdFor, s.now) {
		return
	}
	outcome := "warm"
	if e.ColdFor > 0 {
		outcome = "cold"
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
