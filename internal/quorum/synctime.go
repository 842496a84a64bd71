package quorum

import "time"

// A vote counts once it is synced, so an election takes two syncs, one after the other: of
// the candidate's own vote and of those of the others. Where that is longer than the election
// timeout, timers without regard to it would start an election after another, and each would
// end the one before it.

const (
	maxSyncTime     = 15 * time.Second // that timers wait for
	syncTimeWeight  = 0.25             // of a shorter sync in the moving average
	syncsOfElection = 2
)

// timeSaves starts to time the saves that were emitted since the last tick.
func (s *State) timeSaves(now time.Time) {
	for i := len(s.pendingSaves) - 1; i >= 0 && s.pendingSaves[i].since.IsZero(); i-- {
		s.pendingSaves[i].since = now
	}
}

// recordSyncTime notes how long a save took: a longer time counts at once, a shorter one
// slowly.
func (s *State) recordSyncTime(p pendingSave, now time.Time) {
	took := time.Duration(0)
	if !p.since.IsZero() {
		took = now.Sub(p.since)
	}
	if took > s.syncTime {
		s.syncTime = took
		return
	}
	s.syncTime -= time.Duration(syncTimeWeight * float64(s.syncTime-took))
}

// currentSyncTime returns how long a sync takes: as measured, or at least as long as the
// oldest save has taken.
func (s *State) currentSyncTime(now time.Time) time.Duration {
	current := s.syncTime
	if len(s.pendingSaves) > 0 && !s.pendingSaves[0].since.IsZero() {
		current = max(current, now.Sub(s.pendingSaves[0].since))
	}
	return min(current, maxSyncTime)
}

// awaitVotes sets the election timer so that the votes of an election can be synced.
func (s *State) awaitVotes(now time.Time) {
	s.resetElectionTimer(now)
	s.electionDue = s.electionDue.Add(syncsOfElection * s.currentSyncTime(now))
}

// savesVote reports whether a vote of this replica in its term is not synced yet.
func (s *State) savesVote() bool {
	if s.Hard.Vote == "" {
		return false
	}
	for _, pending := range s.pendingSaves {
		if pending.hard == s.Hard {
			return true
		}
	}
	return false
}

// slowElection returns how long an election that waits for slow disks may still take, as far
// as this replica knows; another one would end it early. It is 0 without one.
func (s *State) slowElection(now time.Time) time.Duration {
	wait := max(0, s.heldUntil.Sub(now))
	slow := syncsOfElection*s.currentSyncTime(now) > s.Settings.ElectionTimeout
	if slow && s.Hard.Vote != "" && s.Leader == "" {
		wait = max(wait, s.electionDue.Sub(now))
	}
	return wait
}

// holdElection lets an election that another replica knows of end first.
func (s *State) holdElection(wait time.Duration, now time.Time) {
	if wait <= 0 || s.Role == RoleLeader || s.Role == RoleCandidate {
		return
	}
	s.heldUntil = now.Add(min(wait, syncsOfElection*maxSyncTime))
	if s.Role == RolePreCandidate {
		s.become(RoleFollower, "", now)
	}
	if s.electionDue.Before(s.heldUntil) {
		s.electionDue = s.heldUntil
	}
}
