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
// progress while a batch is unanswered; long before, onSilent tries a second one. Progress
// is that the peer sent something, or, while the oldest unanswered batch is being written,
// that the connection took a part of it. Other written bytes do not count: they may only
// fill the buffer of the kernel.
type progressConn struct {
	net.Conn
	sent     *atomic.Int64 // bytes written to all peers
	onSilent func()        // called, on a goroutine of its own, after silentAfter without progress
	openedAt time.Time

	mutex      sync.Mutex
	written    int64 // bytes
	progress   time.Time
	unanswered []*sentBatch // oldest first
	timer      *time.Timer  // nil before the first batch
	read       bool         // the peer has sent something
	failed     bool         // it ended or was closed
	races      int          // calls of onSilent that run
	raceDue    time.Time    // earliest next call of onSilent
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
		c.progress, c.read = time.Now(), true
		c.mutex.Unlock()
	}
	if err != nil {
		c.mutex.Lock()
		c.failed = true
		c.mutex.Unlock()
	}
	return n, err
}

// hasFailed reports whether the connection ended or was closed.
func (c *progressConn) hasFailed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failed
}

// hasRead reports whether the peer has sent anything since the handshake.
func (c *progressConn) hasRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.read
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
		c.timer = time.AfterFunc(c.silentLimit(), c.checkProgress)
		return
	}
	c.timer.Reset(c.silentLimit())
}

// oldestBytes returns the length of the oldest unanswered batch, as far as it is known.
func (c *progressConn) oldestBytes() int64 {
	b := c.unanswered[0]
	if b.complete {
		return b.end - b.start
	}
	return c.written - b.start
}

// limit returns how long the oldest unanswered batch may take without progress.
func (c *progressConn) limit() time.Duration {
	return min(max(deliverTimeout, timeToCross(c.oldestBytes())), longestTimeout)
}

// silentLimit returns after which time without progress the connection counts as silent.
func (c *progressConn) silentLimit() time.Duration {
	return silentAfter + timeToCross(c.oldestBytes())
}

func timeToCross(bytes int64) time.Duration { return time.Duration(bytes) * time.Second / lowestRate }

// checkProgress tries a second connection while this one is silent, and closes it when
// the time limit is over.
func (c *progressConn) checkProgress() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.unanswered) == 0 {
		return
	}
	now := time.Now()
	quiet := now.Sub(c.progress)
	if quiet >= c.limit() {
		c.Conn.Close()
		return
	}
	if left := c.silentLimit() - quiet; left > 0 {
		c.timer.Reset(left)
		return
	}
	if c.onSilent != nil && c.races < maxRaces && !now.Before(c.raceDue) {
		c.races, c.raceDue = c.races+1, now.Add(raceInterval)
		go func() {
			c.onSilent()
			c.mutex.Lock()
			c.races--
			c.mutex.Unlock()
		}()
	}
	c.timer.Reset(min(c.limit()-quiet, raceInterval))
}

// isSilent reports whether the connection still makes no progress.
func (c *progressConn) isSilent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.unanswered) > 0 && time.Since(c.progress) >= c.silentLimit()
}

func (c *progressConn) silence() Silence {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	s := Silence{Quiet: now.Sub(c.progress), Age: now.Sub(c.openedAt), Unanswered: len(c.unanswered)}
	if len(c.unanswered) > 0 {
		s.Bytes = c.written - c.unanswered[0].start
	}
	return s
}
