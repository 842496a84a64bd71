package virtual

import (
	"container/heap"
	"time"
)

// Clock is a clock that jumps from one planned piece of work to the next.
type Clock struct {
	now   time.Time
	order uint64
	queue queue
}

// New returns a clock that shows the start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the present virtual time.
func (t *Clock) Now() time.Time { return t.now }

// Schedule plans work; pieces for the same time are done in the order of planning.
func (t *Clock) Schedule(wait time.Duration, do func()) {
	t.order++
	heap.Push(&t.queue, item{at: t.now.Add(wait), order: t.order, do: do})
}

// RunUntil does all work before the end and then shows the end.
func (t *Clock) RunUntil(end time.Time) {
	for len(t.queue) > 0 && t.queue[0].at.Before(end) {
		next := heap.Pop(&t.queue).(item)
		t.now = next.at
		next.do()
	}
	t.now = end
}

type item struct {
	at    time.Time
	order uint64
	do    func()
}

type queue []item

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a piece of work; container/heap calls it.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop removes the last piece; container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = item{}
	*q = old[:len(old)-1]
	return last
}
