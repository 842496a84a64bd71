package callerhttp

import (
	"strconv"
	"testing"
	"time"
)

// Callers that a VM refuses while it starts must not all return at once: they are told
// to retry once it should be ready, spread over half a second.
func TestStartupRetriesAreSpread(t *testing.T) {
	const callers, parts = 5000, 10
	var retries [parts]int
	for i := range callers {
		retryAfter := startupRetryAfter(strconv.Itoa(i))
		if retryAfter < startupRetryDelay || retryAfter >= startupRetryDelay*3/2 {
			t.Fatalf("caller %d retries after %v", i, retryAfter)
		}
		retries[(retryAfter-startupRetryDelay)*parts/(startupRetryDelay/2)]++
	}
	for i, n := range retries {
		if n > callers/parts*13/10 {
			t.Errorf("%d of %d callers retry in part %d of %v, want about %d", n, callers, i, time.Duration(startupRetryDelay/2), callers/parts)
		}
	}
}
