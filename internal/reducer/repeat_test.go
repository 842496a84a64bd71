package reducer

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// slowLeader returns a session of three control VMs whose disks take 300 ms longer for
// each sync than usual, and their leader.
func slowLeader(t *testing.T) (*session, *sessionVM) {
	t.Helper()
	s := &session{
		clock:   virtual.New(sessionStart),
		cuts:    make(map[string]bool),
		answers: make(map[uint64]func(any)),
	}
	var replicas []quorum.Replica
	for _, id := range []string{"a1", "b1", "c1"} {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(id), Address: id})
	}
	for _, replica := range replicas {
		s.addVM(replica.Address, true, replicas, []string{"a1", "b1", "c1"})
	}
	s.run(4 * time.Second)
	s.slowSync = 300 * time.Millisecond
	for _, vm := range s.vms {
		if vm.state.quorum.Role == quorum.RoleLeader {
			return s, vm
		}
	}
	t.Fatal("no leader")
	return nil, nil
}

// storedEntries returns how many entries of commands a VM has on disk, and their bytes.
func storedEntries(vm *sessionVM) (count, size int) {
	for _, entry := range vm.disk.Entries {
		if entry.Kind == quorum.EntryData {
			count++
			size += len(entry.Data)
		}
	}
	return count, size
}

// proposeAt proposes a command on a VM and returns its answers; none yet while it waits.
func (s *session) proposeAt(vm *sessionVM, command ledger.Command) *[]ProposalResult {
	answers := new([]ProposalResult)
	call := s.openCall(func(value any) { *answers = append(*answers, value.(ProposalResult)) })
	s.apply(vm, Propose{Call: call, Command: command})
	return answers
}

func largeEdition(number uint64, line string) ledger.Command {
	text := bytes.Repeat([]byte(line+"\n"), 40<<10)
	return ledger.Command{Edition: &ledger.Edition{Number: number, Source: text, Parts: []ledger.Part{
		{Section: document.SectionRoutes, Text: slices.Clone(text)},
	}}}
}

func putRoutes(id, text string) ledger.Command {
	return ledger.Command{Put: &ledger.Put{Section: document.SectionRoutes, ChangeID: id, Team: "operators", Text: []byte(text)}}
}

func closeZone(open bool) ledger.Command {
	return ledger.Command{Close: &ledger.Close{Closure: document.Closure{Kind: document.CloseDomain, Name: "a"}, Open: open}}
}

// A change that is sent again while it waits for its commit once filled the log.
func TestRepeatedBulkIsStoredOnce(t *testing.T) {
	again := func(command ledger.Command) []ledger.Command {
		return []ledger.Command{command, command, command, command}
	}
	tests := map[string]struct {
		commands []ledger.Command // 50 ms apart
		entries  int
		maxBytes int   // of entries on each VM
		inOrder  []int // the commands as if each had an entry, a repeat behind the first one; nil as proposed
	}{
		"edition":                         {again(largeEdition(3, "# 14 bytes long")), 1, 1320 << 10, nil},
		"section":                         {again(putRoutes("change-1", "# text")), 1, 1 << 10, nil},
		"section without a change id":     {again(putRoutes("", "# text")), 4, 1 << 10, nil},
		"other source with the number":    {[]ledger.Command{largeEdition(3, "# a"), largeEdition(3, "# b"), largeEdition(3, "# a")}, 2, 700 << 10, []int{0, 2, 1}},
		"two editions, each sent twice":   {[]ledger.Command{largeEdition(3, "# a"), largeEdition(4, "# b"), largeEdition(3, "# a"), largeEdition(4, "# b")}, 2, 700 << 10, []int{0, 2, 1, 3}},
		"other text with the change id":   {[]ledger.Command{putRoutes("change-1", "# a"), putRoutes("change-1", "# b")}, 2, 1 << 10, nil},
		"closed, opened and closed again": {[]ledger.Command{closeZone(false), closeZone(true), closeZone(false)}, 3, 1 << 10, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := slowLeader(t)
			held, _ := storedEntries(leader)
			var answers []*[]ProposalResult
			for _, command := range tt.commands {
				answers = append(answers, s.proposeAt(leader, command))
				s.run(50 * time.Millisecond)
			}
			s.run(5 * time.Second)
			if tt.inOrder == nil {
				tt.inOrder = []int{0, 1, 2, 3}[:len(tt.commands)]
			}
			want := ledger.New()
			for position, i := range tt.inOrder {
				expected := want.Apply(ledger.Position{Term: 1, Index: uint64(position + 1)}, tt.commands[i])
				if len(*answers[i]) != 1 {
					t.Errorf("proposal %d has %d answers, want 1", i, len(*answers[i]))
					continue
				}
				answer := (*answers[i])[0]
				if answer.Lost || answer.Refused != 0 {
					t.Errorf("proposal %d is lost or refused: %+v", i, answer)
				}
				if got, want := outcomeOf(answer.Result), outcomeOf(expected); got != want {
					t.Errorf("proposal %d has the outcome %+v, want %+v as for entries of their own", i, got, want)
				}
			}
			for _, vm := range s.vms {
				if count, size := storedEntries(vm); count-held != tt.entries || size > tt.maxBytes {
					t.Errorf("%s stored %d entries, %d bytes in all; want %d entries and at most %d bytes", vm.settings.VM, count-held, size, tt.entries, tt.maxBytes)
				}
			}
		})
	}
}

// proposalOutcome is what a caller learns from the result of a command, but for positions.
type proposalOutcome struct {
	edition  ledger.EditionResult
	put      ledger.PutCode
	version  uint64
	replayed bool
	changed  bool
}

func outcomeOf(result ledger.Result) proposalOutcome {
	var outcome proposalOutcome
	if result.Edition != nil {
		outcome.edition = *result.Edition
	}
	if result.Put != nil {
		outcome.put, outcome.version, outcome.replayed = result.Put.Code, result.Put.Version, result.Put.Replayed
	}
	if result.Close != nil {
		outcome.changed = result.Close.Changed
	}
	return outcome
}

func TestRepeatIsLostWithTheFirst(t *testing.T) {
	higherTerm := func(leader *sessionVM) Event {
		return Received{Message{Quorum: &quorum.Message{Kind: quorum.MessageAppend, From: "other", To: quorum.ID(leader.settings.VM), Term: leader.state.quorum.Hard.Term + 1}}}
	}
	tests := map[string]func(leader *sessionVM) Event{
		"another leader":   higherTerm,
		"the disk failed":  func(*sessionVM) Event { return LogWriteFailed{} },
		"the log reopened": func(leader *sessionVM) Event { return LogReopened{Restart: *leader.disk} },
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := slowLeader(t)
			first := s.proposeAt(leader, largeEdition(3, "# a"))
			repeat := s.proposeAt(leader, largeEdition(3, "# a"))
			s.apply(leader, event(leader))
			for name, answers := range map[string]*[]ProposalResult{"first": first, "repeat": repeat} {
				if len(*answers) != 1 || !(*answers)[0].Lost {
					t.Errorf("%s: answers %+v, want one that says lost", name, *answers)
				}
			}
			later := s.proposeAt(leader, largeEdition(3, "# a"))
			if len(*later) != 1 || (*later)[0].Refused != quorum.RefuseNotLeader {
				t.Errorf("after the loss of leadership: answers %+v, want a refusal", *later)
			}
		})
	}
}

func TestWaitingRepeatsAreBounded(t *testing.T) {
	s, leader := slowLeader(t)
	var answers []*[]ProposalResult
	for range maxRepeats + 3 {
		answers = append(answers, s.proposeAt(leader, largeEdition(3, "# a")))
	}
	lost := func() (count int) {
		for _, answer := range answers {
			if len(*answer) == 1 && (*answer)[0].Lost {
				count++
			}
		}
		return count
	}
	if got := lost(); got != 2 {
		t.Errorf("%d proposals are lost at once, want the 2 oldest repeats beyond the limit", got)
	}
	s.run(5 * time.Second)
	for i, answer := range answers {
		if len(*answer) != 1 {
			t.Errorf("proposal %d has %d answers, want 1", i, len(*answer))
		}
	}
	if got := lost(); got != 2 {
		t.Errorf("%d proposals are lost after the commit, want 2", got)
	}
}
