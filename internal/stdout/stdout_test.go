package stdout

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// droppedNotice returns the line that reports dropped lines in these tests.
func droppedNotice(lines int64) []byte { return []byte(fmt.Sprintf("lost %d\n", lines)) }

// blockingWriter blocks every Write until open is closed.
type blockingWriter struct {
	open   chan struct{}
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *blockingWriter) Write(data []byte) (int, error) {
	<-b.open
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// While nothing reads standard output, Write must return at once, keep at most
// maxQueuedBytes queued and report the lines that it drops.
func TestWriterNeverBlocks(t *testing.T) {
	b := &blockingWriter{open: make(chan struct{})}
	w := New(b, clock.System{}, droppedNotice)
	line := bytes.Repeat([]byte("x"), 1000)
	line[len(line)-1] = '\n'
	finished := make(chan struct{})
	go func() {
		for range 5000 {
			w.Write(line)
		}
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("Write waited for a destination that blocks")
	}
	close(b.open)
	if err := w.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	text := b.buffer.String()
	if lines := strings.Count(text, "x\n"); lines > 2*maxQueuedBytes/len(line)+1 {
		t.Errorf("%d lines were written, more than the queue holds", lines)
	}
	if !strings.Contains(text, "lost ") {
		t.Error("no line reports the dropped lines")
	}
}

// The last lines of a process are not lost when it stops before flushInterval ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	b := &blockingWriter{open: make(chan struct{})}
	close(b.open)
	w := New(b, clock.System{}, droppedNotice)
	w.Write([]byte("last line\n"))
	if err := w.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if got := b.buffer.String(); got != "last line\n" {
		t.Errorf("wrote %q", got)
	}
}

// A process must be able to stop while nothing reads standard output.
func TestCloseTimesOutOnBlockedWriter(t *testing.T) {
	b := &blockingWriter{open: make(chan struct{})}
	defer close(b.open)
	w := New(b, clock.System{}, droppedNotice)
	w.Write([]byte("x\n"))
	if err := w.Close(100 * time.Millisecond); err == nil {
		t.Error("Close returned no error although a line was not written")
	}
}
