package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	contactTick       = 50 * time.Millisecond
	coldTimeOfContact = 3 * time.Second
)

// contactVM is a VM that chooses among the servers of one service, s1 and s2.
type contactVM struct {
	*State
	now time.Time
}

func newContactVM(t *testing.T) *contactVM {
	t.Helper()
	v := &contactVM{State: entryVM(t), now: testStart}
	v.startedAt = testStart.Add(-time.Hour)
	d := &document.Document{
		Places: document.Places{Regions: []document.Region{{Name: "north"}}, Domains: []document.Domain{{Name: "a", Region: "north"}}},
		Services: document.Services{Services: []document.Service{{
			Name: "web", Placing: document.PlacingEntry, Cold: document.Duration(coldTimeOfContact), ColdRate: 20,
		}}},
	}
	v.Apply(v.now, DocumentLoaded{Position: ledger.Position{Term: 2, Index: 5}, Document: d})
	for _, id := range []string{"s1", "s2"} {
		v.roster.Announce(roster.Record{ID: id, Service: "web", Address: "10.0.0.1:8" + id[1:], Domain: "a", Slots: 9, Start: 1, Sequence: 1, Health: "/health"}, v.now)
	}
	v.updatePlacingPools()
	v.tick(contactTick)
	return v
}

// tick lets ticks pass and returns their effects.
func (v *contactVM) tick(length time.Duration) []Effect {
	var effects []Effect
	for end := v.now.Add(length); v.now.Before(end); {
		v.now = v.now.Add(contactTick)
		effects = append(effects, v.Apply(v.now, Tick{})...)
	}
	return effects
}

// want chooses a server for a request.
func (v *contactVM) want() *placing.Server {
	return v.placingPools["web"].Choose(placing.Request{Class: "page", Remaining: time.Second, Target: time.Second, Exclude: []string{"s2"}}, v.now).Server
}

func (v *contactVM) isCold(id string) bool {
	cold, _ := v.placingPools["web"].Find(id).Cold(v.now)
	return cold
}

func questions(effects []Effect) []ServerQuestion {
	var asked []ServerQuestion
	for _, effect := range effects {
		if ask, ok := effect.(AskServer); ok {
			asked = append(asked, ask.Question)
		}
	}
	return asked
}

func TestServerIsAskedWhetherItStartedAgain(t *testing.T) {
	tests := map[string]struct {
		answer   ServerAnswered
		replace  bool // its start is announced before the answer comes
		wantCold bool
		wantGone bool
	}{
		"it is warm":                   {answer: ServerAnswered{ID: "s1"}},
		"it is cold":                   {answer: ServerAnswered{ID: "s1", ColdFor: 2 * time.Second}, wantCold: true},
		"no answer":                    {answer: ServerAnswered{Why: "refused"}, wantCold: true},
		"another server answers":       {answer: ServerAnswered{ID: "s9"}, wantCold: true, wantGone: true},
		"an earlier start has said so": {answer: ServerAnswered{ID: "s1"}, replace: true, wantCold: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			if v.isCold("s1") {
				t.Fatal("cold before anything happened")
			}
			v.Apply(v.now, ContactLost{Address: "10.0.0.1:81", Why: "closed"})
			if !v.isCold("s1") || v.isCold("s2") {
				t.Errorf("s1 counts as cold: %v, s2: %v", v.isCold("s1"), v.isCold("s2"))
			}
			if asked := questions(v.tick(contactTick)); len(asked) != 0 {
				t.Error("asked though no request wants it")
			}
			v.want()
			asked := questions(v.tick(contactTick))
			if len(asked) != 1 || asked[0].Server != "s1" || asked[0].Path != "/health" {
				t.Fatalf("questions %+v", asked)
			}
			if test.replace {
				v.roster.Announce(roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:81", Domain: "a", Slots: 9, Start: 2, Sequence: 1, Cold: 3 * time.Second}, v.now)
				v.updatePlacingPools()
			}
			test.answer.Question = asked[0]
			v.Apply(v.now, test.answer)
			if v.isCold("s1") != test.wantCold {
				t.Errorf("counts as cold: %v", v.isCold("s1"))
			}
			if gone := v.roster.Find("s1").Gone; gone != test.wantGone {
				t.Errorf("gone: %v", gone)
			}
		})
	}
}

func TestVMThatStoodStillTakesServersWithoutConnectionsForCold(t *testing.T) {
	v := newContactVM(t)
	paused := v.now
	v.now = v.now.Add(3 * time.Second)
	var check *CheckContacts
	for _, effect := range v.Apply(v.now, Tick{}) {
		if c, ok := effect.(CheckContacts); ok {
			check = &c
		}
	}
	if check == nil || !v.isCold("s1") || !v.isCold("s2") {
		t.Fatalf("connections looked at: %v; s1 counts as cold: %v, s2: %v", check != nil, v.isCold("s1"), v.isCold("s2"))
	}
	if !check.Before.Equal(paused) {
		t.Errorf("connections that were opened before %v count, want %v", check.Before, paused)
	}
	v.Apply(v.now, ContactsOpen{At: check.At, Addresses: []string{"10.0.0.1:82"}})
	if !v.isCold("s1") || v.isCold("s2") {
		t.Errorf("with a connection to s2 open, s1 counts as cold: %v, s2: %v", v.isCold("s1"), v.isCold("s2"))
	}
}

func TestIsolatedVMAsksServersThatDidNotAnswerLately(t *testing.T) {
	v := newContactVM(t)
	if v.want() == nil || v.isCold("s1") {
		t.Fatal("a VM that never heard another one counts as isolated")
	}
	v.Apply(v.now, Received{Message{Gossip: &member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Domain: "a"}}}})
	v.tick(isolatedAfter)
	if v.want(); v.isCold("s1") {
		t.Error("s1 counts as cold though others were heard a moment ago")
	}
	v.tick(contactTick)
	v.want()
	asked := questions(v.tick(contactTick))
	if len(asked) != 1 || !v.isCold("s1") {
		t.Fatalf("%d questions; s1 counts as cold: %v", len(asked), v.isCold("s1"))
	}
	v.Apply(v.now, ServerAnswered{Question: asked[0], ID: "s1"})
	if v.isCold("s1") || v.want() == nil {
		t.Error("s1 is not used though it says that it is warm")
	}
}

func TestVMThatHasJustStartedAsksServers(t *testing.T) {
	v := newContactVM(t)
	v.startedAt = v.now
	asked := questions(v.tick(2 * contactTick)) // before any request comes
	if len(asked) != 2 || !v.isCold("s1") || !v.isCold("s2") {
		t.Fatalf("%d questions; s1 counts as cold: %v, s2: %v", len(asked), v.isCold("s1"), v.isCold("s2"))
	}
	for _, q := range asked {
		v.Apply(v.now, ServerAnswered{Question: q, ID: q.Server})
	}
	if v.isCold("s1") || v.want() == nil {
		t.Error("s1 is not used though it says that it is warm")
	}
	if asked := questions(v.tick(coldTimeOfContact - 3*contactTick)); len(asked) != 0 {
		t.Error("asked again though no request wants them")
	}
	v.now = v.now.Add(3 * contactTick)
	if v.want(); v.isCold("s1") {
		t.Error("s1 counts as cold after the time in which word of earlier starts comes")
	}
}

func TestVMThatStartedLaterThanOthersAsksNoServers(t *testing.T) {
	v := newContactVM(t)
	v.startedAt, v.members.Self.Incarnation = v.now, 1000
	v.Apply(v.now, Received{Message{Gossip: &member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Entry: "a2:2", Domain: "a", Incarnation: 900}}}})
	if asked := questions(v.tick(2 * contactTick)); len(asked) != 0 || v.want() == nil || v.isCold("s1") {
		t.Errorf("%d questions; s1 counts as cold: %v", len(asked), v.isCold("s1"))
	}
}

func TestLogOfASendNamesTheVMThatToldOfTheServer(t *testing.T) {
	v := newContactVM(t)
	record := roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:81", Domain: "a", Slots: 9, Start: 2, Sequence: 1}
	v.Apply(v.now, Received{Message{Servers: &ServerUpdate{From: "a7", Records: []roster.Record{record}}}})
	v.tick(contactTick)
	if _, word := v.placingPools["web"].Find("s1").Cold(v.now); word.Source != roster.FromVM || word.VM != "a7" {
		t.Errorf("known from %s %q, want from VM a7", word.Source, word.VM)
	}
}

func TestServerIsAskedAtOnceWhereNoConnectionWasOpenBefore(t *testing.T) {
	tests := map[string]struct {
		earlier time.Duration // since the request before
		want    int           // questions
	}{
		"requests come often":  {earlier: 200 * time.Millisecond, want: 1},
		"requests come rarely": {earlier: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			pool := v.placingPools["web"]
			s1 := pool.Find("s1")
			pool.Begin(s1, v.now.Add(-test.earlier))
			pool.Begin(s1, v.now)
			asked := questions(v.Apply(v.now, ContactLost{Address: "10.0.0.1:81", Why: "none was open", Renewed: true}))
			if len(asked) != test.want || v.isCold("s1") != (test.want == 1) || v.isCold("s2") {
				t.Fatalf("%d questions, want %d; s1 counts as cold: %v, s2: %v", len(asked), test.want, v.isCold("s1"), v.isCold("s2"))
			}
			for _, q := range asked {
				v.Apply(v.now, ServerAnswered{Question: q, ID: "s1"})
			}
			if v.isCold("s1") {
				t.Error("s1 counts as cold though it says that it is warm")
			}
		})
	}
}

// A VM that stood still refused its callers while it doubted all servers, though other VMs could send to them.
func TestRequestIsPassedOnWhereAllServersAreInDoubt(t *testing.T) {
	tests := map[string]struct {
		doubt func(*contactVM)
		want  bool
	}{
		"none is in doubt":       {doubt: func(*contactVM) {}},
		"one is in doubt":        {doubt: func(v *contactVM) { v.Apply(v.now, ContactLost{Address: "10.0.0.1:81"}) }},
		"the VM has stood still": {doubt: func(v *contactVM) { v.now = v.now.Add(3 * time.Second); v.Apply(v.now, Tick{}) }, want: true},
		"all say that they are cold": {doubt: func(v *contactVM) {
			for _, s := range v.placingPools["web"].Servers {
				v.placingPools["web"].LoseContact(s.Address, v.now)
				v.placingPools["web"].TakeAnswer(s, v.now, coldTimeOfContact, v.now)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			v.document.Places.Domains = append(v.document.Places.Domains, document.Domain{Name: "b", Region: "north"})
			test.doubt(v)
			v.Apply(v.now, Received{Message{Gossip: &member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Entry: "a2:2", Domain: "a", Region: "north", Document: 5}}}})
			route := &document.Route{Name: "browse", To: []document.Target{{Service: "web", Weight: 1}}}
			passed := false
			for i := range 4 {
				r := &relay.Request{ID: "r", Deadline: v.now.Add(time.Second), TargetTime: v.now.Add(time.Second), Replayable: true, Route: route}
				for _, effect := range v.Apply(v.now, RequestBegan{Call: uint64(i + 1), Request: r}) {
					if answer, ok := effect.(Answer); ok {
						step, _ := answer.Value.(relay.Step)
						passed = passed || step.Detour != nil
					}
				}
			}
			if passed != test.want {
				t.Errorf("passed on: %v, want %v", passed, test.want)
			}
		})
	}
}
