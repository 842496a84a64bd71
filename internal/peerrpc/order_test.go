package peerrpc

import (
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// recordingHandler notes the rounds of the messages delivered to it.
type recordingHandler struct {
	Handler
	mutex  sync.Mutex
	rounds []uint64
}

func (h *recordingHandler) Deliver(messages []reducer.Message) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, m := range messages {
		h.rounds = append(h.rounds, m.Quorum.Round)
	}
}

func (h *recordingHandler) delivered() []uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.rounds
}

func serve(t *testing.T, handler Handler) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Key: []byte("key"), Handler: handler}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func waitFor(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within %v", limit)
		}
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	const bursts, perBurst = 60, 5
	tests := map[string]struct{ bulk int }{
		"small messages":                 {},
		"a large one before small ones":  {bulk: 600 << 10},
		"a medium one before small ones": {bulk: 64 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
			var handler recordingHandler
			address := serve(t, &handler)
			network := NewNetwork([]byte("key"))
			defer network.Close()
			for round := range uint64(bursts * perBurst) {
				message := quorum.Message{Round: round}
				if round%perBurst == 0 {
					message.Entries = []quorum.Entry{{Data: make([]byte, test.bulk)}}
				}
				network.Send(address, reducer.Message{Quorum: &message})
				time.Sleep(200 * time.Microsecond)
			}
			waitFor(t, 20*time.Second, func() bool { return len(handler.delivered()) == bursts*perBurst })
			overtaken := 0
			for i, round := range handler.delivered() {
				if round != uint64(i) {
					overtaken++
				}
			}
			if overtaken > 0 {
				t.Errorf("%d of %d messages were delivered out of order", overtaken, bursts*perBurst)
			}
		})
	}
}
