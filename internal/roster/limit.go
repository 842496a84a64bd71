package roster

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Limits on how often a change of a server's limit is taken up: a server that names
// another limit in each answer must not cause a message to all VMs each time.
const (
	limitInterval = time.Second // between two changes heard here, unless the limit falls far
	farFall       = 0.9         // of the limit held; a limit below is taken up at once
)

// NoteLimit stores the limit that a start of a server named in an answer to this VM, or
// that it named none. It reports whether that changes the record.
func (s *State) NoteLimit(id string, start int64, limit routing.Limit, now time.Time) bool {
	held := s.Find(id)
	if held == nil || held.Start != start || held.Gone || held.Limit == limit {
		return false
	}
	if !fallsFar(held.Limit, limit) && now.Sub(held.limitedAt) < limitInterval {
		return false
	}
	r := held.outgoing(now)
	r.Limit = limit
	r.LimitVersion++
	held.limitedAt = now
	s.amend(held, r, now)
	return true
}

// fallsFar reports whether a limit is named first, or is far below the one before.
func fallsFar(before, limit routing.Limit) bool {
	return limit.Named && (!before.Named || limit.PerSecond < farFall*before.PerSecond)
}

// mergeLimit takes over the limit of a record that is otherwise not newer.
func (s *State) mergeLimit(held *Entry, r Record, now time.Time) {
	if r.Start != held.Start || held.Gone || !newerLimit(r, held.Record) {
		return
	}
	merged := held.outgoing(now)
	merged.Limit, merged.LimitVersion = r.Limit, r.LimitVersion
	s.amend(held, merged, now)
}

// newerLimit reports whether the limit of a record replaces the one held. Of two of the
// same version, which two VMs heard at once, the stricter holds.
func newerLimit(r, held Record) bool {
	if r.LimitVersion != held.LimitVersion {
		return r.LimitVersion > held.LimitVersion
	}
	if r.Limit.Named != held.Limit.Named {
		return r.Limit.Named
	}
	return r.Limit.PerSecond < held.Limit.PerSecond
}
