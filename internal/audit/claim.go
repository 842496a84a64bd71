package audit

import (
	"strings"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// claimHistory collects the claim records of one `once` request, which must run at
// most once. A claim reserves the idempotency key for the request before it is sent.
type claimHistory struct {
	key      string // service and idempotency key
	granted  bool
	sends    []Record
	ends     []Record // in the order of the sends
	released *Record  // says that the request did not run
}

// claimHistories returns the claim history of each `once` request, by request id.
func claimHistories(t *Trails) map[string]*claimHistory {
	histories := make(map[string]*claimHistory)
	for i := range t.Records {
		r := t.Records[i]
		if r.Entry.Kind != reducer.AuditClaim || r.Entry.Request == "" {
			continue
		}
		h := histories[r.Entry.Request]
		if h == nil {
			h = &claimHistory{key: r.Entry.Service + "\x00" + r.Entry.Key}
			histories[r.Entry.Request] = h
		}
		switch outcome := r.Entry.Outcome; {
		case outcome == "granted":
			h.granted = true
		case outcome == "sending":
			h.sends = append(h.sends, r)
		case outcome == "released":
			h.released = &r
		case strings.HasPrefix(outcome, "ended:"):
			h.ends = append(h.ends, r)
		}
	}
	return histories
}

// provedNotRun reports whether the end of the i-th send proves that the request
// did not run on that server.
func (h *claimHistory) provedNotRun(i int) bool {
	if i >= len(h.ends) {
		return false
	}
	switch strings.TrimPrefix(h.ends[i].Entry.Outcome, "ended:") {
	case "shed", "no-dial", "dial-late", "unused":
		return true
	default:
		return false
	}
}

// checkNotRun finds requests that were released as not run although a send may
// have run.
func checkNotRun(c *check) {
	histories := claimHistories(c.trails)
	for _, id := range sortedKeys(histories) {
		h := histories[id]
		if h.released == nil {
			continue
		}
		c.Checked++
		for i := range h.sends {
			if !h.provedNotRun(i) {
				c.addBreach(*h.released, "request %s was called not run but was sent to %s", id, h.sends[i].Entry.Server)
			}
		}
	}
	c.countTallies()
}

// checkOnce finds sends without a granted claim and idempotency keys whose
// request may have run more than once.
func checkOnce(c *check) {
	possibleRuns := make(map[string][]Record)
	histories := claimHistories(c.trails)
	for _, id := range sortedKeys(histories) {
		h := histories[id]
		for i, r := range h.sends {
			c.Checked++
			if !h.granted {
				c.addBreach(r, "request %s was sent without a claim on its key", id)
			}
			if !h.provedNotRun(i) {
				possibleRuns[h.key] = append(possibleRuns[h.key], r)
			}
		}
	}
	for _, key := range sortedKeys(possibleRuns) {
		if runs := possibleRuns[key]; len(runs) > 1 {
			service, idempotencyKey, _ := strings.Cut(key, "\x00")
			c.addBreach(runs[1], "key %q of %s may have run %d times", idempotencyKey, service, len(runs))
		}
	}
}
