package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"
)

// steppedClock is a clock that moves by the waits asked of it.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

func (c *steppedClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// Downloads that fill the link of a VM hold up short answers and heartbeats: several at a time may
// not be read faster than their part of the link.
func TestDownloadsShareAPartOfTheLink(t *testing.T) {
	const answerBytes, answers = 540 << 10, 4
	tests := map[string]struct {
		megabits float64
		least    time.Duration
	}{
		"link unknown": {0, 0},
		"5.1 Mbit/s":   {5.1, 4300*time.Millisecond - downloadBurst}, // 4 × 540 KiB at 0.8 × 637,500 bytes a second
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &steppedClock{now: time.Unix(0, 0)}
			link := newLinkShare(clock, test.megabits)
			var bodies []io.Reader
			for range answers {
				bodies = append(bodies, &pacedBody{ReadCloser: io.NopCloser(bytes.NewReader(make([]byte, answerBytes))), ctx: context.Background(), link: link})
			}
			total, buffer := 0, make([]byte, 32<<10)
			for len(bodies) > 0 {
				n, err := bodies[0].Read(buffer)
				total += n
				if errors.Is(err, io.EOF) {
					bodies = bodies[1:]
					continue
				}
				bodies = append(bodies[1:], bodies[0])
			}
			took := clock.now.Sub(time.Unix(0, 0))
			if total != answerBytes*answers || took < test.least || took > test.least*11/10 {
				t.Errorf("%d bytes in %v, want %d in %v to %v", total, took, answerBytes*answers, test.least, test.least*11/10)
			}
		})
	}
}

// A caller that leaves while its download waits for the link must not hold the server's answer.
func TestDownloadEndsWhenItsCallerLeaves(t *testing.T) {
	ctx, leave := context.WithCancelCause(context.Background())
	leave(errCallerLeft)
	link := newLinkShare(&stoppedClock{}, 0.001)
	body := &pacedBody{ReadCloser: io.NopCloser(bytes.NewReader(make([]byte, 1<<20))), ctx: ctx, link: link}
	if _, err := io.Copy(io.Discard, body); !errors.Is(err, errCallerLeft) {
		t.Errorf("read ended with %v, want %v", err, errCallerLeft)
	}
}

// stoppedClock is a clock whose waits never end.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time { return time.Unix(0, 0) }

func (stoppedClock) After(time.Duration) <-chan time.Time { return nil }

// A caller learns of the end of an answer without a known length when that end has been read, which
// must not wait for the other downloads.
func TestEndOfADownloadDoesNotWaitForTheLink(t *testing.T) {
	clock := &steppedClock{now: time.Unix(0, 0)}
	link := newLinkShare(clock, 5.1)
	link.take(1 << 20)
	body := &pacedBody{ReadCloser: io.NopCloser(bytes.NewReader(nil)), ctx: context.Background(), link: link}
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read ended with %v, want the end of the answer", err)
	}
	if waited := clock.now.Sub(time.Unix(0, 0)); waited > 0 {
		t.Errorf("the end waited %v", waited)
	}
}
