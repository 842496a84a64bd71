package routing

import "time"

// State is what a backend server says of itself.
type State string

// The states of a backend server.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Valid reports whether the state is one of the three.
func (s State) Valid() bool {
	return s == StateStarting || s == StateServing || s == StateLeaving
}

// Announcement is what a backend server tells about itself.
type Announcement struct {
	ID          string
	Address     string // host:port
	Service     string
	Slots       int
	Connections int
	Load        float64 // requests that the server says it runs
	State       State
	Start       int64  // milliseconds since 1970; 0 when the server does not tell
	Sequence    uint64 // rises with each announcement of a start; 0 when it does not tell
}

// Result is how a request on a server ended, as its entry saw it.
type Result uint8

// The results.
const (
	ResultOK          Result = iota + 1 // a whole answer below status 500
	ResultError                         // a whole answer of status 500 or above
	ResultShed                          // the server refused it and did not run it
	ResultDialFailed                    // no connection could be made; nothing was sent
	ResultBroken                        // the connection broke before the whole answer
	ResultTimeout                       // the deadline passed first
	ResultCancelled                     // the caller hung up
	ResultUnused                        // the grant was given back; nothing was sent
	ResultDialTimeout                   // no connection came in time, perhaps as the own link is full; nothing was sent
)

// String names the result.
func (r Result) String() string {
	names := [...]string{"none", "ok", "error", "shed", "no-dial", "broken", "late", "cancelled", "unused", "dial-late"}
	if int(r) >= len(names) {
		return "none"
	}
	return names[r]
}

// MayHaveRun reports whether the request may have run on the server.
func (r Result) MayHaveRun() bool {
	return r != ResultShed && r != ResultDialFailed && r != ResultDialTimeout && r != ResultUnused
}

// Server is one backend server, or the leased part of one elsewhere.
type Server struct {
	Announcement
	Domain   string
	OneWay   time.Duration // delay to it
	Expires  time.Time     // last moment for new work without a renewal
	UsableAt time.Time     // first moment for new work
	Inflight int           // granted here and not yet done
	Lent     int           // slots that other failure domains may use
	Stopped  bool          // a planned stop covers it

	Ejection
	warmFrom  time.Time
	latency   float64 // seconds, moving average of good answers
	errors    float64 // share of bad answers, moving average
	effective int     // slots in working order at the last refresh
	idleCost  float64 // expected seconds to an answer when nothing else runs
	busyCost  float64 // added for each request that runs
	slow      bool    // far slower than the median of its peers
}

// Borrowed reports whether the server belongs to another failure domain.
func (s *Server) Borrowed(own string) bool { return s.Domain != own }

// Usable reports whether new work may go to the server.
func (s *Server) Usable(now time.Time) bool {
	return s.State == StateServing &&
		!s.Stopped &&
		now.Before(s.Expires) &&
		!now.Before(s.UsableAt) &&
		!s.Ejected(now)
}

// Slots that a warming server starts with.
const warmStartShare = 0.25

// UsableSlots returns the slots that may be in use now: fewer while the server
// warms up, one while it is on probation.
func (s *Server) UsableSlots(now time.Time, warm time.Duration) int {
	if !s.Usable(now) {
		return 0
	}
	if s.probing || s.slow {
		return min(1, s.Slots)
	}
	age := now.Sub(s.warmFrom)
	if warm <= 0 || age >= warm {
		return s.Slots
	}
	share := warmStartShare + (1-warmStartShare)*float64(age)/float64(warm)
	return min(s.Slots, max(1, int(share*float64(s.Slots))))
}

// FreeSlots returns the slots that a new request could take, as of the last refresh.
func (s *Server) FreeSlots() int { return s.effective - s.Inflight - s.Lent }

// refresh computes what a choice needs, so that choosing reads no clock.
func (s *Server) refresh(now time.Time, warm time.Duration, unknown float64) {
	s.effective = s.UsableSlots(now, warm)
	expected := s.latency
	if expected == 0 {
		expected = unknown
	}
	expected *= 1 + errorPenalty*s.errors
	s.idleCost = expected + 2*s.OneWay.Seconds()
	s.busyCost = expected / float64(max(s.Slots, 1))
	if s.Load > float64(s.Slots) {
		s.idleCost += reportPenalty * expected
	}
}

const (
	latencyWeight = 0.1 // of a new latency in the moving average
	errorWeight   = 0.2 // of a new outcome in the moving average
)

func (s *Server) observeLatency(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency.Seconds()
		return
	}
	s.latency += latencyWeight * (latency.Seconds() - s.latency)
}

func (s *Server) observeError(bad bool) {
	value := 0.0
	if bad {
		value = 1
	}
	s.errors += errorWeight * (value - s.errors)
}
