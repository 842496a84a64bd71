package peerrpc

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// silencer passes connections on, and can silence those that are open for good, in one
// direction or both, without an error at either end. New ones work.
type silencer struct {
	mutex sync.Mutex
	open  []*silencedConn
	count int
	stuck func(number int) bool // of a connection that is silent from the start; nil for none
}

type silencedConn struct {
	mutex    sync.Mutex
	there    bool // bytes to the peer are lost
	back     bool // bytes from the peer are lost
	accepted time.Time
}

func (s *silencer) listen(t *testing.T, target string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				continue
			}
			c := &silencedConn{accepted: time.Now()}
			s.mutex.Lock()
			s.open = append(s.open, c)
			s.count++
			c.there = s.stuck != nil && s.stuck(s.count)
			s.mutex.Unlock()
			go c.pass(onward, conn, &c.there)
			go c.pass(conn, onward, &c.back)
		}
	}()
	return listener.Addr().String()
}

// pass copies bytes until they are lost; then neither end learns of the other's close.
func (c *silencedConn) pass(to, from net.Conn, lost *bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mutex.Lock()
		silent := *lost
		c.mutex.Unlock()
		if silent {
			io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			to.Close()
			return
		}
		to.Write(buffer[:n])
	}
}

// silence silences the open connections.
func (s *silencer) silence(there, back bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.open {
		c.mutex.Lock()
		c.there, c.back = c.there || there, c.back || back
		c.mutex.Unlock()
	}
	s.open = nil
}

// A connection that went silent held up all messages and calls to its peer for 5 to 15 s.
func TestSilentConnectionHoldsUpNothing(t *testing.T) {
	const maxDelay = time.Second
	tests := map[string]struct {
		there, back bool
		bulk        int // bytes sent just before
	}{
		"both ways":             {there: true, back: true},
		"to the peer":           {there: true},
		"from the peer":         {back: true},
		"both ways, some bulk":  {there: true, back: true, bulk: 8 << 10},
		"from the peer, a half": {back: true, bulk: 8 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var handler recordingHandler
			var link silencer
			address := link.listen(t, serve(t, &handler))
			network := NewNetwork([]byte("key"))
			defer network.Close()
			silences := make(chan Silence, 16)
			network.OnSilent = func(_ string, s Silence) { silences <- s }
			network.Send(address, heartbeat(0))
			awaitDelivered(t, &handler, 1, maxDelay)
			for round := 1; round <= 5; round++ {
				link.silence(test.there, test.back)
				if test.bulk > 0 {
					network.Send(address, bulkMessage(uint64(2*round-1), test.bulk))
				} else {
					network.Send(address, heartbeat(uint64(2*round-1)))
				}
				network.Send(address, heartbeat(uint64(2*round)))
				awaitDelivered(t, &handler, 2*round+1, maxDelay)
				if took := waitWithProcessor(maxDelay, func() bool { return len(silences) > 0 }); took > maxDelay {
					t.Error("the silent connection is still in use")
					continue
				}
				if s := <-silences; s.Unanswered == 0 || s.Quiet < silentAfter {
					t.Errorf("silence %+v", s)
				}
			}
			for i, message := range handler.delivered() {
				if message != uint64(i) {
					t.Fatalf("message %d arrived as number %d: lost, repeated or out of order", message, i)
				}
			}
		})
	}
}

func awaitDelivered(t *testing.T, handler *recordingHandler, count int, limit time.Duration) {
	t.Helper()
	if took := waitWithProcessor(limit, func() bool { return len(handler.delivered()) >= count }); took > limit {
		t.Fatalf("%d messages delivered after %v, want %d", len(handler.delivered()), limit, count)
	}
}

// awaitWithProcessor fails the test unless the condition holds within the limit; see
// waitWithProcessor.
func awaitWithProcessor(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	if waitWithProcessor(limit, condition) > limit {
		t.Fatalf("not reached within %v", limit)
	}
}

// waitWithProcessor waits until the condition holds and returns the time that took, or a time over
// the limit. Time for which this process, and so the code under test, got no processor does not
// count: what a sleep lasts longer than twice its length.
func waitWithProcessor(limit time.Duration, condition func() bool) time.Duration {
	const step = 5 * time.Millisecond
	took := time.Duration(0)
	for !condition() && took <= limit {
		began := time.Now()
		time.Sleep(step)
		took += min(time.Since(began), 2*step)
	}
	return took
}

// A connection that went silent before its handshake ended held up all messages for 3 s.
func TestConnectionSilentFromTheStartIsNotWaitedFor(t *testing.T) {
	const maxDelay = 2*raceInterval + silentAfter
	tests := map[string]struct {
		stuck   func(number int) bool
		silence bool // the connection in use goes silent
	}{
		"the first one":                   {stuck: func(n int) bool { return n == 1 }},
		"the first two":                   {stuck: func(n int) bool { return n <= 2 }},
		"one that is to replace another":  {stuck: func(n int) bool { return n == 2 }, silence: true},
		"two that are to replace another": {stuck: func(n int) bool { return n == 2 || n == 3 }, silence: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var handler recordingHandler
			link := silencer{stuck: test.stuck}
			address := link.listen(t, serve(t, &handler))
			network := NewNetwork([]byte("key"))
			defer network.Close()
			sent := 0
			send := func() {
				network.Send(address, heartbeat(uint64(sent)))
				sent++
			}
			if test.silence {
				send()
				awaitDelivered(t, &handler, sent, time.Second)
				link.silence(true, true)
			}
			send()
			send()
			awaitDelivered(t, &handler, sent, maxDelay+500*time.Millisecond)
		})
	}
}

// A call that waits on a silent connection ends soon enough to be tried again.
func TestCallOnSilentConnectionEnds(t *testing.T) {
	var link silencer
	address := link.listen(t, serve(t, proposingHandler{}))
	network := NewNetwork([]byte("key"))
	defer network.Close()
	var answer reducer.ProposalResult
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	propose := func() error {
		return network.Call(ctx, address, "Propose", &ProposeArgs{Command: ledger.Command{}}, &answer)
	}
	if err := propose(); err != nil {
		t.Fatal(err)
	}
	link.silence(true, true)
	began := time.Now()
	if err := propose(); err == nil {
		t.Fatal("the call was answered on a silent connection")
	}
	if err := propose(); err != nil {
		t.Fatalf("second call: %v", err)
	}
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
}

// While connections go silent again and again, each message arrives once and in order.
func TestMessagesArriveOnceWhileConnectionsGoSilent(t *testing.T) {
	const length = 12 * time.Second
	for seed := range uint64(4) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			var handler recordingHandler
			var link silencer
			address := link.listen(t, serve(t, &handler))
			network := NewNetwork([]byte("key"))
			defer network.Close()
			sent := 0
			next := time.Now()
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(next) {
					link.silence(random.IntN(3) > 0, random.IntN(2) > 0)
					next = time.Now().Add(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
				}
				network.Send(address, heartbeat(uint64(sent)))
				sent++
			}
			awaitDelivered(t, &handler, sent, 3*time.Second)
			for i, message := range handler.delivered() {
				if message != uint64(i) {
					t.Fatalf("message %d arrived as number %d: lost, repeated or out of order", message, i)
				}
			}
		})
	}
}

// A peer that stands still is not taken for a silent connection: no second one answers.
func TestPeerThatStandsStillKeepsItsConnection(t *testing.T) {
	handler := &stoppingHandler{resume: make(chan struct{})}
	var link silencer
	address := link.listen(t, serve(t, handler))
	network := NewNetwork([]byte("key"))
	defer network.Close()
	network.OnSilent = func(string, Silence) { t.Error("the connection was replaced") }
	network.Send(address, heartbeat(0))
	time.Sleep(3 * silentAfter)
	close(handler.resume)
	awaitDelivered(t, &handler.recordingHandler, 1, time.Second)
}

// stoppingHandler handles no message until it is resumed.
type stoppingHandler struct {
	recordingHandler
	resume chan struct{}
}

// Deliver implements Handler.
func (h *stoppingHandler) Deliver(messages []reducer.Message) {
	<-h.resume
	h.recordingHandler.Deliver(messages)
}

// proposingHandler accepts all proposals.
type proposingHandler struct{ Handler }

// Deliver implements Handler.
func (proposingHandler) Deliver([]reducer.Message) {}

// Propose implements Handler.
func (proposingHandler) Propose(ledger.Command, ledger.Fence) reducer.ProposalResult {
	return reducer.ProposalResult{}
}

// Many calls that wait at once ask for no more acknowledgements than one does.
func TestWaitingCallsPingTogether(t *testing.T) {
	p := &peer{wake: make(chan struct{}, 1)}
	now := time.Now()
	pings := 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if p.ping(now); p.pingWanted {
			pings++
			p.pingWanted = false
		}
	}
	if most := int(4*time.Second/pingInterval) + 1; pings > most || pings < most-2 {
		t.Errorf("%d pings in 4 s, want about %d", pings, most)
	}
}

// A connection that is given up too soon is dialed again and again wherever a peer or a link is slow.
func TestShortPauseOpensNoSecondConnection(t *testing.T) {
	const (
		pause    = 200 * time.Millisecond
		silence  = 400 * time.Millisecond // from which on a second connection is tried
		attempts = 20                     // short of processor the pause may last longer
	)
	for range attempts {
		handler := &stoppingHandler{resume: make(chan struct{})}
		var link silencer
		address := link.listen(t, serve(t, handler))
		network := NewNetwork([]byte("key"))
		began := time.Now()
		network.Send(address, heartbeat(0))
		time.Sleep(pause)
		close(handler.resume)
		awaitDelivered(t, &handler.recordingHandler, 1, 5*time.Second)
		took := time.Since(began)
		link.mutex.Lock()
		count := link.count
		link.mutex.Unlock()
		network.Close()
		if took >= silence {
			continue
		}
		if count != 1 {
			t.Errorf("%d connections to a peer that stood still for %v, want 1", count, pause)
		}
		return
	}
	t.Fatalf("each of %d pauses lasted %v or longer", attempts, silence)
}
