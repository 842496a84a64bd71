package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// RequestCountKey groups requests for the counts in the audit trail: those sent to a
// backend server, and those finished.
type RequestCountKey struct {
	Service       string
	Rank          string
	DocumentIndex uint64 // log index of the steering document that was used
	ServerDomain  string // failure domain of the backend server, or empty
	Server        string // id of the backend server; empty for a finished request
	Outcome       string // sent, or the outcome of a finished request
}

// requestCounts counts requests since the counts were last taken.
type requestCounts struct {
	mutex  sync.Mutex
	counts map[RequestCountKey]int64
}

func (c *requestCounts) add(key RequestCountKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = make(map[RequestCountKey]int64)
	}
	c.counts[key]++
}

// takeRecords returns the counts as audit records in a fixed order and resets them.
// fromDomain is the failure domain of this VM.
func (c *requestCounts) takeRecords(fromDomain string) []reducer.Audit {
	c.mutex.Lock()
	counts := c.counts
	c.counts = nil
	c.mutex.Unlock()
	records := make([]reducer.Audit, 0, len(counts))
	for key, count := range counts {
		records = append(records, reducer.Audit{
			Kind:     reducer.AuditTally,
			Service:  key.Service,
			Rank:     key.Rank,
			Position: key.DocumentIndex,
			From:     fromDomain,
			To:       key.ServerDomain,
			Server:   key.Server,
			Outcome:  key.Outcome,
			Count:    count,
		})
	}
	slices.SortFunc(records, func(a, b reducer.Audit) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(a.To, b.To),
			cmp.Compare(a.Server, b.Server),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Position, b.Position),
		)
	})
	return records
}

// CountRequest counts a request for the audit trail.
func (n *Node) CountRequest(key RequestCountKey) { n.requestCounts.add(key) }
