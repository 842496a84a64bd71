package reducer

import (
	"fmt"
	"testing"

	"github.com/heatherwood/heatherwood/internal/relay"
)

// A VM that serves all that others pass on would fail its own callers.
func TestRequestsOfOthersAreBoundedByRank(t *testing.T) {
	for rank, most := range map[int]int{0: 512, 1: 448, 2: 384, 7: 64, 20: 64} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			s := entryVM(t)
			for call := range most {
				if problem := s.takeOver(RequestBegan{Call: uint64(call), From: "b1", Request: &relay.Request{Rank: rank}}); problem != nil {
					t.Fatalf("request %d was refused: %s", call+1, problem.Reason)
				}
			}
			problem := s.takeOver(RequestBegan{Call: uint64(most), From: "b1", Request: &relay.Request{Rank: rank}})
			if problem == nil || problem.Reason != relay.ReasonDetoursFull || problem.Run != relay.RunNo || problem.RetryAfter <= 0 {
				t.Errorf("request %d beside %d others: %+v, want it refused as not run", most+1, most, problem)
			}
		})
	}
}
