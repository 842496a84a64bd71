package stdout

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// Limits of a Writer.
const (
	maxQueuedBytes    = 1 << 20               // waiting for a slow reader of standard output
	maxBytesPerSecond = 4 << 20               // accepted by one Writer
	flushInterval     = 50 * time.Millisecond // from the first queued line to writing the batch
)

// Writer queues lines and writes them in batches. It drops lines that exceed its
// limits and reports their number in a line of its own.
type Writer struct {
	clock       clock.Clock
	destination io.Writer
	// droppedNotice returns the line that reports the number of dropped lines.
	droppedNotice func(lines int64) []byte

	mutex        sync.Mutex
	queue        []byte
	droppedLines int64         // since the last batch
	windowStart  time.Time     // of the present second
	windowBytes  int           // accepted in the present second
	wake         chan struct{} // tells run to start a batch
	closing      chan struct{} // closed by Close
	finished     chan struct{} // closed when run has returned
	closeOnce    sync.Once
}

// New returns a Writer that writes to the destination until Close. droppedNotice
// returns the line, with its line feed, that reports dropped lines.
func New(destination io.Writer, clk clock.Clock, droppedNotice func(lines int64) []byte) *Writer {
	w := &Writer{
		clock:         clk,
		destination:   destination,
		droppedNotice: droppedNotice,
		wake:          make(chan struct{}, 1),
		closing:       make(chan struct{}),
		finished:      make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues or drops one line. It never waits for the destination and never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	queueWasEmpty := len(w.queue) == 0
	if len(w.queue)+len(line) > maxQueuedBytes || !w.allow(len(line)) {
		w.droppedLines++
	} else {
		w.queue = append(w.queue, line...)
	}
	w.mutex.Unlock()
	if queueWasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// allow reports whether the bytes fit in maxBytesPerSecond, and counts them if so.
func (w *Writer) allow(bytes int) bool {
	now := w.clock.Now()
	if elapsed := now.Sub(w.windowStart); elapsed >= time.Second || elapsed < 0 {
		w.windowStart, w.windowBytes = now, 0
	}
	if w.windowBytes+bytes > maxBytesPerSecond {
		return false
	}
	w.windowBytes += bytes
	return true
}

// run writes each batch flushInterval after its first line was queued, and the last
// one at Close.
func (w *Writer) run() {
	defer close(w.finished)
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.flush()
			return
		}
		select {
		case <-w.clock.After(flushInterval):
		case <-w.closing:
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	batch, dropped := w.queue, w.droppedLines
	w.queue, w.droppedLines = nil, 0
	w.mutex.Unlock()
	if dropped > 0 {
		batch = append(batch, w.droppedNotice(dropped)...)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := w.destination.Write(batch); err != nil {
		// A failed write counts as one dropped line. It cannot be reported otherwise:
		// errors are logged to standard output.
		w.mutex.Lock()
		w.droppedLines++
		w.mutex.Unlock()
	}
}

// Close writes the queued lines and stops the Writer. It returns an error if the
// destination has not accepted them within the limit.
func (w *Writer) Close(limit time.Duration) error {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.finished:
		return nil
	case <-w.clock.After(limit):
		return fmt.Errorf("write queued log lines to standard output: not done within %v", limit)
	}
}
