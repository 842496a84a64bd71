package placing

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// A server that runs one long request must not count as failed for requests of a class of short runs.
func TestLongRunIsNoSilence(t *testing.T) {
	const long, short = "report", "download"
	tests := map[string]struct {
		running string
		after   time.Duration
		usable  bool
	}{
		"long run in progress":       {running: long, after: 5 * time.Second, usable: true},
		"long run that never ends":   {running: long, after: 11 * time.Second, usable: false},
		"short run that never ends":  {running: short, after: 1800 * time.Millisecond, usable: false},
		"short run that takes a bit": {running: short, after: 1500 * time.Millisecond, usable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := noticePool(1)
			s := p.Servers[0]
			p.classes[long] = &runTimes{cold: 5.2, warm: 1.56}
			p.classes[short] = &runTimes{cold: 1.04, warm: 0.312}
			run := Run{Class: test.running, Target: 6 * time.Second}
			if test.running == short {
				run.Target = 800 * time.Millisecond
			}
			p.BeginRun(s, run, start)
			req := Request{Class: short, Remaining: 5 * time.Second, Target: 800 * time.Millisecond}
			if usable := p.Choose(req, start.Add(test.after)).Server != nil; usable != test.usable {
				t.Errorf("usable after %v: %v, want %v", test.after, usable, test.usable)
			}
			p.End(s, Outcome{Class: test.running, Result: routing.ResultOK}, start.Add(test.after))
			if len(s.runs) > 0 {
				t.Errorf("%v still counts as in progress", s.runs)
			}
		})
	}
}
