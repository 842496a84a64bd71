package peerrpc

import "time"

// A connection may go silent for good without an error, while the peer and the path to it
// are sound. Nothing but a second connection tells that from a peer that stands still or
// a slow link: the second gets the oldest unanswered batch again, and the connection that
// brings its acknowledgement first is used.

const (
	silentAfter  = 400 * time.Millisecond // without progress while small batches are unanswered, before a second connection is tried
	raceInterval = time.Second            // between two tries
	maxRaces     = 3                      // tries at a time: each may go silent as well
	raceTimeout  = 2 * time.Second        // for the acknowledgement on the second connection
	raceGrace    = 50 * time.Millisecond  // for one on the first that is on its way
	pingInterval = 250 * time.Millisecond // of empty batches while a call waits for its reply
)

// Silence describes a silent connection that was replaced.
type Silence struct {
	Quiet      time.Duration // since its last progress
	Age        time.Duration
	Unanswered int   // batches
	Bytes      int64 // of unanswered batches
}

// race opens a second connection beside one that makes no progress, and replaces it if
// only the second brings the acknowledgement of the oldest unanswered batch.
func (p *peer) race(first *connection) {
	second, err := p.dial()
	if err != nil {
		return // the first one ends by its own limit
	}
	b := p.oldestOn(first)
	if b == nil || !first.conn.isSilent() {
		second.Close()
		return
	}
	silence := first.conn.silence()
	call := p.deliver(second, b)
	timer := time.NewTimer(raceTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		second.Close()
		return
	}
	time.Sleep(raceGrace)
	stillSilent := first.conn.isSilent() || first.conn.hasFailed()
	if call.Error != nil || !stillSilent || !p.replace(first, second) {
		second.Close()
		return
	}
	first.Close()
	p.acknowledge(b)
	p.wakeUp()
	if p.network.OnSilent != nil {
		p.network.OnSilent(p.address, silence)
	}
}

// oldestOn returns the oldest unanswered batch if it was sent on the connection.
func (p *peer) oldestOn(c *connection) *batch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.unanswered) == 0 || p.unanswered[0].connection != c {
		return nil
	}
	return p.unanswered[0]
}

// replace makes the second connection the open one, if the first still is or was closed.
func (p *peer) replace(first, second *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != first && p.connection != nil {
		return false
	}
	select {
	case <-p.network.closed:
		return false
	default:
	}
	p.connection = second
	return true
}
