package ledger

import (
	"reflect"
	"testing"

	"github.com/heatherwood/heatherwood/pkg/document"
)

func routesPut(id string, base uint64, text string, checked Versions) Command {
	return Command{Put: &Put{Section: document.SectionRoutes, Base: base, ChangeID: id, Team: "t", Text: []byte(text), Checked: checked}}
}

func TestRepeatedIsTheResultOfASecondEntry(t *testing.T) {
	tests := map[string]struct{ before, command Command }{
		"edition accepted":      {editionCommand(1, "a"), editionCommand(3, "a")},
		"edition stored before": {editionCommand(3, "a"), editionCommand(3, "a")},
		"edition number reused": {editionCommand(3, "a"), editionCommand(3, "b")},
		"edition older":         {editionCommand(3, "a"), editionCommand(2, "a")},
		"put accepted":          {Command{}, routesPut("id", 0, "a", Versions{})},
		"put replayed":          {routesPut("id", 0, "a", Versions{}), routesPut("id", 0, "a", Versions{})},
		"put conflict":          {editionCommand(3, "a"), routesPut("id", 7, "a", Versions{})},
		"put change id reused":  {routesPut("id", 0, "a", Versions{}), routesPut("id", 0, "b", Versions{})},
		"put recheck":           {Command{}, routesPut("id", 0, "a", Versions{Ranks: 5})},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Apply(Position{Term: 1, Index: 1}, tt.before)
			first := s.Apply(Position{Term: 1, Index: 2}, tt.command)
			second := s.Apply(Position{Term: 1, Index: 3}, tt.command)
			if got := first.Repeated(); !reflect.DeepEqual(got, second) {
				t.Errorf("repeated result %+v %+v, want %+v %+v as by an entry of its own", got.Edition, got.Put, second.Edition, second.Put)
			}
		})
	}
}

func TestSameChange(t *testing.T) {
	closure := document.Closure{Kind: document.CloseDomain, Name: "a"}
	tests := map[string]struct {
		a, b       Command
		repeatable bool
		same       bool
	}{
		"edition":                {editionCommand(3, "a"), editionCommand(3, "a"), true, true},
		"other number":           {editionCommand(3, "a"), editionCommand(4, "a"), true, false},
		"other source":           {editionCommand(3, "a"), editionCommand(3, "b"), true, false},
		"edition without number": {editionCommand(0, "a"), editionCommand(0, "a"), false, true},
		"put":                    {routesPut("id", 1, "a", Versions{}), routesPut("id", 1, "a", Versions{}), true, true},
		"put without change id":  {routesPut("", 1, "a", Versions{}), routesPut("", 1, "a", Versions{}), false, true},
		"other text":             {routesPut("id", 1, "a", Versions{}), routesPut("id", 1, "b", Versions{}), true, false},
		"other base":             {routesPut("id", 1, "a", Versions{}), routesPut("id", 2, "a", Versions{}), true, false},
		"checked again":          {routesPut("id", 1, "a", Versions{}), routesPut("id", 1, "a", Versions{Ranks: 1}), true, false},
		"edition and put":        {editionCommand(3, "a"), routesPut("id", 1, "a", Versions{}), true, false},
		"closures":               {Command{Close: &Close{Closure: closure}}, Command{Close: &Close{Closure: closure}}, false, false},
		"close and open":         {Command{Close: &Close{Closure: closure}}, Command{Close: &Close{Closure: closure, Open: true}}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.a.Repeatable(); got != tt.repeatable {
				t.Errorf("repeatable %t, want %t", got, tt.repeatable)
			}
			if got := tt.a.SameChange(tt.b); got != tt.same {
				t.Errorf("same change %t, want %t", got, tt.same)
			}
		})
	}
}
