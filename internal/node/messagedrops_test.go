package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

func TestDroppedMessagesAreCountedAndLogged(t *testing.T) {
	var logged bytes.Buffer
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	n := &Node{Logger: zerolog.New(&logged), Metrics: NewMetrics()}
	steps := []struct {
		after time.Duration
		drops int
		want  string // logged in this step
	}{
		{after: 0, drops: 0},
		{after: 0, drops: 3, want: `"count":3`},
		{after: 500 * time.Millisecond, drops: 2},
		{after: 999 * time.Millisecond, drops: 1},
		{after: time.Second, drops: 0, want: `"count":3`},
		{after: 3 * time.Second, drops: 0},
		{after: 3 * time.Second, drops: 1, want: `"count":1`},
	}
	for _, step := range steps {
		n.Clock = fixedClock{start.Add(step.after)}
		for range step.drops {
			n.countDrop("10.0.0.2:7540", reducer.Message{Part: &reducer.DocumentPart{}})
		}
		logged.Reset()
		n.logDrops()
		line := logged.String()
		if step.want == "" && line != "" {
			t.Errorf("after %v: logged %s", step.after, line)
		}
		for _, part := range []string{step.want, `"event":"HW1045"`, `"detail":"10.0.0.2:7540"`} {
			if step.want != "" && (!strings.Contains(line, part) || strings.Count(line, "\n") != 1) {
				t.Errorf("after %v: logged %q, want one line with %s", step.after, line, part)
			}
		}
	}
	var metrics bytes.Buffer
	n.Metrics.Write(&metrics, reducer.Status{}, 0)
	const want = `heatherwood_messages_dropped_total{kind="document"} 7`
	if !strings.Contains(metrics.String(), want) {
		t.Errorf("metrics lack %s:\n%s", want, metrics.String())
	}
}
