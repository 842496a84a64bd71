package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// Server is one start of a backend server, as one entry sees it.
type Server struct {
	ID        string
	Address   string
	Start     int64 // time of its start in milliseconds since 1970; 0 if unknown
	Slots     int
	ColdUntil time.Time // end of the time in which its caches count as cold
	Word      roster.Word
	Closed    bool // gets no new requests
	CanAsk    bool // it can be asked whether it is cold
	Site
	routing.Ejection
	routing.Notices
	Limit    routing.Limit // of the requests of all VMs
	BadLimit string        // text in its last answer to this VM that is no limit

	policy           *Policy
	cut              bool    // this VM cannot connect to its failure domain, while others can
	limitWeight      float64 // in the orders of objects, while it names a limit; otherwise 0
	quota            quota
	idHash           uint64
	inOwnRegion      bool // in the region of the entry
	running          int  // requests sent by this entry that have not ended
	partial          int  // of these, requests whose callers still send their bodies
	runs             []classRuns
	classes          map[string]*runTimes // of the pool
	othersLoad       float64              // requests of other entries, as last reported
	othersReportedAt time.Time            // of othersLoad
	meanOthersLoad   float64              // moving average of othersLoad
	slowness         float64              // moving average of the ratio of warm runs to the usual warm run
	meanRunRatio     float64              // moving average of the ratio of all runs, warm or cold, to the usual warm run; a queued request waits for such runs
	silentSince      time.Time            // time of the last answer, or of the first send to an idle server
	lateLast         bool                 // a late try was cancelled, and no answer has come since: silentSince goes on
	failureRate      float64              // moving average of the share of failed answers
	doubt            doubt
	answeredAt       time.Time // last good answer, or answer to a question
	begunAt          time.Time // last request that was sent
	begunBefore      time.Time // the request before that
	renewedAt        time.Time // a request was sent after a time without connections, and none since; zero otherwise
	askedRenewed     time.Time // first question because of that since the last answer to a question
	heardColdUntil   time.Time // end of its cold time by its answer to a question
	heardColdAt      time.Time // of that answer
	inColdOrder      bool      // it is left out of the orders of objects because it is cold
	pace             pace
	speed            speed
	objectAnsweredAt map[string]time.Time // time of the last good answer, by object
}

// ServerInfo describes a server to Pool.Update; its fields are as in Server.
type ServerInfo struct {
	ID        string
	Address   string
	Start     int64
	Slots     int
	ColdUntil time.Time
	Word      roster.Word // of ColdUntil
	Closed    bool
	Limit     routing.Limit
	CanAsk    bool // it can be asked whether it is cold
	Site
}

func compareServer(s *Server, id string) int { return cmp.Compare(s.ID, id) }

// eligible reports whether the server may run the request at all, now or later.
func (s *Server) eligible(req Request) bool {
	return !s.Closed && !(s.cut && req.OwnWay) && !s.SaidLeaving() && req.allows(s.Region) && !slices.Contains(req.Exclude, s.ID)
}

func (s *Server) usable(req Request, now time.Time) bool {
	if s.cut {
		// Another VM sends to it and paces itself; what failed here says nothing of it.
		return s.eligible(req)
	}
	return s.eligible(req) &&
		s.StayAway(now) == 0 &&
		!s.Ejected(now) &&
		!(s.Probing() && s.running > 0) &&
		s.MayPace(now)
}

// onlyDoubted reports whether the server may not run the request now for the one reason that this VM
// doubts it; a VM that does not may send it there.
func (s *Server) onlyDoubted(req Request, now time.Time) bool {
	return s.doubt.lasts(now) && !s.isCold(now) && !s.cut && !s.MayPace(now) && s.eligible(req) && s.StayAway(now) == 0
}

// unresponsive reports whether the server has running requests, sent to it whole, and answered
// nothing for longer than any of them should take, waiting included: it may have
// failed without closing its connections.
func (s *Server) unresponsive(usual runTimes, req Request, now time.Time) bool {
	if s.cut || s.running <= s.partial {
		return false
	}
	silent := now.Sub(s.silentSince)
	return silent > minSilence && silent > s.silenceLimit(usual, req)
}

// ranObject reports whether the server ran the object recently.
func (s *Server) ranObject(object string, now time.Time) bool {
	if len(s.objectAnsweredAt) == 0 {
		return false
	}
	at, found := s.objectAnsweredAt[object]
	return found && now.Sub(at) < objectTTL
}

// Load returns the estimated number of requests at the server: those of this
// entry, and those of others from the last report. The older the report, the
// more their mean load counts instead.
func (s *Server) Load(now time.Time) float64 {
	if s.othersReportedAt.IsZero() {
		return float64(s.running)
	}
	weight := float64(loadHalfWeightAge) / float64(loadHalfWeightAge+now.Sub(s.othersReportedAt))
	return float64(s.running) + s.othersLoad*weight + s.meanOthersLoad*(1-weight)
}

// LoadAge returns the age of the last load report, or -1 if there was none.
func (s *Server) LoadAge(now time.Time) time.Duration {
	if s.othersReportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.othersReportedAt)
}

// isCold reports whether the server said that it is cold.
func (s *Server) isCold(now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.heardColdUntil)
}

// isPaced reports whether the server gets only the rate of a cold one: it is or may be cold.
func (s *Server) isPaced(now time.Time) bool { return s.isCold(now) || s.doubt.lasts(now) }

// MayPace reports whether the rate of a cold server, if it applies, allows a request now.
func (s *Server) MayPace(now time.Time) bool {
	if s.doubt.single && s.doubt.lasts(now) && !s.isCold(now) {
		return s.running == 0
	}
	return !s.isPaced(now) || s.pace.allows(s.policy, s.idHash, now)
}

// Cold reports whether the server counts as cold, and on whose word and since when it is known
// that it does or does not.
func (s *Server) Cold(now time.Time) (bool, roster.Word) {
	switch {
	case now.Before(s.ColdUntil):
		return true, s.Word
	case now.Before(s.heardColdUntil):
		return true, roster.Word{Source: roster.FromAnswer, At: s.heardColdAt}
	case s.doubt.lasts(now):
		return true, roster.Word{Source: roster.FromConnection, At: s.doubt.since}
	default:
		return false, s.Word
	}
}

func (s *Server) evictOldestObject() {
	oldest, at := "", time.Time{}
	for object, used := range s.objectAnsweredAt {
		if oldest == "" || used.Before(at) || used.Equal(at) && object < oldest {
			oldest, at = object, used
		}
	}
	delete(s.objectAnsweredAt, oldest)
}

// countFailure counts a failed answer or connection and ejects the server after
// limit of them in a row.
func (s *Server) countFailure(now time.Time, limit int) {
	if s.RecordFailure(limit) {
		s.Eject(backoff, now)
	}
}
