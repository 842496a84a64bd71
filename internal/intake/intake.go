package intake

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrFull means that the requests of the process hold as much as they may together.
var ErrFull = errors.New("the requests of this VM hold as much memory as they may")

// ErrTooLarge means that one body is larger than its own limit.
var ErrTooLarge = errors.New("the body is larger than allowed")

// ErrLate means that a body stalled, or that this VM did; the sender may send it again.
var ErrLate = errors.New("the body did not arrive in time")

// Budget is the number of bytes that all shares of it may hold together.
type Budget struct {
	limit int64
	free  int64 // of each share, not counted

	mutex  sync.Mutex
	held   int64 // by all shares, without what is free
	shares map[*Share]struct{}
}

// NewBudget returns a budget of so many bytes; as many as free says do not count in each share,
// so that small requests always find room.
func NewBudget(limit, free int64) *Budget {
	return &Budget{limit: limit, free: free, shares: make(map[*Share]struct{})}
}

// Held returns the bytes that all shares hold, without what is free.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Share is what one request holds of a budget, until Release.
type Share struct {
	budget *Budget
	held   int64
	evict  func() // ends the request early, to make room for smaller ones; nil to keep it
	lost   bool   // it was evicted
}

// Open returns a share that holds nothing yet. Evict is called, in another goroutine, when a
// smaller request needs the room; a nil one protects the share.
func (b *Budget) Open(evict func()) *Share {
	s := &Share{budget: b, evict: evict}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Grow takes so many more bytes, or returns ErrFull. Where they do not fit, the largest share that
// can be evicted makes room if it is larger than this one becomes.
func (s *Share) Grow(bytes int64) error {
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counted := b.count(s.held+bytes) - b.count(s.held)
	for counted > 0 && b.held+counted > b.limit && !s.lost {
		largest := b.largestEvictable()
		if largest == nil || largest.held <= s.held+bytes {
			return ErrFull
		}
		b.held -= b.count(largest.held)
		largest.held, largest.lost = 0, true
		go largest.evict()
	}
	if s.lost {
		return ErrFull
	}
	b.held += counted
	s.held += bytes
	return nil
}

// count returns what counts of so many bytes of a share.
func (b *Budget) count(bytes int64) int64 { return max(0, bytes-b.free) }

func (b *Budget) largestEvictable() *Share {
	var largest *Share
	for s := range b.shares {
		if s.evict != nil && !s.lost && (largest == nil || s.held > largest.held) {
			largest = s
		}
	}
	return largest
}

// Keep protects the share from now on, or returns ErrFull if it is lost already.
func (s *Share) Keep() error {
	s.budget.mutex.Lock()
	defer s.budget.mutex.Unlock()
	if s.lost {
		return ErrFull
	}
	s.evict = nil
	return nil
}

// Release gives all bytes back; the share is not used any more.
func (s *Share) Release() {
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= b.count(s.held)
	s.held, s.lost = 0, true
	delete(b.shares, s)
}

const firstReadBytes = 4 << 10

// ReadAll reads to the end like io.ReadAll. It takes what it keeps from the share, before it
// reads. Beyond the limit in bytes it returns ErrTooLarge, wrapped, and where the budget has no room
// for more, what it has read with ErrFull.
func (s *Share) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			// One byte more than the limit tells a body that ends there from a longer one.
			capacity := min(max(2*int64(cap(body)), firstReadBytes), limit+1)
			if int64(cap(body)) > limit {
				return nil, fmt.Errorf("read: %w", ErrTooLarge)
			}
			if err := s.Grow(capacity - int64(cap(body))); err != nil {
				return body, err
			}
			grown := make([]byte, len(body), capacity)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, fmt.Errorf("read: %w", ErrTooLarge)
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
	}
}
