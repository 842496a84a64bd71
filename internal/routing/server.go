package routing

import "time"

// State is the state that a backend server announces.
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

// Announcement is the message with which a backend server registers itself.
type Announcement struct {
	ID          string
	Address     string // host:port
	Service     string
	Slots       int     // requests that the server can run at a time
	Connections int     // at most MaxConnections; not used otherwise
	Load        float64 // requests that the server reports as running
	State       State
	Start       int64  // time of the server's start in milliseconds since 1970; 0 if unknown
	Sequence    uint64 // rises with each announcement since the start; 0 if unknown
}

// Result states how a request on a server ended, as seen by its entry.
type Result uint8

// The results.
const (
	ResultOK          Result = iota + 1 // a complete answer with a status below 500
	ResultError                         // a complete answer with a status of 500 or above
	ResultShed                          // the server refused it and did not run it
	ResultDialFailed                    // no connection could be made; nothing was sent
	ResultBroken                        // the connection broke before the answer was complete
	ResultTimeout                       // the deadline passed first
	ResultCancelled                     // the caller closed the connection
	ResultUnused                        // the grant was returned; nothing was sent
	ResultDialTimeout                   // the connection timed out, perhaps because the link of this VM is full; nothing was sent
	ResultWithheld                      // the server may have started again since it was chosen; nothing was sent
)

// String returns the name of the result in logs and the audit trail.
func (r Result) String() string {
	names := [...]string{"none", "ok", "error", "shed", "no-dial", "broken", "late", "cancelled", "unused", "dial-late", "withheld"}
	if int(r) >= len(names) {
		return "none"
	}
	return names[r]
}

// MayHaveRun reports whether the request may have run on the server.
func (r Result) MayHaveRun() bool {
	return r != ResultShed && r != ResultDialFailed && r != ResultDialTimeout && r != ResultUnused && r != ResultWithheld
}

// Server is an own backend server, or the slots borrowed from one of another
// failure domain.
type Server struct {
	Announcement
	Domain   string
	OneWay   time.Duration // one-way latency to it
	Expires  time.Time     // end of new requests unless the announcement or loan is renewed
	UsableAt time.Time     // start of new requests
	Inflight int           // requests granted here that have not ended
	Lent     int           // slots reserved for other failure domains
	Stopped  bool          // a planned stop covers it

	Ejection
	Notices
	Limit  Limit       // of the requests of all VMs
	bucket TokenBucket // of Limit

	warmUpStart    time.Time
	latency        float64 // moving average, in seconds
	errorRate      float64 // moving average of the share of failed requests
	usableSlots    int     // as of the last refresh
	idleCost       float64 // expected seconds to an answer of an idle server
	costPerRequest float64 // seconds added for each running request
	slow           bool    // far slower than the median of the pool
}

// Borrowed reports whether the server belongs to another failure domain.
func (s *Server) Borrowed(own string) bool { return s.Domain != own }

// Usable reports whether new requests may go to the server.
func (s *Server) Usable(now time.Time) bool {
	return s.State == StateServing &&
		!s.Stopped &&
		now.Before(s.Expires) &&
		!now.Before(s.UsableAt) &&
		!s.Ejected(now) &&
		!s.SaidLeaving() &&
		s.StayAway(now) == 0
}

// warmStartShare is the share of its slots with which a server starts to warm up.
const warmStartShare = 0.25

// UsableSlots returns the number of slots that may be in use: fewer than announced
// while the server warms up, one while it is slow or on probation.
func (s *Server) UsableSlots(now time.Time, warmUp time.Duration) int {
	if !s.Usable(now) {
		return 0
	}
	if s.probing || s.slow {
		return min(1, s.Slots)
	}
	age := now.Sub(s.warmUpStart)
	if warmUp <= 0 || age >= warmUp {
		return s.Slots
	}
	share := warmStartShare + (1-warmStartShare)*float64(age)/float64(warmUp)
	return min(s.Slots, max(1, int(share*float64(s.Slots))))
}

// FreeSlots returns the number of slots that new requests could take, as of the
// last refresh. It may be negative.
func (s *Server) FreeSlots() int { return s.usableSlots - s.Inflight - s.Lent }

// refresh computes the usable slots and costs, so that Choose does not depend on
// the time. own is the failure domain of the pool.
func (s *Server) refresh(own string, now time.Time, warmUp time.Duration, unknownLatency float64) {
	s.usableSlots = s.UsableSlots(now, warmUp)
	if s.limitReached(own, now) {
		s.usableSlots = 0
	}
	expected := s.latency
	if expected == 0 {
		expected = unknownLatency
	}
	expected *= 1 + errorPenalty*s.errorRate
	s.idleCost = expected + 2*s.OneWay.Seconds()
	s.costPerRequest = expected / float64(max(s.Slots, 1))
	if s.Load > float64(s.Slots) {
		s.idleCost += overloadPenalty * expected
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

func (s *Server) observeError(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.errorRate += errorWeight * (value - s.errorRate)
}
