package placing

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// What failed on the way to a failure domain counted against its servers.
func TestCutLeavesNoTraceAtServers(t *testing.T) {
	now := time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	p := NewPool(Policy{Service: "s", ColdRate: 10, Entries: 1}, Site{Domain: "a", Region: "r"})
	p.Update([]ServerInfo{
		{ID: "s1", Address: "10.0.0.1:80", Start: 1, Slots: 4, Site: Site{Domain: "b", Region: "r"}},
		{ID: "s2", Address: "10.0.0.2:80", Start: 1, Slots: 4, Site: Site{Domain: "b", Region: "r"}},
	})
	req := Request{Class: "c", Object: "o", Remaining: 5 * time.Second, Target: time.Second}
	for _, s := range p.Servers {
		p.Begin(s, now)
		p.End(s, Outcome{Class: "c", Object: "o", Target: time.Second, Result: routing.ResultDialFailed}, now)
	}
	if choice := p.Choose(req, now); choice.Server != nil {
		t.Fatalf("chose %s, whose connections fail", choice.Server.ID)
	}
	p.SetCut([]string{"b"})
	choice := p.Choose(req, now)
	if choice.Server == nil || !choice.Server.Cut() {
		t.Errorf("choice %+v while the way is cut, want a server for another VM to send to", choice)
	}
	own := req
	own.OwnWay = true
	if choice := p.Choose(own, now); choice.Server != nil {
		t.Errorf("chose %s for a request that only this VM may send", choice.Server.ID)
	}
	p.SetCut(nil)
	choice = p.Choose(req, now)
	if choice.Server == nil || choice.Server.Cut() || choice.Server.Probing() || choice.Server.isCold(now) {
		t.Errorf("choice %+v once the way is back, want a server that counts as sound and warm", choice)
	}
}

// A server that is added to a failure domain that is cut is cut too.
func TestServerAddedDuringCut(t *testing.T) {
	p := NewPool(Policy{Service: "s"}, Site{Domain: "a", Region: "r"})
	p.SetCut([]string{"b"})
	p.Update([]ServerInfo{{ID: "s1", Address: "10.0.0.1:80", Slots: 1, Site: Site{Domain: "b", Region: "r"}}})
	if !p.Servers[0].Cut() {
		t.Error("the server counts as reached")
	}
}
