package reducer

import (
	"fmt"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// sessionServer is a backend server in a session.
type sessionServer struct {
	id        string
	vm        *sessionVM // entry that it announces itself to
	service   string
	slots     int
	state     routing.State
	behaviour string // shed, crash or ok
	alive     bool
	running   int
	work      time.Duration
}

// configureServer adds a backend server or changes its behaviour, state or
// service time.
func (s *session) configureServer(d *datadriven.TestData) {
	id := arg(d, "id")
	server := s.servers[id]
	if server == nil {
		server = &sessionServer{id: id, service: arg(d, "service"), slots: 2, state: routing.StateServing, behaviour: "ok", alive: true, work: 30 * time.Millisecond}
		s.servers[id] = server
		server.vm = s.findVM(arg(d, "vm"))
		s.scheduleAnnouncement(server, 0)
	}
	if does := arg(d, "does"); does != "" {
		server.behaviour = does
	}
	if state := arg(d, "state"); state != "" {
		server.state = routing.State(state)
		s.announce(server)
	}
	if work := arg(d, "work"); work != "" {
		server.work, _ = time.ParseDuration(work)
	}
}

func (s *session) scheduleAnnouncement(server *sessionServer, wait time.Duration) {
	s.after(wait, func() {
		s.announce(server)
		s.scheduleAnnouncement(server, 500*time.Millisecond)
	})
}

func (s *session) announce(server *sessionServer) {
	if server.alive && server.vm.up {
		s.announceTo(server, server.vm, false)
	}
}

func (s *session) announceTo(server *sessionServer, vm *sessionVM, forwarded bool) {
	call := s.openCall(func(value any) {
		answer := value.(AnnouncementResult)
		if answer.Refused != "" {
			s.note("%s: announcement refused: %s", server.id, answer.Refused)
		}
		if owner := s.findVM(answer.Forward); owner != nil {
			s.after(delay(vm, owner), func() { s.announceTo(server, owner, true) })
		}
	})
	s.apply(vm, ServerAnnounced{Call: call, Forwarded: forwarded, Announcement: routing.Announcement{
		ID:      server.id,
		Address: "127.0.0.1:9",
		Service: server.service,
		Slots:   server.slots,
		State:   server.state,
	}})
}

// scheduleRequests sends count requests of a caller through a VM, one per
// interval, as the shell does.
func (s *session) scheduleRequests(vm *sessionVM, d *datadriven.TestData) {
	var count int
	fmt.Sscan(arg(d, "count"), &count)
	interval, _ := time.ParseDuration(arg(d, "every"))
	data := *d
	for i := range max(1, count) {
		s.after(time.Duration(i)*interval, func() { s.sendRequest(vm, &data, i) })
	}
}

func (s *session) sendRequest(vm *sessionVM, d *datadriven.TestData, number int) {
	s.nextCall++
	id := fmt.Sprintf("%s#%d", arg(d, "id"), number)
	timeout := time.Second
	if text := arg(d, "timeout"); text != "" {
		timeout, _ = time.ParseDuration(text)
	}
	r := &relay.Request{
		ID:           id,
		Service:      arg(d, "service"),
		Deadline:     s.now().Add(timeout),
		ClaimLease:   timeout + 5*time.Second,
		KeyRetention: time.Hour,
		Holder:       vm.settings.VM,
		Replayable:   true,
		Fingerprint:  uint64(len(id)) + s.nextCall,
	}
	fmt.Sscan(arg(d, "rank"), &r.Rank)
	if same := arg(d, "same"); same != "" {
		fmt.Sscan(same, &r.Fingerprint)
	}
	if key := arg(d, "key"); key != "" {
		r.Once = true
		r.Key = ledger.Key{Service: r.Service, Key: key}
	}
	x := &sessionExchange{session: s, vm: vm, request: r}
	x.call = s.openCall(func(value any) { x.handleStep(value.(relay.Step)) })
	s.apply(vm, RequestBegan{Call: x.call, Request: r})
}

// sessionExchange carries out the steps of one request.
type sessionExchange struct {
	session *session
	vm      *sessionVM
	request *relay.Request
	call    uint64
}

func (x *sessionExchange) handleStep(step relay.Step) {
	s := x.session
	if step.Settle != nil {
		s.proposeToLeader(x.vm, ledger.Command{Settle: step.Settle}, func(ProposalResult) {})
	}
	if step.Release != nil {
		s.proposeToLeader(x.vm, ledger.Command{Release: step.Release}, func(ProposalResult) {})
	}
	switch {
	case step.Claim != nil:
		s.proposeToLeader(x.vm, ledger.Command{Claim: step.Claim}, func(answer ProposalResult) {
			s.apply(x.vm, RequestClaimed{Call: x.call, Result: answer.Result.Claim})
		})
	case step.Wait > 0:
		s.after(step.Wait, func() { s.apply(x.vm, RequestWaited{Call: x.call}) })
	case step.SlotRequest != nil:
		x.askOwner(*step.SlotRequest)
	case step.Send != nil:
		x.sendToServer(step.Send)
	case step.Replay != nil:
		x.endRequest("stored answer %s", step.Replay.Body)
	case step.Refuse != nil:
		x.endRequest("refused %d %s run=%s", step.Refuse.Status, step.Refuse.Reason, step.Refuse.Run)
	}
}

func (x *sessionExchange) endRequest(format string, args ...any) {
	x.session.note("%s at %s: %s", x.request.ID, x.vm.settings.VM, fmt.Sprintf(format, args...))
	x.session.apply(x.vm, RequestEnded{Call: x.call, Result: routing.ResultUnused})
}

func (x *sessionExchange) askOwner(ask dispatch.SlotRequest) {
	s := x.session
	owner, _ := x.vm.view.OwnerOf(ask.Service)
	ownerVM := s.findVM(owner.Peer)
	if ownerVM == nil || !ownerVM.up {
		s.apply(x.vm, RequestSlotAnswered{Call: x.call, Err: errUnknown})
		return
	}
	call := s.openCall(func(value any) {
		s.after(delay(ownerVM, x.vm), func() {
			s.apply(x.vm, RequestSlotAnswered{Call: x.call, Answer: value.(dispatch.Answer)})
		})
	})
	s.after(delay(x.vm, ownerVM), func() { s.apply(ownerVM, SlotRequested{Call: call, Request: ask}) })
}

func (x *sessionExchange) sendToServer(grant *dispatch.Grant) {
	s := x.session
	server := s.servers[lastPathPart(grant.Server)]
	if !server.alive {
		s.apply(x.vm, RequestSent{Call: x.call, Result: routing.ResultDialFailed})
		return
	}
	switch server.behaviour {
	case "crash":
		server.alive = false
		s.note("%s crashed by %s", server.id, x.request.ID)
		s.apply(x.vm, RequestSent{Call: x.call, Result: routing.ResultBroken})
		s.after(3*time.Second, func() { server.alive = true })
	case "shed":
		s.apply(x.vm, RequestSent{Call: x.call, Result: routing.ResultShed})
	default:
		x.serveRequest(server)
	}
}

func (x *sessionExchange) serveRequest(server *sessionServer) {
	s := x.session
	server.running++
	if server.running > server.slots {
		s.note("%s runs %d requests in %d slots", server.id, server.running, server.slots)
	}
	s.after(server.work, func() {
		server.running--
		if !x.vm.up {
			s.note("%s ran %s, but the entry is gone", server.id, x.request.ID)
			return
		}
		s.apply(x.vm, RequestSent{Call: x.call, Result: routing.ResultOK, Latency: server.work})
		s.note("%s at %s: answered by %s", x.request.ID, x.vm.settings.VM, server.id)
		s.apply(x.vm, RequestEnded{Call: x.call, Result: routing.ResultOK, Latency: server.work})
		if x.request.Once {
			s.proposeToLeader(x.vm, ledger.Command{Settle: &ledger.Settle{Key: x.request.Key, Attempt: x.request.ID, Outcome: ledger.Outcome{Status: 200, Body: []byte("by " + server.id)}}}, func(ProposalResult) {})
		}
	})
}

func lastPathPart(id string) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '/' {
			return id[i+1:]
		}
	}
	return id
}
