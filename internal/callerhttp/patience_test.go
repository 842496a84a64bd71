package callerhttp

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// A link that fills delays all connections alike: requests must go on waiting for
// them. Servers that are gone answer nothing, and must not make requests wait longer
// for the others.
func TestPatienceFollowsTheLink(t *testing.T) {
	const dials = 400
	tests := map[string]struct {
		queue   func(at int) time.Duration // delay on the link
		gone    float64                    // share of servers that answer nothing
		lost    int                        // dials to living servers given up, at most
		patient time.Duration              // at the end, at most
	}{
		"idle link": {
			queue:   func(int) time.Duration { return 0 },
			patient: leastPatience,
		},
		"link that fills": {
			queue:   func(at int) time.Duration { return min(time.Duration(at)*2*time.Millisecond, 500*time.Millisecond) },
			lost:    dials / 50,
			patient: mostPatience,
		},
		"link that fills and empties": {
			queue: func(at int) time.Duration {
				return max(0, 400*time.Millisecond-time.Duration(max(at-200, 200-at))*4*time.Millisecond)
			},
			lost:    dials / 50,
			patient: leastPatience + 100*time.Millisecond,
		},
		"a fifth of the servers gone": {
			queue:   func(int) time.Duration { return 0 },
			gone:    0.2,
			patient: leastPatience,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var p Patience
			lost := 0
			for at := range dials {
				if random.Float64() < test.gone {
					continue
				}
				way := []time.Duration{3, 3, 70, 70, 70}[random.IntN(5)] * time.Millisecond
				took := way + time.Duration(random.Float64()*1.5*float64(test.queue(at)))
				if took > p.Limit() {
					lost++
				}
				p.Took(took)
			}
			if lost > test.lost {
				t.Errorf("%d of %d connections to living servers were given up, want at most %d", lost, dials, test.lost)
			}
			if p.Limit() > test.patient {
				t.Errorf("waits %v for the next connection, want at most %v", p.Limit(), test.patient)
			}
		})
	}
}

// A request whose connection comes too late sends nothing, and the connection serves
// the next request.
func TestLateConnectionServesTheNextRequest(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	arrive, dialled := make(chan struct{}), make(chan struct{}, 9)
	// With one connection at most, the second request cannot have a dial of its own.
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled <- struct{}{}
		<-arrive
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	patience := &Patience{}
	send := func() (*connecting, *http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		c := &connecting{now: time.Now, patience: patience}
		response, err := c.trip(transport, request)
		return c, response, err
	}
	first, _, err := send()
	if err == nil || !first.late.Load() || first.wrote.Load() {
		t.Fatalf("error %v, late %t, wrote %t; want a send that gave up before it wrote", err, first.late.Load(), first.wrote.Load())
	}
	close(arrive)
	patience.Took(time.Minute) // so that the next request waits as long as any may
	second, response, err := send()
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	if second.late.Load() || served.Load() != 1 {
		t.Errorf("late %t, %d requests arrived; want one", second.late.Load(), served.Load())
	}
	if len(dialled) != 1 {
		t.Errorf("%d dials, want the connection of the first one used", len(dialled))
	}
}
