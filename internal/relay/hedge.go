package relay

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// MayHedge reports whether the request may be sent to a second server while the first one still runs
// it: it may be repeated, and no more servers than the route's tries may run it.
func (r *Request) MayHedge(now time.Time) bool {
	if r.Route == nil || r.TakenOver || r.hedged || r.Stalled != nil || !r.MayRepeat() || !now.Before(r.Deadline) {
		return false
	}
	const underWay = 1 // the try that is late
	return r.runs+underWay < r.Route.Tries && r.sends < r.maxSends()
}

// BeginHedge notes that the request is sent to a second server.
func (r *Request) BeginHedge() {
	r.hedged = true
	r.sends++
}

// TriedServers returns the servers that a second try must not use: the one of the current send, and
// those of earlier ones.
func (r *Request) TriedServers() []string {
	tried := append([]string(nil), r.excluded...)
	return append(tried, r.Grant.Server)
}

// EndHedge takes the result of the try that did not bring the answer.
func (r *Request) EndHedge(server string, result routing.Result) {
	r.excluded = append(r.excluded, server)
	if result.MayHaveRun() {
		r.mayHaveRun = true
		r.runs++
	}
}
