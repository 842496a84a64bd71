package reducer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// A snapshot is taken when the log has reached both minLogBytes and
// snapshotMultiple times the size of the last snapshot.
const (
	minLogBytes      = 8 << 20
	snapshotMultiple = 2
	entryOverhead    = 64 // bytes counted for each log entry beside its data
)

// heartbeatInterval lets VMs hear the leader well within certaintyTime: gossip takes up to a second
// more, and sends no message for a heartbeat alone.
const heartbeatInterval = 500 * time.Millisecond

func (s *State) propose(e Propose) {
	if s.quorum == nil {
		s.emit(Answer{Call: e.Call, Value: ProposalResult{Refused: quorum.RefuseNotLeader, Leader: s.leader}})
		return
	}
	if s.joinPending(e) {
		return
	}
	if e.Command.Close.OfDomain() && s.quorum.Role == quorum.RoleLeader {
		if e.Fence != (ledger.Fence{}) && e.Fence != s.fence() {
			s.emit(Answer{Call: e.Call, Value: ProposalResult{Superseded: true, Leader: s.leader}})
			return
		}
		s.fenceNumber++
	}
	e.Command.At = s.now
	data, err := ledger.Encode(e.Command)
	if err != nil {
		s.emit(Answer{Call: e.Call, Value: ProposalResult{Refused: quorum.RefuseConfigInvalid}})
		return
	}
	s.applyQuorumEffects(s.quorum.Propose(e.Call, data, s.now))
	s.rememberPending(e)
}

// fence returns the fence that a closure of a failure domain needs now. Without it, a copy
// of an order that a frozen VM or a cut connection held back would undo a later one.
func (s *State) fence() ledger.Fence {
	return ledger.Fence{Term: s.quorum.Hard.Term, Number: s.fenceNumber}
}

func (s *State) changeReplica(e ChangeReplica) {
	if s.quorum == nil {
		s.emit(Answer{Call: e.Call, Value: ProposalResult{Refused: quorum.RefuseNotLeader, Leader: s.leader}})
		return
	}
	s.applyQuorumEffects(s.quorum.ProposeChange(e.Call, e.Change, s.now))
}

func (s *State) readSection(e ReadSection) {
	if s.quorum == nil {
		s.emit(Answer{Call: e.Call, Value: ReadResult{Refused: quorum.RefuseNotLeader, Leader: s.leader}})
		return
	}
	s.pendingReads[e.Call] = pendingRead{call: e.Call, section: e.Section}
	s.applyQuorumEffects(s.quorum.Read(e.Call, s.now))
}

// applyQuorumEffects turns effects of the quorum into effects of the VM.
func (s *State) applyQuorumEffects(effects []quorum.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case quorum.Save:
			s.emit(SaveLog{Save: e})
		case quorum.Send:
			s.sendQuorum(e.Message)
		case quorum.Apply:
			s.applyEntry(e.Entry)
		case quorum.Restore:
			s.installSnapshot(e.Snapshot)
		case quorum.Appended:
			s.pendingProposals[e.Index] = pendingProposal{call: e.Proposal, term: e.Term}
		case quorum.Refused:
			s.handleRefused(e)
		case quorum.ReadReady:
			s.answerRead(e)
		case quorum.RoleChanged:
			s.handleRoleChange(e)
		}
	}
	if changed := s.changedSections; len(changed) > 0 {
		s.changedSections = nil
		s.sendChange(changed...)
	}
}

// markChanged notes sections that an applied entry changed. Entries applied
// together, as after a restart, are sent to other VMs as one change.
func (s *State) markChanged(names ...document.Section) {
	for _, name := range names {
		if !slices.Contains(s.changedSections, name) {
			s.changedSections = append(s.changedSections, name)
		}
	}
}

// QuorumTransmit returns the message to another control replica with the peer address
// that it goes to, which is empty if the replica is not known.
func (s *State) QuorumTransmit(m quorum.Message) Transmit {
	sent := Transmit{Peer: s.peerOf(m.To), Message: Message{Quorum: &m}}
	if s.mayBeUnknownTo(m) {
		sent.Message.ReplyTo = s.Settings.Peer
	}
	return sent
}

// mayBeUnknownTo reports whether the receiver of a message of the log may not know the
// address of this replica: its log may end before the entry that added this one. A reply goes
// to a replica that knows all others, and a follower that has every committed entry knows its
// leader.
func (s *State) mayBeUnknownTo(m quorum.Message) bool {
	switch m.Kind {
	case quorum.MessageVote, quorum.MessagePreVote:
		return true
	case quorum.MessageAppend, quorum.MessageSnapshotChunk:
		return !s.quorum.CaughtUp(m.To)
	default:
		return false
	}
}

// maxSenders limits the senders of messages of the replicated log that are remembered:
// twice the replicas that a site has at most.
const maxSenders = 14

// rememberSender records the address of a replica that sent a message. A replica whose own
// log ends before the entry that added the sender could not answer it otherwise.
func (s *State) rememberSender(sender quorum.Replica) {
	if sender.Address == "" {
		return
	}
	s.senders = slices.DeleteFunc(s.senders, func(r quorum.Replica) bool { return r.ID == sender.ID })
	s.senders = append(s.senders, sender)
	s.senders = s.senders[max(0, len(s.senders)-maxSenders):]
}

// peerOf returns the peer address of a control replica, or "".
func (s *State) peerOf(id quorum.ID) string {
	for _, replicas := range [][]quorum.Replica{s.quorum.Config().Replicas(), s.senders, s.leader.Replicas, s.Settings.Replicas} {
		for _, replica := range replicas {
			if replica.ID == id {
				return replica.Address
			}
		}
	}
	return ""
}

func (s *State) sendQuorum(m quorum.Message) {
	sent := s.QuorumTransmit(m)
	s.transmit(sent.Peer, sent.Message)
}

func (s *State) applyEntry(entry quorum.Entry) {
	s.logBytes += len(entry.Data) + entryOverhead
	position := ledger.Position{Term: entry.Term, Index: entry.Index}
	var result ledger.Result
	switch entry.Kind {
	case quorum.EntryData:
		result = s.applyCommand(position, entry.Data)
	case quorum.EntryConfig:
		s.log(CodeReplicaChanged, replicaNames(entry.Config), int64(len(entry.Config.Voters)))
		s.record(Audit{Kind: AuditMember, Outcome: "replicas", To: replicaNames(entry.Config), Position: entry.Index})
	}
	s.answerProposal(position, result)
	s.maybeCompact()
}

func replicaNames(config quorum.Config) string {
	text := ""
	for _, replica := range config.Voters {
		text += string(replica.ID) + " "
	}
	for _, replica := range config.Learners {
		text += string(replica.ID) + "(learner) "
	}
	return text
}

func (s *State) applyCommand(position ledger.Position, data []byte) ledger.Result {
	command, err := ledger.Decode(data)
	if err != nil {
		// Only a leader that runs another version can have written this entry.
		s.log(CodeDocumentInvalid, err.Error(), 0)
		return ledger.Result{}
	}
	result := s.ledger.Apply(position, command)
	switch {
	case command.Put != nil:
		s.recordChange(command.Put, result.Put, position)
		if result.Put.Code == ledger.PutAccepted && !result.Put.Replayed {
			s.markChanged(command.Put.Section)
		}
	case command.Edition != nil:
		s.recordEdition(command.Edition, result.Edition, position)
	case command.Close != nil:
		s.recordClosure(command.Close, result.Close, position)
	}
	for _, anchor := range command.Anchors {
		s.record(Audit{
			Kind:     AuditAnchor,
			From:     anchor.Chain,
			Version:  anchor.Sequence,
			Hash:     anchor.Hash,
			Position: position.Index,
			Term:     position.Term,
		})
	}
	s.recordClaim(command, result, position)
	return result
}

func (s *State) recordChange(put *ledger.Put, result *ledger.PutResult, position ledger.Position) {
	outcomes := map[ledger.PutCode]string{
		ledger.PutAccepted:        "accepted",
		ledger.PutVersionConflict: "version-conflict",
		ledger.PutChangeIDReused:  "change-id-reused",
		ledger.PutRecheck:         "recheck",
	}
	outcome := outcomes[result.Code]
	if result.Replayed {
		outcome = "replayed"
	}
	s.record(Audit{
		Kind:     AuditChange,
		Team:     put.Team,
		Section:  string(put.Section),
		Version:  result.Version,
		ChangeID: put.ChangeID,
		Outcome:  outcome,
		Position: position.Index,
		Term:     position.Term,
	})
	if result.Code == ledger.PutAccepted {
		s.log(CodeChangeAccepted, string(put.Section), int64(result.Version))
		return
	}
	s.log(CodeChangeRefused, string(put.Section)+" "+outcome, int64(result.Version))
}

func (s *State) recordClaim(command ledger.Command, result ledger.Result, position ledger.Position) {
	entry := Audit{Kind: AuditClaim, Position: position.Index, Term: position.Term}
	switch {
	case command.Claim != nil:
		if result.Claim.Code == ledger.ClaimRunning {
			return
		}
		entry.Service, entry.Key = command.Claim.Key.Service, command.Claim.Key.Key
		entry.Request, entry.From = command.Claim.Attempt, command.Claim.Holder
		entry.Outcome = claimOutcome(result.Claim.Code)
	case command.Release != nil:
		entry.Service, entry.Key = command.Release.Key.Service, command.Release.Key.Key
		entry.Request, entry.Outcome = command.Release.Attempt, "released"
	case command.Settle != nil:
		entry.Service, entry.Key = command.Settle.Key.Service, command.Settle.Key.Key
		entry.Request, entry.Outcome = command.Settle.Attempt, "settled"
		entry.Count = int64(command.Settle.Outcome.Status)
		if command.Settle.Outcome.Unknown {
			entry.Outcome = "unknown"
		}
	default:
		return
	}
	s.record(entry)
}

func claimOutcome(code ledger.ClaimCode) string {
	switch code {
	case ledger.ClaimGranted:
		return "granted"
	case ledger.ClaimStored:
		return "stored"
	case ledger.ClaimOutcomeUnknown:
		return "lost"
	case ledger.ClaimMismatch:
		return "mismatch"
	case ledger.ClaimTableFull:
		return "full"
	default:
		return "stale"
	}
}

func (s *State) answerProposal(position ledger.Position, result ledger.Result) {
	proposal, found := s.pendingProposals[position.Index]
	if !found {
		return
	}
	delete(s.pendingProposals, position.Index)
	answer := ProposalResult{Result: result, Position: position, Leader: s.leader}
	answer.Lost = proposal.term != position.Term
	s.emit(Answer{Call: proposal.call, Value: answer})
	answer.Result = result.Repeated()
	for _, call := range proposal.repeats {
		s.emit(Answer{Call: call, Value: answer})
	}
}

func (s *State) handleRefused(e quorum.Refused) {
	if read, found := s.pendingReads[e.Proposal]; found {
		delete(s.pendingReads, e.Proposal)
		s.emit(Answer{Call: read.call, Value: ReadResult{Refused: e.Reason, Leader: s.leader}})
		return
	}
	s.emit(Answer{Call: e.Proposal, Value: ProposalResult{Refused: e.Reason, Leader: s.leader}})
}

func (s *State) answerRead(e quorum.ReadReady) {
	read, found := s.pendingReads[e.Read]
	if !found {
		return
	}
	delete(s.pendingReads, e.Read)
	section, _ := s.ledger.Section(read.section)
	s.emit(Answer{Call: read.call, Value: ReadResult{Section: section, Document: s.ledger.Document, Leader: s.leader, Fence: s.fence()}})
}

// handleRoleChange answers the pending proposals as lost when this replica is
// not the leader: they may still commit under another leader, so the caller
// must propose again.
func (s *State) handleRoleChange(e quorum.RoleChanged) {
	s.log(CodeRoleChanged, e.Role.String(), int64(e.Term))
	if e.Role == quorum.RoleLeader {
		s.heartbeatDue = s.now
		s.replicaSet.BeginTerm()
		return
	}
	for _, index := range slices.Sorted(maps.Keys(s.pendingProposals)) {
		proposal := s.pendingProposals[index]
		s.answerLost(proposal.call)
		for _, call := range proposal.repeats {
			s.answerLost(call)
		}
	}
	s.pendingProposals = make(map[uint64]pendingProposal)
}

func (s *State) answerLost(call uint64) {
	s.emit(Answer{Call: call, Value: ProposalResult{Lost: true, Leader: s.leader}})
}

// advanceHeartbeat raises the heartbeat counter of the leader, which gossip
// carries to all VMs; it shows that the leader has its quorum.
func (s *State) advanceHeartbeat() {
	if s.quorum.Role != quorum.RoleLeader || s.now.Before(s.heartbeatDue) {
		return
	}
	s.heartbeatDue = s.now.Add(heartbeatInterval)
	s.updateLeader(Leader{
		ID:       s.Settings.VM,
		Peer:     s.Settings.Peer,
		Term:     s.quorum.Hard.Term,
		Beat:     s.leader.Beat + 1,
		Document: s.ledger.Document.Index,
		Replicas: s.quorum.Config().Replicas(),
	})
}

func (s *State) updateLeader(leader Leader) {
	if len(leader.Replicas) > 0 && leader.ID == s.leader.ID && leader.Term == s.leader.Term {
		s.leader.Replicas = leader.Replicas
	}
	if leader.newer(s.leader) {
		changed := leader.ID != s.leader.ID
		if len(leader.Replicas) == 0 {
			leader.Replicas = s.leader.Replicas
		}
		s.leader = leader
		s.noteLeaderHeard()
		s.noteNewer(leader.Document)
		if changed {
			s.publish()
		}
	}
}

func (s *State) maybeCompact() {
	if s.logBytes < minLogBytes || s.logBytes < snapshotMultiple*s.snapshotBytes {
		return
	}
	data, err := s.ledger.Snapshot()
	if err != nil {
		s.log(CodeDocumentInvalid, fmt.Sprint("snapshot: ", err), 0)
		return
	}
	s.logBytes, s.snapshotBytes = 0, len(data)
	s.log(CodeSnapshot, "taken", int64(len(data)))
	s.applyQuorumEffects(s.quorum.Compact(data, s.now))
}

// reopenLog restores the replica from what the disk holds, as after a restart
// of the VM; the document in force stays.
func (s *State) reopenLog(restart quorum.DurableState) {
	restored, err := ledger.Restore(restart.Snapshot.Data)
	if err != nil {
		s.log(CodeDiskFailed, err.Error(), 0)
		return
	}
	s.applyQuorumEffects(s.quorum.DiskFailed(s.now))
	s.handleRoleChange(quorum.RoleChanged{Role: quorum.RoleFollower, Term: restart.Hard.Term})
	s.ledger = restored
	s.logBytes, s.snapshotBytes = 0, len(restart.Snapshot.Data)
	s.quorum = quorum.New(quorum.DefaultSettings(s.Settings.replica()), restart, s.now)
	s.log(CodeDiskRecovered, "", int64(s.quorum.LastIndex()))
}

func (s *State) installSnapshot(snapshot quorum.Snapshot) {
	restored, err := ledger.Restore(snapshot.Data)
	if err != nil {
		s.log(CodeDiskFailed, err.Error(), 0)
		s.applyQuorumEffects(s.quorum.DiskFailed(s.now))
		return
	}
	s.ledger = restored
	s.logBytes, s.snapshotBytes = 0, len(snapshot.Data)
	s.log(CodeSnapshot, "installed", int64(snapshot.Index))
	s.adoptSections(s.ledger.Document, s.ledger.Sections)
}
