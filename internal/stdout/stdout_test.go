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

func lostLine(lines int64) []byte { return []byte(fmt.Sprintf("lost %d\n", lines)) }

// gate is a reader that takes nothing until it opens.
type gate struct {
	open   chan struct{}
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.buffer.Write(data)
}

func TestWriterNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g, clock.System{}, lostLine)
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
		t.Fatal("writing blocked on a reader that takes nothing")
	}
	close(g.open)
	if err := w.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	text := g.buffer.String()
	if lines := strings.Count(text, "x\n"); lines > 2*maxQueued/len(line)+1 {
		t.Errorf("%d lines were kept, more than fit", lines)
	}
	if !strings.Contains(text, "lost ") {
		t.Error("nothing tells that lines were lost")
	}
}

func TestCloseWritesWhatIsQueued(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	w := New(g, clock.System{}, lostLine)
	w.Write([]byte("last words\n"))
	if err := w.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if got := g.buffer.String(); got != "last words\n" {
		t.Errorf("wrote %q", got)
	}
}

func TestCloseGivesUpOnAReaderThatTakesNothing(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	defer close(g.open)
	w := New(g, clock.System{}, lostLine)
	w.Write([]byte("x\n"))
	if err := w.Close(100 * time.Millisecond); err == nil {
		t.Error("Close did not tell that lines were not written")
	}
}
