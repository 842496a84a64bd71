package reducer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var sessionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// session drives the reducers of several VMs in virtual time; the golden files
// in testdata/sessions hold the commands and the expected log.
type session struct {
	clock        *virtual.Clock
	vms          []*sessionVM
	cuts         map[string]bool // links that drop messages, as "from>to"
	lines        []string
	nextCall     uint64
	answers      map[uint64]func(any)
	servers      map[string]*sessionServer
	warningsOnly bool
	slowSync     time.Duration // beyond syncTime

	passing func(from, to string, m Message) Message // changes what is sent; may be nil
}

type sessionVM struct {
	settings    Settings
	state       *State
	disk        *quorum.DurableState
	up          bool
	incarnation uint64
	view        *View
}

// TestSessions runs the commands of each file in testdata/sessions and compares
// what happens with the expected log.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{
			clock:   virtual.New(sessionStart),
			cuts:    make(map[string]bool),
			answers: make(map[uint64]func(any)),
			servers: make(map[string]*sessionServer),
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if err := s.runCommand(d); err != nil {
				return fmt.Sprintf("error: %v\n", err)
			}
			lines := s.lines
			s.lines = nil
			if len(lines) == 0 {
				return "ok\n"
			}
			return strings.Join(lines, "\n") + "\n"
		})
	})
}

func (s *session) note(format string, args ...any) {
	since := s.now().Sub(sessionStart)
	s.lines = append(s.lines, fmt.Sprintf("%6dms ", since.Milliseconds())+fmt.Sprintf(format, args...))
}

func (s *session) after(d time.Duration, do func()) { s.clock.Schedule(d, do) }

func (s *session) now() time.Time { return s.clock.Now() }

func (s *session) findVM(id string) *sessionVM {
	for _, vm := range s.vms {
		if vm.settings.VM == id {
			return vm
		}
	}
	return nil
}

var errUnknown = errors.New("unknown command or VM")

func arg(d *datadriven.TestData, key string) string {
	for _, given := range d.CmdArgs {
		if given.Key == key && len(given.Vals) > 0 {
			return given.Vals[0]
		}
	}
	return ""
}

func (s *session) runCommand(d *datadriven.TestData) error {
	vm := s.findVM(arg(d, "vm"))
	switch d.Cmd {
	case "vms":
		s.startVMs(d)
	case "run":
		length, err := time.ParseDuration(arg(d, "for"))
		if err != nil {
			return err
		}
		s.run(length)
	case "quiet":
		s.warningsOnly = true
	case "put":
		s.proposeSection(vm, document.Section(arg(d, "section")), arg(d, "base"), arg(d, "id"), []byte(d.Input), arg(d, "lose") != "")
	case "changes":
		s.proposeManyChanges(vm, arg(d, "count"))
	case "claim":
		s.proposeClaim(vm, arg(d, "key"), arg(d, "attempt"))
	case "settle":
		s.proposeToLeader(vm, ledger.Command{Settle: &ledger.Settle{Key: ledger.Key{Service: "pay", Key: arg(d, "key")}, Attempt: arg(d, "attempt"), Outcome: ledger.Outcome{Status: 200, Body: []byte("paid")}}}, func(ProposalResult) { s.note("settled") })
	case "release":
		s.proposeToLeader(vm, ledger.Command{Release: &ledger.Release{Key: ledger.Key{Service: "pay", Key: arg(d, "key")}, Attempt: arg(d, "attempt")}}, func(ProposalResult) { s.note("released") })
	case "cut":
		s.cutLinks(arg(d, "a"), arg(d, "b"), arg(d, "oneway") != "")
	case "heal":
		s.cuts = make(map[string]bool)
	case "show-owner":
		s.note("owner of %s: %s", arg(d, "service"), s.ownerOf(arg(d, "service")).settings.VM)
	case "kill-owner":
		s.ownerOf(arg(d, "service")).up = false
	case "kill":
		vm.up = false
	case "restart":
		s.boot(vm)
	case "replica":
		s.changeReplica(vm, arg(d, "action"), arg(d, "id"))
	case "show":
		s.showStatus()
	case "server":
		s.configureServer(d)
	case "request":
		s.scheduleRequests(vm, d)
	default:
		return errUnknown
	}
	return nil
}

// startVMs starts VMs named after their failure domain, such as "a1"; domains a
// and b are in region north, c and d in region south.
func (s *session) startVMs(d *datadriven.TestData) {
	var replicas []quorum.Replica
	var seeds []string
	control := strings.Split(arg(d, "control"), "+")
	for _, id := range control {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(id), Address: id})
	}
	all := control
	if entries := arg(d, "entries"); entries != "" {
		all = append(slices.Clone(control), strings.Split(entries, "+")...)
	}
	seeds = append(seeds, all...)
	for i, id := range all {
		s.addVM(id, i < len(control), replicas, seeds)
	}
}

func (s *session) addVM(id string, control bool, replicas []quorum.Replica, seeds []string) {
	region := "north"
	if id[0] >= 'c' {
		region = "south"
	}
	vm := &sessionVM{settings: Settings{
		VM:       id,
		Peer:     id,
		Entry:    "entry-" + id,
		Domain:   id[:1],
		Region:   region,
		Seeds:    seeds,
		Replicas: replicas,
		Control:  control,
	}}
	if control {
		vm.disk = &quorum.DurableState{Snapshot: quorum.Snapshot{Config: quorum.Config{Voters: replicas}}}
	}
	s.vms = append(s.vms, vm)
	s.boot(vm)
}

// boot starts a VM from what was synced to its disk.
func (s *session) boot(vm *sessionVM) {
	vm.incarnation++
	vm.settings.Incarnation = vm.incarnation
	var restart *quorum.DurableState
	if vm.disk != nil {
		copied := *vm.disk
		copied.Entries = slices.Clone(vm.disk.Entries)
		restart = &copied
	}
	state, err := New(vm.settings, restart, s.now())
	if err != nil {
		s.note("%s does not start: %v", vm.settings.VM, err)
		return
	}
	vm.state, vm.up, vm.view = state, true, nil
	s.scheduleTick(vm, vm.incarnation, time.Duration(len(s.vms))*time.Millisecond)
	s.runEffects(vm, state.takeEffects())
}

// sessionTick is the interval of ticks, and the delay of a retried proposal.
const sessionTick = 50 * time.Millisecond

func (s *session) scheduleTick(vm *sessionVM, incarnation uint64, wait time.Duration) {
	s.after(wait, func() {
		if !vm.up || vm.incarnation != incarnation {
			return
		}
		s.apply(vm, Tick{})
		s.scheduleTick(vm, incarnation, sessionTick)
	})
}

func (s *session) apply(vm *sessionVM, event Event) {
	if vm.up {
		s.runEffects(vm, vm.state.Apply(s.now(), event))
	}
}

func (s *session) run(length time.Duration) { s.clock.RunUntil(s.now().Add(length)) }

// delay returns the one-way latency: 1 ms between VMs of a region, 20 ms
// between regions.
func delay(from, to *sessionVM) time.Duration {
	if from.settings.Region == to.settings.Region {
		return time.Millisecond
	}
	return 20 * time.Millisecond
}

// syncTime is how long a save takes until it is synced.
const syncTime = 2 * time.Millisecond

func (s *session) runEffects(vm *sessionVM, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Transmit:
			s.transmit(vm, e.Peer, e.Message)
		case SaveLog:
			s.saveLog(vm, e.Save)
		case Answer:
			if answer := s.answers[e.Call]; answer != nil {
				answer(e.Value)
			}
		case LoadDocument:
			s.loadDocument(vm, e)
		case PublishView:
			vm.view = e.View
		case Log:
			if !s.warningsOnly || e.Code.Info().Level == "warn" {
				s.note("%s HW%d %s: %s %d", vm.settings.VM, e.Code, e.Code.Info().Text, e.Detail, e.Count)
			}
		}
	}
}

func (s *session) transmit(from *sessionVM, peer string, message Message) {
	to := s.findVM(peer)
	if to == nil || s.cuts[from.settings.VM+">"+peer] {
		return
	}
	if s.passing != nil {
		message = s.passing(from.settings.VM, peer, message)
	}
	s.after(delay(from, to), func() {
		if !s.cuts[from.settings.VM+">"+peer] {
			s.apply(to, Received{Message: message})
		}
	})
}

func (s *session) saveLog(vm *sessionVM, save quorum.Save) {
	incarnation := vm.incarnation
	s.after(syncTime+s.slowSync, func() {
		if !vm.up || vm.incarnation != incarnation {
			return
		}
		vm.disk.ApplySave(save)
		for _, message := range save.Then {
			sent := vm.state.QuorumTransmit(message)
			s.transmit(vm, sent.Peer, sent.Message)
		}
		s.apply(vm, LogSaved{Sequence: save.Sequence})
	})
}

func (s *session) loadDocument(vm *sessionVM, e LoadDocument) {
	texts := make(document.Texts)
	for _, section := range e.Sections {
		texts[section.Name] = document.Text{Bytes: section.Text}
	}
	parsed, messages := document.Parse(texts)
	if err := messages.Err(); err != nil {
		s.note("%s document does not parse: %v", vm.settings.VM, err)
		return
	}
	incarnation := vm.incarnation
	blocks := plan.NewBlocks(parsed.Places.Places)
	s.after(time.Millisecond, func() {
		if vm.incarnation == incarnation {
			s.apply(vm, DocumentLoaded{Position: e.Position, Document: parsed, Blocks: blocks})
		}
	})
}

func (s *session) cutLinks(a, b string, oneWay bool) {
	for _, vm := range s.vms {
		other := vm.settings.VM
		if b != "all" && other != b || other == a {
			continue
		}
		s.cuts[a+">"+other] = true
		if !oneWay {
			s.cuts[other+">"+a] = true
		}
	}
}

// openCall registers the function that gets the answer to a call.
func (s *session) openCall(answer func(any)) uint64 {
	s.nextCall++
	s.answers[s.nextCall] = answer
	return s.nextCall
}

// proposeToLeader finds the leader as package node does: by the hint in a
// refusal, else by trying the VMs in turn.
func (s *session) proposeToLeader(vm *sessionVM, command ledger.Command, done func(ProposalResult)) {
	const timeout = 10 * time.Second
	s.proposeTo(vm, vm, command, done, s.now().Add(timeout), 0)
}

func (s *session) proposeTo(from, target *sessionVM, command ledger.Command, done func(ProposalResult), deadline time.Time, attempt int) {
	if s.now().After(deadline) {
		s.note("%s: no leader confirmed it", from.settings.VM)
		return
	}
	retry := func(hint string) {
		next := s.findVM(hint)
		if next == nil || next == target || s.cuts[from.settings.VM+">"+hint] {
			next = s.vms[attempt%len(s.vms)]
		}
		s.after(sessionTick, func() { s.proposeTo(from, next, command, done, deadline, attempt+1) })
	}
	reachable := target.up && !s.cuts[from.settings.VM+">"+target.settings.VM] && !s.cuts[target.settings.VM+">"+from.settings.VM]
	if !reachable {
		retry("")
		return
	}
	answered := false
	call := s.openCall(func(value any) {
		if answered {
			return
		}
		answered = true
		answer := value.(ProposalResult)
		if answer.Refused != 0 || answer.Lost {
			retry(answer.Leader.ID)
			return
		}
		done(answer)
	})
	s.apply(target, Propose{Call: call, Command: command})
	const attemptTimeout = 2 * time.Second
	s.after(attemptTimeout, func() {
		if !answered {
			answered = true
			retry("")
		}
	})
}

func (s *session) proposeSection(vm *sessionVM, section document.Section, base, id string, text []byte, dropAnswer bool) {
	var baseVersion uint64
	fmt.Sscan(base, &baseVersion)
	versions := ledger.Versions{}
	if vm.view != nil {
		versions = vm.view.Versions
	}
	versions.Set(section, baseVersion)
	put := &ledger.Put{Section: section, Base: baseVersion, ChangeID: id, Team: "operators", Text: text, Checked: versions}
	s.proposeToLeader(vm, ledger.Command{Put: put}, func(answer ProposalResult) {
		if dropAnswer {
			s.note("%s: answer to %s is lost", vm.settings.VM, id)
			return
		}
		names := map[ledger.PutCode]string{
			ledger.PutAccepted:        "accepted",
			ledger.PutVersionConflict: "version conflict",
			ledger.PutChangeIDReused:  "change id reused",
			ledger.PutRecheck:         "check again",
		}
		result := answer.Result.Put
		replayed := ""
		if result.Replayed {
			replayed = " (first answer again)"
		}
		s.note("%s: %s %s, version %d%s", vm.settings.VM, id, names[result.Code], result.Version, replayed)
	})
}

// proposeManyChanges makes many accepted changes of section ranks, one after
// another.
func (s *session) proposeManyChanges(vm *sessionVM, count string) {
	var n int
	fmt.Sscan(count, &n)
	for range n {
		base := vm.view.Versions.Ranks
		text := fmt.Sprintf("[[rank]]\nname = \"browse\"\nworth = %d.0\n", base+1)
		s.proposeSection(vm, document.SectionRanks, fmt.Sprint(base), fmt.Sprint("many-", base), []byte(text), false)
		s.run(300 * time.Millisecond)
	}
	s.lines = s.lines[max(0, len(s.lines)-1):]
}

func (s *session) proposeClaim(vm *sessionVM, key, attempt string) {
	claim := &ledger.Claim{Key: ledger.Key{Service: "pay", Key: key}, Attempt: attempt, Holder: vm.settings.VM, Hold: 5 * time.Second, Keep: time.Hour}
	s.proposeToLeader(vm, ledger.Command{Claim: claim}, func(answer ProposalResult) {
		result := answer.Result.Claim
		s.note("%s: claim of %s by %s: %s %s", vm.settings.VM, key, attempt, claimName(result.Code), result.Outcome.Body)
	})
}

func claimName(code ledger.ClaimCode) string {
	if code == ledger.ClaimRunning {
		return "running"
	}
	return claimOutcome(code)
}

func (s *session) changeReplica(vm *sessionVM, action, id string) {
	kinds := map[string]quorum.ChangeKind{"add": quorum.ChangeAdd, "promote": quorum.ChangePromote, "remove": quorum.ChangeRemove}
	if action == "add" {
		s.addVM(id, true, vm.settings.Replicas, vm.settings.Seeds)
		s.run(time.Second)
	}
	leader := s.findVM(vm.state.leader.ID)
	call := s.openCall(func(value any) {
		answer := value.(ProposalResult)
		if answer.Refused != 0 {
			s.note("%s %s refused: %v", action, id, answer.Refused)
			return
		}
		s.note("%s %s committed", action, id)
	})
	s.apply(leader, ChangeReplica{Call: call, Change: quorum.Change{Kind: kinds[action], Replica: quorum.Replica{ID: quorum.ID(id), Address: id}}})
}

// ownerOf returns the VM of domain a that grants the slots of a service.
func (s *session) ownerOf(service string) *sessionVM {
	for _, vm := range s.vms {
		if vm.up && vm.settings.Domain == "a" && vm.state.pool(service) != nil {
			return vm
		}
	}
	return s.vms[0]
}

// showStatus notes the role, document versions and replicas that each VM
// reports.
func (s *session) showStatus() {
	for _, vm := range s.vms {
		if !vm.up {
			s.note("%s down", vm.settings.VM)
			continue
		}
		status := vm.state.status()
		v := status.Versions
		s.note("%s %s leader=%s places=%d services=%d ranks=%d stops=%d stale=%v domain=%d replicas=%d", vm.settings.VM, status.Role, status.Leader, v.Places, v.Services, v.Ranks, v.Stops, status.Stale, len(status.VMs), len(status.Replicas))
	}
}
