package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Server is one start of a backend server.
type Server struct {
	ID        string
	Address   string
	Start     int64
	Slots     int
	ColdUntil time.Time
	Closed    bool // gets nothing new
	Site
	routing.Ejection

	hash       uint64
	near       bool // in the region of the entry
	running    int  // sent from here and not ended
	others     float64
	othersAt   time.Time
	othersMean float64
	slow       float64   // moving average of the ratio to the usual time
	mix        float64   // moving average of all runs, warm and cold, as a ratio to a warm one: what a waiting request waits for
	quietSince time.Time // last answer, or the first send since nothing ran
	failing    float64   // share of failed answers, moving average
	wasDown    bool      // refused connections since its last answer
	presumed   time.Time // thought to be cold until then
	nextCold   time.Time
	waits      bool                 // for the turn of this entry at the cold server, or had it
	objects    map[string]time.Time // last good answer
}

// ServerInfo describes a server for the pool.
type ServerInfo struct {
	ID        string
	Address   string
	Start     int64
	Slots     int
	ColdUntil time.Time
	Closed    bool
	Site
}

func compareServer(s *Server, id string) int { return cmp.Compare(s.ID, id) }

func (s *Server) usable(ask Request, now time.Time) bool {
	return !s.Closed &&
		!s.Ejected(now) &&
		!(s.Probing() && s.running > 0) &&
		!(s.isCold(now) && now.Before(s.nextCold)) &&
		ask.allowed(s.Region) &&
		!slices.Contains(ask.Exclude, s.ID)
}

// unheard reports whether the server answered nothing for longer than any run
// that waited should take: it may be gone without a word.
func (s *Server) unheard(usual runs, ask Request, now time.Time) bool {
	patience := seconds(unheardRuns*usual.cold) + ask.Target/2
	return s.running > 0 && now.Sub(s.quietSince) > max(patience, minPatience)
}

func (s *Server) knows(object string, now time.Time) bool {
	if len(s.objects) == 0 {
		return false
	}
	at, found := s.objects[object]
	return found && now.Sub(at) < objectKept
}

// Load is the number of requests thought to be at the server: those of this
// entry, and those of others by what the server said last.
func (s *Server) Load(now time.Time) float64 {
	if s.othersAt.IsZero() {
		return float64(s.running)
	}
	fresh := float64(loadFade) / float64(loadFade+now.Sub(s.othersAt))
	return float64(s.running) + s.others*fresh + s.othersMean*(1-fresh)
}

// LoadAge is the age of what the server said of its load; negative for never.
func (s *Server) LoadAge(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return -1
	}
	return now.Sub(s.othersAt)
}

// isCold reports whether the server says, or may be thought, that it is cold.
func (s *Server) isCold(now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.presumed)
}

// awaitTurn delays the first request to a server that became cold, so that the first
// requests of many entries are spread over the time in which each sends one.
func (s *Server) awaitTurn(policy Policy, cold bool, now time.Time) {
	if policy.ColdEntries == 0 {
		return
	}
	if cold && !s.waits {
		turns := uint64(policy.ColdEntries)
		turn := (uint64(policy.ColdEntryIndex) + s.hash%turns) % turns
		s.nextCold = now.Add(seconds(float64(turn) / float64(turns) / policy.ColdRate))
	}
	s.waits = cold
}

func (s *Server) paceCold(rate float64, now time.Time) {
	s.nextCold, s.waits = now.Add(seconds(1/rate)), true
}

func (s *Server) forgetOldest() {
	oldest, at := "", time.Time{}
	for object, used := range s.objects {
		if oldest == "" || used.Before(at) || used.Equal(at) && object < oldest {
			oldest, at = object, used
		}
	}
	delete(s.objects, oldest)
}

// fail takes the server out for a while after so many failures in a row.
func (s *Server) fail(now time.Time, limit int) {
	if s.RecordFailure(limit) {
		s.Eject(backoff, now)
	}
}
