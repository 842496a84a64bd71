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

// Where long runs hold the slots, a class of short runs must not expect to wait only as long as its own
// runs take, nor one of long runs as long as its own where short ones run.
func TestWaitIsPricedWithTheMix(t *testing.T) {
	const long, short, warmLong, warmShort = "report", "download", 1.5, 0.3
	tests := map[string]struct {
		sent map[string]int // by this entry, to other servers
		runs map[string]int // of this entry, in progress at the server
		asks string
		want float64
	}{
		"nothing known":           {asks: short, want: warmShort},
		"one class":               {sent: map[string]int{short: 9}, runs: map[string]int{short: 9}, asks: short, want: warmShort},
		"mix of other entries":    {sent: map[string]int{short: 3, long: 9}, asks: short, want: 1.2},
		"mix, asked for long":     {sent: map[string]int{short: 9, long: 3}, asks: long, want: 0.6},
		"own long runs":           {sent: map[string]int{short: 9}, runs: map[string]int{long: 18}, asks: short, want: warmLong},
		"own short runs and long": {sent: map[string]int{short: 9}, runs: map[string]int{short: 9, long: 9}, asks: long, want: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := noticePool(2)
			p.classes[long] = &runTimes{cold: 5, warm: warmLong}
			p.classes[short] = &runTimes{cold: 1, warm: warmShort}
			for class, count := range test.sent {
				for range count {
					p.BeginRun(p.Servers[1], Run{Class: class, Target: time.Second}, start)
				}
			}
			s := p.Servers[0]
			for class, count := range test.runs {
				for range count {
					p.BeginRun(s, Run{Class: class, Target: time.Second}, start)
				}
			}
			req := Request{Class: test.asks}
			usual := p.usualRunTimes(req)
			if got := p.queuedRun(s, usual, req, 18, start); got < test.want-0.001 || got > test.want+0.001 {
				t.Errorf("%.3f s until a slot is free, want %.3f", got, test.want)
			}
		})
	}
}
