package peerrpc

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deliverTimeout  = 5 * time.Second  // without progress while a batch is unanswered
	longestTimeout  = 15 * time.Second // the same for a large batch: a peer that was lost must be dialed again soon
	lowestRate      = 32 << 10         // bytes a second at which a batch crosses a link
	writeChunkBytes = 64 << 10
)

// progressConn counts the bytes written to a connection, and closes it when it makes no
// progress while a batch is unanswered. Progress is that the peer sent something, or,
// while the oldest unanswered batch is being written, that the connection took a part of
// it. Other written bytes do not count: they may only fill the buffer of the kernel.
type progressConn struct {
	net.Conn
	sent *atomic.Int64 // bytes written to all peers

	mutex      sync.Mutex
	written    int64 // bytes
	progress   time.Time
	unanswered []*sentBatch // oldest first
	timer      *time.Timer  // nil before the first batch
}

// sentBatch is a batch by the place of its bytes among those written to the connection.
type sentBatch struct {
	start, end int64
	complete   bool // end is known
}

// Read implements net.Conn.
func (c *progressConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.mutex.Lock()
		c.progress = time.Now()
		c.mutex.Unlock()
	}
	return n, err
}

// Write implements net.Conn. It writes long data in parts, so that each counts as progress.
func (c *progressConn) Write(data []byte) (int, error) {
	total := 0
	for {
		n, err := c.Conn.Write(data[total:min(total+writeChunkBytes, len(data))])
		total += n
		c.noteWritten(n)
		if err != nil || total == len(data) {
			return total, err
		}
	}
}

func (c *progressConn) noteWritten(bytes int) {
	c.sent.Add(int64(bytes))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.written += int64(bytes)
	if len(c.unanswered) > 0 && !c.unanswered[0].complete {
		c.progress = time.Now()
	}
}

// beginBatch notes that a batch is about to be written.
func (c *progressConn) beginBatch() *sentBatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := &sentBatch{start: c.written}
	c.unanswered = append(c.unanswered, b)
	if len(c.unanswered) == 1 {
		c.restartTimer()
	}
	return b
}

// endBatch notes that all of a batch was written.
func (c *progressConn) endBatch(b *sentBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b.end, b.complete = c.written, true
}

// answered notes that a batch was acknowledged or failed.
func (c *progressConn) answered(b *sentBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	i := slices.Index(c.unanswered, b)
	c.unanswered = slices.Delete(c.unanswered, i, i+1)
	if len(c.unanswered) == 0 {
		c.timer.Stop()
		return
	}
	c.restartTimer()
}

func (c *progressConn) restartTimer() {
	c.progress = time.Now()
	if c.timer == nil {
		c.timer = time.AfterFunc(c.limit(), c.closeWithoutProgress)
		return
	}
	c.timer.Reset(c.limit())
}

// limit returns how long the oldest unanswered batch may take without progress.
func (c *progressConn) limit() time.Duration {
	b := c.unanswered[0]
	end := c.written
	if b.complete {
		end = b.end
	}
	return min(max(deliverTimeout, time.Duration(end-b.start)*time.Second/lowestRate), longestTimeout)
}

// closeWithoutProgress closes the connection if the time limit is over.
func (c *progressConn) closeWithoutProgress() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.unanswered) == 0 {
		return
	}
	if left := c.limit() - time.Since(c.progress); left > 0 {
		c.timer.Reset(left)
		return
	}
	c.Conn.Close()
}
