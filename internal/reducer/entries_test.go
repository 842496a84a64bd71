package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/member"
)

// entryGossip returns gossip of an entry VM of the failure domain "a".
func entryGossip(id string, counter uint64, stopping bool) Received {
	return Received{Message{Gossip: &member.Gossip{From: member.VM{
		ID: id, Peer: id + ":1", Entry: id + ":2", Domain: "a", Region: "north", Incarnation: 1, Counter: counter, Stopping: stopping,
	}}}}
}

func TestShareOfAColdServerDoesNotGrowWhenOtherEntriesAreLost(t *testing.T) {
	tests := map[string]struct {
		stopping bool // the other entries stop as planned
		after    time.Duration
		entries  int // among which this VM shares the rate
		index    int
		live     int
	}{
		"heard":                 {after: time.Second, entries: 3, index: 1, live: 3},
		"lost":                  {after: 5 * time.Minute, entries: 3, index: 1, live: 1},
		"lost long ago":         {after: 11 * time.Minute, entries: 1, index: 0, live: 1},
		"stopped as planned":    {stopping: true, after: 10 * time.Second, entries: 1, index: 0, live: 1},
		"stopping, still heard": {stopping: true, after: time.Second, entries: 3, index: 1, live: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := entryVM(t)
			s.Apply(testStart, Tick{})
			s.Apply(testStart, entryGossip("a0", 1, test.stopping))
			s.Apply(testStart, entryGossip("a2", 1, test.stopping))
			s.Apply(testStart.Add(test.after), Tick{})
			if s.entryCount != test.entries || s.entryIndex != test.index || s.liveEntries != test.live {
				t.Errorf("counts %d entries, %d before this VM, %d live, want %d, %d and %d", s.entryCount, s.entryIndex, s.liveEntries, test.entries, test.index, test.live)
			}
		})
	}
}
