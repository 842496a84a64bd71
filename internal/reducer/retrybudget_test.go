package reducer

import (
	"testing"

	"github.com/heatherwood/heatherwood/internal/relay"
)

// Many entries that had saved up retries spent them in one window, beyond what a service may be sent again.
func TestEntriesTogetherSaveFewRetries(t *testing.T) {
	for name, test := range map[string]struct{ entries, want int }{
		"few entries":      {entries: 24, want: 10},
		"many entries":     {entries: 75, want: 4},
		"a large fleet":    {entries: 273, want: 2},
		"not known so far": {entries: 0, want: 10},
	} {
		t.Run(name, func(t *testing.T) {
			s := splitVM(t, "orders")
			s.entryCount = test.entries
			r := &relay.Request{Service: "orders"}
			for range 1000 {
				s.retryBudget(r).CountFirstTry()
			}
			saved := 0
			for s.retryBudget(r).TakeRetry() {
				saved++
			}
			if saved != test.want {
				t.Errorf("%d retries saved, want %d", saved, test.want)
			}
		})
	}
}
