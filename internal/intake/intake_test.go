package intake

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// The sum of what requests held had no limit, as each of them alone had one.
func TestSharesHoldNoMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
		free := rapid.Int64Range(0, 20).Draw(t, "free")
		b := NewBudget(limit, free)
		var mutex sync.Mutex
		evicted := make(map[int]bool)
		shares := make(map[int]*Share)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			number := rapid.IntRange(0, 9).Draw(t, "share")
			if shares[number] == nil {
				evict := func() {
					mutex.Lock()
					defer mutex.Unlock()
					evicted[number] = true
				}
				if number < 3 {
					evict = nil
				}
				shares[number] = b.Open(evict)
			}
			s := shares[number]
			before, lost := s.held, s.lost
			switch err := s.Grow(int64(i * 7)); {
			case err == nil && lost:
				t.Fatal("a share that was evicted grew")
			case err != nil && !errors.Is(err, ErrFull):
				t.Fatal(err)
			case err != nil && s.held != before:
				t.Fatal("a refused share changed")
			}
			if b.Held() > limit {
				t.Fatalf("%d bytes are held, limit %d", b.Held(), limit)
			}
			if i%11 == 10 {
				s.Release()
				delete(shares, number)
			}
		}
		for _, s := range shares {
			if s.evict == nil && s.lost {
				t.Fatal("a protected share was evicted")
			}
			s.Release()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes are held after all shares were released", b.Held())
		}
	})
}

func TestSmallShareEvictsTheLargest(t *testing.T) {
	b := NewBudget(100, 0)
	evicted := make(chan string, 2)
	large, small := b.Open(func() { evicted <- "large" }), b.Open(func() { evicted <- "small" })
	if err := errors.Join(large.Grow(90), small.Grow(10)); err != nil {
		t.Fatal(err)
	}
	if err := large.Grow(10); !errors.Is(err, ErrFull) {
		t.Errorf("the largest share grew beyond the budget: %v", err)
	}
	if err := small.Grow(10); err != nil {
		t.Errorf("a small share found no room: %v", err)
	}
	select {
	case name := <-evicted:
		if name != "large" {
			t.Errorf("the %s share was evicted", name)
		}
	case <-time.After(time.Second):
		t.Error("no share was evicted")
	}
	if err := large.Keep(); !errors.Is(err, ErrFull) {
		t.Errorf("a share that was evicted is kept: %v", err)
	}
}

func TestReadAll(t *testing.T) {
	const limit = 20_000
	errBroken := errors.New("broken")
	tests := map[string]struct {
		reader io.Reader
		budget int64
		length int
		err    error
	}{
		"empty":         {reader: strings.NewReader(""), budget: limit * 2},
		"short":         {reader: strings.NewReader("text"), budget: limit * 2, length: 4},
		"byte by byte":  {reader: iotest.OneByteReader(bytes.NewReader(make([]byte, 9000))), budget: limit * 2, length: 9000},
		"at the limit":  {reader: bytes.NewReader(make([]byte, limit)), budget: limit * 2, length: limit},
		"above it":      {reader: bytes.NewReader(make([]byte, limit+1)), budget: limit * 2, err: ErrTooLarge},
		"beyond budget": {reader: bytes.NewReader(make([]byte, 9000)), budget: 8000, length: 4096, err: ErrFull},
		"broken":        {reader: io.MultiReader(strings.NewReader("text"), iotest.ErrReader(errBroken)), budget: limit * 2, err: errBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(test.budget, 0)
			s := b.Open(nil)
			body, err := s.ReadAll(test.reader, limit)
			if !errors.Is(err, test.err) || len(body) != test.length {
				t.Errorf("%d bytes, error %v; want %d and %v", len(body), err, test.length, test.err)
			}
			if b.Held() > test.budget || b.Held() < int64(len(body)) {
				t.Errorf("%d bytes are held for a body of %d", b.Held(), len(body))
			}
		})
	}
}
