package placing

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// A server that waited for the bodies of callers counted as unresponsive, and got no other request.
func TestServerThatAwaitsBodiesIsResponsive(t *testing.T) {
	tests := map[string]struct {
		partial, whole int // requests that it does not answer
		want           bool
	}{
		"bodies awaited":          {partial: 500},
		"no answers":              {whole: 1, want: true},
		"both":                    {partial: 500, whole: 1, want: true},
		"nothing":                 {},
		"bodies awaited and gone": {partial: -3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, s := &Pool{}, &Server{}
			for range max(test.partial, -test.partial) {
				p.BeginRun(s, Run{Partial: true}, start)
			}
			for range -test.partial {
				p.End(s, Outcome{Partial: true, Result: routing.ResultCancelled}, start)
			}
			for range test.whole {
				p.Begin(s, start.Add(time.Second))
			}
			if got := s.unresponsive(runTimes{cold: 0.1}, Request{Target: time.Second}, start.Add(10*time.Second)); got != test.want {
				t.Errorf("unresponsive: %v, want %v", got, test.want)
			}
		})
	}
}
