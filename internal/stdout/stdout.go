package stdout

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// Bounds of a Writer.
const (
	maxQueued     = 1 << 20 // bytes that wait for a slow reader
	maxPerSecond  = 4 << 20 // bytes that a process writes, at most
	flushInterval = 50 * time.Millisecond
)

// Writer queues lines and writes them in batches. What does not fit is dropped
// and counted; a line tells how many lines were lost.
type Writer struct {
	clock clock.Clock
	to    io.Writer
	// Dropped makes the line that tells of lost lines.
	dropped func(lines int64) []byte

	mutex   sync.Mutex
	queue   []byte
	lost    int64
	second  time.Time
	written int // bytes of the present second
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}
	close   sync.Once
}

// New returns a Writer that writes until Close.
func New(to io.Writer, clk clock.Clock, dropped func(lines int64) []byte) *Writer {
	w := &Writer{
		clock:   clk,
		to:      to,
		dropped: dropped,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	first := len(w.queue) == 0
	if len(w.queue)+len(line) > maxQueued || !w.allow(len(line)) {
		w.lost++
	} else {
		w.queue = append(w.queue, line...)
	}
	w.mutex.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// allow counts bytes against the bound of the present second.
func (w *Writer) allow(bytes int) bool {
	now := w.clock.Now()
	if elapsed := now.Sub(w.second); elapsed >= time.Second || elapsed < 0 {
		w.second, w.written = now, 0
	}
	if w.written+bytes > maxPerSecond {
		return false
	}
	w.written += bytes
	return true
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.wake:
		case <-w.done:
			w.flush()
			return
		}
		select {
		case <-w.clock.After(flushInterval):
		case <-w.done:
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	batch, lost := w.queue, w.lost
	w.queue, w.lost = nil, 0
	w.mutex.Unlock()
	if lost > 0 {
		batch = append(batch, w.dropped(lost)...)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := w.to.Write(batch); err != nil {
		// Nobody can be told: standard output is where errors are told.
		w.mutex.Lock()
		w.lost++
		w.mutex.Unlock()
	}
}

// Close writes what is queued and ends the Writer; it waits no longer than the
// limit for a reader that does not read.
func (w *Writer) Close(limit time.Duration) error {
	w.close.Do(func() { close(w.done) })
	select {
	case <-w.ended:
		return nil
	case <-w.clock.After(limit):
		return fmt.Errorf("standard output took no lines for %v", limit)
	}
}
