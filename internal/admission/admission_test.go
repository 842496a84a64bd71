package admission

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	pay    = 0
	browse = 1
)

func queue(payFloor, browseFloor float64) *Queue {
	return New([]Rank{{Floor: payFloor}, {Floor: browseFloor}}, 1000)
}

func push(q *Queue, id uint64, rank int, deadline time.Duration) Verdict {
	verdict, _ := q.Push(&Item{ID: id, Rank: rank, Arrived: start, Deadline: start.Add(deadline)}, start, 4)
	return verdict
}

func TestUrgentRankIsServedFirst(t *testing.T) {
	q := queue(0, 0)
	push(q, 1, browse, time.Second)
	push(q, 2, pay, time.Second)
	if item := q.Next(4); item.ID != 2 {
		t.Errorf("next is %d, want the payment", item.ID)
	}
}

func TestEarliestDeadlineFirstWithinRank(t *testing.T) {
	q := queue(0, 0)
	push(q, 1, pay, 2*time.Second)
	push(q, 2, pay, time.Second)
	if item := q.Next(4); item.ID != 2 {
		t.Errorf("next is %d, want the earlier deadline", item.ID)
	}
}

func TestFullQueueRefuses(t *testing.T) {
	q := queue(0, 0)
	q.Limit = 1
	push(q, 1, pay, time.Second)
	if verdict := push(q, 2, pay, time.Second); verdict != Full {
		t.Errorf("verdict %d, want Full", verdict)
	}
}

// A request with less time left than its service takes would only use a slot in
// vain.
func TestRequestThatCannotFinishIsRefused(t *testing.T) {
	q := queue(0, 0)
	q.End(pay, 50*time.Millisecond)
	item := &Item{ID: 1, Rank: pay, Arrived: start, Deadline: start.Add(100 * time.Millisecond)}
	if verdict, _ := q.Push(item, start.Add(80*time.Millisecond), 4); verdict != TooLate {
		t.Errorf("verdict %d, want TooLate", verdict)
	}
}

func TestCancelRemovesRequest(t *testing.T) {
	q := queue(0, 0)
	push(q, 1, pay, time.Second)
	if !q.Cancel(1) || q.Next(4) != nil {
		t.Error("cancelled request still waits")
	}
}

// Under an overload of payments, browsing must still get its floor of the slot
// time, and payments the rest.
func TestFloorIsKeptUnderOverload(t *testing.T) {
	const (
		slots       = 5
		serviceTime = 50 * time.Millisecond
		step        = 10 * time.Millisecond // between arrivals of four requests each
		duration    = 20 * time.Second
	)
	q := queue(0.3, 0.2)
	type running struct {
		rank int
		end  time.Time
	}
	var active []running
	var served [2]int
	id := uint64(0)
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		kept := active[:0]
		for _, r := range active {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			q.End(r.rank, serviceTime)
			served[r.rank]++
		}
		active = kept
		q.Tick(now, slots)
		for _, rank := range []int{pay, pay, pay, browse} {
			id++
			q.Push(&Item{ID: id, Rank: rank, Arrived: now, Deadline: now.Add(time.Second)}, now, slots)
		}
		for len(active) < slots {
			item := q.Next(slots)
			if item == nil {
				break
			}
			q.Begin(item.Rank)
			active = append(active, running{item.Rank, now.Add(serviceTime)})
		}
	}
	share := float64(served[browse]) / float64(served[browse]+served[pay])
	if share < 0.19 || share > 0.25 {
		t.Errorf("browsing got %.3f of the slots, want its floor of 0.2", share)
	}
}

// Slow answers raise the estimated service time. Requests that arrive with all
// their time left must still be queued, or the estimate could never fall again.
func TestSlowAnswersDoNotBlockTheRank(t *testing.T) {
	q := queue(0, 0)
	for range 100 {
		q.End(pay, 5*time.Second)
	}
	if verdict := push(q, 1, pay, time.Second); verdict != Queued {
		t.Errorf("verdict %d, want Queued", verdict)
	}
}
