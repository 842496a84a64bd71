package admission

import (
	"container/heap"
	"math"
	"time"
)

// Rank is the policy for one rank; the rank at index 0 is the most urgent.
type Rank struct {
	Floor float64 // share of the capacity that is guaranteed to the rank
}

// Item is a waiting request.
type Item struct {
	ID        uint64
	Rank      int
	Arrived   time.Time
	Deadline  time.Time
	heapIndex int // index in the heap of its rank
}

// Queue holds the waiting requests of one service.
type Queue struct {
	Ranks []Rank
	Limit int // waiting requests of one rank, at most

	// TypicalTime is the service time assumed until one is measured.
	TypicalTime time.Duration

	states   []rankState
	byID     map[uint64]*Item
	lastTick time.Time
}

// rankState is the queue and the measurements of one rank.
type rankState struct {
	waiting          deadlineHeap
	inUse            int
	credit           float64 // slot seconds that the rank may still use of its floor; negative if it used more
	grantRate        float64 // grants per second, moving average
	granted          int     // grants since the last tick
	meanService      float64 // seconds in a slot, moving average
	serviceDeviation float64 // seconds, moving average of the distance from meanService
}

// Limits of the credit and parameters of the estimates.
const (
	maxCreditSeconds     = 0.5  // the credit is within plus and minus the rank's floor over this time, or one service time if that is more
	grantRateWeight      = 0.2  // of a new rate in its moving average
	serviceWeight        = 0.05 // of a new service time in its moving averages
	defaultServiceTime   = 0.05 // seconds in a slot, before any is measured and without a TypicalTime
	finishDeviations     = 3.0  // a request must have the mean service time plus this many deviations left to be started
	urgentWaitShare      = 0.4  // of the time to the deadline that the expected wait may take
	leastUrgentWaitShare = 0.25 // the same for the least urgent rank, whose callers want quick answers
	maxTimeNeededShare   = 0.6  // of the time from arrival to deadline, the most that a request is assumed to need
)

// New returns an empty queue for the ranks; limit is as in Queue.
func New(ranks []Rank, limit int) *Queue {
	return &Queue{
		Ranks:  ranks,
		Limit:  limit,
		states: make([]rankState, len(ranks)),
		byID:   make(map[uint64]*Item),
	}
}

// Configure changes the ranks and the limit. Waiting requests are kept; those of a rank
// that is removed count as requests of the least urgent rank left. Without ranks the
// present ones stay.
func (q *Queue) Configure(ranks []Rank, limit int) {
	q.Limit = limit
	if len(ranks) == 0 {
		return
	}
	q.Ranks = ranks
	for len(q.states) < len(ranks) {
		q.states = append(q.states, rankState{})
	}
	last := len(ranks) - 1
	for removed := len(ranks); removed < len(q.states); removed++ {
		for _, item := range q.states[removed].waiting {
			item.Rank = last
			heap.Push(&q.states[last].waiting, item)
		}
		q.states[removed].waiting = nil
	}
}

// Verdict is the decision on a new request.
type Verdict uint8

// The verdicts.
const (
	Queued  Verdict = iota + 1
	Full            // too many requests of its rank wait, or the wait would take too much of its time
	TooLate         // it could not finish before its deadline
)

// Push queues a request or refuses it. The duration is the expected wait, after
// which a refused request may be tried again.
func (q *Queue) Push(item *Item, now time.Time, capacity int) (Verdict, time.Duration) {
	r := &q.states[item.Rank]
	wait := q.EstimateWait(item.Rank, capacity)
	if len(r.waiting) >= q.Limit {
		return Full, wait
	}
	remaining := item.Deadline.Sub(now)
	if wait > time.Duration(q.maxWaitShare(item.Rank)*float64(remaining)) {
		return Full, wait
	}
	if wait+r.timeNeeded(item) > remaining {
		return TooLate, wait
	}
	heap.Push(&r.waiting, item)
	q.byID[item.ID] = item
	return Queued, wait
}

// EstimateWait returns the expected time that a new request of the rank would wait
// for a slot, or 0 while there is no capacity.
func (q *Queue) EstimateWait(rank, capacity int) time.Duration {
	r := &q.states[rank]
	if len(r.waiting) == 0 || capacity == 0 {
		return 0
	}
	rate := q.attainableShare(rank, capacity) * float64(capacity) / q.serviceTime(r)
	return time.Duration(float64(len(r.waiting)) / rate * float64(time.Second))
}

func (q *Queue) maxWaitShare(rank int) float64 {
	if rank == len(q.Ranks)-1 {
		return leastUrgentWaitShare
	}
	return urgentWaitShare
}

const minShare = 0.01 // of the capacity, so that estimates stay finite

// attainableShare estimates the share of the capacity that the rank can get: what
// more urgent ranks leave, less the floors of less urgent ranks that have waiting
// requests, but at least its own floor.
func (q *Queue) attainableShare(rank, capacity int) float64 {
	left := 1.0
	for other := range q.states {
		r := &q.states[other]
		switch {
		case other < rank:
			left -= r.grantRate * q.serviceTime(r) / float64(capacity)
		case other > rank && len(r.waiting) > 0:
			left -= q.Ranks[other].Floor
		}
	}
	return max(left, q.Ranks[rank].Floor, minShare)
}

// timeNeeded returns the service time that nearly all requests of the rank stay
// below. A request started with less time left would often miss its deadline.
// It is limited to a share of the time from the request's arrival to its
// deadline, so that slow answers never block the rank: without new requests
// there would be no new measurements either.
func (r *rankState) timeNeeded(item *Item) time.Duration {
	need := time.Duration((r.meanService + finishDeviations*r.serviceDeviation) * float64(time.Second))
	available := item.Deadline.Sub(item.Arrived)
	return min(need, time.Duration(maxTimeNeededShare*float64(available)))
}

// serviceTime returns the mean service time of the rank in seconds, or a default
// before any is measured.
func (q *Queue) serviceTime(r *rankState) float64 {
	switch {
	case r.meanService > 0:
		return r.meanService
	case q.TypicalTime > 0:
		return q.TypicalTime.Seconds()
	default:
		return defaultServiceTime
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	heap.Remove(&q.states[item.Rank].waiting, item.heapIndex)
	delete(q.byID, id)
	return true
}

// Next removes and returns the request to run now, or nil. Ranks below their
// floor come first, in order of urgency, then the most urgent rank. A rank whose
// floor was used by others thus gets the next free slot.
func (q *Queue) Next(capacity int) *Item {
	rank := q.nextRank(capacity)
	if rank < 0 {
		return nil
	}
	item := heap.Pop(&q.states[rank].waiting).(*Item)
	delete(q.byID, item.ID)
	return item
}

// PeekRank returns the rank of the request that Next would return, or -1.
func (q *Queue) PeekRank(capacity int) int { return q.nextRank(capacity) }

func (q *Queue) nextRank(capacity int) int {
	first := -1
	for rank := range q.states {
		r := &q.states[rank]
		if len(r.waiting) == 0 {
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

// belowFloor reports whether the rank's use of slots, averaged over time, is below
// its floor.
func (q *Queue) belowFloor(rank, capacity int) bool {
	share := q.Ranks[rank].Floor * float64(capacity)
	r := &q.states[rank]
	return share > 0 && r.credit >= 0
}

// Begin counts a slot in use by the rank and charges the mean service time to its
// credit.
func (q *Queue) Begin(rank int) {
	r := &q.states[rank]
	r.inUse++
	r.granted++
	r.credit -= q.serviceTime(r)
}

// End frees the slot; slotTime is the time for which it was in use and replaces, in
// the credit, the mean service time that Begin charged. If slotTime is 0, the
// request did not run and is not measured.
func (q *Queue) End(rank int, slotTime time.Duration) {
	r := &q.states[rank]
	r.inUse = max(0, r.inUse-1)
	r.credit += q.serviceTime(r) - slotTime.Seconds()
	if slotTime <= 0 {
		return
	}
	if r.meanService == 0 {
		r.meanService = slotTime.Seconds()
		return
	}
	distance := slotTime.Seconds() - r.meanService
	r.meanService += serviceWeight * distance
	r.serviceDeviation += serviceWeight * (math.Abs(distance) - r.serviceDeviation)
}

// Tick updates the credits and grant rates, and removes and returns the requests
// that can no longer finish in time.
func (q *Queue) Tick(now time.Time, capacity int) []*Item {
	elapsed := now.Sub(q.lastTick).Seconds()
	if q.lastTick.IsZero() || elapsed <= 0 {
		q.lastTick = now
		return nil
	}
	q.lastTick = now
	for rank := range q.states {
		q.tickRank(rank, capacity, elapsed)
	}
	return q.removeLate(now)
}

// tickRank adds the rank's floor over the elapsed seconds to its credit and updates
// its grant rate. The credit is limited, and set to 0 if no request of the rank
// waits, so that a rank cannot save up its floor.
func (q *Queue) tickRank(rank, capacity int, elapsed float64) {
	r := &q.states[rank]
	share := 0.0
	if rank < len(q.Ranks) {
		share = q.Ranks[rank].Floor * float64(capacity)
	}
	r.credit += share * elapsed
	limit := max(share*maxCreditSeconds, q.serviceTime(r))
	if len(r.waiting) == 0 {
		limit = 0
	}
	r.credit = min(max(r.credit, -limit), limit)
	r.grantRate += grantRateWeight * (float64(r.granted)/elapsed - r.grantRate)
	r.granted = 0
}

func (q *Queue) removeLate(now time.Time) []*Item {
	var late []*Item
	for rank := range q.states {
		r := &q.states[rank]
		for len(r.waiting) > 0 && now.Add(r.timeNeeded(r.waiting[0])).After(r.waiting[0].Deadline) {
			item := heap.Pop(&r.waiting).(*Item)
			delete(q.byID, item.ID)
			late = append(late, item)
		}
	}
	return late
}

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(rank int) int { return len(q.states[rank].waiting) }

// WaitingBefore returns the number of waiting requests of the rank and of more urgent
// ones.
func (q *Queue) WaitingBefore(rank int) int {
	total := 0
	for i := range q.states[:rank+1] {
		total += len(q.states[i].waiting)
	}
	return total
}

// TotalWaiting returns the number of waiting requests.
func (q *Queue) TotalWaiting() int { return len(q.byID) }

// InUse returns the number of slots in use by a rank.
func (q *Queue) InUse(rank int) int { return q.states[rank].inUse }

// MeanServiceTime returns the average of the mean service times of all ranks with a
// measurement, or a default.
func (q *Queue) MeanServiceTime() time.Duration {
	sum, known := 0.0, 0
	for i := range q.states {
		if q.states[i].meanService > 0 {
			sum += q.states[i].meanService
			known++
		}
	}
	if known == 0 {
		return time.Duration(q.serviceTime(&rankState{}) * float64(time.Second))
	}
	return time.Duration(sum / float64(known) * float64(time.Second))
}

// deadlineHeap is a heap of requests with the earliest deadline first.
type deadlineHeap []*Item

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	if d[i].Deadline.Equal(d[j].Deadline) {
		return d[i].ID < d[j].ID
	}
	return d[i].Deadline.Before(d[j].Deadline)
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push adds a request; container/heap calls it.
func (d *deadlineHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(*d)
	*d = append(*d, item)
}

// Pop removes the last request; container/heap calls it.
func (d *deadlineHeap) Pop() any {
	old := *d
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return item
}
