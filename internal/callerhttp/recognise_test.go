package callerhttp

import (
	"strconv"
	"testing"
	"time"
)

// Callers that VMs refuse while they start return once these are ready, spread over
// half a second.
func TestCallersOfStartingVMsReturnSpread(t *testing.T) {
	const callers, parts = 5000, 10
	var returns [parts]int
	for i := range callers {
		wait := startingRetry(strconv.Itoa(i))
		if wait < retryWhenStarting || wait >= retryWhenStarting*3/2 {
			t.Fatalf("caller %d returns after %v", i, wait)
		}
		returns[(wait-retryWhenStarting)*parts/(retryWhenStarting/2)]++
	}
	for i, n := range returns {
		if n > callers/parts*13/10 {
			t.Errorf("%d of %d callers return in part %d of %v, want about %d", n, callers, i, time.Duration(retryWhenStarting/2), callers/parts)
		}
	}
}
