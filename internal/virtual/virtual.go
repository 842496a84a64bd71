package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock that advances from one scheduled event to the next.
type Clock struct {
	now          time.Time
	lastSequence uint64
	queue        eventQueue
}

// New returns a clock set to the start time.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Schedule runs a function after a delay. Functions due at the same time run in
// the order in which they were scheduled.
func (c *Clock) Schedule(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{due: c.now.Add(delay), sequence: c.lastSequence, run: run})
}

// RunUntil runs all functions due before the end and then sets the clock to the
// end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].due.Before(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.due
		next.run()
	}
	c.now = end
}

// event is a scheduled function.
type event struct {
	due      time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time, then by sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; container/heap calls it.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
