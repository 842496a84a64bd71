package roster

import "time"

// coldSlack is how much longer than known a server must stay cold to count as turned cold
// again; times of one cold period differ by the trips of the messages that told them.
const coldSlack = 500 * time.Millisecond

// turnsCold reports whether a server that stays cold for so long from now on turned cold since
// the word held.
func (e *Entry) turnsCold(left time.Duration, now time.Time) bool {
	return left > 0 && now.Add(left).Sub(e.ColdUntil) > coldSlack
}

// TurnCold notes that a start of a server says, in an answer to this VM, that it stays cold for
// so long. Unless that is known, it queues an update.
func (s *State) TurnCold(id string, start int64, left time.Duration, now time.Time) {
	held := s.Find(id)
	if held == nil || held.Start != start || held.Gone || !held.turnsCold(left, now) {
		return
	}
	r := held.Record
	r.Cold = left
	r.ColdVersion++
	s.amend(held, r, now)
	held.Word = Word{Source: FromAnswer, At: now}
}

// mergeCold takes over the word that a server turned cold from a record that is otherwise not
// newer.
func (s *State) mergeCold(held *Entry, r Record, now time.Time) {
	if r.Start != held.Start || held.Gone || r.ColdVersion <= held.ColdVersion {
		return
	}
	merged := held.outgoing(now)
	merged.ColdVersion = r.ColdVersion
	if r.Cold > 0 {
		merged.Cold = r.Cold
	}
	s.amend(held, merged, now)
	if r.Cold > 0 {
		held.Word = Word{FromVM, now, s.sender}
	}
}

// Covers reports whether a VM that is sent the record r needs not be sent the other one, by which
// a server turned cold, as well.
func (r Record) Covers(other Record) bool {
	return other.ColdVersion > 0 && r.Sequence >= other.Sequence && !differs(r, other)
}
