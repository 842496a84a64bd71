package roster

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the paths of health checks.
const (
	maxHealthBytes = 256
	healthInterval = 100 * time.Millisecond // between changes of the path within a start, each of which is sent to all VMs
)

// validHealth returns the path of health checks, or "" if it can't be one.
func validHealth(path string) string {
	if len(path) > maxHealthBytes || !strings.HasPrefix(path, "/") {
		return ""
	}
	return path
}

// paceHealth returns the path of health checks to store for an announcement. Another path for a
// service changes the records of all its servers; those beyond the interval change with a later
// announcement.
func (s *State) paceHealth(held *Entry, r Record, now time.Time) string {
	path := validHealth(r.Health)
	if held == nil || held.Start != r.Start || path == "" || path == held.Health {
		return path
	}
	if now.Before(s.healthDue) {
		return held.Health
	}
	s.healthDue = now.Add(healthInterval)
	return path
}

// learnHealth returns the path of a record that replaces another one: VMs of earlier builds, and
// control VMs without a ledger, don't know it. The first one of a service counts as a change.
func (s *State) learnHealth(r, before Record) string {
	path := validHealth(r.Health)
	if path == "" && r.Service == before.Service {
		return before.Health
	}
	if path != "" && before.Health == "" && s.ServiceHealthPath(r.Service) == "" {
		s.Changed = true
	}
	return path
}

// HealthPath returns the path of the health checks of a server, or "" if it is unknown. All
// servers of a service have the same.
func (s *State) HealthPath(id string) string {
	held := s.Find(id)
	if held == nil {
		return ""
	}
	if held.Health != "" {
		return held.Health
	}
	return s.ServiceHealthPath(held.Service)
}

// ServiceHealthPath returns the path of the health checks of a server of the service, or "" if
// none is known.
func (s *State) ServiceHealthPath(service string) string {
	for _, e := range s.Entries {
		if e.Service == service && e.Health != "" && !e.Gone {
			return e.Health
		}
	}
	return ""
}

// HealthHash returns a hash of the paths of health checks, which the digests leave out.
func (s *State) HealthHash() uint64 {
	hash := uint64(0)
	for _, e := range s.Entries {
		if e.Health != "" && !e.Gone {
			hash += xxhash.Sum64String(e.ID + e.Health)
		}
	}
	return hash
}
