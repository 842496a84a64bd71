package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
)

func TestEditionIsThatOfTheNewestDocument(t *testing.T) {
	tests := map[string]struct {
		change func(s *lostDisks, vm *sessionVM)
		want   uint64
	}{
		"acknowledged":  {change: func(*lostDisks, *sessionVM) {}, want: 2},
		"after restart": {change: func(s *lostDisks, vm *sessionVM) { s.boot(vm); s.run(4 * time.Second) }, want: 2},
		"ledger behind the document": {change: func(_ *lostDisks, vm *sessionVM) {
			vm.state.sectionsAt = ledger.Position{Term: vm.state.sectionsAt.Term, Index: vm.state.sectionsAt.Index + 100}
		}},
		"no ledger": {change: func(_ *lostDisks, vm *sessionVM) { vm.state = entryVM(t) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLostDisks([]string{"a1", "b1", "c1"})
			for range 2 {
				if !s.acknowledge(10 * time.Second) {
					t.Fatal("an edition was not acknowledged")
				}
			}
			s.run(time.Second)
			vm := s.findVM("b1")
			test.change(s, vm)
			if got := vm.state.Edition(); got.Number != test.want || test.want > 0 && string(got.Source) != "2" {
				t.Errorf("edition %d, source %q, want %d", got.Number, got.Source, test.want)
			}
		})
	}
}
