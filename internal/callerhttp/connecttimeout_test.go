package callerhttp

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A link that fills up delays all connections alike: requests must go on waiting
// for them. Servers that are down answer nothing, and must not make requests wait
// longer for the others.
func TestConnectTimeoutFollowsLinkDelay(t *testing.T) {
	const dials = 400
	tests := map[string]struct {
		linkDelay   func(dial int) time.Duration // by the index of the dial
		deadShare   float64                      // share of servers that answer nothing
		maxTimedOut int                          // timed out dials to running servers, at most
		maxCurrent  time.Duration                // timeout at the end, at most
	}{
		"idle link": {
			linkDelay:  func(int) time.Duration { return 0 },
			maxCurrent: minConnectTimeout,
		},
		"link that fills up": {
			linkDelay:   func(dial int) time.Duration { return min(time.Duration(dial)*2*time.Millisecond, 500*time.Millisecond) },
			maxTimedOut: dials / 50,
			maxCurrent:  maxConnectTimeout,
		},
		"link that fills up and drains": {
			linkDelay: func(dial int) time.Duration {
				return max(0, 400*time.Millisecond-time.Duration(max(dial-200, 200-dial))*4*time.Millisecond)
			},
			maxTimedOut: dials / 50,
			maxCurrent:  minConnectTimeout + 100*time.Millisecond,
		},
		"a fifth of the servers down": {
			linkDelay:  func(int) time.Duration { return 0 },
			deadShare:  0.2,
			maxCurrent: minConnectTimeout,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var timeout ConnectTimeout
			timedOut := 0
			for dial := range dials {
				if random.Float64() < test.deadShare {
					continue
				}
				latency := []time.Duration{3, 3, 70, 70, 70}[random.IntN(5)] * time.Millisecond
				took := latency + time.Duration(random.Float64()*1.5*float64(test.linkDelay(dial)))
				if took > timeout.Current() {
					timedOut++
				}
				timeout.Observe(took)
			}
			if timedOut > test.maxTimedOut {
				t.Errorf("%d of %d connections to running servers timed out, want at most %d", timedOut, dials, test.maxTimedOut)
			}
			if timeout.Current() > test.maxCurrent {
				t.Errorf("timeout of the next connection is %v, want at most %v", timeout.Current(), test.maxCurrent)
			}
		})
	}
}

// A request whose connection comes too late sends nothing, and the connection serves
// the next request.
func TestLateConnectionServesNextRequest(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	allowDial, dialled := make(chan struct{}), make(chan struct{}, 9)
	// With at most one connection, the second request cannot dial itself.
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled <- struct{}{}
		<-allowDial
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	timeout := &ConnectTimeout{}
	send := func() (*connectAttempt, *http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		c := &connectAttempt{now: time.Now, timeout: timeout}
		response, err := c.roundTrip(transport, request)
		return c, response, err
	}
	first, _, err := send()
	if err == nil || !first.timedOut.Load() || first.headerWritten.Load() {
		t.Fatalf("error %v, timed out %t, wrote %t; want a send that timed out before it wrote", err, first.timedOut.Load(), first.headerWritten.Load())
	}
	close(allowDial)
	timeout.Observe(time.Minute) // raises the timeout of the next request to its maximum
	second, response, err := send()
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	if second.timedOut.Load() || served.Load() != 1 {
		t.Errorf("timed out %t, %d requests arrived; want one", second.timedOut.Load(), served.Load())
	}
	if len(dialled) != 1 {
		t.Errorf("%d dials, want the first one's connection to be used", len(dialled))
	}
}

// A VM that lacked the processor until its timeout was over took a connection that had come for one that
// had not, gave up several servers for it and sent them nothing for a while.
func TestConnectionThatCameWhileTheVMStoodStillIsUsed(t *testing.T) {
	tests := map[string]struct {
		late     time.Duration // at which the VM notices that the timeout is over
		timedOut bool
	}{
		"VM stood still":     {late: 200 * time.Millisecond},
		"VM has a processor": {timedOut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			over := make(chan struct{}) // closed once the VM notices that the timeout is over
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				<-over
				if test.timedOut {
					time.Sleep(connectGrace)
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}}
			defer transport.CloseIdleConnections()
			request, err := http.NewRequest(http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			var once sync.Once
			var looks atomic.Int64 // at the clock, once the timeout is over
			c := &connectAttempt{timeout: &ConnectTimeout{}, now: func() time.Time {
				if now := time.Now(); now.Sub(began) < minConnectTimeout {
					return now
				}
				once.Do(func() { close(over) })
				return began.Add(minConnectTimeout + test.late*time.Duration(looks.Add(1)))
			}}
			response, err := c.roundTrip(transport, request)
			if err == nil {
				response.Body.Close()
			}
			if c.timedOut.Load() != test.timedOut || (err != nil) != test.timedOut {
				t.Errorf("timed out: %v, %v; want %v", c.timedOut.Load(), err, test.timedOut)
			}
		})
	}
}
