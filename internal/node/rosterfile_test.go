package node

import (
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/settings"
)

// fixedClock always shows the same time.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time                       { return c.now }
func (c fixedClock) After(time.Duration) <-chan time.Time { return nil }

// A VM restores the saved servers and peers after a restart, unless they were saved
// more than maxRosterAge before or after the time that its clock shows.
func TestRosterFileSurvivesRestart(t *testing.T) {
	savedAt := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	save := reducer.SaveRoster{
		Records: []roster.Record{{ID: "s1", Address: "10.0.0.9:80", Service: "payments"}},
		Peers:   []string{"10.0.0.1:7540", "10.0.0.2:7540"},
	}
	tests := map[string]struct {
		downtime time.Duration
		want     reducer.SaveRoster
	}{
		"10 s later":          {10 * time.Second, save},
		"5 h later":           {5 * time.Hour, reducer.SaveRoster{}},
		"clock set back 10 s": {-10 * time.Second, save},
		"clock set back 5 h":  {-5 * time.Hour, reducer.SaveRoster{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			open := func(now time.Time) (*rosterFile, rosterContent) {
				n := &Node{Settings: settings.Settings{DataDir: folder}, Clock: fixedClock{now}, Logger: zerolog.Nop(), Metrics: NewMetrics()}
				f, content, err := openRosterFile(n)
				if err != nil {
					t.Fatal(err)
				}
				return f, content
			}
			f, content := open(savedAt)
			if len(content.Records)+len(content.Peers) > 0 {
				t.Fatalf("an empty folder holds %+v", content)
			}
			if err := f.write(save); err != nil {
				t.Fatal(err)
			}
			f.folder.Close()
			f, content = open(savedAt.Add(test.downtime))
			defer f.folder.Close()
			if !reflect.DeepEqual(content.Peers, test.want.Peers) || !reflect.DeepEqual(content.Records, test.want.Records) {
				t.Errorf("restored %+v, want %+v", content, test.want)
			}
		})
	}
}
