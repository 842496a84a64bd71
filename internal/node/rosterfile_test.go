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

// stillClock stands still at a time.
type stillClock struct{ now time.Time }

func (c stillClock) Now() time.Time                       { return c.now }
func (c stillClock) After(time.Duration) <-chan time.Time { return nil }

// What a VM kept of its servers and of its failure domain is there after a restart, but
// not when it is old.
func TestRosterFileSurvivesARestart(t *testing.T) {
	saved := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	save := reducer.SaveRoster{
		Records: []roster.Record{{ID: "s1", Address: "10.0.0.9:80", Service: "payments"}},
		Peers:   []string{"10.0.0.1:7540", "10.0.0.2:7540"},
	}
	tests := map[string]struct {
		down time.Duration
		kept reducer.SaveRoster
	}{
		"soon":                 {10 * time.Second, save},
		"after hours":          {5 * time.Hour, reducer.SaveRoster{}},
		"clock stepped back":   {-10 * time.Second, save},
		"clock of long before": {-5 * time.Hour, reducer.SaveRoster{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			open := func(now time.Time) (*rosterFile, rosterContent) {
				n := &Node{Settings: settings.Settings{DataDir: folder}, Clock: stillClock{now}, Logger: zerolog.Nop(), Metrics: NewMetrics()}
				f, content, err := openRoster(n)
				if err != nil {
					t.Fatal(err)
				}
				return f, content
			}
			f, content := open(saved)
			if len(content.Records)+len(content.Peers) > 0 {
				t.Fatalf("an empty folder holds %+v", content)
			}
			if err := f.write(save); err != nil {
				t.Fatal(err)
			}
			f.folder.Close()
			f, content = open(saved.Add(test.down))
			defer f.folder.Close()
			if !reflect.DeepEqual(content.Peers, test.kept.Peers) || !reflect.DeepEqual(content.Records, test.kept.Records) {
				t.Errorf("kept %+v, want %+v", content, test.kept)
			}
		})
	}
}
