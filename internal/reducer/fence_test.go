package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// A closure that a cut connection held back undid later orders, also after a change of leader.
func TestClosureWithAnOlderFenceIsSuperseded(t *testing.T) {
	readFence := func(s *lostDisks) ledger.Fence {
		var fence ledger.Fence
		call := s.openCall(func(value any) { fence = value.(ReadResult).Fence })
		s.apply(s.leader(), ReadSection{Call: call, Section: document.SectionClosures})
		s.run(time.Second)
		return fence
	}
	order := func(s *lostDisks, fence ledger.Fence, open bool) ProposalResult {
		var result ProposalResult
		call := s.openCall(func(value any) { result = value.(ProposalResult) })
		closure := document.Closure{Kind: document.CloseDomain, Name: "a"}
		s.apply(s.leader(), Propose{Call: call, Command: ledger.Command{Close: &ledger.Close{Closure: closure, Open: open}}, Fence: fence})
		s.run(time.Second)
		return result
	}
	serverClosure := ledger.Command{Close: &ledger.Close{Closure: document.Closure{Kind: document.CloseServer, Name: "s1", Start: 5}}}
	tests := map[string]struct {
		meanwhile func(s *lostDisks)
		want      bool // the late order is superseded
	}{
		"nothing else": {meanwhile: func(*lostDisks) {}},
		"a server leaves": {meanwhile: func(s *lostDisks) {
			s.apply(s.leader(), Propose{Call: s.openCall(func(any) {}), Command: serverClosure})
		}},
		"reopened, closed again":    {meanwhile: func(s *lostDisks) { order(s, readFence(s), true); order(s, readFence(s), false) }, want: true},
		"closed, as it was":         {meanwhile: func(s *lostDisks) { order(s, readFence(s), false) }, want: true},
		"closed by an older sender": {meanwhile: func(s *lostDisks) { order(s, ledger.Fence{}, false) }, want: true},
		"another leader": {meanwhile: func(s *lostDisks) {
			s.leader().up = false
			s.run(3 * time.Second)
		}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLostDisks([]string{"a1", "b1", "c1"})
			order(s, readFence(s), false)
			late := readFence(s)
			test.meanwhile(s)
			result := order(s, late, true)
			if result.Superseded != test.want {
				t.Errorf("superseded %v, want %v", result.Superseded, test.want)
			}
			if reopened := result.Result.Close != nil && result.Result.Close.Changed; reopened == test.want {
				t.Errorf("reopened %v, want %v", reopened, !test.want)
			}
		})
	}
}
