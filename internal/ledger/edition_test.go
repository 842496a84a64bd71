package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

func editionCommand(number uint64, source string) Command {
	return Command{Edition: &Edition{Number: number, Source: []byte(source), Parts: []Part{
		{Section: document.SectionPlaces, Text: []byte("places of " + source)},
		{Section: document.SectionRoutes, Text: []byte("routes of " + source)},
	}}}
}

func TestEditionCodes(t *testing.T) {
	tests := map[string]struct {
		commands []Command
		last     EditionCode
		stored   string // source of the stored edition afterwards
	}{
		"first":                     {[]Command{editionCommand(3, "a")}, EditionAccepted, "a"},
		"higher":                    {[]Command{editionCommand(3, "a"), editionCommand(9, "b")}, EditionAccepted, "b"},
		"same edition repeated":     {[]Command{editionCommand(3, "a"), editionCommand(3, "a")}, EditionDuplicate, "a"},
		"other source, same number": {[]Command{editionCommand(3, "a"), editionCommand(3, "b")}, EditionNumberReused, "a"},
		"lower number":              {[]Command{editionCommand(3, "a"), editionCommand(2, "b")}, EditionOlder, "a"},
		"lower, then higher number": {[]Command{editionCommand(3, "a"), editionCommand(2, "b"), editionCommand(4, "c")}, EditionAccepted, "c"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			var result Result
			for i, command := range test.commands {
				result = s.Apply(Position{Term: 1, Index: uint64(i + 1)}, command)
			}
			if result.Edition.Code != test.last {
				t.Errorf("outcome %d, want %d", result.Edition.Code, test.last)
			}
			edition, _ := s.Section(EditionSection)
			routes, _ := s.Section(document.SectionRoutes)
			if string(edition.Text) != test.stored || string(routes.Text) != "routes of "+test.stored {
				t.Errorf("stored edition %q with routes %q, want edition %q", edition.Text, routes.Text, test.stored)
			}
		})
	}
}

// A replica that restarts from a snapshot must still refuse a reused edition
// number and hold the closures.
func TestEditionSurvivesSnapshot(t *testing.T) {
	s := New()
	s.Apply(Position{Term: 1, Index: 1}, editionCommand(7, "a"))
	s.Apply(Position{Term: 1, Index: 2}, Command{Close: &Close{Closure: document.Closure{Kind: document.CloseDomain, Name: "a"}}})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if result := restored.Apply(Position{Term: 1, Index: 3}, editionCommand(7, "b")); result.Edition.Code != EditionNumberReused {
		t.Errorf("outcome %d after the restore, want %d", result.Edition.Code, EditionNumberReused)
	}
	if len(restored.Closures) != 1 {
		t.Errorf("closures %+v after the restore, want one", restored.Closures)
	}
}

func TestClosures(t *testing.T) {
	s := New()
	domain := document.Closure{Kind: document.CloseDomain, Name: "a"}
	server := document.Closure{Kind: document.CloseServer, Name: "s1", Start: 5}
	steps := []struct {
		change  Close
		changed bool
		has     string
	}{
		{Close{Closure: domain}, true, `name = 'a'`},
		{Close{Closure: domain}, false, `name = 'a'`},
		{Close{Closure: server}, true, `start = 5`},
		{Close{Closure: domain, Open: true}, true, `name = 's1'`},
		{Close{Closure: domain, Open: true}, false, `name = 's1'`},
	}
	for i, step := range steps {
		result := s.Apply(Position{Term: 1, Index: uint64(i + 1)}, Command{Close: &step.change})
		if result.Close.Changed != step.changed {
			t.Errorf("step %d: changed %v, want %v", i, result.Close.Changed, step.changed)
		}
		section, _ := s.Section(document.SectionClosures)
		if !strings.Contains(string(section.Text), step.has) {
			t.Errorf("step %d: the section does not contain %s:\n%s", i, step.has, section.Text)
		}
	}
}

// Closures of servers are limited, and dropping the oldest must not reopen a
// failure domain.
func TestServerClosuresAreLimited(t *testing.T) {
	s := New()
	domain := document.Closure{Kind: document.CloseDomain, Name: "a"}
	s.Apply(Position{Term: 1, Index: 1}, Command{Close: &Close{Closure: domain}})
	for i := range maxServerClosures + 10 {
		closure := document.Closure{Kind: document.CloseServer, Name: fmt.Sprint("s", i)}
		s.Apply(Position{Term: 1, Index: uint64(i + 2)}, Command{Close: &Close{Closure: closure}})
	}
	if got := len(s.Closures); got != maxServerClosures+1 {
		t.Errorf("%d closures are stored, want %d", got, maxServerClosures+1)
	}
	if s.Closures[0] != domain {
		t.Error("the closure of a failure domain was dropped")
	}
}

func TestLastReopeningIsRecorded(t *testing.T) {
	s := New()
	domain := document.Closure{Kind: document.CloseDomain, Name: "a"}
	for i, open := range []bool{false, true, false, true} {
		at := time.UnixMilli(int64(1000 * (i + 1)))
		s.Apply(Position{Term: 1, Index: uint64(i + 1)}, Command{At: at, Close: &Close{Closure: domain, Open: open}})
	}
	if len(s.Reopened) != 1 || s.Reopened[0] != (document.Reopened{Name: "a", At: 4000}) {
		t.Errorf("reopened %+v, want only the last reopening", s.Reopened)
	}
}
