package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// RequestCountKey groups finished requests for the audit trail.
type RequestCountKey struct {
	Service       string
	Rank          string
	DocumentIndex uint64 // log index of the document that was used
	ServerDomain  string // failure domain of the backend server, or empty
	Server        string // of a request that leaves, else empty
	Outcome       string
}

// tallies counts finished requests of the present second.
type tallies struct {
	mutex  sync.Mutex
	counts map[RequestCountKey]int64
}

func (t *tallies) add(key RequestCountKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts == nil {
		t.counts = make(map[RequestCountKey]int64)
	}
	t.counts[key]++
}

// take returns the counts as audit records in a fixed order, and starts anew.
func (t *tallies) take(from string) []reducer.Audit {
	t.mutex.Lock()
	counts := t.counts
	t.counts = nil
	t.mutex.Unlock()
	records := make([]reducer.Audit, 0, len(counts))
	for key, count := range counts {
		records = append(records, reducer.Audit{
			Kind:     reducer.AuditTally,
			Service:  key.Service,
			Rank:     key.Rank,
			Position: key.DocumentIndex,
			From:     from,
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

// CountRequest counts a finished request.
func (n *Node) CountRequest(key RequestCountKey) { n.tallies.add(key) }
