package callerhttp

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Bounds of downloads. The answers of all downloads of a VM share a part of its link, so that short
// answers, heartbeats and messages between VMs do not queue behind them.
const (
	downloadPrefixBytes = 32 << 10              // of an answer, read before any of it is passed to the caller
	downloadLinkShare   = 0.8                   // of the link
	downloadBurst       = 50 * time.Millisecond // of that share, which may be written at once
)

// isDownload reports whether the answer is large and is streamed.
func (in *inbound) isDownload() bool {
	return in.route != nil && in.route.Kind == document.KindDownload
}

// bufferLimit returns how many bytes of the answer are read before any of it is passed on.
func (in *inbound) bufferLimit() int64 {
	if in.isDownload() {
		return downloadPrefixBytes
	}
	return bufferedAnswerBytes
}

// linkShare paces the bytes that all downloads of a VM write to callers.
type linkShare struct {
	clock clock.Clock
	rate  float64 // bytes a second; 0 for no limit

	mutex  sync.Mutex
	freeAt time.Time // when all bytes that were let through so far have left at the rate
}

// newLinkShare returns the share of a link of megabits a second; 0 sets no limit.
func newLinkShare(c clock.Clock, megabits float64) *linkShare {
	const bytesPerMegabit = 1e6 / 8
	return &linkShare{clock: c, rate: megabits * bytesPerMegabit * downloadLinkShare}
}

// take reserves n bytes and returns how long to wait before they may be written, and when they have
// left. Streams that write at the same time get turns in the order in which they ask.
func (l *linkShare) take(n int) (wait time.Duration, leftAt time.Time) {
	if l.rate <= 0 {
		return 0, time.Time{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait = l.freeAt.Sub(now) - downloadBurst
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return max(0, wait), l.freeAt
}

// pacedBody is the body of a download, read as fast as the link may take it: what is not read waits
// at the server.
type pacedBody struct {
	io.ReadCloser
	ctx    context.Context
	link   *linkShare
	leftAt time.Time // when all bytes that were read have left
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	wait := time.Duration(0)
	if n > 0 {
		wait, b.leftAt = b.link.take(n)
	} else if !b.leftAt.IsZero() {
		// The end follows the bytes before it; it need not wait for those of other downloads.
		wait = b.leftAt.Sub(b.link.clock.Now()) - downloadBurst
	}
	if wait <= 0 {
		return n, err
	}
	select {
	case <-b.link.clock.After(wait):
		return n, err
	case <-b.ctx.Done():
		return n, context.Cause(b.ctx)
	}
}
