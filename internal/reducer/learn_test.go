package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// After a restart of all VMs, an entry that knows a part of the servers would send
// objects to servers where they are cold. It takes no callers before it knows those of
// each failure domain, or has waited for rosterWait.
func TestEntryIsReadyOnceItKnowsTheServers(t *testing.T) {
	servers := []roster.Record{
		{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 2, Start: 1, Sequence: 1},
		{ID: "s2", Service: "web", Address: "10.0.0.2:80", Domain: "b", Slots: 2, Start: 1, Sequence: 1},
	}
	var held roster.State
	held.Merge(servers, testStart)
	gossip := func(control bool) Message {
		return Message{Gossip: &member.Gossip{From: member.VM{ID: "c1", Peer: "c1:1", Domain: "b", Control: control}}, Roster: held.Digests()}
	}
	tests := map[string]struct {
		known   []roster.Record
		control bool // the gossip comes from a control VM
		after   time.Duration
		want    bool
	}{
		"all known":                     {servers, true, documentSearchTime, true},
		"a part known":                  {servers[:1], true, documentSearchTime, false},
		"agrees with another entry":     {servers, false, documentSearchTime, false},
		"a part known, waited too long": {servers[:1], true, rosterWait, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.Apply(testStart, Received{Message{Servers: &ServerUpdate{Records: test.known}}})
			s.Apply(testStart.Add(100*time.Millisecond), Received{gossip(test.control)})
			s.document = &document.Document{Services: document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry}}}}
			s.now = testStart.Add(test.after)
			ready := s.knowsServers()
			if ready != test.want {
				t.Errorf("ready %v, want %v", ready, test.want)
			}
		})
	}
}

// An entry that starts hears of the servers from several VMs before the first answer is
// in. It must not ask each of them for the same records: on a slow link the copies would
// take the place of callers' answers for seconds.
func TestRecordsAreAskedForOnceWhileTheyArrive(t *testing.T) {
	var held roster.State
	held.Merge([]roster.Record{
		{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 2, Start: 1, Sequence: 1},
		{ID: "s2", Service: "web", Address: "10.0.0.2:80", Domain: "b", Slots: 2, Start: 1, Sequence: 1},
	}, testStart)
	s := entryVM(t)
	asked := make(map[string]int)
	for at := time.Duration(0); at < 950*time.Millisecond; at += 50 * time.Millisecond {
		gossip := Message{Gossip: &member.Gossip{From: member.VM{ID: "c1", Peer: "c1:1", Domain: "b"}}, Roster: held.Digests()}
		for _, effect := range s.Apply(testStart.Add(at), Received{gossip}) {
			if transmit, ok := effect.(Transmit); ok && transmit.Message.Index != nil {
				asked[transmit.Message.Index.Domain]++
			}
		}
	}
	if asked["a"] != 1 || asked["b"] != 1 {
		t.Errorf("asked %v times for the records, want once for each failure domain", asked)
	}
}
