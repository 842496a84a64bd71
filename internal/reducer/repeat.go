package reducer

import "github.com/heatherwood/heatherwood/internal/quorum"

// maxRepeats limits the calls that wait for the commit of one pending proposal beside
// the first. The oldest is answered as lost, since its caller has probably given up.
const maxRepeats = 64

// joinPending makes a proposal wait for a pending one of the same change, in place of
// another log entry; it returns false if there is none. Proposals are pending only
// while this replica leads in their term.
func (s *State) joinPending(e Propose) bool {
	if s.quorum.Role != quorum.RoleLeader || !e.Command.Repeatable() {
		return false
	}
	for index, proposal := range s.pendingProposals {
		if proposal.command == nil || proposal.term != s.quorum.Hard.Term || !e.Command.SameChange(*proposal.command) {
			continue
		}
		if len(proposal.repeats) == maxRepeats {
			s.answerLost(proposal.repeats[0])
			proposal.repeats = proposal.repeats[1:]
		}
		proposal.repeats = append(proposal.repeats, e.Call)
		s.pendingProposals[index] = proposal
		return true
	}
	return false
}

// rememberPending keeps the command of a proposal that was just appended, if repeats
// may wait for it.
func (s *State) rememberPending(e Propose) {
	index := s.quorum.LastIndex()
	proposal, found := s.pendingProposals[index]
	if !found || proposal.call != e.Call || !e.Command.Repeatable() {
		return
	}
	proposal.command = &e.Command
	s.pendingProposals[index] = proposal
}
