package placing

import "time"

// pace keeps what this entry sends to a server that is or may be cold to its share of the rate.
type pace struct {
	begun  bool      // since is set for the present cold period or doubt
	since  time.Time // from which turns are counted
	sentAt time.Time // last request
}

// coldTurn is how long a turn lasts. A turn that is not used is lost: if entries could save them
// up, they would send together as soon as requests come.
const coldTurn = 400 * time.Millisecond

// begin starts to count turns where the server became or may be cold.
func (p *pace) begin(paced bool, now time.Time) {
	if paced && !p.begun {
		p.since = now
	}
	p.begun = paced
}

// allows reports whether a request may be sent now. Where entries take turns, those of any range
// of indexes are spread evenly, however many entries this one counts: the turns of entries whose
// counts or times of since differ do not fall together.
func (p *pace) allows(policy *Policy, server uint64, now time.Time) bool {
	switch {
	case policy.ColdRate <= 0:
		return true
	case policy.ColdHeld:
		return false
	}
	interval := seconds(1 / policy.ColdRate)
	if policy.ColdEntries == 0 {
		return now.Sub(p.sentAt) >= interval
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // as a part of 1<<64
	turn := float64(uint64(policy.ColdEntryIndex)*goldenRatio+server) / (1 << 64)
	elapsed := now.Sub(p.since) - time.Duration(turn*float64(interval))
	return p.begun && elapsed >= 0 && elapsed%interval < coldTurn && now.Sub(p.sentAt) > interval-coldTurn
}

// keepPace keeps the pace of the record that a newer one replaces: both may be of one process.
func (s *Server) keepPace(replaced *Server) {
	if replaced != nil {
		s.pace = replaced.pace
	}
}
