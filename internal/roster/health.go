package roster

import (
	"strings"
	"time"
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

// keepHealth returns the path of a record that replaces another one: VMs of earlier builds, and
// control VMs without a ledger, don't know it.
func keepHealth(r, before Record) string {
	path := validHealth(r.Health)
	if path == "" && r.Service == before.Service {
		return before.Health
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
	for _, e := range s.Entries {
		if e.Service == held.Service && e.Health != "" && !e.Gone {
			return e.Health
		}
	}
	return ""
}
