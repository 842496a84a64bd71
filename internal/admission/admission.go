package admission

import (
	"container/heap"
	"math"
	"time"
)

// Rank is the policy for one rank; index 0 is the most urgent.
type Rank struct {
	Worth float64
	Floor float64 // share of the capacity that the rank can always use
}

// Item is one waiting request.
type Item struct {
	ID       uint64
	Rank     int
	Arrived  time.Time
	Deadline time.Time
	Shifted  bool // may only run elsewhere within the cap on shifts
	at       int  // position in its heap
}

// Queue holds the waiting requests of one service.
type Queue struct {
	Ranks []Rank
	Limit int // waiting requests of one rank

	// TypicalTime is the time in a slot that counts until one is measured.
	TypicalTime time.Duration

	lanes    []lane
	byID     map[uint64]*Item
	lastTick time.Time
}

// lane is the state of one rank.
type lane struct {
	waiting deadlines
	inUse   int
	credit  float64 // slot seconds that the rank's floor owes it
	rate    float64 // grants per second, moving average
	granted int     // since the last tick
	service float64 // seconds, moving average of the time in a slot
	spread  float64 // seconds, moving average of its distance from the mean
}

// Bounds of the floor's memory and of the estimates.
const (
	maxCreditSeconds = 0.5 // of the rank's whole floor
	rateWeight       = 0.2
	serviceWeight    = 0.05
	defaultService   = 0.05 // seconds in a slot before any is measured or documented
	finishSpreads    = 3.0  // spreads above the mean that must remain at the start
	urgentWaitShare  = 0.4  // of the time to the deadline that may pass in the queue
	lastWaitShare    = 0.25 // of it for the least urgent rank, whose callers want quick answers
	maxNeedShare     = 0.6  // of a request's whole time that its work is thought to need
)

// New returns an empty queue.
func New(ranks []Rank, limit int) *Queue {
	return &Queue{
		Ranks: ranks,
		Limit: limit,
		lanes: make([]lane, len(ranks)),
		byID:  make(map[uint64]*Item),
	}
}

// Configure changes the policy and keeps what waits when the ranks stay.
func (q *Queue) Configure(ranks []Rank, limit int) {
	q.Limit = limit
	q.Ranks = ranks
	for len(q.lanes) < len(ranks) {
		q.lanes = append(q.lanes, lane{})
	}
}

// Verdict tells what became of a new request.
type Verdict uint8

// The verdicts.
const (
	Queued  Verdict = iota + 1
	Full            // too many of its rank wait
	TooLate         // it could not finish before its deadline
)

// Push queues a request or refuses it; the wait is when to try again.
func (q *Queue) Push(item *Item, now time.Time, capacity int) (Verdict, time.Duration) {
	l := &q.lanes[item.Rank]
	wait := q.EstimateWait(item.Rank, capacity)
	if len(l.waiting) >= q.Limit {
		return Full, wait
	}
	remaining := item.Deadline.Sub(now)
	if wait > time.Duration(q.waitShare(item.Rank)*float64(remaining)) {
		return Full, wait
	}
	if wait+l.need(item) > remaining {
		return TooLate, wait
	}
	heap.Push(&l.waiting, item)
	q.byID[item.ID] = item
	return Queued, wait
}

// EstimateWait estimates how long a new request of the rank would wait for a slot.
func (q *Queue) EstimateWait(rank, capacity int) time.Duration {
	l := &q.lanes[rank]
	if len(l.waiting) == 0 || capacity == 0 {
		return 0
	}
	rate := q.share(rank, capacity) * float64(capacity) / q.serviceTime(l)
	return time.Duration(float64(len(l.waiting)) / rate * float64(time.Second))
}

func (q *Queue) waitShare(rank int) float64 {
	if rank == len(q.Ranks)-1 {
		return lastWaitShare
	}
	return urgentWaitShare
}

const minShare = 0.01 // of the capacity, so that no estimate is endless

// share estimates the part of the capacity that the rank can get: what more
// urgent ranks leave, less the floors of waiting ranks below, and never less than
// its own floor.
func (q *Queue) share(rank, capacity int) float64 {
	left := 1.0
	for other := range q.lanes {
		l := &q.lanes[other]
		switch {
		case other < rank:
			left -= l.rate * q.serviceTime(l) / float64(capacity)
		case other > rank && len(l.waiting) > 0:
			left -= q.Ranks[other].Floor
		}
	}
	return max(left, q.Ranks[rank].Floor, minShare)
}

// need is the time in a slot that nearly all requests of the rank stay below.
// Work begun with less would often be for nothing. It is bounded by a part of
// the request's whole time, so that slow answers never stop the rank: without
// new work there would be no new measurement either.
func (l *lane) need(item *Item) time.Duration {
	need := time.Duration((l.service + finishSpreads*l.spread) * float64(time.Second))
	whole := item.Deadline.Sub(item.Arrived)
	return min(need, time.Duration(maxNeedShare*float64(whole)))
}

func (q *Queue) serviceTime(l *lane) float64 {
	switch {
	case l.service > 0:
		return l.service
	case q.TypicalTime > 0:
		return q.TypicalTime.Seconds()
	default:
		return defaultService
	}
}

// Cancel removes a waiting request.
func (q *Queue) Cancel(id uint64) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	heap.Remove(&q.lanes[item.Rank].waiting, item.at)
	delete(q.byID, id)
	return true
}

// Next removes and returns the request to run now, or nil. Ranks below their
// floor come first, the more urgent of them before the others; then the most
// urgent rank. A borrowed floor so returns with the next free slot.
func (q *Queue) Next(capacity int) *Item {
	rank := q.nextRank(capacity)
	if rank < 0 {
		return nil
	}
	item := heap.Pop(&q.lanes[rank].waiting).(*Item)
	delete(q.byID, item.ID)
	return item
}

// Peek returns the rank that Next would take, or -1.
func (q *Queue) Peek(capacity int) int { return q.nextRank(capacity) }

func (q *Queue) nextRank(capacity int) int {
	first := -1
	for rank := range q.lanes {
		l := &q.lanes[rank]
		if len(l.waiting) == 0 {
			continue
		}
		if first < 0 {
			first = rank
		}
		if q.belowFloor(rank, capacity) {
			return rank
		}
	}
	return first
}

// belowFloor reports whether the rank's use of slots, averaged over time, is
// less than its share.
func (q *Queue) belowFloor(rank, capacity int) bool {
	share := q.Ranks[rank].Floor * float64(capacity)
	l := &q.lanes[rank]
	return share > 0 && l.credit >= 0
}

// Begin counts a slot in use by the rank.
func (q *Queue) Begin(rank int) {
	l := &q.lanes[rank]
	l.inUse++
	l.granted++
	l.credit -= q.serviceTime(l)
}

// End gives the slot back; held is the time it was in use. The credit was
// charged the mean time at the begin and is now charged the true one.
func (q *Queue) End(rank int, held time.Duration) {
	l := &q.lanes[rank]
	l.inUse = max(0, l.inUse-1)
	l.credit += q.serviceTime(l) - held.Seconds()
	if held <= 0 {
		return
	}
	if l.service == 0 {
		l.service = held.Seconds()
		return
	}
	distance := held.Seconds() - l.service
	l.service += serviceWeight * distance
	l.spread += serviceWeight * (math.Abs(distance) - l.spread)
}

// Tick brings the floors' credits and the rates up to date and returns the
// requests that can no longer finish in time.
func (q *Queue) Tick(now time.Time, capacity int) []*Item {
	elapsed := now.Sub(q.lastTick).Seconds()
	if q.lastTick.IsZero() || elapsed <= 0 {
		q.lastTick = now
		return nil
	}
	q.lastTick = now
	for rank := range q.lanes {
		q.tickLane(rank, capacity, elapsed)
	}
	return q.expired(now)
}

func (q *Queue) tickLane(rank, capacity int, elapsed float64) {
	l := &q.lanes[rank]
	share := 0.0
	if rank < len(q.Ranks) {
		share = q.Ranks[rank].Floor * float64(capacity)
	}
	l.credit += share * elapsed
	limit := max(share*maxCreditSeconds, q.serviceTime(l))
	if len(l.waiting) == 0 {
		limit = 0
	}
	l.credit = min(max(l.credit, -limit), limit)
	l.rate += rateWeight * (float64(l.granted)/elapsed - l.rate)
	l.granted = 0
}

func (q *Queue) expired(now time.Time) []*Item {
	var late []*Item
	for rank := range q.lanes {
		l := &q.lanes[rank]
		for len(l.waiting) > 0 && now.Add(l.need(l.waiting[0])).After(l.waiting[0].Deadline) {
			item := heap.Pop(&l.waiting).(*Item)
			delete(q.byID, item.ID)
			late = append(late, item)
		}
	}
	return late
}

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(rank int) int { return len(q.lanes[rank].waiting) }

// TotalWaiting returns the number of waiting requests.
func (q *Queue) TotalWaiting() int { return len(q.byID) }

// InUse returns the slots in use by a rank.
func (q *Queue) InUse(rank int) int { return q.lanes[rank].inUse }

// MeanServiceTime returns the mean time in a slot over all ranks.
func (q *Queue) MeanServiceTime() time.Duration {
	sum, known := 0.0, 0
	for i := range q.lanes {
		if q.lanes[i].service > 0 {
			sum += q.lanes[i].service
			known++
		}
	}
	if known == 0 {
		return time.Duration(q.serviceTime(&lane{}) * float64(time.Second))
	}
	return time.Duration(sum / float64(known) * float64(time.Second))
}

// deadlines is a heap of requests, the earliest deadline first.
type deadlines []*Item

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if d[i].Deadline.Equal(d[j].Deadline) {
		return d[i].ID < d[j].ID
	}
	return d[i].Deadline.Before(d[j].Deadline)
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].at, d[j].at = i, j
}

// Push adds a request; container/heap calls it.
func (d *deadlines) Push(x any) {
	item := x.(*Item)
	item.at = len(*d)
	*d = append(*d, item)
}

// Pop removes the last request; container/heap calls it.
func (d *deadlines) Pop() any {
	old := *d
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return item
}
