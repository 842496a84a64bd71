package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// An idle connection was closed on a request that had arrived, or that arrived a moment later was
// read and not answered.
func TestRequestOnIdleConnectionIsServedOrLeftUnread(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	tests := map[string]struct {
		before bool // the request arrives before the connection is closed
		read   bool // and some of it was read
		now    bool // the connection is closed by CloseNow
		served bool
	}{
		"arrives before the close":                    {before: true, served: true},
		"arrives before the close, read in part":      {before: true, read: true, served: true},
		"arrives after the close":                     {},
		"arrives before, but the time for it is over": {before: true, now: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			lingerer := &Lingerer{Clock: clock.System{}}
			conn := lingerer.Wrap(accepted, accepted)
			send := func() {
				io.WriteString(caller, request)
				time.Sleep(20 * time.Millisecond)
			}
			var first [1]byte
			if test.before {
				send()
			}
			if test.read {
				io.ReadFull(conn, first[:])
			}
			if test.now {
				conn.CloseNow()
			} else {
				conn.Close()
			}
			if !test.before {
				send()
			}
			_, err := conn.Read(first[:])
			if served := !errors.Is(err, net.ErrClosed); served != test.served || conn.IsDeferred() != test.served {
				t.Fatalf("served: %v (%v), deferred: %v; want %v", served, err, conn.IsDeferred(), test.served)
			}
			if !test.served {
				if readable, _ := SocketOf(accepted).Readable(); !readable {
					t.Error("the request was read")
				}
				return
			}
			conn.SetIdle(false)
			io.WriteString(conn, "answer")
			conn.Close()
			if answer, err := io.ReadAll(caller); string(answer) != "answer" || err != nil {
				t.Errorf("answer %q, %v", answer, err)
			}
		})
	}
}

// A connection that its other end leaves open may not stay open for ever, nor one that it closes
// stay in memory.
func TestLingeringConnectionIsForgotten(t *testing.T) {
	tests := map[string]struct {
		idle  bool
		close bool // by the other end
		ended bool
	}{
		"idle, other end closes":                {idle: true, close: true, ended: true},
		"after an answer, other end closes":     {close: true, ended: true},
		"idle, other end stays open":            {idle: true},
		"after an answer, other end stays open": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, accepted := connect(t)
			lingerer := &Lingerer{Clock: clock.System{}}
			conn := lingerer.Wrap(accepted, accepted)
			conn.SetIdle(test.idle)
			conn.Close()
			if test.close {
				caller.Close()
			}
			count := func() int {
				lingerer.mutex.Lock()
				defer lingerer.mutex.Unlock()
				return len(lingerer.conns)
			}
			time.Sleep(time.Second)
			if ended := count() == 0; ended != test.ended {
				t.Errorf("ended after a second: %v, want %v", ended, test.ended)
			}
			time.Sleep(lingerIdleTimeout)
			if count() != 0 {
				t.Error("still open after the timeout")
			}
		})
	}
}

func TestAwaitDelivery(t *testing.T) {
	const answerBytes = 1 << 20
	caller, accepted := connect(t)
	caller.SetReadBuffer(16 << 10)
	lingerer := &Lingerer{Clock: clock.System{}}
	conn := lingerer.Wrap(accepted, accepted)
	conn.SetIdle(false)
	conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, _ := conn.Write(make([]byte, answerBytes))
	conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if lingerer.AwaitDelivery(ctx); ctx.Err() == nil {
		t.Fatal("counts as delivered before the other end has read anything")
	}
	go io.Copy(io.Discard, caller)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if lingerer.AwaitDelivery(ctx); ctx.Err() != nil {
		t.Errorf("%d bytes do not count as delivered", written)
	}
}
