package admission

import (
	"testing"
	"time"
)

// A change of the document may remove a rank while requests of it wait or run.
func TestRequestsOutliveTheirRank(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := New([]Rank{{Floor: 0.2}, {Floor: 0.2}, {Floor: 0.2}}, 100)
	q.Begin(2)
	for i := range 9 {
		item := &Item{ID: uint64(i + 1), Rank: i % 3, Arrived: now, Deadline: now.Add(time.Minute)}
		if verdict, _ := q.Push(item, now, 10); verdict != Queued {
			t.Fatalf("request %d: verdict %d", i, verdict)
		}
	}
	q.Configure([]Rank{{Floor: 0.5}, {Floor: 0.5}}, 100)
	q.End(2, time.Second)
	q.Tick(now, 10)
	q.Tick(now.Add(100*time.Millisecond), 10)
	q.EstimateWait(1, 10)
	q.Cancel(3)
	byRank := make(map[int]int)
	for item := q.Next(10); item != nil; item = q.Next(10) {
		byRank[item.Rank]++
		q.Begin(item.Rank)
	}
	if byRank[0] != 3 || byRank[1] != 5 || q.TotalWaiting() != 0 {
		t.Errorf("%v ran, %d wait; want 3 and 5, and none", byRank, q.TotalWaiting())
	}
}
