package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
)

// loadQuestion is a question for the load of a server, asked before a request is placed.
type loadQuestion struct {
	askedAt  time.Time
	answered bool // or given up
}

// loadQuestionWait is how long a request waits for the answer: several round trips within a region,
// and the first one of them for a connection.
const loadQuestionWait = 25 * time.Millisecond

// askForLoad asks the server that a request would go to for its load, if that is worth the time. The
// request is placed once the answer is in.
func (s *State) askForLoad(call uint64, r *relay.Request, slotRequest dispatch.SlotRequest) bool {
	if _, asked := s.loadQuestions[call]; asked {
		delete(s.loadQuestions, call)
		return false
	}
	pool := s.placingPools[r.Service]
	if pool == nil || !pool.ReportsPace(s.now) {
		return false
	}
	request := s.placingRequest(r, slotRequest)
	server := pool.WorthAsking(request, s.now)
	if server == nil {
		server = pool.AskForSlot(request, s.now)
	}
	if server == nil {
		return false
	}
	path := s.roster.HealthPath(server.ID)
	if path == "" || !s.askBudget.Take(s.now) {
		return false
	}
	s.loadQuestions[call] = loadQuestion{askedAt: s.now}
	q := s.question(pool, server, path)
	q.Call, q.Wait = call, loadQuestionWait
	s.emit(AskServer{Question: q})
	return true
}

// goOn places the request that waited for an answer, which came in time or not.
func (s *State) goOn(call uint64, inTime bool) {
	r, q := s.requests[call], s.loadQuestions[call]
	if call == 0 || r == nil || q.answered || q.askedAt.IsZero() {
		return
	}
	q.answered = true
	s.askBudget.NoteAnswer(inTime, s.now)
	s.loadQuestions[call] = q
	s.runStep(call, r, r.RequestSlot(s.now))
}

// endLateQuestions places the requests whose questions were lost.
func (s *State) endLateQuestions() {
	for _, call := range slices.Sorted(maps.Keys(s.loadQuestions)) {
		if s.now.Sub(s.loadQuestions[call].askedAt) > 2*loadQuestionWait {
			s.goOn(call, false)
		}
	}
}

// placingRequest describes a request to package placing.
func (s *State) placingRequest(r *relay.Request, slotRequest dispatch.SlotRequest) placing.Request {
	regions := s.regionsOf(r)
	return placing.Request{
		Class:      r.Route.Location(),
		Object:     r.Object,
		Rank:       r.Rank,
		Remaining:  slotRequest.Remaining,
		Target:     r.TargetTime.Sub(s.now),
		Exclude:    slotRequest.Exclude,
		Allowed:    regions.filter(),
		AllowedKey: regions.key,
		OwnWay:     r.TakenOver,
	}
}

func (s *State) question(pool *placing.Pool, server *placing.Server, path string) ServerQuestion {
	return ServerQuestion{
		Server: server.ID, Service: pool.Policy.Service, Start: server.Start, Address: server.Address, Path: path, AskedAt: s.now,
	}
}
